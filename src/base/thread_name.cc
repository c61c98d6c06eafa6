#include "base/thread_name.h"

#include <pthread.h>

namespace sapphirecrank::base {

namespace {
constexpr size_t kMaximumThreadNameLength = 15;
}  // namespace

void SetThreadName(const std::string& name) {
  pthread_setname_np(pthread_self(), name.substr(0, kMaximumThreadNameLength).c_str());
}

}  // namespace sapphirecrank::base
