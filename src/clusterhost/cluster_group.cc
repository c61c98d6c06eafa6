#include "clusterhost/cluster_group.h"

#include <fmt/format.h>

#include <random>
#include <utility>

#include "cluster/member_name.h"
#include "consensus/raft_disk.h"
#include "consensus/raft_node.h"
#include "storage/posix_file_system.h"
#include "storage/snapshot_file.h"

namespace sapphirecrank::clusterhost {

using base::Duration;
using base::HostId;
using base::TimePoint;
using cluster::ClusterView;
using cluster::MemberName;
using consensus::LogEntry;

namespace {

// Name of the disks with which a cluster starts for the first time: the seeds know each other's
// names in the group by their addresses alone.
constexpr const char* kFirstStore = "first";
constexpr Duration kJoinInterval = std::chrono::seconds(1);
// Operators turn to another host after a second.
constexpr Duration kAnswerLimit = std::chrono::milliseconds(900);

Duration RandomDuration(Duration low, Duration high) {
  thread_local std::mt19937_64 generator{std::random_device()()};
  return Duration(
      std::uniform_int_distribution<Duration::rep>(low.count(), high.count())(generator));
}

}  // namespace

ClusterGroup::ClusterGroup(Settings settings, Hooks hooks)
    : settings(std::move(settings)),
      hooks(std::move(hooks)),
      state({this->hooks.now, [this] { return this->LiveMembers(); },
             [this] { return this->node->HasLease(); },
             [this](const std::string& command) {
               // A proposal that isn't accepted is made again after a while.
               (void)this->node->Propose(command);
             },
             [this] { this->hooks.on_change(this->state.configuration(), this->state.view()); }}),
      planner(this->settings.voters, this->settings.replace_after),
      thread(std::make_unique<base::WorkerPool>("cluster-group", 1)) {}

ClusterGroup::~ClusterGroup() { this->Stop(); }

base::Result<std::string> ClusterGroup::LoadStoreName() {
  storage::SnapshotFile file(storage::PosixFileSystem(), this->settings.data_folder, "store");
  auto stored = file.Load();
  if (!stored) {
    return tl::make_unexpected(stored.error());
  }
  if (*stored) {
    return **stored;
  }
  std::string name = kFirstStore;
  if (!this->settings.bootstrap) {
    std::random_device device;
    name = fmt::format("{:08x}{:08x}", device(), device());
  }
  const auto saved = file.Save(name);
  if (!saved) {
    return tl::make_unexpected(saved.error());
  }
  return name;
}

base::Result<void> ClusterGroup::Open() {
  const auto store = this->LoadStoreName();
  if (!store) {
    return tl::make_unexpected(store.error());
  }
  this->member = MemberName::Of(this->settings.self, *store);
  consensus::RaftMembership first;
  if (*store == kFirstStore) {
    for (const HostId& seed : this->settings.seeds) {
      first.voters.insert(MemberName::Of(seed, kFirstStore));
    }
  }
  auto opened = consensus::RaftDisk::Open(storage::PosixFileSystem(),
                                          this->settings.data_folder + "/group", first);
  if (!opened) {
    return tl::make_unexpected(opened.error());
  }
  this->disk = std::move(*opened);
  consensus::RaftNode::Hooks node_hooks;
  node_hooks.now = this->hooks.now;
  node_hooks.random_duration = RandomDuration;
  node_hooks.send = this->hooks.send;
  node_hooks.storage = this->disk->Storage();
  node_hooks.apply = [this](const LogEntry& entry) { this->Apply(entry); };
  node_hooks.take_snapshot = [this] { return this->state.TakeSnapshot(); };
  node_hooks.restore = [this](const consensus::RaftSnapshot& snapshot) {
    this->state.Restore(snapshot.state);
  };
  this->node = std::make_unique<consensus::RaftNode>(
      this->member, this->settings.incarnation, consensus::RaftSettings(), this->disk->recovered(),
      std::move(node_hooks));
  return {};
}

void ClusterGroup::Receive(const consensus::RaftMessage& message) {
  this->Run([this, message] {
    this->node->Receive(message);
    this->Step();
  });
}

void ClusterGroup::OnJoinRequest(const HostId& joining) {
  this->Run([this, joining] { this->planner.OnJoinRequest(joining, this->hooks.now()); });
}

void ClusterGroup::Tick() {
  this->Run([this] {
    this->node->Tick();
    this->state.Tick();
    this->ChangeMembership();
    this->Step();
    this->AnswerPuts();
    this->AnswerReads();
  });
}

void ClusterGroup::Put(cluster::ConfigurationRecord record, OnPut on_put) {
  this->Run([this, record = std::move(record), on_put = std::move(on_put)] {
    if (record.version <= this->state.configuration().version) {
      on_put(PutOutcome::kAcknowledged);
      return;
    }
    const auto index = this->node->Propose(cluster::ClusterState::CommandFor(record));
    if (!index) {
      on_put(this->leader.empty() ? PutOutcome::kUnknown : PutOutcome::kNotLeader);
      return;
    }
    this->puts[*index] = {this->node->Status().term, this->hooks.now() + kAnswerLimit, on_put};
    this->Step();
  });
}

void ClusterGroup::Read(OnRead on_read) {
  this->Run([this, on_read = std::move(on_read)] {
    this->reads.push_back({this->hooks.now(), on_read});
  });
}

void ClusterGroup::Leave() {
  this->Run([this] {
    this->node->TransferLeadership();
    this->Step();
  });
}

void ClusterGroup::Stop() { this->thread.reset(); }

void ClusterGroup::Run(std::function<void()> function) {
  if (this->thread != nullptr) {
    this->thread->Run(0, std::move(function));
  }
}

void ClusterGroup::Step() {
  this->node->Flush();
  if (std::exchange(this->has_changed, false)) {
    this->hooks.on_change(this->state.configuration(), this->state.view());
  }
  const HostId now_leading = MemberName::HostOf(this->node->Status().leader);
  if (now_leading != this->leader) {
    this->leader = now_leading;
    this->hooks.on_leader(this->leader);
  }
}

void ClusterGroup::Apply(const LogEntry& entry) {
  if (entry.kind == LogEntry::Kind::kCommand) {
    this->state.Apply(entry.command);
  }
  auto put = this->puts.find(entry.index);
  if (put == this->puts.end()) {
    return;
  }
  // Another term at this index means that another leader replaced the entry.
  put->second.on_put(put->second.term == entry.term ? PutOutcome::kAcknowledged
                                                    : PutOutcome::kUnknown);
  this->puts.erase(put);
}

void ClusterGroup::ChangeMembership() {
  const consensus::RaftStatus status = this->node->Status();
  const bool is_member = status.membership.voters.count(this->member) > 0 ||
                         status.membership.learners.count(this->member) > 0;
  const TimePoint now = this->hooks.now();
  if (!is_member && now >= this->next_join) {
    this->next_join = now + kJoinInterval;
    this->hooks.ask_to_join(this->member);
  }
  if (!this->node->HasLease()) {
    return;
  }
  const auto change = this->planner.Next(status.membership, now, this->hooks.is_up);
  if (change) {
    // A step that can't be taken yet is planned again at the next tick.
    (void)this->node->ChangeMembership(*change);
  }
}

void ClusterGroup::AnswerPuts() {
  const TimePoint now = this->hooks.now();
  for (auto put = this->puts.begin(); put != this->puts.end();) {
    if (now < put->second.deadline) {
      ++put;
      continue;
    }
    put->second.on_put(PutOutcome::kUnknown);
    put = this->puts.erase(put);
  }
}

void ClusterGroup::AnswerReads() {
  const TimePoint now = this->hooks.now();
  const TimePoint current = this->node->Status().current_as_of;
  std::vector<PendingRead> waiting;
  for (PendingRead& read : this->reads) {
    if (current >= read.asked && this->state.configuration().version != base::Version()) {
      read.on_read(this->state.configuration());
    } else if (now - read.asked >= kAnswerLimit) {
      read.on_read(std::nullopt);
    } else {
      waiting.push_back(std::move(read));
    }
  }
  this->reads = std::move(waiting);
}

std::vector<ClusterView::Member> ClusterGroup::LiveMembers() const {
  const consensus::RaftMembership membership = this->node->Status().membership;
  std::vector<ClusterView::Member> live;
  const auto add = [this, &live](const HostId& name) {
    auto found = this->hooks.live_member(MemberName::HostOf(name));
    if (found) {
      live.push_back(std::move(*found));
    }
  };
  for (const HostId& voter : membership.voters) {
    add(voter);
  }
  for (const HostId& learner : membership.learners) {
    add(learner);
  }
  return live;
}

}  // namespace sapphirecrank::clusterhost
