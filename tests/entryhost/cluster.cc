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

constexpr int kSlots = 8;
constexpr auto kPoll = std::chrono::milliseconds(20);
constexpr int64_t kProcessors = 16000;
constexpr int64_t kMemory = 32LL * 1024 * 1024 * 1024;
constexpr int kConnections = 64;

size_t AppendTo(char* data, size_t size, size_t count, void* user) {
  static_cast<std::string*>(user)->append(data, size * count);
  return size * count;
}

Cluster::Answer Call(const std::string& url, const std::string* body) {
  Cluster::Answer answer;
  CURL* handle = curl_easy_init();
  curl_slist* headers = curl_slist_append(nullptr, "Expect:");
  curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, AppendTo);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &answer.body);
  if (body != nullptr) {
    curl_easy_setopt(handle, CURLOPT_COPYPOSTFIELDS, body->c_str());
  }
  if (curl_easy_perform(handle) == CURLE_OK) {
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &answer.status);
  }
  curl_slist_free_all(headers);
  curl_easy_cleanup(handle);
  return answer;
}

}  // namespace

Cluster::Cluster(size_t hosts, size_t workers, size_t runners)
    : logger(observability::LogLevel::kError, observability::Logger::StandardOutputHooks()),
      hosts(hosts) {
  for (size_t i = 0; i < hosts; ++i) {
    this->http_addresses.push_back(FreeLoopbackAddress());
    this->peer_addresses.push_back(FreeLoopbackAddress());
  }
  for (size_t i = 0; i < hosts; ++i) {
    this->StartHost(i);
  }
  this->StartTargets("worker", workers);
  this->StartTargets("runner", runners);
  this->WaitUntilUsable((workers + runners) * kSlots);
}

Cluster::~Cluster() {
  this->targets.clear();
  this->hosts.clear();
}

Cluster::Answer Cluster::Post(size_t host, const std::string& path, const std::string& body) const {
  return Call("http://" + this->http_addresses[host] + path, &body);
}

std::string Cluster::NewId() {
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  return "ba:" + std::to_string(now.count()) + "-" + std::to_string(this->next_id++);
}

std::string Cluster::Job(const std::string& id, int tasks, int sleep_ms, int deadline_ms) const {
  Json list = Json::array();
  for (int i = 0; i < tasks; ++i) {
    list.push_back({{"payload", {{"sleep_ms", sleep_ms}, {"echo", i}, {"id", id}}}});
  }
  return Json({{"submission", id}, {"team", "tags"}, {"deadline_ms", deadline_ms}, {"tasks", list}})
      .dump();
}

void Cluster::Kill(size_t host) { this->hosts[host].reset(); }

void Cluster::Drain(size_t host) {
  this->hosts[host]->Drain();
  this->hosts[host].reset();
}

std::vector<std::string> Cluster::Started() const {
  std::vector<std::string> all;
  for (const auto& target : this->targets) {
    const std::vector<std::string> started = target->StartedPayloads();
    all.insert(all.end(), started.begin(), started.end());
  }
  return all;
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
    announcement.slots = base::SlotCount(kSlots);
    announcement.connections = base::ConnectionCount(kConnections);
    announcement.data_centre = base::DataCentreId("ba");
    announcement.rack = base::RackId("rack-0");
    announcement.capacity = {base::MilliCores(kProcessors), base::ByteCount(kMemory),
                             base::AcceleratorCount(0)};
    settings.entry_hosts = this->http_addresses;
    settings.choose_behaviour = [](const std::string&, const std::string& payload) {
      return EchoBehaviour(payload);
    };
    this->targets.push_back(std::make_unique<FakeTarget>(settings));
  }
}

void Cluster::WaitUntilUsable(size_t slots) const {
  size_t free = 0;
  size_t confirmed = 0;
  while (free < slots || confirmed < this->http_addresses.size()) {
    free = 0;
    confirmed = 0;
    for (const std::string& address : this->http_addresses) {
      const Json status =
          Json::parse(Call("http://" + address + "/v1/status", nullptr).body, nullptr, false);
      if (status.is_object()) {
        // A host without targets of its own may be confirmed last.
        confirmed += status["view_confirmed"].get<bool>() ? 1 : 0;
        free += status["load"]["worker"]["free_slots"].get<size_t>();
        free += status["load"]["runner"]["free_slots"].get<size_t>();
      }
    }
    std::this_thread::sleep_for(kPoll);
  }
}

}  // namespace sapphirecrank::testing
