#include "tests/consensus/random_events.h"

namespace sapphirecrank::consensus {

using std::chrono::milliseconds;

void RandomEvents::ApplyEvent(uint32_t event) {
  constexpr uint32_t kEventKinds = 20;
  uint32_t kind = event % kEventKinds;
  uint32_t parameter = event / kEventKinds;
  int host = static_cast<int>(parameter % 5);
  int other = static_cast<int>(parameter / 5 % 5);
  this->fault_count += kind < 10 ? 1 : 0;
  switch (kind) {
    case 0:
      this->cluster.Crash(host);
      break;
    case 1:
      this->cluster.disk(host).CrashAfter(static_cast<int>(parameter / 5 % 12));
      break;
    case 2:
      this->cluster.disk(host).FailNextSync();
      break;
    case 3:
      this->cluster.disk(host).LimitSpace(parameter % 300);
      break;
    case 4:
      this->cluster.CutLink(host, other);
      break;
    case 5:
      this->cluster.PartitionNetwork(parameter);
      break;
    case 6:
      this->cluster.Isolate(host);
      break;
    case 7:
      this->cluster.SetNetworkFaults(static_cast<int>(parameter % 30), 10,
                                     static_cast<int>(parameter / 30 % 50));
      break;
    case 8:
      for (int i = 0; i < 5; ++i) {
        this->cluster.Crash(i);
      }
      break;
    case 9: {
      int leader = this->cluster.Leader();
      if (leader >= 0) {
        this->cluster.Isolate(leader);
      }
      break;
    }
    case 10:
      this->cluster.HealNetwork();
      break;
    case 11:
      for (int i = 0; i < 5; ++i) {
        this->cluster.Restart(i);
      }
      break;
    case 12:
      this->cluster.Restart(host);
      break;
    case 13:
      this->ChangeMembership(host, other, parameter / 5 % 4);
      break;
    case 14: {
      int leader = this->cluster.Leader();
      if (leader >= 0) {
        this->cluster.node(leader)->TransferLeadership();
      }
      break;
    }
    case 15:
      for (int i = 0; i < 25; ++i) {
        this->cluster.Propose();
        this->cluster.Run(milliseconds(5));
      }
      break;
    default:
      this->cluster.Propose();
      break;
  }
  // Most pauses are short, so that the effects of events overlap; some are longer than an election.
  constexpr int kPauseMilliseconds[] = {0, 5, 5, 10, 20, 40, 100, 300, 700, 1500};
  this->cluster.Run(milliseconds(kPauseMilliseconds[parameter / 25 % 10]));
}

void RandomEvents::ChangeMembership(int host, int replaced, uint32_t kind) {
  int leader = this->cluster.Leader();
  if (leader < 0) {
    return;
  }
  MembershipChange change;
  change.kind = static_cast<MembershipChange::Kind>(kind);
  change.host = RaftCluster::HostName(host);
  change.replaced_voter = RaftCluster::HostName(replaced);
  // The leader may reject the change; that is no violation.
  (void)this->cluster.node(leader)->ChangeMembership(change);
}

}  // namespace sapphirecrank::consensus
