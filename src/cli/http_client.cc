#include "cli/http_client.h"

#include <curl/curl.h>

#include <memory>

namespace sapphirecrank::cli {

using base::ErrorCode;
using base::MakeErrorResult;

namespace {

constexpr base::Duration kConnectTimeout = std::chrono::seconds(2);
constexpr long kMaximumRedirects = 3;

/// State of `ReportProgress` between two calls.
struct TransferProgress {
  const std::function<void(base::Duration)>& on_waiting;
  std::chrono::steady_clock::time_point started_at = std::chrono::steady_clock::now();
  base::Duration last_reported{0};
};

long ToMilliseconds(base::Duration duration) {
  return static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

size_t AppendBody(char* data, size_t size, size_t count, void* user) {
  static_cast<std::string*>(user)->append(data, size * count);
  return size * count;
}

int ReportProgress(void* user, curl_off_t /*download_total*/, curl_off_t /*downloaded*/,
                   curl_off_t /*upload_total*/, curl_off_t /*uploaded*/) {
  auto* progress = static_cast<TransferProgress*>(user);
  const base::Duration elapsed = std::chrono::steady_clock::now() - progress->started_at;
  if (elapsed - progress->last_reported >= std::chrono::seconds(1)) {
    progress->last_reported = elapsed;
    progress->on_waiting(elapsed);
  }
  return 0;
}

base::Error MakeTransferError(CURL* handle, CURLcode code, const std::string& address) {
  const std::string reason = std::string(curl_easy_strerror(code));
  long request_size = 0;
  curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &request_size);
  if (request_size == 0) {
    return {ErrorCode::kUnavailable, "entry-host", "can't connect to " + address + ": " + reason,
            base::ExecutionVerdict::kNotRun};
  }
  const ErrorCode error_code =
      code == CURLE_OPERATION_TIMEDOUT ? ErrorCode::kDeadlineExceeded : ErrorCode::kInternal;
  return {error_code, "entry-host", "no response from " + address + ": " + reason,
          base::ExecutionVerdict::kMayHaveRun};
}

}  // namespace

base::Result<HttpClientResponse> CallEntryHost(
    const HttpClientRequest& request, const std::function<void(base::Duration)>& on_waiting) {
  const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> handle(curl_easy_init(),
                                                                   &curl_easy_cleanup);
  // Disables "Expect: 100-continue", with which a large body would wait up to a second for
  // permission to be sent.
  curl_slist* header_list = curl_slist_append(nullptr, "Expect:");
  header_list = curl_slist_append(header_list, "Content-Type: application/json");
  if (!request.credential.empty()) {
    header_list =
        curl_slist_append(header_list, ("Authorization: Bearer " + request.credential).c_str());
  }
  const std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> headers(header_list,
                                                                            &curl_slist_free_all);
  HttpClientResponse response;
  TransferProgress progress{on_waiting};
  const std::string url = "http://" + request.entry_host.value() + request.path;
  CURL* curl = handle.get();
  curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_PROXY, "");
  curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(curl, CURLOPT_FOLLOWLOCATION, request.follows_redirects ? 1L : 0L);
  curl_easy_setopt(curl, CURLOPT_MAXREDIRS, kMaximumRedirects);
  curl_easy_setopt(curl, CURLOPT_REDIR_PROTOCOLS_STR, "http");
  curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, ToMilliseconds(kConnectTimeout));
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, ToMilliseconds(request.timeout));
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &AppendBody);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &response.body);
  curl_easy_setopt(curl, CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt(curl, CURLOPT_XFERINFOFUNCTION, &ReportProgress);
  curl_easy_setopt(curl, CURLOPT_XFERINFODATA, &progress);
  if (request.method == "POST") {
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request.body.data());
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
  }
  const CURLcode code = curl_easy_perform(curl);
  if (code != CURLE_OK) {
    return tl::make_unexpected(MakeTransferError(curl, code, request.entry_host.value()));
  }
  long status = 0;
  curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
  response.status = static_cast<int>(status);
  return response;
}

std::string EscapePathSegment(const std::string& text) {
  char* escaped = curl_easy_escape(nullptr, text.c_str(), static_cast<int>(text.size()));
  std::string result = escaped;
  curl_free(escaped);
  return result;
}

}  // namespace sapphirecrank::cli
