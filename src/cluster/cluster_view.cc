#include "cluster/cluster_view.h"

#include "base/rendezvous_hash.h"

namespace sapphirecrank::cluster {

const ClusterView::Member* ClusterView::FindOwner(const base::TargetId& target,
                                                  const base::DataCentreId& data_centre) const {
  const Member* owner = nullptr;
  uint64_t best = 0;
  bool is_near = false;
  for (const Member& member : this->members) {
    const bool near = member.data_centre == data_centre;
    const uint64_t score = base::RendezvousScore(member.host.value(), target.value());
    if (owner == nullptr || (near && !is_near) || (near == is_near && score > best)) {
      owner = &member;
      best = score;
      is_near = near;
    }
  }
  return owner;
}

}  // namespace sapphirecrank::cluster
