#include "configuration/settings.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "configuration/settings_validator.h"

namespace sapphirecrank::configuration {

using Json = nlohmann::json;

namespace {

base::Error CombineErrors(const std::vector<SettingsError>& errors) {
  std::string message;
  for (const SettingsError& error : errors) {
    message += message.empty() ? "" : "; ";
    message += (error.path.empty() ? "the document" : error.path) + ": " + error.message;
  }
  return {base::ErrorCode::kInvalidArgument, errors.front().path, message,
          base::ExecutionVerdict::kNotRun};
}

HttpSettings ParseHttpSettings(const Json& http) {
  const HttpSettings defaults;
  HttpSettings settings;
  settings.thread_count = http.value("threads", defaults.thread_count);
  settings.maximum_body_size =
      base::ByteCount(http.value("maximum_body_bytes", defaults.maximum_body_size.value()));
  settings.maximum_connections = base::ConnectionCount(
      http.value("maximum_connections", defaults.maximum_connections.value()));
  settings.maximum_connections_per_address = base::ConnectionCount(http.value(
      "maximum_connections_per_address", defaults.maximum_connections_per_address.value()));
  const auto default_idle_timeout =
      std::chrono::duration_cast<std::chrono::milliseconds>(defaults.idle_timeout);
  settings.idle_timeout =
      std::chrono::milliseconds(http.value("idle_timeout_ms", default_idle_timeout.count()));
  return settings;
}

AuthenticationSettings ParseAuthenticationSettings(const Json& authentication) {
  return {authentication.value("operator_tokens_file", ""),
          authentication.value("team_keys_file", "")};
}

/// Precondition: `SettingsValidator` has found no error in the document.
Settings ConvertSettings(const Json& document) {
  const Json empty_object = Json::object();
  const Json empty_array = Json::array();
  Settings settings;
  settings.host = base::HostId(document.at("host"));
  settings.data_centre = base::DataCentreId(document.at("data_centre"));
  settings.http_listen_address = base::NetworkAddress(document.at("http_listen"));
  settings.peer_listen_address = base::NetworkAddress(document.at("peer_listen"));
  settings.secret_file = document.at("secret_file");
  settings.data_folder = document.value("data_folder", "");
  settings.http = ParseHttpSettings(document.value("http", empty_object));
  settings.authentication =
      ParseAuthenticationSettings(document.value("authentication", empty_object));
  for (const Json& peer : document.value("peers", empty_array)) {
    settings.peers.push_back(
        {base::HostId(peer.at("host")), base::DataCentreId(peer.at("data_centre")),
         base::NetworkAddress(peer.at("address")), peer.value("has_disk", true)});
  }
  for (const Json& team : document.at("teams")) {
    settings.teams.push_back({base::TeamId(team.at("id")), base::Weight(team.value("weight", 1))});
  }
  return settings;
}

}  // namespace

base::Result<Settings> ParseSettings(const std::string& text) {
  const std::vector<SettingsError> errors = SettingsValidator().Validate(text);
  if (!errors.empty()) {
    return tl::make_unexpected(CombineErrors(errors));
  }
  return ConvertSettings(Json::parse(text));
}

base::Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return base::MakeErrorResult(base::ErrorCode::kNotFound,
                                 "can't read '" + path + "': " + std::strerror(errno), "file");
  }
  return std::string(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
}

}  // namespace sapphirecrank::configuration
