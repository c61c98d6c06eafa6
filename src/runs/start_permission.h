#pragma once

#include <optional>
#include <set>

#include "base/ids.h"
#include "base/time.h"

namespace sapphirecrank::runs {

/// Where and until when this host may start runs. Says nothing about single targets.
///
/// Thread safety: none.
class StartPermission {
 public:
  /// Forbids starts in `data_centres`, and allows them in all others.
  void SetEvacuatedDataCentres(std::set<base::DataCentreId> data_centres);

  /// Forbids starts later than `until`. Unlimited before the first call.
  void AllowUntil(base::TimePoint until);

  /// Tells whether any start is allowed at `now`. Thread safety: pure, as for the methods below.
  bool AllowsStartsAt(base::TimePoint now) const;

  /// Tells whether starts are forbidden in `data_centre`.
  bool IsEvacuated(const base::DataCentreId& data_centre) const;

  /// Tells whether starts are forbidden at `now` in any data centre.
  bool IsRestrictedAt(base::TimePoint now) const;

  const std::set<base::DataCentreId>& evacuated_data_centres() const { return this->evacuated; }

 private:
  std::set<base::DataCentreId> evacuated;
  std::optional<base::TimePoint> allowed_until;
};

}  // namespace sapphirecrank::runs
