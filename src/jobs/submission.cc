#include "jobs/submission.h"

#include <xxhash.h>

#include <array>
#include <string_view>

namespace sapphirecrank::jobs {

namespace {

void UpdateHash(uint64_t& hash, int64_t value) { hash = XXH64(&value, sizeof(value), hash); }

void UpdateHash(uint64_t& hash, std::string_view text) {
  UpdateHash(hash, static_cast<int64_t>(text.size()));
  hash = XXH64(text.data(), text.size(), hash);
}

void UpdateHash(uint64_t& hash, const Submission::Task& task) {
  UpdateHash(hash, task.kind.value());
  UpdateHash(hash, task.payload);
  const std::array<int64_t, 5> numbers = {
      task.declared_resources.processors.value(), task.declared_resources.memory.value(),
      task.declared_resources.accelerators.value(), task.declared_run_time.count(),
      static_cast<int64_t>(task.idempotent)};
  hash = XXH64(numbers.data(), sizeof(numbers), hash);
}

}  // namespace

uint64_t ContentHash(const Submission& submission) {
  uint64_t hash = 0;
  UpdateHash(hash, submission.team.value());
  UpdateHash(hash, static_cast<int64_t>(submission.priority_class));
  UpdateHash(hash, static_cast<int64_t>(submission.tasks.size()));
  for (const Submission::Task& task : submission.tasks) {
    UpdateHash(hash, task);
  }
  return hash;
}

}  // namespace sapphirecrank::jobs
