#include "tests/support/fake_target.h"

#include <curl/curl.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>
#include <utility>

#include "base/timer_queue.h"
#include "frontend/http_server.h"

namespace sapphirecrank::testing {

using Json = nlohmann::json;

namespace {

constexpr auto kAnnounceInterval = std::chrono::milliseconds(500);
constexpr long kAnnounceTimeoutMs = 1000;

size_t DiscardBody(char* /*data*/, size_t size, size_t count, void* /*user*/) {
  return size * count;
}

}  // namespace

FakeRunBehaviour EchoBehaviour(const std::string& payload) {
  FakeRunBehaviour action;
  const Json document = Json::parse(payload, nullptr, false);
  if (document.is_object()) {
    action.run_time = std::chrono::milliseconds(document.value("sleep_ms", 0));
    action.body = document.contains("echo") ? document["echo"].dump() : "null";
  }
  return action;
}

class FakeTarget::Impl {
 public:
  explicit Impl(FakeTargetSettings settings);
  ~Impl();

  std::string Address() const { return this->address; }
  std::vector<std::string> StartedPayloads() const;
  int MaximumConcurrentRuns() const;
  void AnnounceLeaving();

 private:
  void OnRequest(const frontend::HttpRequest& request,
                 const frontend::HttpServer::ResponseCallback& respond);
  void FinishRun(const std::string& attempt, const FakeRunBehaviour& action,
                 const frontend::HttpServer::ResponseCallback& respond);
  void RunAnnouncer();
  std::string AnnouncementJson();

  FakeTargetSettings settings;
  std::string address;
  mutable std::mutex mutex;
  std::condition_variable announcer_wake;
  bool stopping = false;
  std::set<std::string> running_attempts;
  std::vector<std::string> started_payloads;
  std::vector<frontend::HttpServer::ResponseCallback> unanswered_requests;
  int maximum_concurrent_runs = 0;
  std::unique_ptr<base::TimerQueue> timers;
  std::unique_ptr<frontend::HttpServer> http_server;
  std::thread announcer;
};

FakeTarget::Impl::Impl(FakeTargetSettings settings)
    : settings(std::move(settings)), timers(std::make_unique<base::TimerQueue>("fake-target")) {
  frontend::HttpServerSettings http_settings;
  http_settings.listen_address = base::NetworkAddress("127.0.0.1:0");
  http_settings.thread_count = 2;
  this->http_server = std::make_unique<frontend::HttpServer>(
      http_settings,
      [this](const auto& request, const auto& respond) { this->OnRequest(request, respond); });
  if (!this->http_server->Start()) {
    std::abort();
  }
  this->address = this->http_server->ListenAddress().value();
  this->settings.announcement.address = base::NetworkAddress(this->address);
  if (!this->settings.entry_hosts.empty()) {
    this->announcer = std::thread([this] { this->RunAnnouncer(); });
  }
}

FakeTarget::Impl::~Impl() {
  std::vector<frontend::HttpServer::ResponseCallback> unanswered;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->stopping = true;
    unanswered.swap(this->unanswered_requests);
  }
  this->announcer_wake.notify_all();
  if (this->announcer.joinable()) {
    this->announcer.join();
  }
  for (const auto& respond : unanswered) {
    respond(frontend::HttpResponse());
  }
  this->http_server->Stop();
  this->timers.reset();
}

std::vector<std::string> FakeTarget::Impl::StartedPayloads() const {
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->started_payloads;
}

int FakeTarget::Impl::MaximumConcurrentRuns() const {
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->maximum_concurrent_runs;
}

void FakeTarget::Impl::AnnounceLeaving() {
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->settings.announcement.leaving = true;
  }
  this->announcer_wake.notify_all();
}

void FakeTarget::Impl::OnRequest(const frontend::HttpRequest& request,
                                 const frontend::HttpServer::ResponseCallback& respond) {
  const auto header = request.headers.find("sapphirecrank-task");
  const std::string attempt = header == request.headers.end() ? "" : header->second;
  const FakeRunBehaviour action = this->settings.choose_behaviour(attempt, request.body);
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->started_payloads.push_back(request.body);
    this->running_attempts.insert(attempt);
    this->maximum_concurrent_runs =
        std::max(this->maximum_concurrent_runs, static_cast<int>(this->running_attempts.size()));
    if (action.never_responds) {
      this->unanswered_requests.push_back(respond);
      return;
    }
  }
  if (action.run_time.count() == 0) {
    this->FinishRun(attempt, action, respond);
    return;
  }
  this->timers->RunAfter(action.run_time, [this, attempt, action, respond] {
    this->FinishRun(attempt, action, respond);
  });
}

void FakeTarget::Impl::FinishRun(const std::string& attempt, const FakeRunBehaviour& action,
                                 const frontend::HttpServer::ResponseCallback& respond) {
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->running_attempts.erase(attempt);
  }
  frontend::HttpResponse response;
  response.status = action.status;
  response.body = action.body;
  response.headers["Sapphirecrank-Task"] =
      action.wrong_attempt_id.empty() ? attempt : action.wrong_attempt_id;
  respond(response);
}

void FakeTarget::Impl::RunAnnouncer() {
  CURL* handle = curl_easy_init();
  curl_slist* headers = curl_slist_append(nullptr, "Expect:");
  size_t turn = 0;
  std::unique_lock<std::mutex> lock(this->mutex);
  while (!this->stopping) {
    lock.unlock();
    const std::string text = this->AnnouncementJson();
    const auto& hosts = this->settings.entry_hosts;
    const std::string url = "http://" + hosts[turn++ % hosts.size()] + "/v1/targets";
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, kAnnounceTimeoutMs);
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(handle, CURLOPT_COPYPOSTFIELDS, text.c_str());
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, DiscardBody);
    const bool is_announced = curl_easy_perform(handle) == CURLE_OK;
    lock.lock();
    // A failed announcement goes to the next entry host soon, well within the lease.
    this->announcer_wake.wait_for(lock, is_announced ? kAnnounceInterval : kAnnounceInterval / 10);
  }
  curl_slist_free_all(headers);
  curl_easy_cleanup(handle);
}

std::string FakeTarget::Impl::AnnouncementJson() {
  std::lock_guard<std::mutex> lock(this->mutex);
  const targets::TargetAnnouncement& announcement = this->settings.announcement;
  constexpr int64_t kBytesOfMebibyte = 1024LL * 1024;
  return Json({{"id", announcement.id.value()},
               {"kind", base::TargetKindName(announcement.kind)},
               {"address", announcement.address.value()},
               {"data_centre", announcement.data_centre.value()},
               {"rack", announcement.rack.value()},
               {"slots", announcement.slots.value()},
               {"connections", announcement.connections.value()},
               {"milli_processors", announcement.capacity.processors.value()},
               {"memory_mib", announcement.capacity.memory.value() / kBytesOfMebibyte},
               {"accelerators", announcement.capacity.accelerators.value()},
               {"leaving", announcement.leaving},
               {"running", this->running_attempts}})
      .dump();
}

FakeTarget::FakeTarget(FakeTargetSettings settings)
    : impl(std::make_unique<Impl>(std::move(settings))) {}

FakeTarget::~FakeTarget() = default;

std::string FakeTarget::Address() const { return this->impl->Address(); }

std::vector<std::string> FakeTarget::StartedPayloads() const {
  return this->impl->StartedPayloads();
}

int FakeTarget::MaximumConcurrentRuns() const { return this->impl->MaximumConcurrentRuns(); }

void FakeTarget::AnnounceLeaving() { this->impl->AnnounceLeaving(); }

}  // namespace sapphirecrank::testing
