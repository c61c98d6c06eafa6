#include "consensus/snapshot_receiver.h"

#include <utility>

namespace sapphirecrank::consensus {

std::optional<RaftSnapshot> SnapshotReceiver::AddChunk(base::Term term,
                                                       const SnapshotChunk& chunk) {
  if (term != this->sender_term || chunk.index != this->partial_snapshot.index) {
    this->sender_term = term;
    this->partial_snapshot = RaftSnapshot{chunk.index, chunk.term, chunk.membership, ""};
  }
  if (chunk.offset != this->received_bytes()) {
    return std::nullopt;
  }
  this->partial_snapshot.state += chunk.bytes;
  if (!chunk.is_last) {
    return std::nullopt;
  }
  this->sender_term = base::Term();
  return std::exchange(this->partial_snapshot, RaftSnapshot());
}

}  // namespace sapphirecrank::consensus
