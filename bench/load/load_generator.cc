#include "bench/load/load_generator.h"

#include <curl/curl.h>

#include <unordered_map>
#include <utility>

#include "bench/load/percentile.h"

namespace sapphirecrank::load {

namespace {

constexpr long kMaximumIdleConnections = 2000;
constexpr long kRequestTimeoutMs = 60000;
constexpr int kMaximumPollMs = 100;
constexpr auto kProgressInterval = std::chrono::seconds(2);
constexpr int kFirstNonSuccessStatus = 300;

size_t AppendBody(char* data, size_t size, size_t count, void* user) {
  static_cast<std::string*>(user)->append(data, size * count);
  return size * count;
}

}  // namespace

class LoadGenerator::Impl {
 public:
  struct Transfer {
    const Arrival* arrival = nullptr;
    std::string body;
  };

  Impl(LoadSettings settings, std::function<void(size_t, size_t)> on_progress)
      : settings(std::move(settings)),
        on_progress(std::move(on_progress)),
        multi_handle(curl_multi_init()),
        headers(curl_slist_append(nullptr, "Expect:")) {
    curl_multi_setopt(this->multi_handle, CURLMOPT_MAXCONNECTS, kMaximumIdleConnections);
  }
  ~Impl() {
    curl_multi_cleanup(this->multi_handle);
    curl_slist_free_all(this->headers);
  }

  void Run(const std::vector<Arrival>& arrivals);

  std::array<ClassResults, base::kPriorityClassCount> results;
  std::vector<double> send_delays_ms;

 private:
  base::Duration Elapsed() const { return std::chrono::steady_clock::now() - this->started_at; }
  void SendArrival(const Arrival& arrival);
  void CollectFinishedTransfers();
  void FinishTransfer(CURL* handle, CURLcode code);
  void ReportProgress();

  LoadSettings settings;
  std::function<void(size_t, size_t)> on_progress;
  CURLM* multi_handle;
  curl_slist* headers;
  std::chrono::steady_clock::time_point started_at;
  base::Duration next_progress = kProgressInterval;
  size_t sent_count = 0;
  std::unordered_map<CURL*, std::unique_ptr<Transfer>> open_transfers;
};

void LoadGenerator::Impl::Run(const std::vector<Arrival>& arrivals) {
  this->started_at = std::chrono::steady_clock::now();
  while (this->sent_count < arrivals.size() || !this->open_transfers.empty()) {
    while (this->sent_count < arrivals.size() &&
           arrivals[this->sent_count].arrival_time <= this->Elapsed()) {
      this->SendArrival(arrivals[this->sent_count]);
      ++this->sent_count;
    }
    int running = 0;
    curl_multi_perform(this->multi_handle, &running);
    this->CollectFinishedTransfers();
    this->ReportProgress();
    int wait_ms = kMaximumPollMs;
    if (this->sent_count < arrivals.size()) {
      const auto time_left = std::chrono::duration_cast<std::chrono::milliseconds>(
          arrivals[this->sent_count].arrival_time - this->Elapsed());
      wait_ms = static_cast<int>(std::clamp<int64_t>(time_left.count(), 0, kMaximumPollMs));
    }
    curl_multi_poll(this->multi_handle, nullptr, 0, wait_ms, nullptr);
  }
}

void LoadGenerator::Impl::SendArrival(const Arrival& arrival) {
  const std::chrono::duration<double, std::milli> delay = this->Elapsed() - arrival.arrival_time;
  this->send_delays_ms.push_back(delay.count());
  auto transfer = std::make_unique<Transfer>();
  transfer->arrival = &arrival;
  const std::string url =
      "http://" + this->settings.entry_hosts[this->sent_count % this->settings.entry_hosts.size()] +
      arrival.request_path;
  CURL* handle = curl_easy_init();
  curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, kRequestTimeoutMs);
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, this->headers);
  curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(arrival.request_body.size()));
  curl_easy_setopt(handle, CURLOPT_POSTFIELDS, arrival.request_body.data());
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &AppendBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &transfer->body);
  curl_multi_add_handle(this->multi_handle, handle);
  this->open_transfers.emplace(handle, std::move(transfer));
}

void LoadGenerator::Impl::CollectFinishedTransfers() {
  int remaining_messages = 0;
  while (CURLMsg* message = curl_multi_info_read(this->multi_handle, &remaining_messages)) {
    if (message->msg == CURLMSG_DONE) {
      this->FinishTransfer(message->easy_handle, message->data.result);
    }
  }
}

void LoadGenerator::Impl::FinishTransfer(CURL* handle, CURLcode code) {
  const auto found = this->open_transfers.find(handle);
  const Transfer& transfer = *found->second;
  const Arrival& arrival = *transfer.arrival;
  ClassResults& results = this->results[static_cast<size_t>(arrival.priority_class)];
  long status = 0;
  curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
  if (code == CURLE_OK && status < kFirstNonSuccessStatus) {
    results.AddCompleteResponse(this->Elapsed() - arrival.arrival_time, arrival.longest_run_time);
  } else {
    // The verdict of the request or job is in the object "error", ahead of those of its tasks.
    const size_t error_position = transfer.body.find("\"error\":{");
    const size_t verdict_position = transfer.body.find("\"verdict\":\"", error_position);
    const bool has_not_run =
        error_position != std::string::npos && verdict_position != std::string::npos &&
        transfer.body.compare(verdict_position, 19, "\"verdict\":\"not run\"") == 0;
    results.AddFailedResponse(has_not_run);
  }
  curl_multi_remove_handle(this->multi_handle, handle);
  curl_easy_cleanup(handle);
  this->open_transfers.erase(found);
}

void LoadGenerator::Impl::ReportProgress() {
  if (this->Elapsed() >= this->next_progress) {
    this->next_progress += kProgressInterval;
    this->on_progress(this->sent_count, this->open_transfers.size());
  }
}

LoadGenerator::LoadGenerator(LoadSettings settings,
                             std::function<void(size_t sent, size_t open)> on_progress)
    : impl(std::make_unique<Impl>(std::move(settings), std::move(on_progress))) {}

LoadGenerator::~LoadGenerator() = default;

void LoadGenerator::Run(const std::vector<Arrival>& arrivals) { this->impl->Run(arrivals); }

ClassResults& LoadGenerator::Results(base::PriorityClass priority_class) {
  return this->impl->results[static_cast<size_t>(priority_class)];
}

base::Duration LoadGenerator::SendDelayP999() {
  constexpr double kShare = 0.999;
  const double delay = Percentile(this->impl->send_delays_ms, kShare);
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::milli>(delay));
}

}  // namespace sapphirecrank::load
