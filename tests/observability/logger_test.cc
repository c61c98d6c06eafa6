#include "observability/logger.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "base/manual_clock.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using observability::Logger;

TEST_GROUP(Logger) {
  base::ManualClock clock;
  std::vector<std::string> lines;
  Logger logger{
      observability::LogLevel::kInfo,
      {this->clock.AsClock(), [this](const std::string& line) { this->lines.push_back(line); }}};
};

// Guards against a log that grows without limit under load, and against lines that are suppressed
// without a report.
TEST(Logger, LimitsLinesPerSecondAndReportsSuppressedLines) {
  for (int i = 0; i < Logger::kMaximumLinesPerSecond + 7; ++i) {
    this->logger.Info("job ended");
  }
  LONGS_EQUAL(Logger::kMaximumLinesPerSecond, this->lines.size());
  this->clock.Advance(std::chrono::seconds(1));
  this->logger.Info("job ended");
  CHECK(this->lines.back().find("left_out=7") != std::string::npos);
  this->logger.Info("job ended");
  CHECK(this->lines.back().find("left_out") == std::string::npos);
}

// Guards against warnings that are suppressed because of many other lines.
TEST(Logger, WarningsHaveTheirOwnLimit) {
  for (int i = 0; i <= Logger::kMaximumLinesPerSecond; ++i) {
    this->logger.Info("job ended");
  }
  this->logger.Warning("connection failed");
  CHECK(this->lines.back().find("connection failed") != std::string::npos);
}
