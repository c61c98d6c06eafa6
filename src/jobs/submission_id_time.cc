#include "jobs/submission_id_time.h"

#include <charconv>
#include <cstdint>
#include <string_view>

namespace sapphirecrank::jobs {

std::optional<std::chrono::milliseconds> ParseCreationTime(const base::SubmissionId& id) {
  std::string_view text = id.value();
  size_t colon = text.find(':');
  if (colon != std::string_view::npos) {
    text.remove_prefix(colon + 1);
  }
  int64_t milliseconds = 0;
  const char* end = text.data() + text.size();
  auto [digits_end, error] = std::from_chars(text.data(), end, milliseconds);
  if (error != std::errc() || digits_end == end || *digits_end != '-' || milliseconds < 0) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(milliseconds);
}

}  // namespace sapphirecrank::jobs
