#include "consensus/raft_encoding.h"

#include <set>

namespace sapphirecrank::consensus {
namespace {

using base::HostId;
using storage::ByteReader;
using storage::ByteWriter;

// Set in the number of voters if outgoing voters follow. Earlier program versions, which can't read
// such a membership, never wrote it.
constexpr uint32_t kHasOutgoingVoters = 1U << 31U;

void WriteNames(ByteWriter& writer, const std::set<HostId>& hosts) {
  for (const HostId& host : hosts) {
    writer.WriteString(host.value());
  }
}

void WriteHosts(ByteWriter& writer, const std::set<HostId>& hosts) {
  writer.WriteU32(static_cast<uint32_t>(hosts.size()));
  WriteNames(writer, hosts);
}

std::set<HostId> ReadHosts(ByteReader& reader, uint32_t count) {
  std::set<HostId> hosts;
  for (uint32_t i = 0; i < count && reader.ok(); ++i) {
    hosts.insert(HostId(reader.ReadString()));
  }
  return hosts;
}

}  // namespace

void RaftEncoding::Write(ByteWriter& writer, const RaftMembership& membership) {
  const bool has_outgoing_voters = !membership.outgoing_voters.empty();
  writer.WriteU32(static_cast<uint32_t>(membership.voters.size()) |
                  (has_outgoing_voters ? kHasOutgoingVoters : 0));
  WriteNames(writer, membership.voters);
  WriteHosts(writer, membership.learners);
  if (has_outgoing_voters) {
    WriteHosts(writer, membership.outgoing_voters);
  }
}

void RaftEncoding::Write(ByteWriter& writer, const LogEntry& entry) {
  writer.WriteU64(entry.index.value());
  writer.WriteU64(entry.term.value());
  writer.WriteU32(static_cast<uint32_t>(entry.kind));
  writer.WriteString(entry.command);
  if (entry.kind == LogEntry::Kind::kMembership) {
    Write(writer, entry.membership);
  }
}

void RaftEncoding::Write(ByteWriter& writer, const HardState& state) {
  writer.WriteU64(state.term.value());
  writer.WriteString(state.voted_for.value());
}

void RaftEncoding::Write(ByteWriter& writer, const RaftSnapshot& snapshot) {
  writer.WriteU64(snapshot.index.value());
  writer.WriteU64(snapshot.term.value());
  Write(writer, snapshot.membership);
  writer.WriteString(snapshot.state);
}

RaftMembership RaftEncoding::ReadMembership(ByteReader& reader) {
  RaftMembership membership;
  const uint32_t voter_count = reader.ReadU32();
  membership.voters = ReadHosts(reader, voter_count & ~kHasOutgoingVoters);
  membership.learners = ReadHosts(reader, reader.ReadU32());
  if ((voter_count & kHasOutgoingVoters) != 0) {
    membership.outgoing_voters = ReadHosts(reader, reader.ReadU32());
  }
  return membership;
}

LogEntry RaftEncoding::ReadEntry(ByteReader& reader) {
  LogEntry entry;
  entry.index = base::LogIndex(reader.ReadU64());
  entry.term = base::Term(reader.ReadU64());
  entry.kind = static_cast<LogEntry::Kind>(reader.ReadU32());
  entry.command = reader.ReadString();
  if (entry.kind == LogEntry::Kind::kMembership) {
    entry.membership = ReadMembership(reader);
  }
  return entry;
}

HardState RaftEncoding::ReadHardState(ByteReader& reader) {
  HardState state;
  state.term = base::Term(reader.ReadU64());
  state.voted_for = HostId(reader.ReadString());
  return state;
}

RaftSnapshot RaftEncoding::ReadSnapshot(ByteReader& reader) {
  RaftSnapshot snapshot;
  snapshot.index = base::LogIndex(reader.ReadU64());
  snapshot.term = base::Term(reader.ReadU64());
  snapshot.membership = ReadMembership(reader);
  snapshot.state = reader.ReadString();
  return snapshot;
}

}  // namespace sapphirecrank::consensus
