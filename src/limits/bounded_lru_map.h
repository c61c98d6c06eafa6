#pragma once

#include <cstddef>
#include <list>
#include <unordered_map>
#include <utility>

namespace sapphirecrank::limits {

/// Map with a fixed capacity that evicts the least recently used entry.
///
/// Thread safety: none; the owner holds a lock.
template <typename Key, typename Value>
class BoundedLruMap {
 public:
  /// Creates an empty map. Precondition: `capacity` > 0.
  explicit BoundedLruMap(size_t capacity) : capacity(capacity) {}

  /// Returns the value of `key` and marks it as the most recently used; null if it is not in the
  /// map.
  Value* Find(const Key& key) {
    auto found = this->positions.find(key);
    if (found == this->positions.end()) {
      return nullptr;
    }
    this->entries.splice(this->entries.begin(), this->entries, found->second);
    return &found->second->second;
  }

  /// Adds `key` as the most recently used entry and returns its value. If the map is full, evicts
  /// the least recently used entry first. Precondition: `key` is not in the map.
  Value* Insert(const Key& key, Value value) {
    if (this->IsFull()) {
      this->positions.erase(this->entries.back().first);
      this->entries.pop_back();
    }
    this->entries.emplace_front(key, std::move(value));
    this->positions.emplace(key, this->entries.begin());
    return &this->entries.front().second;
  }

  /// Returns the least recently used value. Precondition: the map is not empty.
  const Value& LeastRecentlyUsed() const { return this->entries.back().second; }

  /// Returns whether the next `Insert` evicts an entry.
  bool IsFull() const { return this->entries.size() == this->capacity; }

  /// Returns the number of entries.
  size_t size() const { return this->entries.size(); }

 private:
  using Entries = std::list<std::pair<Key, Value>>;

  size_t capacity;
  // Most recently used first.
  Entries entries;
  std::unordered_map<Key, typename Entries::iterator> positions;
};

}  // namespace sapphirecrank::limits
