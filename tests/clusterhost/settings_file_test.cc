#include "clusterhost/settings_file.h"

#include <CppUTest/TestHarness.h>

#include <string>

#include "clusterhost/cluster_host_settings.h"
#include "runs/scheduler_settings.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using clusterhost::SettingsFile;

TEST_GROUP(ClusterSettingsFile){};

// Guards against peer connections to the port on which a seed serves operators.
TEST(ClusterSettingsFile, DerivesPeerAddressesOfSeeds) {
  const auto settings = SettingsFile::Parse(
      R"({"name":"core-1","data_centre":"x","address":"10.0.0.1","control_listen":"10.0.0.1:80",)"
      R"("peer_port":7700,"seeds":["10.0.0.1:80","10.0.0.2:80"],"bootstrap":true,)"
      R"("data_folder":"/data","lost_disks_borne":2,"catch_up_s":2.5,"longest_lease_ms":900,"resubmission_delay_ms":1100,"peer_bind_port":7701,"job_retention_s":90})");
  CHECK_TRUE(settings.has_value());
  STRCMP_EQUAL("10.0.0.1:7700", settings->advertised_peer_address.value().c_str());
  STRCMP_EQUAL("10.0.0.1:7701", settings->peer_bind_address.value().c_str());
  STRCMP_EQUAL("10.0.0.2:7700", settings->seeds.at(1).value().c_str());
  CHECK_TRUE(settings->bootstrap);
  LONGS_EQUAL(2, settings->tolerated_disk_failures);
  CHECK(settings->catch_up_time == std::chrono::milliseconds(2500));
  CHECK(settings->maximum_lease == std::chrono::milliseconds(900));
  CHECK(settings->resubmission_delay == std::chrono::milliseconds(1100));
  CHECK(settings->job_retention == std::chrono::seconds(90));
}

// Guards against a host that starts with settings that it couldn't parse completely.
TEST(ClusterSettingsFile, ReportsInvalidField) {
  CHECK_FALSE(SettingsFile::Parse("not json").has_value());
  const auto unknown_field = SettingsFile::Parse(
      R"({"name":"n","data_centre":"x","address":"10.0.0.1","peer_port":1,"seeds":["a:1"],)"
      R"("typo":1})");
  CHECK_FALSE(unknown_field.has_value());
  STRCMP_EQUAL("typo", unknown_field.error().field.c_str());
  const auto invalid_port = SettingsFile::Parse(
      R"({"name":"n","data_centre":"x","address":"10.0.0.1","peer_port":70000,"seeds":["a:1"]})");
  CHECK_FALSE(invalid_port.has_value());
  STRCMP_EQUAL("peer_port", invalid_port.error().field.c_str());
}

// Guards against orders for a data centre that are refused although the settings name it, and
// against a limit that applies although the deployment has none.
TEST(ClusterSettingsFile, ReadsDataCentresAndEvacuationLimit) {
  const std::string before =
      R"({"name":"n","data_centre":"x","address":"10.0.0.1","peer_port":1,"seeds":["a:1"])";
  const auto settings =
      SettingsFile::Parse(before + R"(,"evacuation_limit_ms":5000.5,"data_centres":["x","y"]})");
  CHECK_TRUE(settings.has_value());
  CHECK(settings->evacuation_limit == std::chrono::microseconds(5000500));
  CHECK(settings->data_centres ==
        (std::set<base::DataCentreId>{base::DataCentreId("x"), base::DataCentreId("y")}));
  const auto defaults = SettingsFile::Parse(before + "}");
  CHECK_FALSE(defaults->evacuation_limit.has_value());
  CHECK_TRUE(defaults->data_centres.empty());
  for (const std::string invalid : {R"("evacuation_limit_ms":0)", R"("evacuation_limit_ms":"5000")",
                                    R"("evacuation_limit_ms":null)", R"("data_centres":["x",""])",
                                    R"("data_centres":[1])", R"("data_centres":"x")"}) {
    CHECK_FALSE(SettingsFile::Parse(before + "," + invalid + "}").has_value());
  }
}

// Guards against limits that leave no room for clients, and against an error that doesn't name
// the setting and its range.
TEST(ClusterSettingsFile, ChecksTheRangesOfMemoryAndDescriptors) {
  const std::string before = R"({"name":"n","data_centre":"x","address":"10.0.0.1","peer_port":1,)";
  for (const std::string name : {"memory_mb", "descriptors"}) {
    for (const std::string invalid : {"0", "47", "-1", "1048577", "64.5", "\"256\""}) {
      const auto settings =
          SettingsFile::Parse(before + R"("seeds":["a:1"],")" + name + "\":" + invalid + "}");
      CHECK_FALSE(settings.has_value());
      STRCMP_EQUAL(name.c_str(), settings.error().field.c_str());
      if (invalid == "0") {
        const std::string expected_range = name == "memory_mb" ? "48 to 1048576" : "300 to 1048576";
        STRCMP_CONTAINS(expected_range.c_str(), settings.error().message.c_str());
      }
    }
  }
  const auto settings =
      SettingsFile::Parse(before + R"("seeds":["a:1"],"memory_mb":160,"descriptors":4100})");
  CHECK(settings->memory == base::ByteCount(160LL * 1024 * 1024));
  CHECK(settings->descriptors == base::ConnectionCount(4100));
  const auto defaults = SettingsFile::Parse(before + R"("seeds":["a:1"]})");
  CHECK(defaults->memory == base::ByteCount(256LL * 1024 * 1024));
  CHECK(defaults->descriptors == base::ConnectionCount(4096));
}

// Guards against a limit for clients that closes all of them, or none, because of a typing error.
TEST(ClusterSettingsFile, ChecksTheRangesOfTheLimitsForClients) {
  const std::string before = R"({"name":"n","data_centre":"x","address":"10.0.0.1","peer_port":1,)";
  for (const std::string name : {"maximum_body_bytes", "header_timeout_ms", "body_stall_timeout_ms",
                                 "minimum_body_bytes_per_s"}) {
    for (const std::string invalid : {"0", "-1", "1e12", "\"256\"", "null"}) {
      const auto settings =
          SettingsFile::Parse(before + R"("seeds":["a:1"],")" + name + "\":" + invalid + "}");
      CHECK_FALSE(settings.has_value());
      STRCMP_EQUAL(name.c_str(), settings.error().field.c_str());
    }
  }
  const auto settings = SettingsFile::Parse(
      before + R"("seeds":["a:1"],"maximum_body_bytes":2048,"header_timeout_ms":500,)"
               R"("body_stall_timeout_ms":700,"minimum_body_bytes_per_s":9})");
  CHECK(settings->maximum_body_size == base::ByteCount(2048));
  CHECK(settings->header_timeout == std::chrono::milliseconds(500));
  CHECK(settings->body_stall_timeout == std::chrono::milliseconds(700));
  CHECK(settings->minimum_body_rate == base::ByteCount(9));
}

// Guards against a time within which no lost voter could be replaced, and against a host that
// waits for hours before it replaces one.
TEST(ClusterSettingsFile, ChecksTheRangeOfTheCatchUpTime) {
  const std::string before = R"({"name":"n","data_centre":"x","address":"10.0.0.1","peer_port":1,)";
  for (const std::string invalid : {"0", "3601", "-1", "\"4\""}) {
    const auto settings =
        SettingsFile::Parse(before + R"("seeds":["a:1"],"catch_up_s":)" + invalid + "}");
    CHECK_FALSE(settings.has_value());
    STRCMP_EQUAL("catch_up_s", settings.error().field.c_str());
  }
  const auto defaults = SettingsFile::Parse(before + R"("seeds":["a:1"]})");
  CHECK(defaults->catch_up_time == std::chrono::seconds(4));
}

// Guards against a host that doesn't start because a bound of its deployment isn't a whole
// number, and against a stop that takes longer than the platform allows.
TEST(ClusterSettingsFile, TakesBoundsOfTheDeploymentWithFractions) {
  const std::string before = R"({"name":"n","data_centre":"x","address":"10.0.0.1","peer_port":1,)";
  const auto settings = SettingsFile::Parse(
      before +
      R"("seeds":["a:1"],"stop_time_s":7.5,"target_report_interval_ms":750.5,)"
      R"("longest_lease_ms":800.5,"resubmission_delay_ms":1300.5,"job_retention_s":0.5e2})");
  CHECK_TRUE(settings.has_value());
  CHECK(settings->stop_time == std::chrono::milliseconds(7500));
  CHECK(settings->target_report_interval == std::chrono::microseconds(750500));
  CHECK(settings->maximum_lease == std::chrono::microseconds(800500));
  CHECK(settings->resubmission_delay == std::chrono::microseconds(1300500));
  CHECK(settings->job_retention == std::chrono::seconds(50));
  const auto defaults = SettingsFile::Parse(before + R"("seeds":["a:1"]})");
  CHECK(defaults->stop_time == std::chrono::seconds(6));
  CHECK(defaults->target_report_interval == std::chrono::milliseconds(1500));
  for (const std::string field : {"stop_time_s", "target_report_interval_ms"}) {
    const auto invalid = SettingsFile::Parse(before + R"("seeds":["a:1"],")" + field + R"(":-1})");
    CHECK_FALSE(invalid.has_value());
    STRCMP_EQUAL(field.c_str(), invalid.error().field.c_str());
  }
}

// Guards against a second run of a task while a run on a target of a lost allocator is active, on
// a deployment with longer leases and a longer delay before callers resubmit.
TEST(ClusterSettingsFile, LostRunsAreWaitedForUntilTheirLeasesEnd) {
  using std::chrono::milliseconds;
  clusterhost::ClusterHostSettings settings;
  CHECK(settings.LostRunDelay(milliseconds(1000)) == milliseconds(1800));
  settings.resubmission_delay = milliseconds(10000);
  CHECK(settings.LostRunDelay(milliseconds(5000)) >=
        settings.EffectiveHostTimeout() + milliseconds(5000));
  settings.resubmission_delay = milliseconds(3000);
  CHECK(settings.LostRunDelay(milliseconds(60000)) >= settings.LeaseAfterGatewayContact());
  settings.resubmission_delay = milliseconds(900);
  CHECK(settings.LostRunDelay(milliseconds(1)) == milliseconds(1800));
}

// Guards against targets that count as silent between two of their reports.
TEST(ClusterSettingsFile, LimitsForSilentTargetsFollowTheirReportInterval) {
  using std::chrono::milliseconds;
  runs::SchedulerSettings settings;
  settings.SetTargetReportInterval(milliseconds(1500));
  CHECK(settings.target_silence_limit == milliseconds(3500));
  CHECK(settings.drop_target_after == std::chrono::seconds(10));
  settings.SetTargetReportInterval(milliseconds(5000));
  CHECK(settings.target_silence_limit > 2 * milliseconds(5000));
  CHECK(settings.drop_target_after > settings.target_silence_limit);
}

// Guards against runs of a lost gateway's job that are still active when the caller resubmits the
// job.
TEST(ClusterSettingsFile, HostTimeoutEndsBeforeCallersResubmit) {
  clusterhost::ClusterHostSettings settings;
  settings.resubmission_delay = std::chrono::milliseconds(900);
  CHECK(settings.EffectiveHostTimeout() == std::chrono::milliseconds(600));
  CHECK(settings.LeaseAfterGatewayContact() < settings.resubmission_delay);
  settings.resubmission_delay = std::chrono::seconds(5);
  CHECK(settings.EffectiveHostTimeout() == settings.host_timeout);
}
