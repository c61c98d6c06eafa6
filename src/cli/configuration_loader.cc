#include "cli/configuration_loader.h"

#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "configuration/settings_validator.h"
#include "frontend/credential_parser.h"

namespace sapphirecrank::cli {

namespace {

constexpr const char* kSharedSecretField = "secret_file";
constexpr const char* kOperatorTokensField = "authentication.operator_tokens_file";
constexpr const char* kTeamKeysField = "authentication.team_keys_file";

std::string TrimLineEnd(std::string text) {
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) {
    text.pop_back();
  }
  return text;
}

using Json = nlohmann::json;

/// Returns the string at `pointer`, or an empty one if there is none.
std::string StringAt(const Json& document, const std::string& pointer) {
  const Json::json_pointer json_pointer(pointer);
  const bool has_string = document.contains(json_pointer) && document.at(json_pointer).is_string();
  return has_string ? document.at(json_pointer).get<std::string>() : "";
}

/// Returns settings that hold only the file names of an otherwise invalid document.
configuration::Settings ParseFileNames(const std::string& text) {
  const Json document = Json::parse(text, nullptr, false);
  configuration::Settings settings;
  settings.secret_file = StringAt(document, "/secret_file");
  settings.authentication.operator_tokens_file =
      StringAt(document, "/authentication/operator_tokens_file");
  settings.authentication.team_keys_file = StringAt(document, "/authentication/team_keys_file");
  return settings;
}

}  // namespace

ConfigurationLoader::ConfigurationLoader(Hooks hooks) : hooks(std::move(hooks)) {}

tl::expected<EntryHostConfiguration, ConfigurationLoader::Errors> ConfigurationLoader::Load(
    const std::string& path) const {
  const auto text = this->hooks.read_file(path);
  if (!text) {
    return tl::make_unexpected(Errors{{"", text.error().message}});
  }
  Errors errors = configuration::SettingsValidator().Validate(*text);
  const bool has_valid_settings = errors.empty();
  EntryHostConfiguration configuration;
  configuration.settings =
      has_valid_settings ? *configuration::ParseSettings(*text) : ParseFileNames(*text);
  this->ReadSharedSecret(configuration, errors);
  this->ReadOperatorTokens(configuration, errors);
  this->ReadTeamKeys(configuration, errors);
  if (has_valid_settings) {
    CheckTeamsOfKeys(configuration, errors);
  }
  if (!errors.empty()) {
    return tl::make_unexpected(std::move(errors));
  }
  return configuration;
}

void ConfigurationLoader::ReadSharedSecret(EntryHostConfiguration& configuration,
                                           Errors& errors) const {
  if (configuration.settings.secret_file.empty()) {
    return;
  }
  const auto text = this->hooks.read_secret_file(configuration.settings.secret_file);
  if (!text) {
    errors.push_back({kSharedSecretField, text.error().message});
    return;
  }
  configuration.shared_secret = TrimLineEnd(*text);
  if (configuration.shared_secret.size() < frontend::kMinimumSecretBytes) {
    errors.push_back({kSharedSecretField, "the secret in '" + configuration.settings.secret_file +
                                              "' is shorter than 16 bytes"});
  }
}

void ConfigurationLoader::ReadOperatorTokens(EntryHostConfiguration& configuration,
                                             Errors& errors) const {
  const std::string& path = configuration.settings.authentication.operator_tokens_file;
  if (path.empty()) {
    return;
  }
  const auto text = this->hooks.read_secret_file(path);
  if (!text) {
    errors.push_back({kOperatorTokensField, text.error().message});
    return;
  }
  auto tokens = frontend::ParseOperatorTokens(*text);
  if (!tokens) {
    errors.push_back({kOperatorTokensField, "'" + path + "': " + tokens.error().message});
    return;
  }
  configuration.operator_tokens = std::move(*tokens);
}

void ConfigurationLoader::ReadTeamKeys(EntryHostConfiguration& configuration,
                                       Errors& errors) const {
  const std::string& path = configuration.settings.authentication.team_keys_file;
  if (path.empty()) {
    return;
  }
  const auto text = this->hooks.read_secret_file(path);
  if (!text) {
    errors.push_back({kTeamKeysField, text.error().message});
    return;
  }
  auto keys = frontend::ParseTeamKeys(*text);
  if (!keys) {
    errors.push_back({kTeamKeysField, "'" + path + "': " + keys.error().message});
    return;
  }
  configuration.team_keys = std::move(*keys);
}

void ConfigurationLoader::CheckTeamsOfKeys(const EntryHostConfiguration& configuration,
                                           Errors& errors) {
  const std::string& path = configuration.settings.authentication.team_keys_file;
  std::set<base::TeamId> teams;
  for (const configuration::TeamSettings& team : configuration.settings.teams) {
    teams.insert(team.id);
  }
  for (const frontend::TeamKey& key : configuration.team_keys) {
    if (teams.count(key.team) == 0) {
      errors.push_back({kTeamKeysField, "'" + path + "': team '" + key.team.value() +
                                            "' is not defined in the settings"});
    }
  }
}

}  // namespace sapphirecrank::cli
