#include "runs/unplaceable_sizes.h"

#include <algorithm>

namespace sapphirecrank::runs {

using base::Resources;

void UnplaceableSizes::Add(const Resources& size) {
  if (this->Includes(size)) {
    return;
  }
  this->smallest_sizes.erase(
      std::remove_if(this->smallest_sizes.begin(), this->smallest_sizes.end(),
                     [&size](const Resources& larger) { return larger.CanFit(size); }),
      this->smallest_sizes.end());
  this->smallest_sizes.push_back(size);
}

bool UnplaceableSizes::Includes(const Resources& size) const {
  return std::any_of(this->smallest_sizes.begin(), this->smallest_sizes.end(),
                     [&size](const Resources& smaller) { return size.CanFit(smaller); });
}

}  // namespace sapphirecrank::runs
