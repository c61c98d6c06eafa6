#include "clusterhost/settings_file.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <ratio>

#include "json/object_reader.h"

namespace sapphirecrank::clusterhost {

using Json = nlohmann::json;

namespace {

constexpr size_t kMaximumTextLength = 1000;
constexpr size_t kMaximumSeeds = 64;
constexpr size_t kMaximumDataCentres = 1000;
constexpr int64_t kMaximumPort = 65535;
constexpr int64_t kMaximumToleratedDiskFailures = 4;
constexpr double kMinimumCatchUpSeconds = 0.1;
constexpr double kMaximumCatchUpSeconds = 3600;
constexpr double kDefaultCatchUpSeconds = 4;
constexpr double kMinimumStopSeconds = 0.1;
constexpr double kMaximumStopSeconds = 3600;
constexpr double kDefaultStopSeconds = 6;
constexpr double kMinimumReportIntervalMilliseconds = 10;
constexpr double kMaximumReportIntervalMilliseconds = 3600.0 * 1000;
constexpr double kDefaultReportIntervalMilliseconds = 1500;
constexpr double kMaximumLeaseMilliseconds = 60000;
constexpr double kDefaultLeaseMilliseconds = 1000;
// With a shorter delay, a host that misses two heartbeats would count as lost.
constexpr double kMinimumResubmissionDelayMilliseconds = 900;
constexpr double kMaximumResubmissionDelayMilliseconds = 60000;
constexpr double kDefaultResubmissionDelayMilliseconds = 1300;
constexpr double kMaximumEvacuationLimitMilliseconds = 3600.0 * 1000;
constexpr double kMaximumRetentionSeconds = 24.0 * 60 * 60;
constexpr double kDefaultRetentionSeconds = 120;
constexpr int64_t kBytesPerMebibyte = 1024LL * 1024;
// A process without clients uses up to 25 MB.
constexpr int64_t kMinimumMemoryMebibytes = 48;
constexpr int64_t kMaximumMemoryMebibytes = 1024LL * 1024;
// The memory of a machine that the platform's documentation describes.
constexpr int64_t kDefaultMemoryMebibytes = 256;
// The platform reserves 200 for files, and peers and targets need some.
constexpr int64_t kMinimumDescriptors = 300;
constexpr int64_t kMaximumDescriptors = 1024LL * 1024;
constexpr int64_t kDefaultDescriptors = 4096;
// The configuration names at most 256 KiB for callers. The largest configurations in use have a few
// hundred kilobytes.
constexpr int64_t kMinimumBodyBytes = 1024;
constexpr int64_t kMaximumBodyBytes = 64 * kBytesPerMebibyte;
constexpr int64_t kDefaultBodyBytes = 4 * kBytesPerMebibyte;
// The configuration's `headerTimeoutMs` and `idleTimeoutMs` are 3000 and 15000.
constexpr double kMinimumClientTimeoutMilliseconds = 100;
constexpr double kMaximumClientTimeoutMilliseconds = 3600.0 * 1000;
constexpr double kDefaultHeaderTimeoutMilliseconds = 10000;
constexpr double kDefaultBodyStallMilliseconds = 20000;
constexpr int64_t kMaximumBodyRate = 1024LL * kBytesPerMebibyte;
constexpr int64_t kDefaultBodyRate = 4096;

/// Converts a number of seconds or milliseconds, which may have a fraction.
template <typename Period>
base::Duration ToDuration(double count) {
  return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double, Period>(count));
}

}  // namespace

base::Result<SettingsFile> SettingsFile::Parse(const std::string& text) {
  const Json document = Json::parse(text, nullptr, false);
  if (!document.is_object()) {
    return base::MakeErrorResult(base::ErrorCode::kInvalidArgument,
                                 "the settings file is not a JSON object");
  }
  std::optional<base::Error> error;
  json::ObjectReader reader(document, "", error);
  SettingsFile settings;
  settings.name = reader.ReadString("name", kMaximumTextLength);
  settings.data_centre = base::DataCentreId(reader.ReadString("data_centre", kMaximumTextLength));
  settings.caller_listen_address =
      base::NetworkAddress(reader.ReadString("caller_listen", kMaximumTextLength, ""));
  settings.readiness_listen_address =
      base::NetworkAddress(reader.ReadString("readiness_listen", kMaximumTextLength, ""));
  settings.metrics_listen_address =
      base::NetworkAddress(reader.ReadString("metrics_listen", kMaximumTextLength, ""));
  settings.control_listen_address =
      base::NetworkAddress(reader.ReadString("control_listen", kMaximumTextLength, ""));
  const std::string address = reader.ReadString("address", kMaximumTextLength);
  const std::string peer_port = std::to_string(reader.ReadInteger("peer_port", 1, kMaximumPort));
  settings.advertised_peer_address = base::NetworkAddress(address + ":" + peer_port);
  const int64_t peer_bind_port = reader.ReadInteger("peer_bind_port", 0, kMaximumPort, 0);
  if (peer_bind_port != 0) {
    settings.peer_bind_address =
        base::NetworkAddress(address + ":" + std::to_string(peer_bind_port));
  }
  reader.ReadArray("seeds", 1, kMaximumSeeds, [&](const Json& value, const std::string& path) {
    if (!value.is_string()) {
      reader.RecordError(path, "is not a string");
      return;
    }
    // The port of a seed in the settings isn't its peer port, which is the same on all hosts.
    const std::string seed = value.get<std::string>();
    settings.seeds.emplace_back(seed.substr(0, seed.rfind(':')) + ":" + peer_port);
  });
  settings.bootstrap = reader.ReadBool("bootstrap", false);
  settings.data_folder = reader.ReadString("data_folder", kMaximumTextLength, "");
  settings.tolerated_disk_failures =
      reader.ReadInteger("lost_disks_borne", 0, kMaximumToleratedDiskFailures, 1);
  settings.catch_up_time = ToDuration<std::ratio<1>>(reader.ReadNumber(
      "catch_up_s", kMinimumCatchUpSeconds, kMaximumCatchUpSeconds, kDefaultCatchUpSeconds));
  settings.stop_time = ToDuration<std::ratio<1>>(reader.ReadNumber(
      "stop_time_s", kMinimumStopSeconds, kMaximumStopSeconds, kDefaultStopSeconds));
  settings.target_report_interval = ToDuration<std::milli>(
      reader.ReadNumber("target_report_interval_ms", kMinimumReportIntervalMilliseconds,
                        kMaximumReportIntervalMilliseconds, kDefaultReportIntervalMilliseconds));
  settings.maximum_lease = ToDuration<std::milli>(reader.ReadNumber(
      "longest_lease_ms", 1, kMaximumLeaseMilliseconds, kDefaultLeaseMilliseconds));
  settings.resubmission_delay = ToDuration<std::milli>(reader.ReadNumber(
      "resubmission_delay_ms", kMinimumResubmissionDelayMilliseconds,
      kMaximumResubmissionDelayMilliseconds, kDefaultResubmissionDelayMilliseconds));
  settings.job_retention = ToDuration<std::ratio<1>>(
      reader.ReadNumber("job_retention_s", 1, kMaximumRetentionSeconds, kDefaultRetentionSeconds));
  reader.ReadArray("data_centres", 0, kMaximumDataCentres,
                   [&](const Json& value, const std::string& path) {
                     if (!value.is_string() || value.get_ref<const std::string&>().empty()) {
                       reader.RecordError(path, "is not the name of a data centre");
                       return;
                     }
                     settings.data_centres.emplace(value.get<std::string>());
                   });
  if (document.contains("evacuation_limit_ms")) {
    settings.evacuation_limit = ToDuration<std::milli>(
        reader.ReadNumber("evacuation_limit_ms", 1, kMaximumEvacuationLimitMilliseconds, 1));
  }
  settings.memory =
      base::ByteCount(reader.ReadInteger("memory_mb", kMinimumMemoryMebibytes,
                                         kMaximumMemoryMebibytes, kDefaultMemoryMebibytes) *
                      kBytesPerMebibyte);
  settings.descriptors = base::ConnectionCount(static_cast<int32_t>(reader.ReadInteger(
      "descriptors", kMinimumDescriptors, kMaximumDescriptors, kDefaultDescriptors)));
  settings.maximum_body_size = base::ByteCount(reader.ReadInteger(
      "maximum_body_bytes", kMinimumBodyBytes, kMaximumBodyBytes, kDefaultBodyBytes));
  settings.header_timeout = ToDuration<std::milli>(
      reader.ReadNumber("header_timeout_ms", kMinimumClientTimeoutMilliseconds,
                        kMaximumClientTimeoutMilliseconds, kDefaultHeaderTimeoutMilliseconds));
  settings.body_stall_timeout = ToDuration<std::milli>(
      reader.ReadNumber("body_stall_timeout_ms", kMinimumClientTimeoutMilliseconds,
                        kMaximumClientTimeoutMilliseconds, kDefaultBodyStallMilliseconds));
  settings.minimum_body_rate = base::ByteCount(
      reader.ReadInteger("minimum_body_bytes_per_s", 1, kMaximumBodyRate, kDefaultBodyRate));
  reader.RejectUnknownFields();
  if (error) {
    return tl::make_unexpected(*error);
  }
  return settings;
}

}  // namespace sapphirecrank::clusterhost
