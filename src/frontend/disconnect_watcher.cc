#include "frontend/disconnect_watcher.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <utility>

#include "base/mutex_lock.h"
#include "base/thread_name.h"

namespace sapphirecrank::frontend {

namespace {

// Request ids start at 1.
constexpr uint64_t kWakeEventId = 0;
constexpr size_t kMaximumEvents = 64;

}  // namespace

DisconnectWatcher::DisconnectWatcher(DisconnectCallback on_disconnect)
    : on_disconnect(std::move(on_disconnect)),
      epoll_descriptor(epoll_create1(EPOLL_CLOEXEC)),
      wake_descriptor(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.u64 = kWakeEventId;
  epoll_ctl(this->epoll_descriptor, EPOLL_CTL_ADD, this->wake_descriptor, &event);
  this->thread = std::thread([this] {
    base::SetThreadName("hangups");
    this->RunEventLoop();
  });
}

DisconnectWatcher::~DisconnectWatcher() {
  this->Stop();
  close(this->wake_descriptor);
  close(this->epoll_descriptor);
}

void DisconnectWatcher::Stop() {
  if (!this->thread.joinable()) {
    return;
  }
  const uint64_t wake_signal = 1;
  (void)!write(this->wake_descriptor, &wake_signal, sizeof(wake_signal));
  this->thread.join();
}

void DisconnectWatcher::AddConnection(int descriptor, uint64_t request_id) {
  base::MutexLock lock(this->mutex);
  epoll_event event{};
  event.events = EPOLLRDHUP | EPOLLONESHOT;
  event.data.u64 = request_id;
  if (epoll_ctl(this->epoll_descriptor, EPOLL_CTL_ADD, descriptor, &event) == 0) {
    this->descriptors_by_request[request_id] = descriptor;
  }
}

void DisconnectWatcher::RemoveConnection(uint64_t request_id) {
  base::MutexLock lock(this->mutex);
  auto found = this->descriptors_by_request.find(request_id);
  if (found != this->descriptors_by_request.end()) {
    epoll_ctl(this->epoll_descriptor, EPOLL_CTL_DEL, found->second, nullptr);
    this->descriptors_by_request.erase(found);
  }
}

void DisconnectWatcher::RunEventLoop() {
  std::array<epoll_event, kMaximumEvents> events{};
  while (true) {
    const int count = epoll_wait(this->epoll_descriptor, events.data(), kMaximumEvents, -1);
    for (int i = 0; i < count; ++i) {
      const uint64_t request_id = events.at(static_cast<size_t>(i)).data.u64;
      if (request_id == kWakeEventId) {
        return;
      }
      this->on_disconnect(request_id);
    }
  }
}

}  // namespace sapphirecrank::frontend
