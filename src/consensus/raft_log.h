#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/units.h"
#include "consensus/log_entry.h"
#include "consensus/raft_membership.h"

namespace sapphirecrank::consensus {

/// The part of the replicated log that is in memory: the entries after a base index.
///
/// Thread safety: none.
class RaftLog {
 public:
  /// Creates an empty log after the entry `index` of `term`. `membership` applies at that entry.
  RaftLog(base::LogIndex index, base::Term term, const RaftMembership& membership);

  /// Returns the index of the entry before the first one in memory.
  base::LogIndex base_index() const { return this->base_entry_index; }
  /// Returns the index of the last entry, or of the base if there are no entries.
  base::LogIndex last_index() const;
  /// Returns the term of the last entry, or of the base if there are no entries.
  base::Term last_term() const;

  /// Returns the term of the entry at `index`, which may be the base; none if it is not in memory.
  std::optional<base::Term> TermAt(base::LogIndex index) const;

  /// Returns the entry at `index`. Precondition: `base_index()` < `index` <= `last_index()`.
  const LogEntry& EntryAt(base::LogIndex index) const;

  /// Appends an entry. Precondition: its index follows `last_index()`.
  void Append(LogEntry entry);

  /// Removes the entries from `index` on. Precondition: `index` > `base_index()`.
  void TruncateFrom(base::LogIndex index);

  /// Returns entries from `index` on with a total size of about `limit` at most, but at least one
  /// entry if there is any. Precondition: `index` > `base_index()`.
  std::vector<LogEntry> EntriesUpToSize(base::LogIndex index, base::ByteCount limit) const;

  /// Returns all entries from `index` on. Precondition: `index` > `base_index()`.
  std::vector<LogEntry> EntriesFrom(base::LogIndex index) const;

  /// Returns the size of the commands in the entries from `index` on. Precondition: `index` >
  /// `base_index()`.
  base::ByteCount SizeFrom(base::LogIndex index) const;

  /// Removes the entries up to `index`, which becomes the base. Does nothing if `index` is at or
  /// before the base. Precondition: `index` <= `last_index()`.
  void CompactTo(base::LogIndex index);

  /// Returns the latest membership in the log, committed or not.
  const RaftMembership& membership() const { return this->memberships.rbegin()->second; }

  /// Returns the index of the entry with the latest membership, or of the base.
  base::LogIndex membership_index() const { return this->memberships.rbegin()->first; }

  /// Returns the membership that applies at entry `index`. Precondition: `index` >= `base_index()`.
  const RaftMembership& MembershipAt(base::LogIndex index) const;

 private:
  size_t OffsetOf(base::LogIndex index) const;

  base::LogIndex base_entry_index;
  base::Term base_term;
  std::deque<LogEntry> entries;
  // Memberships by the index of the entry that carries them; the first one applies at the base.
  std::map<base::LogIndex, RaftMembership> memberships;
};

}  // namespace sapphirecrank::consensus
