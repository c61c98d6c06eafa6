#include "tests/cluster/random_losses.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace sapphirecrank::cluster {

using base::Duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr size_t kDataCentreCount = 3;
constexpr uint32_t kKindCount = 9;
constexpr auto kCatchUpTime = seconds(4);
constexpr auto kStart = seconds(5);
constexpr auto kAddressReuseDelay = seconds(2);
constexpr auto kMaximumDrainTime = seconds(4);
// As long as a stopping host waits for its successor.
constexpr auto kHandoverTimeout = seconds(1);

}  // namespace

RandomLosses::RandomLosses(uint64_t seed, Settings settings)
    : random(seed),
      group(seed, settings.voter_count, settings.voter_count + settings.spare_host_count,
            kDataCentreCount),
      losses_end_at(this->group.Now() + kStart) {
  this->WaitUntilComplete();
}

Duration RandomLosses::RandomDuration(Duration low, Duration high) {
  return low + Duration(this->random() % (static_cast<uint64_t>((high - low).count()) + 1));
}

void RandomLosses::RecordFailure(const std::string& text) {
  if (this->first_failure.empty()) {
    this->first_failure = this->history + text + "\n" + this->group.Describe();
  }
}

void RandomLosses::Run(Duration duration) {
  const base::TimePoint end = this->group.Now() + duration;
  while (this->group.Now() < end) {
    while (!this->ends.empty() && this->ends.begin()->first <= this->group.Now()) {
      const std::function<void()> end_fault = this->ends.begin()->second;
      this->ends.erase(this->ends.begin());
      end_fault();
    }
    this->group.Run(milliseconds(25));
  }
}

void RandomLosses::EndAfter(Duration delay, std::function<void()> end) {
  this->ends.emplace(this->group.Now() + delay, std::move(end));
  this->losses_end_at = std::max(this->losses_end_at, this->group.Now() + delay + kCatchUpTime);
}

void RandomLosses::WaitUntilComplete() {
  // Losses that are due meanwhile move the end.
  while (this->group.Now() < this->losses_end_at) {
    this->Run(this->losses_end_at - this->group.Now());
  }
  if (!this->group.IsComplete(true)) {
    this->RecordFailure("the group can't bear the next loss");
  }
}

size_t RandomLosses::ChooseVictim(uint32_t event) {
  const size_t leader = this->group.Leader();
  if (event % 3 == 0 && leader != GroupSimulation::kNoHost) {
    return leader;
  }
  std::vector<size_t> running;
  for (size_t host = 0; host < this->group.host_count(); ++host) {
    if (this->group.IsRunning(host)) {
      running.push_back(host);
    }
  }
  return running.empty() ? GroupSimulation::kNoHost : running[event / 3 % running.size()];
}

void RandomLosses::ApplyEvent(uint32_t event) {
  const auto kind = static_cast<Kind>(event % kKindCount);
  const bool loses_disk =
      kind == Kind::kReplace || kind == Kind::kReplaceAsPlanned || kind == Kind::kLoseDisk;
  if (loses_disk) {
    this->WaitUntilComplete();
  }
  const size_t victim = this->ChooseVictim(event / kKindCount);
  if (victim == GroupSimulation::kNoHost) {
    this->Run(seconds(1));
    return;
  }
  this->history += fmt::format("kind {} host {} at {} ms\n", event % kKindCount, victim,
                               this->group.Now().time_since_epoch() / milliseconds(1));
  if (loses_disk) {
    this->LoseForGood(kind, victim);
  } else {
    this->Disturb(kind, victim);
  }
  this->Run(this->RandomDuration(milliseconds(0), milliseconds(1500)));
  (void)this->group.Commit(milliseconds(200));
}

void RandomLosses::LoseForGood(Kind kind, size_t victim) {
  const base::DataCentreId data_centre = this->group.data_centre(victim);
  if (kind == Kind::kReplaceAsPlanned) {
    this->StopAsPlanned(victim);
  } else if (kind == Kind::kLoseDisk) {
    this->group.LoseDisk(victim);
    this->EndAfter(this->RandomDuration(milliseconds(100), seconds(3)),
                   [this, victim] { this->group.Restart(victim); });
  } else {
    this->group.RemoveForGood(victim);
    if (this->random() % 4 == 0) {
      this->ends.emplace(this->group.Now() + kAddressReuseDelay,
                         [this, victim] { this->group.ReuseAddress(victim); });
    }
    this->StartSuccessorLater(data_centre);
  }
}

void RandomLosses::StartSuccessorLater(const base::DataCentreId& data_centre) {
  const bool is_lost_again = this->random() % 4 == 0;
  const Duration lifetime = this->RandomDuration(milliseconds(50), kCatchUpTime);
  this->EndAfter(this->RandomDuration(milliseconds(100), seconds(3)),
                 [this, data_centre, is_lost_again, lifetime] {
                   const size_t successor = this->group.AddHost(data_centre);
                   if (is_lost_again) {
                     this->EndAfter(lifetime, [this, data_centre, successor] {
                       this->group.RemoveForGood(successor);
                       this->StartSuccessorLater(data_centre);
                     });
                   }
                 });
}

void RandomLosses::StopAsPlanned(size_t victim) {
  this->group.AddHost(this->group.data_centre(victim));
  this->Run(kCatchUpTime);
  const base::TimePoint drained_at =
      this->group.Now() + this->RandomDuration(milliseconds(0), kMaximumDrainTime);
  const base::TimePoint deadline = drained_at + kHandoverTimeout;
  do {
    this->group.AnnounceStop(victim);
    this->Run(milliseconds(25));
  } while (this->group.Now() < drained_at ||
           (this->group.IsVoteHandoverPending(victim) && this->group.Now() < deadline));
  this->group.RemoveForGood(victim);
  // The successor has had its time, so the next loss is allowed at once.
  this->WaitUntilComplete();
}

void RandomLosses::Disturb(Kind kind, size_t victim) {
  const Duration length = this->RandomDuration(milliseconds(200), seconds(6));
  switch (kind) {
    case Kind::kFreeze:
      this->group.SetFrozen(victim, true);
      this->EndAfter(length, [this, victim] { this->group.SetFrozen(victim, false); });
      return;
    case Kind::kCutOff: {
      const bool is_data_centre_lost = this->random() % 2 == 0;
      for (size_t host = 0; host < this->group.host_count(); ++host) {
        const bool is_nearby = this->group.data_centre(host) == this->group.data_centre(victim);
        if (host == victim || (is_data_centre_lost && is_nearby)) {
          this->group.SetCutOff(host, true);
          this->EndAfter(length, [this, host] { this->group.SetCutOff(host, false); });
        }
      }
      return;
    }
    case Kind::kSlowDisk:
      this->group.SetDiskDelay(victim, milliseconds(200));
      this->EndAfter(length, [this, victim] { this->group.SetDiskDelay(victim, milliseconds(0)); });
      return;
    case Kind::kSplit:
      this->group.Split({victim, (victim + 1) % this->group.host_count()});
      this->EndAfter(length, [this] { this->group.Split({}); });
      return;
    case Kind::kRestartAll:
      for (size_t host = 0; host < this->group.host_count(); ++host) {
        if (this->group.IsRunning(host)) {
          this->group.Kill(host);
          this->EndAfter(this->RandomDuration(milliseconds(50), seconds(1)),
                         [this, host] { this->group.Restart(host); });
        }
      }
      return;
    default:
      this->group.Kill(victim);
      this->EndAfter(length, [this, victim] { this->group.Restart(victim); });
      return;
  }
}

void RandomLosses::OrderEvacuation(uint32_t event) {
  EvacuationOrder order;
  order.kind = event % 2 == 0 ? EvacuationOrder::Kind::kStart : EvacuationOrder::Kind::kFinish;
  order.data_centre = base::DataCentreId(fmt::format("dc{}", event / 2 % kDataCentreCount));
  const bool is_committed = this->group.OrderEvacuation(order, milliseconds(100) * (event / 8 % 5));
  this->history += fmt::format("{} {} {}\n", EvacuationOrder::KindName(order.kind),
                               order.data_centre.value(), is_committed ? "acknowledged" : "sent");
}

bool RandomLosses::Finish() {
  this->WaitUntilComplete();
  if (!this->group.Commit(seconds(2))) {
    this->RecordFailure("nothing can be committed");
  }
  if (!this->group.KeepsCommittedCommands()) {
    this->RecordFailure("a committed command is lost");
  }
  const std::string evacuation_violation = this->group.EvacuationViolation();
  if (!evacuation_violation.empty()) {
    this->RecordFailure(evacuation_violation);
  }
  return this->first_failure.empty();
}

}  // namespace sapphirecrank::cluster
