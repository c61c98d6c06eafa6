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

/// One call under way.
struct Transfer {
  HttpClientRequest request;
  HttpClient::CompletionCallback on_done;
  CURL* handle = nullptr;
  curl_slist* headers = nullptr;
  size_t sent_bytes = 0;
  HttpClientResponse response;
  size_t maximum_response_size = 0;
};

/// Gives libcurl the body. There is deliberately no function to rewind it: when a reused connection
/// ends without an answer, libcurl would send the request again, and the target may have run it.
size_t ReadRequestBody(char* buffer, size_t size, size_t count, void* user) {
  auto* call = static_cast<Transfer*>(user);
  const size_t length = std::min(size * count, call->request.body.size() - call->sent_bytes);
  std::copy_n(call->request.body.data() + call->sent_bytes, length, buffer);
  call->sent_bytes += length;
  return length;
}

size_t WriteResponseBody(char* data, size_t size, size_t count, void* user) {
  auto* call = static_cast<Transfer*>(user);
  if (call->response.body.size() + size * count > call->maximum_response_size) {
    return 0;
  }
  call->response.body.append(data, size * count);
  return size * count;
}

size_t ReadResponseHeader(char* data, size_t size, size_t count, void* user) {
  auto* call = static_cast<Transfer*>(user);
  const std::string line(data, size * count);
  const size_t colon = line.find(':');
  if (colon == std::string::npos) {
    return size * count;
  }
  std::string name = line.substr(0, colon);
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  const size_t begin = line.find_first_not_of(" \t", colon + 1);
  const size_t end = line.find_last_not_of(" \t\r\n");
  call->response.headers[name] =
      begin == std::string::npos || begin > end ? "" : line.substr(begin, end - begin + 1);
  return size * count;
}

HttpClientResponse FailedResponse(ErrorCode code, ExecutionVerdict verdict,
                                  const std::string& message) {
  HttpClientResponse reply;
  reply.error = {code, "", message, verdict};
  return reply;
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
                            "no answer in time");
    case CURLE_WRITE_ERROR:
      return FailedResponse(ErrorCode::kTooLarge, ExecutionVerdict::kRan,
                            "the answer is too large");
    default:
      return FailedResponse(ErrorCode::kTargetFailed, ExecutionVerdict::kMayHaveRun,
                            "the call failed: " + reason);
  }
}

HttpClientResponse NotSentResponse() {
  return FailedResponse(ErrorCode::kShuttingDown, ExecutionVerdict::kNotRun,
                        "this process stopped");
}

bool IsUnsent(const Transfer& call) {
  long request_size = 0;
  curl_easy_getinfo(call.handle, CURLINFO_REQUEST_SIZE, &request_size);
  return request_size == 0 && call.sent_bytes == 0;
}

HttpClientResponse TakeResponse(Transfer& call, CURLcode code) {
  if (code != CURLE_OK) {
    HttpClientResponse reply = FailedTransferResponse(code);
    if (IsUnsent(call)) {
      reply.error.verdict = ExecutionVerdict::kNotRun;
    }
    return reply;
  }
  long status = 0;
  curl_easy_getinfo(call.handle, CURLINFO_RESPONSE_CODE, &status);
  call.response.status = static_cast<int>(status);
  return std::move(call.response);
}

}  // namespace

class HttpClient::Impl {
 public:
  explicit Impl(const HttpClientSettings& settings);
  ~Impl();

  void SendRequest(HttpClientRequest request, CompletionCallback on_done);
  void Stop();

 private:
  /// Takes `call_entry_host` unless the client has stopped.
  bool EnqueueTransfer(std::unique_ptr<Transfer>& call);
  void RunEventLoop();
  bool TakeQueuedTransfers(std::vector<std::unique_ptr<Transfer>>& taken);
  void StartTransfer(std::unique_ptr<Transfer> call);
  void SetOptions(Transfer& call) const;
  void CompleteFinishedTransfers();
  void FailAllTransfers();
  void ReleaseHandle(Transfer& call);

  HttpClientSettings settings;
  CURLM* multi_handle;
  std::mutex mutex;
  std::vector<std::unique_ptr<Transfer>> queued_transfers;
  bool is_stopping = false;
  // Only the client's thread uses what follows.
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
  auto call = std::make_unique<Transfer>();
  call->request = std::move(request);
  call->on_done = std::move(on_done);
  call->maximum_response_size = static_cast<size_t>(this->settings.maximum_response_size.value());
  if (!this->EnqueueTransfer(call)) {
    call->on_done(NotSentResponse());
  }
}

bool HttpClient::Impl::EnqueueTransfer(std::unique_ptr<Transfer>& call) {
  bool was_empty = false;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    if (this->is_stopping) {
      return false;
    }
    was_empty = this->queued_transfers.empty();
    this->queued_transfers.push_back(std::move(call));
  }
  if (was_empty) {
    curl_multi_wakeup(this->multi_handle);
  }
  return true;
}

void HttpClient::Impl::RunEventLoop() {
  std::vector<std::unique_ptr<Transfer>> taken;
  while (this->TakeQueuedTransfers(taken)) {
    for (auto& call : taken) {
      this->StartTransfer(std::move(call));
    }
    taken.clear();
    int running = 0;
    curl_multi_perform(this->multi_handle, &running);
    this->CompleteFinishedTransfers();
    curl_multi_poll(this->multi_handle, nullptr, 0, kPollTimeoutMilliseconds, nullptr);
  }
  this->FailAllTransfers();
}

bool HttpClient::Impl::TakeQueuedTransfers(std::vector<std::unique_ptr<Transfer>>& taken) {
  std::lock_guard<std::mutex> lock(this->mutex);
  taken.swap(this->queued_transfers);
  return !this->is_stopping;
}

void HttpClient::Impl::StartTransfer(std::unique_ptr<Transfer> call) {
  if (this->idle_handles.empty()) {
    call->handle = curl_easy_init();
  } else {
    call->handle = this->idle_handles.back();
    this->idle_handles.pop_back();
  }
  this->SetOptions(*call);
  CURL* handle = call->handle;
  this->active_transfers.emplace(handle, std::move(call));
  curl_multi_add_handle(this->multi_handle, handle);
}

void HttpClient::Impl::SetOptions(Transfer& call) const {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  const auto timeout = std::max<long>(1, duration_cast<milliseconds>(call.request.timeout).count());
  const std::string url = "http://" + call.request.address.value() + call.request.path;
  call.headers = curl_slist_append(nullptr, "Expect:");
  for (const std::string& header : call.request.headers) {
    call.headers = curl_slist_append(call.headers, header.c_str());
  }
  CURL* handle = call.handle;
  curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  if (call.request.method == "POST") {
    // A body of at least one byte: only its unread rest stops libcurl from sending again.
    if (call.request.body.empty()) {
      call.request.body = "null";
    }
    curl_easy_setopt(handle, CURLOPT_POST, 1L);
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(call.request.body.size()));
    curl_easy_setopt(handle, CURLOPT_READFUNCTION, ReadRequestBody);
    curl_easy_setopt(handle, CURLOPT_READDATA, &call);
  } else {
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.request.method.c_str());
  }
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, WriteResponseBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &call);
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, ReadResponseHeader);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, &call);
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, call.headers);
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, timeout);
  curl_easy_setopt(
      handle, CURLOPT_CONNECTTIMEOUT_MS,
      static_cast<long>(duration_cast<milliseconds>(this->settings.connect_timeout).count()));
}

void HttpClient::Impl::CompleteFinishedTransfers() {
  int left = 0;
  while (CURLMsg* message = curl_multi_info_read(this->multi_handle, &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    const CURLcode code = message->data.result;
    auto found = this->active_transfers.find(message->easy_handle);
    const std::unique_ptr<Transfer> call = std::move(found->second);
    this->active_transfers.erase(found);
    const HttpClientResponse reply = TakeResponse(*call, code);
    this->ReleaseHandle(*call);
    call->on_done(reply);
  }
}

void HttpClient::Impl::FailAllTransfers() {
  const HttpClientResponse stopped = FailedResponse(
      ErrorCode::kShuttingDown, ExecutionVerdict::kMayHaveRun, "this process stopped");
  for (auto& [handle, call] : this->active_transfers) {
    this->ReleaseHandle(*call);
    call->on_done(stopped);
  }
  this->active_transfers.clear();
  std::vector<std::unique_ptr<Transfer>> never_begun;
  this->TakeQueuedTransfers(never_begun);
  for (auto& call : never_begun) {
    call->on_done(NotSentResponse());
  }
}

void HttpClient::Impl::ReleaseHandle(Transfer& call) {
  curl_multi_remove_handle(this->multi_handle, call.handle);
  curl_slist_free_all(call.headers);
  if (this->idle_handles.size() >= kMaximumIdleHandles) {
    curl_easy_cleanup(call.handle);
    return;
  }
  curl_easy_reset(call.handle);
  this->idle_handles.push_back(call.handle);
}

HttpClient::HttpClient(const HttpClientSettings& settings)
    : impl(std::make_unique<Impl>(settings)) {}

HttpClient::~HttpClient() = default;

void HttpClient::Stop() { this->impl->Stop(); }

void HttpClient::SendRequest(HttpClientRequest call, CompletionCallback on_done) {
  this->impl->SendRequest(std::move(call), std::move(on_done));
}

}  // namespace sapphirecrank::outbound
