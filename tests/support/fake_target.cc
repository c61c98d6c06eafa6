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
  FakeRunBehaviour behaviour;
  const Json document = Json::parse(payload, nullptr, false);
  if (document.is_object()) {
    behaviour.run_time = std::chrono::milliseconds(document.value("sleep_ms", 0));
    behaviour.body = document.contains("echo") ? document["echo"].dump() : "null";
  }
  return behaviour;
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
  void FinishRun(const std::string& attempt, const FakeRunBehaviour& behaviour,
                 const frontend::HttpServer::ResponseCallback& respond);
  void RunAnnouncer();
  std::string AnnouncementJson();

  FakeTargetSettings settings;
  std::string address;
  mutable std::mutex mutex;
  std::condition_variable announcer_wakeup;
  bool is_stopping = false;
  std::set<std::string> running_attempts;
  std::vector<std::string> started_payloads;
  std::vector<frontend::HttpServer::ResponseCallback> unanswered_requests;
  int maximum_concurrent_runs = 0;
  std::unique_ptr<base::TimerQueue> timers;
  std::unique_ptr<frontend::HttpServer> http_server;
  std::thread announcer_thread;
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
    this->announcer_thread = std::thread([this] { this->RunAnnouncer(); });
  }
}

FakeTarget::Impl::~Impl() {
  std::vector<frontend::HttpServer::ResponseCallback> open_requests;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->is_stopping = true;
    open_requests.swap(this->unanswered_requests);
  }
  this->announcer_wakeup.notify_all();
  if (this->announcer_thread.joinable()) {
    this->announcer_thread.join();
  }
  for (const auto& respond : open_requests) {
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
  this->announcer_wakeup.notify_all();
}

void FakeTarget::Impl::OnRequest(const frontend::HttpRequest& request,
                                 const frontend::HttpServer::ResponseCallback& respond) {
  const auto header = request.headers.find("sapphirecrank-task");
  const std::string attempt = header == request.headers.end() ? "" : header->second;
  const FakeRunBehaviour behaviour = this->settings.choose_behaviour(attempt, request.body);
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->started_payloads.push_back(request.body);
    this->running_attempts.insert(attempt);
    this->maximum_concurrent_runs =
        std::max(this->maximum_concurrent_runs, static_cast<int>(this->running_attempts.size()));
    if (behaviour.never_responds) {
      this->unanswered_requests.push_back(respond);
      return;
    }
  }
  if (behaviour.run_time.count() == 0) {
    this->FinishRun(attempt, behaviour, respond);
    return;
  }
  this->timers->RunAfter(behaviour.run_time, [this, attempt, behaviour, respond] {
    this->FinishRun(attempt, behaviour, respond);
  });
}

void FakeTarget::Impl::FinishRun(const std::string& attempt, const FakeRunBehaviour& behaviour,
                                 const frontend::HttpServer::ResponseCallback& respond) {
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->running_attempts.erase(attempt);
  }
  frontend::HttpResponse response;
  response.status = behaviour.status;
  response.body = behaviour.body;
  response.headers["Sapphirecrank-Task"] =
      behaviour.wrong_attempt_id.empty() ? attempt : behaviour.wrong_attempt_id;
  respond(response);
}

void FakeTarget::Impl::RunAnnouncer() {
  CURL* curl = curl_easy_init();
  curl_slist* headers = curl_slist_append(nullptr, "Expect:");
  size_t next_host_index = 0;
  std::unique_lock<std::mutex> lock(this->mutex);
  while (!this->is_stopping) {
    lock.unlock();
    const std::string announcement_json = this->AnnouncementJson();
    const auto& hosts = this->settings.entry_hosts;
    const std::string url = "http://" + hosts[next_host_index++ % hosts.size()] + "/v1/targets";
    curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, kAnnounceTimeoutMs);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(curl, CURLOPT_COPYPOSTFIELDS, announcement_json.c_str());
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, DiscardBody);
    const bool is_announced = curl_easy_perform(curl) == CURLE_OK;
    lock.lock();
    // A failed announcement is repeated soon to the next entry host, well before the lease expires.
    this->announcer_wakeup.wait_for(lock,
                                    is_announced ? kAnnounceInterval : kAnnounceInterval / 10);
  }
  curl_slist_free_all(headers);
  curl_easy_cleanup(curl);
}

std::string FakeTarget::Impl::AnnouncementJson() {
  std::lock_guard<std::mutex> lock(this->mutex);
  const targets::TargetAnnouncement& announcement = this->settings.announcement;
  constexpr int64_t kBytesPerMebibyte = 1024LL * 1024;
  return Json({{"id", announcement.id.value()},
               {"kind", base::TargetKindName(announcement.kind)},
               {"address", announcement.address.value()},
               {"data_centre", announcement.data_centre.value()},
               {"rack", announcement.rack.value()},
               {"slots", announcement.slots.value()},
               {"connections", announcement.connections.value()},
               {"milli_processors", announcement.capacity.processors.value()},
               {"memory_mib", announcement.capacity.memory.value() / kBytesPerMebibyte},
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
