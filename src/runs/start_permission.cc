#include "runs/start_permission.h"

#include <utility>

namespace sapphirecrank::runs {

void StartPermission::SetEvacuatedDataCentres(std::set<base::DataCentreId> data_centres) {
  this->evacuated = std::move(data_centres);
}

void StartPermission::AllowUntil(base::TimePoint until) { this->allowed_until = until; }

bool StartPermission::AllowsStartsAt(base::TimePoint now) const {
  return !this->allowed_until || now <= *this->allowed_until;
}

bool StartPermission::IsEvacuated(const base::DataCentreId& data_centre) const {
  return this->evacuated.count(data_centre) > 0;
}

bool StartPermission::IsRestrictedAt(base::TimePoint now) const {
  return !this->evacuated.empty() || !this->AllowsStartsAt(now);
}

}  // namespace sapphirecrank::runs
