#include "frontend/intake_metrics.h"

#include <fmt/format.h>

#include <array>
#include <cstdint>
#include <iterator>

namespace sapphirecrank::frontend {

namespace {

// In the order of `limits::IntakeReason`.
constexpr std::array<const char*, limits::kIntakeReasonCount> kReasonNames = {
    "bytes", "connections", "body_size", "idle", "slow_headers", "slow_body", "slow_response"};

void AppendGauge(std::string& text, const char* name, const char* help, int64_t value) {
  fmt::format_to(std::back_inserter(text), "# HELP {0} {1}\n# TYPE {0} gauge\n{0} {2}\n", name,
                 help, value);
}

void AppendCounters(std::string& text, const char* name, const char* help,
                    const std::array<uint64_t, limits::kIntakeReasonCount>& counts) {
  fmt::format_to(std::back_inserter(text), "# HELP {0} {1}\n# TYPE {0} counter\n", name, help);
  for (size_t i = 0; i < counts.size(); ++i) {
    fmt::format_to(std::back_inserter(text), "{}{{reason=\"{}\"}} {}\n", name, kReasonNames.at(i),
                   counts.at(i));
  }
}

}  // namespace

std::string IntakeMetricsText(const limits::IntakeUsage& usage) {
  std::string text;
  AppendGauge(text, "sapphirecrank_intake_bytes", "Bytes that open client connections hold",
              usage.bytes.value());
  AppendGauge(text, "sapphirecrank_intake_bytes_limit", "Limit of these bytes",
              usage.maximum_bytes.value());
  AppendGauge(text, "sapphirecrank_intake_connections", "Open client connections",
              usage.connections.value());
  AppendGauge(text, "sapphirecrank_intake_connections_limit", "Limit of these connections",
              usage.maximum_connections.value());
  AppendCounters(text, "sapphirecrank_intake_closed_total",
                 "Client connections that were closed before their request was handled or their "
                 "response was read",
                 usage.closed);
  AppendCounters(text, "sapphirecrank_intake_refused_total",
                 "Requests and connections that were refused", usage.refused);
  return text;
}

}  // namespace sapphirecrank::frontend
