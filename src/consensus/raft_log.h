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

/// The part of the replicated log that is in memory: the entries after a base position.
///
/// Thread safety: none.
class RaftLog {
 public:
  /// Creates a log whose base is the entry `index` of `term`, under `membership`.
  RaftLog(base::LogIndex index, base::Term term, const RaftMembership& membership);

  /// Returns the position in front of the first entry.
  base::LogIndex base_index() const { return this->base_entry_index; }
  base::LogIndex last_index() const;
  base::Term last_term() const;

  /// Returns the term of an entry or of the base, or nothing if it is not in memory.
  std::optional<base::Term> TermAt(base::LogIndex index) const;

  /// Returns an entry. Precondition: `base_index()` < `index` <= `last_index()`.
  const LogEntry& EntryAt(base::LogIndex index) const;

  /// Adds an entry. Precondition: its index follows `last_index()`.
  void Append(LogEntry entry);

  /// Drops the entries from `index` on. Precondition: `index` > `base_index()`.
  void TruncateFrom(base::LogIndex index);

  /// Returns entries from `index` on, at most `limit` bytes but at least one entry if there is any.
  std::vector<LogEntry> EntriesUpToSize(base::LogIndex index, base::ByteCount limit) const;

  /// Returns all entries from `index` on. Precondition: `index` > `base_index()`.
  std::vector<LogEntry> EntriesFrom(base::LogIndex index) const;

  /// Drops the entries up to `index`, which becomes the base. Precondition: it is in memory.
  void CompactTo(base::LogIndex index);

  /// Returns the latest membership in the log, committed or not.
  const RaftMembership& membership() const { return this->memberships.rbegin()->second; }

  /// Returns the position of the latest membership.
  base::LogIndex membership_index() const { return this->memberships.rbegin()->first; }

  /// Returns the membership after entry `index`. Precondition: `index` >= `base_index()`.
  const RaftMembership& MembershipAt(base::LogIndex index) const;

 private:
  size_t OffsetOf(base::LogIndex index) const;

  base::LogIndex base_entry_index;
  base::Term base_term;
  std::deque<LogEntry> entries;
  // By the index of the entry that carries it; the first one holds at the base.
  std::map<base::LogIndex, RaftMembership> memberships;
};

}  // namespace sapphirecrank::consensus
