#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "configuration/settings_error.h"

namespace sapphirecrank::configuration {

/// Finds all errors of a settings document at once: syntax, schema, unknown and repeated fields,
/// and contradictions between fields. Doesn't open the files that the document names.
///
/// Thread safety: none; each thread uses its own object.
class SettingsValidator {
 public:
  /// Returns the errors of the document `text` in no particular order, or an empty list if it is
  /// valid.
  std::vector<SettingsError> Validate(const std::string& text);

 private:
  using Json = nlohmann::json;

  bool ParseDocument(const std::string& text, Json& document);
  void CheckSchema(const Json& document);
  void CheckUnknownFields(const Json& value, const Json& schema, const std::string& path);
  void CheckAddresses(const Json& document);
  void CheckAddress(const std::string& address, bool is_listening, const std::string& path);
  void CheckPeers(const Json& document);
  void CheckTeams(const Json& document);
  void AddError(const std::string& path, const std::string& message);

  std::vector<SettingsError> errors;
};

}  // namespace sapphirecrank::configuration
