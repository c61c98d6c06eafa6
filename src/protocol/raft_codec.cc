#include "protocol/raft_codec.h"

#include <set>
#include <utility>

#include "protocol/json_fields.h"

namespace sapphirecrank::protocol {

using consensus::AppendRequest;
using consensus::AppendResponse;
using consensus::FreshnessToken;
using consensus::LogEntry;
using consensus::RaftMembership;
using consensus::RaftMessage;
using consensus::SnapshotChunk;
using consensus::SnapshotResponse;
using consensus::TimeoutNow;
using consensus::VoteRequest;
using consensus::VoteResponse;
using nlohmann::json;

namespace {

// Present only while a voter is being replaced, and never sent by earlier program versions.
constexpr const char* kOutgoingVoters = "outgoing_voters";

json EncodeHosts(const std::set<base::HostId>& hosts) {
  json array = json::array();
  for (const base::HostId& host : hosts) {
    array.push_back(ToJson(host));
  }
  return array;
}

std::set<base::HostId> DecodeHosts(FieldReader& reader, const char* name) {
  std::set<base::HostId> hosts;
  for (const json& host : reader.ReadArray(name)) {
    if (!host.is_string()) {
      reader.RecordError(name);
      break;
    }
    hosts.insert(base::HostId(host.get<std::string>()));
  }
  return hosts;
}

json EncodeMembership(const RaftMembership& membership) {
  json encoded = {{"voters", EncodeHosts(membership.voters)},
                  {"learners", EncodeHosts(membership.learners)}};
  if (!membership.outgoing_voters.empty()) {
    encoded[kOutgoingVoters] = EncodeHosts(membership.outgoing_voters);
  }
  return encoded;
}

RaftMembership DecodeMembership(FieldReader& parent, const char* name) {
  const json& encoded = parent.ReadMap(name);
  FieldReader reader(encoded);
  RaftMembership membership;
  membership.voters = DecodeHosts(reader, "voters");
  membership.learners = DecodeHosts(reader, "learners");
  if (encoded.contains(kOutgoingVoters)) {
    membership.outgoing_voters = DecodeHosts(reader, kOutgoingVoters);
  }
  if (!reader.faulty_field().empty()) {
    parent.RecordError(name);
  }
  return membership;
}

json EncodeFreshnessToken(const FreshnessToken& token) {
  return {{"incarnation", ToJson(token.incarnation)},
          {"asked", ToJson(token.issued_at.time_since_epoch())}};
}

FreshnessToken DecodeFreshnessToken(FieldReader& parent, const char* name) {
  FieldReader reader(parent.ReadMap(name));
  FreshnessToken token;
  reader.Read("incarnation", token.incarnation);
  token.issued_at = base::TimePoint(ReadDuration(reader, "asked"));
  if (!reader.faulty_field().empty()) {
    parent.RecordError(name);
  }
  return token;
}

json EncodeLogEntry(const LogEntry& entry) {
  return {{"index", ToJson(entry.index)},
          {"term", ToJson(entry.term)},
          {"kind", EnumToJson(entry.kind)},
          {"command", BytesToJson(entry.command)},
          {"membership", EncodeMembership(entry.membership)}};
}

LogEntry DecodeLogEntry(FieldReader& reader) {
  LogEntry entry;
  reader.Read("index", entry.index);
  reader.Read("term", entry.term);
  entry.kind = reader.ReadEnum("kind", LogEntry::Kind::kNoOperation);
  entry.command = reader.ReadBytes("command");
  entry.membership = DecodeMembership(reader, "membership");
  return entry;
}

json EncodeRaftBody(const VoteRequest& body) {
  return {{"pre_vote", body.pre_vote},
          {"transfer", body.is_leadership_transfer},
          {"last_index", ToJson(body.last_index)},
          {"last_term", ToJson(body.last_term)}};
}

RaftMessage::Body DecodeVoteRequest(FieldReader& reader) {
  VoteRequest body;
  body.pre_vote = reader.ReadBool("pre_vote");
  body.is_leadership_transfer = reader.ReadBool("transfer");
  reader.Read("last_index", body.last_index);
  reader.Read("last_term", body.last_term);
  return body;
}

json EncodeRaftBody(const VoteResponse& body) {
  return {{"pre_vote", body.pre_vote}, {"granted", body.granted}};
}

RaftMessage::Body DecodeVoteResponse(FieldReader& reader) {
  VoteResponse body;
  body.pre_vote = reader.ReadBool("pre_vote");
  body.granted = reader.ReadBool("granted");
  return body;
}

json EncodeRaftBody(const AppendRequest& body) {
  json entries = json::array();
  for (const LogEntry& entry : body.entries) {
    entries.push_back(EncodeLogEntry(entry));
  }
  return {{"previous_index", ToJson(body.previous_index)},
          {"previous_term", ToJson(body.previous_term)},
          {"entries", std::move(entries)},
          {"commit", ToJson(body.commit_index)},
          {"round", ToJson(body.heartbeat_round)},
          {"confirmed", EncodeFreshnessToken(body.confirmed_freshness_token)}};
}

RaftMessage::Body DecodeAppendRequest(FieldReader& reader) {
  AppendRequest body;
  reader.Read("previous_index", body.previous_index);
  reader.Read("previous_term", body.previous_term);
  body.entries = DecodeArray<LogEntry>(reader, "entries", DecodeLogEntry);
  reader.Read("commit", body.commit_index);
  reader.Read("round", body.heartbeat_round);
  body.confirmed_freshness_token = DecodeFreshnessToken(reader, "confirmed");
  return body;
}

json EncodeRaftBody(const AppendResponse& body) {
  return {{"accepted", body.accepted},
          {"index", ToJson(body.index)},
          {"durable", body.durable},
          {"round", ToJson(body.heartbeat_round)},
          {"probe", EncodeFreshnessToken(body.freshness_token)}};
}

RaftMessage::Body DecodeAppendResponse(FieldReader& reader) {
  AppendResponse body;
  body.accepted = reader.ReadBool("accepted");
  reader.Read("index", body.index);
  body.durable = reader.ReadBool("durable");
  reader.Read("round", body.heartbeat_round);
  body.freshness_token = DecodeFreshnessToken(reader, "probe");
  return body;
}

json EncodeRaftBody(const SnapshotChunk& body) {
  return {{"index", ToJson(body.index)},
          {"entry_term", ToJson(body.term)},
          {"membership", EncodeMembership(body.membership)},
          {"offset", ToJson(body.offset)},
          {"bytes", BytesToJson(body.bytes)},
          {"last", body.is_last},
          {"round", ToJson(body.heartbeat_round)}};
}

RaftMessage::Body DecodeSnapshotChunk(FieldReader& reader) {
  SnapshotChunk body;
  reader.Read("index", body.index);
  reader.Read("entry_term", body.term);
  body.membership = DecodeMembership(reader, "membership");
  reader.Read("offset", body.offset);
  body.bytes = reader.ReadBytes("bytes");
  body.is_last = reader.ReadBool("last");
  reader.Read("round", body.heartbeat_round);
  return body;
}

json EncodeRaftBody(const SnapshotResponse& body) {
  return {{"index", ToJson(body.index)},
          {"received", ToJson(body.received_bytes)},
          {"installed", body.installed},
          {"durable", body.durable},
          {"round", ToJson(body.heartbeat_round)}};
}

RaftMessage::Body DecodeSnapshotResponse(FieldReader& reader) {
  SnapshotResponse body;
  reader.Read("index", body.index);
  reader.Read("received", body.received_bytes);
  body.installed = reader.ReadBool("installed");
  body.durable = reader.ReadBool("durable");
  reader.Read("round", body.heartbeat_round);
  return body;
}

json EncodeRaftBody(const TimeoutNow& /*body*/) { return json::object(); }

RaftMessage::Body DecodeTimeoutNow(FieldReader& /*reader*/) { return TimeoutNow(); }

// The position of a decoder is the index of its alternative in `RaftMessage::Body`.
using RaftBodyDecoder = RaftMessage::Body (*)(FieldReader&);
constexpr RaftBodyDecoder kRaftBodyDecoders[] = {
    DecodeVoteRequest,   DecodeVoteResponse,     DecodeAppendRequest, DecodeAppendResponse,
    DecodeSnapshotChunk, DecodeSnapshotResponse, DecodeTimeoutNow};
constexpr int64_t kRaftBodyTypeCount = std::variant_size_v<RaftMessage::Body>;
static_assert(std::size(kRaftBodyDecoders) == kRaftBodyTypeCount);

}  // namespace

json EncodeMessage(const ConsensusMessage& message) {
  json map =
      std::visit([](const auto& body) { return EncodeRaftBody(body); }, message.raft_message.body);
  map["type"] = kConsensusMessageType;
  map["body"] = message.raft_message.body.index();
  map["from"] = ToJson(message.raft_message.from);
  map["to"] = ToJson(message.raft_message.to);
  map["term"] = ToJson(message.raft_message.term);
  return map;
}

Message DecodeConsensusMessage(FieldReader& reader) {
  ConsensusMessage message;
  reader.Read("from", message.raft_message.from);
  reader.Read("to", message.raft_message.to);
  reader.Read("term", message.raft_message.term);
  const int64_t body_type = reader.ReadInteger("body", 0, kRaftBodyTypeCount - 1);
  message.raft_message.body = kRaftBodyDecoders[body_type](reader);
  return message;
}

}  // namespace sapphirecrank::protocol
