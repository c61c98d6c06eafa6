#include "configuration/freshness_monitor.h"

#include <CppUTest/TestHarness.h>

#include "base/manual_clock.h"
#include "configuration/configuration.h"

using sapphirecrank::base::ManualClock;
using sapphirecrank::configuration::Configuration;
using sapphirecrank::configuration::FreshnessMonitor;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(FreshnessMonitor){};

// Guards against an isolated host that continues automatic actions which an operator may have
// switched off, and against an older confirmation that replaces a newer one.
TEST(FreshnessMonitor, StaleConfigurationHasAllActionsOff) {
  ManualClock clock;
  Configuration configuration;
  FreshnessMonitor monitor(clock.AsClock());
  CHECK_FALSE(monitor.AllowedActions(configuration).retry);
  auto confirmed_time = clock.Now();
  clock.Advance(milliseconds(100));
  monitor.ConfirmUpToDate(confirmed_time);
  monitor.ConfirmUpToDate(confirmed_time - seconds(1));
  CHECK_TRUE(monitor.AllowedActions(configuration).retry);
  clock.Advance(milliseconds(2900));
  CHECK_TRUE(monitor.IsConfigurationFresh());
  clock.Advance(milliseconds(1));
  CHECK_FALSE(monitor.IsConfigurationFresh());
  CHECK_FALSE(monitor.AllowedActions(configuration).ejection);
}
