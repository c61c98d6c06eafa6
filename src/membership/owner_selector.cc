#include "membership/owner_selector.h"

#include <cstdint>
#include <utility>

#include "base/rendezvous_hash.h"
#include "membership/view.h"

namespace sapphirecrank::membership {

using base::HostId;

namespace {

// Members with equal scores are ordered by host id. A null host id ranks lowest.
using ScoredMember = std::pair<uint64_t, const HostId*>;

bool IsRankedHigher(const ScoredMember& a, const ScoredMember& b) {
  if (b.second == nullptr || a.first != b.first) {
    return b.second == nullptr || a.first > b.first;
  }
  return *a.second < *b.second;
}

}  // namespace

Owners OwnerSelector::SelectOwners(const View& view, std::string_view key) {
  ScoredMember first{0, nullptr};
  ScoredMember second{0, nullptr};
  for (const HostId& member : view.members) {
    const ScoredMember scored_member{base::RendezvousScore(member.value(), key), &member};
    if (IsRankedHigher(scored_member, first)) {
      second = std::exchange(first, scored_member);
    } else if (IsRankedHigher(scored_member, second)) {
      second = scored_member;
    }
  }
  Owners owners;
  if (first.second != nullptr) {
    owners.owner = *first.second;
  }
  if (second.second != nullptr) {
    owners.backup = *second.second;
  }
  return owners;
}

bool OwnerSelector::IsOwner(const View& view, const HostId& host, std::string_view key) {
  return SelectOwners(view, key).owner == host;
}

}  // namespace sapphirecrank::membership
