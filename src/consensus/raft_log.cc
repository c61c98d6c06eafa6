#include "consensus/raft_log.h"

#include <cassert>
#include <iterator>
#include <utility>

namespace sapphirecrank::consensus {

using base::LogIndex;
using base::Term;

RaftLog::RaftLog(LogIndex index, Term term, const RaftMembership& membership)
    : base_entry_index(index), base_term(term) {
  this->memberships[index] = membership;
}

LogIndex RaftLog::last_index() const {
  return this->base_entry_index + LogIndex(this->entries.size());
}

Term RaftLog::last_term() const {
  return this->entries.empty() ? this->base_term : this->entries.back().term;
}

std::optional<Term> RaftLog::TermAt(LogIndex index) const {
  if (index == this->base_entry_index) {
    return this->base_term;
  }
  if (index < this->base_entry_index || index > this->last_index()) {
    return std::nullopt;
  }
  return this->EntryAt(index).term;
}

const LogEntry& RaftLog::EntryAt(LogIndex index) const {
  assert(index > this->base_entry_index && index <= this->last_index());
  return this->entries[this->OffsetOf(index)];
}

void RaftLog::Append(LogEntry entry) {
  assert(entry.index == this->last_index().Next());
  if (entry.kind == LogEntry::Kind::kMembership) {
    this->memberships[entry.index] = entry.membership;
  }
  this->entries.push_back(std::move(entry));
}

void RaftLog::TruncateFrom(LogIndex index) {
  assert(index > this->base_entry_index);
  if (index > this->last_index()) {
    return;
  }
  this->entries.resize(this->OffsetOf(index));
  this->memberships.erase(this->memberships.lower_bound(index), this->memberships.end());
}

std::vector<LogEntry> RaftLog::EntriesUpToSize(LogIndex index, base::ByteCount limit) const {
  // Estimated size of an encoded entry without its command.
  constexpr size_t kEntryOverheadBytes = 32;
  std::vector<LogEntry> slice;
  size_t bytes = 0;
  for (size_t i = this->OffsetOf(index); i < this->entries.size(); ++i) {
    bytes += kEntryOverheadBytes + this->entries[i].command.size();
    if (!slice.empty() && bytes > static_cast<size_t>(limit.value())) {
      break;
    }
    slice.push_back(this->entries[i]);
  }
  return slice;
}

std::vector<LogEntry> RaftLog::EntriesFrom(LogIndex index) const {
  if (index > this->last_index()) {
    return {};
  }
  auto first = this->entries.begin() + static_cast<std::ptrdiff_t>(this->OffsetOf(index));
  return std::vector<LogEntry>(first, this->entries.end());
}

base::ByteCount RaftLog::SizeFrom(LogIndex index) const {
  assert(index > this->base_entry_index);
  base::ByteCount size;
  for (LogIndex next = index; next <= this->last_index(); next = next.Next()) {
    size += base::ByteCount(static_cast<int64_t>(this->EntryAt(next).command.size()));
  }
  return size;
}

void RaftLog::CompactTo(LogIndex index) {
  assert(index <= this->last_index());
  if (index <= this->base_entry_index) {
    return;
  }
  RaftMembership membership = this->MembershipAt(index);
  this->base_term = this->EntryAt(index).term;
  auto last = this->entries.begin() + static_cast<std::ptrdiff_t>(this->OffsetOf(index)) + 1;
  this->entries.erase(this->entries.begin(), last);
  this->base_entry_index = index;
  this->memberships.erase(this->memberships.begin(), this->memberships.upper_bound(index));
  this->memberships[index] = std::move(membership);
}

const RaftMembership& RaftLog::MembershipAt(LogIndex index) const {
  return std::prev(this->memberships.upper_bound(index))->second;
}

size_t RaftLog::OffsetOf(LogIndex index) const {
  return static_cast<size_t>(index.value() - this->base_entry_index.value() - 1);
}

}  // namespace sapphirecrank::consensus
