#pragma once

#include "consensus/hard_state.h"
#include "consensus/log_entry.h"
#include "consensus/raft_membership.h"
#include "consensus/raft_snapshot.h"
#include "storage/byte_reader.h"
#include "storage/byte_writer.h"

namespace sapphirecrank::consensus {

/// Binary encoding of Raft state in the files of `RaftDiskStorage`. After a `Read` function, the
/// reader's `ok()` is false if the bytes ended too early. Thread safety: pure.
struct RaftEncoding {
  static void Write(storage::ByteWriter& writer, const RaftMembership& membership);
  static void Write(storage::ByteWriter& writer, const LogEntry& entry);
  static void Write(storage::ByteWriter& writer, const HardState& state);
  static void Write(storage::ByteWriter& writer, const RaftSnapshot& snapshot);

  static RaftMembership ReadMembership(storage::ByteReader& reader);
  static LogEntry ReadEntry(storage::ByteReader& reader);
  static HardState ReadHardState(storage::ByteReader& reader);
  static RaftSnapshot ReadSnapshot(storage::ByteReader& reader);
};

}  // namespace sapphirecrank::consensus
