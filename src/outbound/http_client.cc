#include "outbound/http_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <cctype>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/thread_name.h"

namespace sapphirecrank::outbound {

using base::ErrorCode;
using base::ExecutionVerdict;

namespace {

constexpr long kMaximumIdleConnections = 8192;
constexpr int kPollTimeoutMilliseconds = 10000;
constexpr size_t kMaximumIdleHandles = 1024;

/// One request in progress.
struct Transfer {
  HttpClientRequest request;
  HttpClient::CompletionCallback on_done;
  CURL* handle = nullptr;
  curl_slist* headers = nullptr;
  size_t sent_bytes = 0;
  HttpClientResponse response;
  size_t maximum_response_size = 0;
};

/// Passes the request body to libcurl. There is deliberately no function to rewind it: when a
/// reused connection is closed without a response, libcurl would send the request again, and the
/// target may have run it.
size_t ReadRequestBody(char* buffer, size_t size, size_t count, void* user) {
  auto* transfer = static_cast<Transfer*>(user);
  const size_t length =
      std::min(size * count, transfer->request.body.size() - transfer->sent_bytes);
  std::copy_n(transfer->request.body.data() + transfer->sent_bytes, length, buffer);
  transfer->sent_bytes += length;
  return length;
}

size_t WriteResponseBody(char* data, size_t size, size_t count, void* user) {
  auto* transfer = static_cast<Transfer*>(user);
  if (transfer->response.body.size() + size * count > transfer->maximum_response_size) {
    return 0;
  }
  transfer->response.body.append(data, size * count);
  return size * count;
}

size_t ReadResponseHeader(char* data, size_t size, size_t count, void* user) {
  auto* transfer = static_cast<Transfer*>(user);
  const std::string line(data, size * count);
  const size_t colon = line.find(':');
  if (colon == std::string::npos) {
    return size * count;
  }
  std::string name = line.substr(0, colon);
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  const size_t value_begin = line.find_first_not_of(" \t", colon + 1);
  const size_t value_end = line.find_last_not_of(" \t\r\n");
  transfer->response.headers[name] = value_begin == std::string::npos || value_begin > value_end
                                         ? ""
                                         : line.substr(value_begin, value_end - value_begin + 1);
  return size * count;
}

HttpClientResponse FailedResponse(ErrorCode code, ExecutionVerdict verdict,
                                  const std::string& message) {
  HttpClientResponse response;
  response.error = {code, "", message, verdict};
  return response;
}

HttpClientResponse FailedTransferResponse(CURLcode code) {
  const std::string reason = curl_easy_strerror(code);
  switch (code) {
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
      return FailedResponse(ErrorCode::kUnavailable, ExecutionVerdict::kNotRun,
                            "could not connect: " + reason);
    case CURLE_OPERATION_TIMEDOUT:
      return FailedResponse(ErrorCode::kDeadlineExceeded, ExecutionVerdict::kMayHaveRun,
                            "no response in time");
    case CURLE_WRITE_ERROR:
      return FailedResponse(ErrorCode::kTooLarge, ExecutionVerdict::kRan,
                            "the response is too large");
    default:
      return FailedResponse(ErrorCode::kTargetFailed, ExecutionVerdict::kMayHaveRun,
                            "the request failed: " + reason);
  }
}

HttpClientResponse NotSentResponse() {
  return FailedResponse(ErrorCode::kShuttingDown, ExecutionVerdict::kNotRun,
                        "this process stopped");
}

bool IsUnsent(const Transfer& transfer) {
  long request_size = 0;
  curl_easy_getinfo(transfer.handle, CURLINFO_REQUEST_SIZE, &request_size);
  return request_size == 0 && transfer.sent_bytes == 0;
}

HttpClientResponse TakeResponse(Transfer& transfer, CURLcode code) {
  if (code != CURLE_OK) {
    HttpClientResponse response = FailedTransferResponse(code);
    if (IsUnsent(transfer)) {
      response.error.verdict = ExecutionVerdict::kNotRun;
    }
    return response;
  }
  long status = 0;
  curl_easy_getinfo(transfer.handle, CURLINFO_RESPONSE_CODE, &status);
  transfer.response.status = static_cast<int>(status);
  return std::move(transfer.response);
}

}  // namespace

class HttpClient::Impl {
 public:
  explicit Impl(const HttpClientSettings& settings);
  ~Impl();

  void SendRequest(HttpClientRequest request, CompletionCallback on_done);
  void Stop();

 private:
  /// Queues `transfer` and returns true; leaves it to the caller and returns false after `Stop`.
  bool EnqueueTransfer(std::unique_ptr<Transfer>& transfer);
  void RunEventLoop();
  bool TakeQueuedTransfers(std::vector<std::unique_ptr<Transfer>>& new_transfers);
  void StartTransfer(std::unique_ptr<Transfer> transfer);
  void SetOptions(Transfer& transfer) const;
  void CompleteFinishedTransfers();
  void FailAllTransfers();
  void ReleaseHandle(Transfer& transfer);

  HttpClientSettings settings;
  CURLM* multi_handle;
  std::mutex mutex;
  std::vector<std::unique_ptr<Transfer>> queued_transfers;
  bool is_stopping = false;
  // The two members below are used only by the client's thread while it runs.
  std::unordered_map<CURL*, std::unique_ptr<Transfer>> active_transfers;
  std::vector<CURL*> idle_handles;
  std::thread thread;
};

HttpClient::Impl::Impl(const HttpClientSettings& settings)
    : settings(settings), multi_handle(curl_multi_init()) {
  curl_multi_setopt(this->multi_handle, CURLMOPT_MAX_HOST_CONNECTIONS,
                    static_cast<long>(settings.maximum_connections_per_address.value()));
  curl_multi_setopt(this->multi_handle, CURLMOPT_MAXCONNECTS, kMaximumIdleConnections);
  this->thread = std::thread([this] {
    base::SetThreadName("outbound");
    this->RunEventLoop();
  });
}

void HttpClient::Impl::Stop() {
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    if (this->is_stopping) {
      return;
    }
    this->is_stopping = true;
  }
  curl_multi_wakeup(this->multi_handle);
  this->thread.join();
}

HttpClient::Impl::~Impl() {
  this->Stop();
  for (CURL* handle : this->idle_handles) {
    curl_easy_cleanup(handle);
  }
  curl_multi_cleanup(this->multi_handle);
}

void HttpClient::Impl::SendRequest(HttpClientRequest request, CompletionCallback on_done) {
  auto transfer = std::make_unique<Transfer>();
  transfer->request = std::move(request);
  transfer->on_done = std::move(on_done);
  transfer->maximum_response_size =
      static_cast<size_t>(this->settings.maximum_response_size.value());
  if (!this->EnqueueTransfer(transfer)) {
    transfer->on_done(NotSentResponse());
  }
}

bool HttpClient::Impl::EnqueueTransfer(std::unique_ptr<Transfer>& transfer) {
  bool was_empty = false;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    if (this->is_stopping) {
      return false;
    }
    was_empty = this->queued_transfers.empty();
    this->queued_transfers.push_back(std::move(transfer));
  }
  if (was_empty) {
    curl_multi_wakeup(this->multi_handle);
  }
  return true;
}

void HttpClient::Impl::RunEventLoop() {
  std::vector<std::unique_ptr<Transfer>> new_transfers;
  while (this->TakeQueuedTransfers(new_transfers)) {
    for (auto& transfer : new_transfers) {
      this->StartTransfer(std::move(transfer));
    }
    new_transfers.clear();
    int running = 0;
    curl_multi_perform(this->multi_handle, &running);
    this->CompleteFinishedTransfers();
    curl_multi_poll(this->multi_handle, nullptr, 0, kPollTimeoutMilliseconds, nullptr);
  }
  this->FailAllTransfers();
}

bool HttpClient::Impl::TakeQueuedTransfers(std::vector<std::unique_ptr<Transfer>>& new_transfers) {
  std::lock_guard<std::mutex> lock(this->mutex);
  new_transfers.swap(this->queued_transfers);
  return !this->is_stopping;
}

void HttpClient::Impl::StartTransfer(std::unique_ptr<Transfer> transfer) {
  if (this->idle_handles.empty()) {
    transfer->handle = curl_easy_init();
  } else {
    transfer->handle = this->idle_handles.back();
    this->idle_handles.pop_back();
  }
  this->SetOptions(*transfer);
  CURL* handle = transfer->handle;
  this->active_transfers.emplace(handle, std::move(transfer));
  curl_multi_add_handle(this->multi_handle, handle);
}

void HttpClient::Impl::SetOptions(Transfer& transfer) const {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  const auto timeout =
      std::max<long>(1, duration_cast<milliseconds>(transfer.request.timeout).count());
  const std::string url = "http://" + transfer.request.address.value() + transfer.request.path;
  // Disables "Expect: 100-continue", with which a large body would wait for permission to be sent.
  transfer.headers = curl_slist_append(nullptr, "Expect:");
  for (const std::string& header : transfer.request.headers) {
    transfer.headers = curl_slist_append(transfer.headers, header.c_str());
  }
  CURL* handle = transfer.handle;
  curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  if (transfer.request.method == "POST") {
    // The body needs at least one byte: libcurl sends the request again unless it would have to
    // rewind a body that it has read.
    if (transfer.request.body.empty()) {
      transfer.request.body = "null";
    }
    curl_easy_setopt(handle, CURLOPT_POST, 1L);
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(transfer.request.body.size()));
    curl_easy_setopt(handle, CURLOPT_READFUNCTION, ReadRequestBody);
    curl_easy_setopt(handle, CURLOPT_READDATA, &transfer);
  } else {
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, transfer.request.method.c_str());
  }
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, WriteResponseBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &transfer);
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, ReadResponseHeader);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, &transfer);
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, transfer.headers);
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, timeout);
  curl_easy_setopt(
      handle, CURLOPT_CONNECTTIMEOUT_MS,
      static_cast<long>(duration_cast<milliseconds>(this->settings.connect_timeout).count()));
}

void HttpClient::Impl::CompleteFinishedTransfers() {
  int remaining_messages = 0;
  while (CURLMsg* message = curl_multi_info_read(this->multi_handle, &remaining_messages)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    const CURLcode code = message->data.result;
    auto found = this->active_transfers.find(message->easy_handle);
    const std::unique_ptr<Transfer> transfer = std::move(found->second);
    this->active_transfers.erase(found);
    const HttpClientResponse response = TakeResponse(*transfer, code);
    this->ReleaseHandle(*transfer);
    transfer->on_done(response);
  }
}

void HttpClient::Impl::FailAllTransfers() {
  const HttpClientResponse stopped_response = FailedResponse(
      ErrorCode::kShuttingDown, ExecutionVerdict::kMayHaveRun, "this process stopped");
  for (auto& [handle, transfer] : this->active_transfers) {
    this->ReleaseHandle(*transfer);
    transfer->on_done(stopped_response);
  }
  this->active_transfers.clear();
  std::vector<std::unique_ptr<Transfer>> unstarted_transfers;
  this->TakeQueuedTransfers(unstarted_transfers);
  for (auto& transfer : unstarted_transfers) {
    transfer->on_done(NotSentResponse());
  }
}

void HttpClient::Impl::ReleaseHandle(Transfer& transfer) {
  curl_multi_remove_handle(this->multi_handle, transfer.handle);
  curl_slist_free_all(transfer.headers);
  if (this->idle_handles.size() >= kMaximumIdleHandles) {
    curl_easy_cleanup(transfer.handle);
    return;
  }
  curl_easy_reset(transfer.handle);
  this->idle_handles.push_back(transfer.handle);
}

HttpClient::HttpClient(const HttpClientSettings& settings)
    : impl(std::make_unique<Impl>(settings)) {}

HttpClient::~HttpClient() = default;

void HttpClient::Stop() { this->impl->Stop(); }

void HttpClient::SendRequest(HttpClientRequest request, CompletionCallback on_done) {
  this->impl->SendRequest(std::move(request), std::move(on_done));
}

}  // namespace sapphirecrank::outbound
