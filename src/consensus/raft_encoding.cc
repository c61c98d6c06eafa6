#include "consensus/raft_encoding.h"

#include <set>

namespace sapphirecrank::consensus {
namespace {

using base::HostId;
using storage::ByteReader;
using storage::ByteWriter;

void WriteHosts(ByteWriter& writer, const std::set<HostId>& hosts) {
  writer.WriteU32(static_cast<uint32_t>(hosts.size()));
  for (const HostId& host : hosts) {
    writer.WriteString(host.value());
  }
}

std::set<HostId> ReadHosts(ByteReader& reader) {
  std::set<HostId> hosts;
  uint32_t count = reader.ReadU32();
  for (uint32_t i = 0; i < count && reader.ok(); ++i) {
    hosts.insert(HostId(reader.ReadString()));
  }
  return hosts;
}

}  // namespace

void RaftEncoding::Write(ByteWriter& writer, const RaftMembership& membership) {
  WriteHosts(writer, membership.voters);
  WriteHosts(writer, membership.learners);
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
  membership.voters = ReadHosts(reader);
  membership.learners = ReadHosts(reader);
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
