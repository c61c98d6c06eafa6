#include "tests/entryhost/cluster.h"

#include <curl/curl.h>

#include <chrono>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <thread>

#include "frontend/authenticator.h"
#include "tests/support/free_port.h"

namespace sapphirecrank::testing {

using Json = nlohmann::json;

namespace {

constexpr int kSlotsPerTarget = 8;
constexpr auto kPollInterval = std::chrono::milliseconds(20);
constexpr int64_t kMilliCoresPerTarget = 16000;
constexpr int64_t kBytesPerTarget = 32LL * 1024 * 1024 * 1024;
constexpr int kConnectionsPerTarget = 64;

size_t AppendToString(char* data, size_t size, size_t count, void* user) {
  static_cast<std::string*>(user)->append(data, size * count);
  return size * count;
}

/// Sends a POST request if there is a body, otherwise a GET request.
Cluster::Response CallHttp(const std::string& url, const std::string* body) {
  Cluster::Response response;
  CURL* handle = curl_easy_init();
  curl_slist* headers = curl_slist_append(nullptr, "Expect:");
  curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, AppendToString);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &response.body);
  if (body != nullptr) {
    curl_easy_setopt(handle, CURLOPT_COPYPOSTFIELDS, body->c_str());
  }
  if (curl_easy_perform(handle) == CURLE_OK) {
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &response.status);
  }
  curl_slist_free_all(headers);
  curl_easy_cleanup(handle);
  return response;
}

}  // namespace

Cluster::Cluster(size_t host_count, size_t worker_count, size_t runner_count)
    : logger(observability::LogLevel::kError, observability::Logger::StandardOutputHooks()),
      hosts(host_count) {
  for (size_t i = 0; i < host_count; ++i) {
    this->http_addresses.push_back(FreeLoopbackAddress());
    this->peer_addresses.push_back(FreeLoopbackAddress());
  }
  for (size_t i = 0; i < host_count; ++i) {
    this->StartHost(i);
  }
  this->StartTargets("worker", worker_count);
  this->StartTargets("runner", runner_count);
  this->WaitUntilUsable((worker_count + runner_count) * kSlotsPerTarget);
}

Cluster::~Cluster() {
  this->targets.clear();
  this->hosts.clear();
}

Cluster::Response Cluster::Post(size_t host, const std::string& path,
                                const std::string& body) const {
  return CallHttp("http://" + this->http_addresses[host] + path, &body);
}

std::string Cluster::NewSubmissionId() {
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  return "ba:" + std::to_string(now.count()) + "-" + std::to_string(this->next_submission_number++);
}

std::string Cluster::MakeJobBody(const std::string& id, int task_count, int sleep_ms,
                                 int deadline_ms) const {
  Json tasks = Json::array();
  for (int i = 0; i < task_count; ++i) {
    tasks.push_back({{"payload", {{"sleep_ms", sleep_ms}, {"echo", i}, {"id", id}}}});
  }
  return Json(
             {{"submission", id}, {"team", "tags"}, {"deadline_ms", deadline_ms}, {"tasks", tasks}})
      .dump();
}

void Cluster::KillHost(size_t host) { this->hosts[host].reset(); }

void Cluster::DrainHost(size_t host) {
  this->hosts[host]->Drain();
  this->hosts[host].reset();
}

std::vector<std::string> Cluster::StartedPayloads() const {
  std::vector<std::string> payloads;
  for (const auto& target : this->targets) {
    const std::vector<std::string> started = target->StartedPayloads();
    payloads.insert(payloads.end(), started.begin(), started.end());
  }
  return payloads;
}

void Cluster::StartHost(size_t index) {
  configuration::Settings settings;
  settings.host = base::HostId("ba-" + std::to_string(index));
  settings.data_centre = base::DataCentreId("ba");
  settings.http_listen_address = base::NetworkAddress(this->http_addresses[index]);
  settings.peer_listen_address = base::NetworkAddress(this->peer_addresses[index]);
  settings.data_folder = this->folder.Path() + "/" + std::to_string(index);
  std::filesystem::create_directory(settings.data_folder);
  settings.teams.push_back({base::TeamId("tags"), base::Weight(1)});
  for (size_t i = 0; i < this->hosts.size(); ++i) {
    if (i != index) {
      configuration::PeerSettings peer;
      peer.host = base::HostId("ba-" + std::to_string(i));
      peer.data_centre = settings.data_centre;
      peer.address = base::NetworkAddress(this->peer_addresses[i]);
      settings.peers.push_back(peer);
    }
  }
  this->hosts[index] = std::make_unique<entryhost::EntryHost>(settings, "secret", this->logger,
                                                              frontend::Authenticator({}, {}));
  if (!this->hosts[index]->Start()) {
    std::abort();
  }
}

void Cluster::StartTargets(const std::string& kind, size_t count) {
  for (size_t i = 0; i < count; ++i) {
    FakeTargetSettings settings;
    targets::TargetAnnouncement& announcement = settings.announcement;
    announcement.id = base::TargetId(kind + "-" + std::to_string(i));
    announcement.kind = kind == "runner" ? base::TargetKind::kRunner : base::TargetKind::kWorker;
    announcement.slots = base::SlotCount(kSlotsPerTarget);
    announcement.connections = base::ConnectionCount(kConnectionsPerTarget);
    announcement.data_centre = base::DataCentreId("ba");
    announcement.rack = base::RackId("rack-0");
    announcement.capacity = {base::MilliCores(kMilliCoresPerTarget),
                             base::ByteCount(kBytesPerTarget), base::AcceleratorCount(0)};
    settings.entry_hosts = this->http_addresses;
    settings.choose_behaviour = [](const std::string&, const std::string& payload) {
      return EchoBehaviour(payload);
    };
    this->targets.push_back(std::make_unique<FakeTarget>(settings));
  }
}

void Cluster::WaitUntilUsable(size_t slot_count) const {
  size_t free_slots = 0;
  size_t confirmed_hosts = 0;
  while (free_slots < slot_count || confirmed_hosts < this->http_addresses.size()) {
    free_slots = 0;
    confirmed_hosts = 0;
    for (const std::string& address : this->http_addresses) {
      const Json status =
          Json::parse(CallHttp("http://" + address + "/v1/status", nullptr).body, nullptr, false);
      if (status.is_object()) {
        // Free slots don't show that a host without targets of its own has a confirmed view.
        confirmed_hosts += status["view_confirmed"].get<bool>() ? 1 : 0;
        free_slots += status["load"]["worker"]["free_slots"].get<size_t>();
        free_slots += status["load"]["runner"]["free_slots"].get<size_t>();
      }
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace sapphirecrank::testing
