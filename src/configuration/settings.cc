#include "configuration/settings.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>

#include "json/object_reader.h"

namespace sapphirecrank::configuration {

using json::ObjectReader;
using Json = nlohmann::json;

namespace {

constexpr size_t kLongestName = 128;
constexpr size_t kLongestPath = 4096;
constexpr size_t kMostHosts = 1024;
constexpr size_t kMostTeams = 10000;
constexpr int64_t kMostWeight = 1000000;

void ReadPeers(ObjectReader& reader, std::optional<base::Error>& error, Settings& settings) {
  reader.Array("peers", 0, kMostHosts, [&](const Json& element, const std::string& path) {
    ObjectReader item(element, path, error);
    HostAddress peer;
    peer.host = base::HostId(item.Text("host", kLongestName));
    peer.data_centre = base::DataCentreId(item.Text("data_centre", kLongestName));
    peer.address = base::NetworkAddress(item.Text("address", kLongestName));
    item.Finish();
    settings.peers.push_back(peer);
  });
}

void ReadTeams(ObjectReader& reader, std::optional<base::Error>& error, Settings& settings) {
  reader.Array("teams", 1, kMostTeams, [&](const Json& element, const std::string& path) {
    ObjectReader item(element, path, error);
    TeamSettings team;
    team.id = base::TeamId(item.Text("id", kLongestName));
    team.weight = base::Weight(item.Integer("weight", 1, kMostWeight, 1));
    item.Finish();
    settings.teams.push_back(team);
  });
}

}  // namespace

base::Result<Settings> ParseSettings(const std::string& text) {
  const Json document = Json::parse(text, nullptr, false);
  if (document.is_discarded()) {
    return base::Fail(base::ErrorCode::kInvalidArgument, "the settings are not valid JSON",
                      "settings");
  }
  std::optional<base::Error> error;
  ObjectReader reader(document, "", error);
  Settings settings;
  settings.host = base::HostId(reader.Text("host", kLongestName));
  settings.data_centre = base::DataCentreId(reader.Text("data_centre", kLongestName));
  settings.http_listen = base::NetworkAddress(reader.Text("http_listen", kLongestName));
  settings.peer_listen = base::NetworkAddress(reader.Text("peer_listen", kLongestName));
  settings.secret_file = reader.Text("secret_file", kLongestPath);
  ReadPeers(reader, error, settings);
  ReadTeams(reader, error, settings);
  reader.Finish();
  if (error) {
    return tl::make_unexpected(*error);
  }
  return settings;
}

base::Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return base::Fail(base::ErrorCode::kNotFound,
                      "can't read '" + path + "': " + std::strerror(errno), "file");
  }
  return std::string(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
}

}  // namespace sapphirecrank::configuration
