#include "configuration/settings_validator.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "configuration/settings_schema.h"

namespace sapphirecrank::configuration {

using Json = nlohmann::json;

namespace {

constexpr size_t kMaximumShownCharacters = 80;
constexpr int kMaximumPort = 65535;
constexpr int kMaximumOctet = 255;
constexpr int kMaximumNestingDepth = 32;

std::string JoinPath(const std::string& path, const std::string& name) {
  return path.empty() ? name : path + "." + name;
}

std::string ElementPath(const std::string& path, size_t index) {
  return path + "[" + std::to_string(index) + "]";
}

std::string FormatValue(const Json& value) {
  std::string text = value.dump(-1, ' ', true, Json::error_handler_t::replace);
  if (text.size() > kMaximumShownCharacters) {
    text = text.substr(0, kMaximumShownCharacters) + "...";
  }
  return text;
}

/// A value in the document, with its path and the part of the schema that describes it.
struct SchemaLocation {
  std::string path;
  const Json* value;
  const Json* schema;
};

/// Finds the value that a validation error is about. `context` is "<root>", followed by "[name]" or
/// "[index]" for each level.
SchemaLocation ResolveLocation(const std::vector<std::string>& context, const Json& document,
                               const Json& schema) {
  SchemaLocation location{"", &document, &schema};
  for (size_t i = 1; i < context.size(); ++i) {
    const std::string component = context[i].substr(1, context[i].size() - 2);
    if (location.value->is_array()) {
      const size_t index = std::stoul(component);
      location = {ElementPath(location.path, index), &(*location.value)[index],
                  &location.schema->at("items")};
    } else {
      location = {JoinPath(location.path, component), &location.value->at(component),
                  &location.schema->at("properties").at(component)};
    }
  }
  return location;
}

std::string ExpectedDescription(const Json& schema) {
  return schema.at("description").get<std::string>();
}

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

/// Tells whether a validation error only repeats the error of a contained value, or reports an
/// unknown field, which `CheckUnknownFields` does too.
bool IsRedundantError(const std::string& description) {
  return StartsWith(description, "Failed to validate") ||
         StartsWith(description, "Object contains a property");
}

/// Returns a name without its unit, so that "timeout_s" matches "timeout_ms".
std::string StripUnit(const std::string& name) {
  static const std::set<std::string> kUnits = {"ms", "s",     "sec", "seconds", "us", "ns",
                                               "b",  "bytes", "kb",  "kib",     "mb", "mib"};
  const size_t end = name.rfind('_');
  const bool has_unit = end != std::string::npos && kUnits.count(name.substr(end + 1)) > 0;
  return has_unit ? name.substr(0, end) : name;
}

size_t EditDistance(const std::string& a, const std::string& b) {
  std::vector<size_t> row(b.size() + 1);
  for (size_t j = 0; j <= b.size(); ++j) {
    row[j] = j;
  }
  for (size_t i = 1; i <= a.size(); ++i) {
    size_t diagonal = row[0];
    row[0] = i;
    for (size_t j = 1; j <= b.size(); ++j) {
      const size_t substitution = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({substitution, row[j] + 1, row[j - 1] + 1});
    }
  }
  return row[b.size()];
}

std::string SuggestField(const std::string& name, const Json& properties) {
  constexpr size_t kMaximumEditDistance = 2;
  constexpr size_t kMaximumComparedSize = 64;
  if (name.size() > kMaximumComparedSize) {
    return "";
  }
  for (const auto& known : properties.items()) {
    if (StripUnit(known.key()) == StripUnit(name)) {
      return "; the unit is part of the name: use '" + known.key() + "', " +
             ExpectedDescription(known.value());
    }
    if (EditDistance(known.key(), name) <= kMaximumEditDistance) {
      return "; did you mean '" + known.key() + "'?";
    }
  }
  return "";
}

/// Returns the number in `text`, or -1 if the text is empty, contains anything but digits, or
/// exceeds `maximum`.
int ParseNumber(const std::string& text, int maximum) {
  constexpr size_t kMaximumDigits = 5;
  const bool is_number = !text.empty() && text.size() <= kMaximumDigits &&
                         text.find_first_not_of("0123456789") == std::string::npos;
  const int number = is_number ? std::stoi(text) : -1;
  return number <= maximum ? number : -1;
}

bool IsIpv4Address(const std::string& text) {
  constexpr int kOctetCount = 4;
  std::istringstream stream(text);
  std::string octet;
  int count = 0;
  while (std::getline(stream, octet, '.')) {
    if (ParseNumber(octet, kMaximumOctet) < 0) {
      return false;
    }
    ++count;
  }
  return count == kOctetCount && text.back() != '.';
}

/// Returns a member of an object, or null if it is missing or isn't a string.
const std::string* FindString(const Json& object, const std::string& name) {
  if (!object.is_object()) {
    return nullptr;
  }
  const auto found = object.find(name);
  return found != object.end() && found->is_string() ? found->get_ptr<const std::string*>()
                                                     : nullptr;
}

/// Returns a member of the document, or an empty array if it is missing or isn't an array.
const Json& FindArray(const Json& document, const std::string& name) {
  static const Json kEmptyArray = Json::array();
  if (!document.is_object()) {
    return kEmptyArray;
  }
  const auto found = document.find(name);
  return found != document.end() && found->is_array() ? *found : kEmptyArray;
}

}  // namespace

std::vector<SettingsError> SettingsValidator::Validate(const std::string& text) {
  this->errors.clear();
  Json document;
  if (this->ParseDocument(text, document)) {
    this->CheckSchema(document);
    this->CheckAddresses(document);
    this->CheckPeers(document);
    this->CheckTeams(document);
  }
  return this->errors;
}

bool SettingsValidator::ParseDocument(const std::string& text, Json& document) {
  std::vector<std::set<std::string>> names_of_open_objects;
  bool is_too_deep = false;
  const auto on_parse_event = [&](int depth, Json::parse_event_t event, Json& value) {
    is_too_deep = is_too_deep || depth > kMaximumNestingDepth;
    if (event == Json::parse_event_t::object_start) {
      names_of_open_objects.emplace_back();
    } else if (event == Json::parse_event_t::object_end) {
      names_of_open_objects.pop_back();
    } else if (event == Json::parse_event_t::key) {
      const auto name = value.get<std::string>();
      if (!names_of_open_objects.back().insert(name).second) {
        this->AddError("", "field '" + name + "' occurs twice in one object");
      }
    }
    return true;
  };
  try {
    document = Json::parse(text, on_parse_event);
  } catch (const Json::exception& parse_error) {
    this->AddError("", std::string("not valid JSON: ") + parse_error.what());
    return false;
  }
  if (is_too_deep) {
    this->AddError("", "nested too deeply");
  }
  return !is_too_deep;
}

void SettingsValidator::CheckSchema(const Json& document) {
  const Json schema_document = Json::parse(SettingsSchema());
  valijson::Schema schema;
  valijson::SchemaParser parser;
  const valijson::adapters::NlohmannJsonAdapter schema_adapter(schema_document);
  parser.populateSchema(schema_adapter, schema);
  // With weak types the validator would accept the string "4" for the number 4.
  valijson::Validator validator(valijson::Validator::kStrongTypes);
  valijson::ValidationResults results;
  const valijson::adapters::NlohmannJsonAdapter adapter(document);
  validator.validate(schema, adapter, &results);
  std::set<std::string> reported_paths;
  for (const valijson::ValidationResults::Error& error : results) {
    if (IsRedundantError(error.description)) {
      continue;
    }
    const SchemaLocation location = ResolveLocation(error.context, document, schema_document);
    if (StartsWith(error.description, "Missing required")) {
      const size_t begin = error.description.find('\'') + 1;
      const std::string name =
          error.description.substr(begin, error.description.rfind('\'') - begin);
      this->AddError(JoinPath(location.path, name),
                     "is missing; expected " +
                         ExpectedDescription(location.schema->at("properties").at(name)));
    } else if (reported_paths.insert(location.path).second) {
      this->AddError(location.path, "is " + FormatValue(*location.value) + "; expected " +
                                        ExpectedDescription(*location.schema));
    }
  }
  this->CheckUnknownFields(document, schema_document, "");
}

void SettingsValidator::CheckUnknownFields(const Json& value, const Json& schema,
                                           const std::string& path) {
  if (value.is_array() && schema.contains("items")) {
    for (size_t i = 0; i < value.size(); ++i) {
      this->CheckUnknownFields(value[i], schema.at("items"), ElementPath(path, i));
    }
  }
  if (!value.is_object() || !schema.contains("properties")) {
    return;
  }
  const Json& properties = schema.at("properties");
  for (const auto& item : value.items()) {
    if (properties.contains(item.key())) {
      this->CheckUnknownFields(item.value(), properties.at(item.key()), JoinPath(path, item.key()));
    } else {
      this->AddError(JoinPath(path, item.key()),
                     "unknown field" + SuggestField(item.key(), properties));
    }
  }
}

void SettingsValidator::CheckAddresses(const Json& document) {
  const std::string* http = FindString(document, "http_listen");
  const std::string* peer = FindString(document, "peer_listen");
  if (http != nullptr) {
    this->CheckAddress(*http, true, "http_listen");
  }
  if (peer != nullptr) {
    this->CheckAddress(*peer, true, "peer_listen");
  }
  const bool is_free_port =
      http != nullptr && http->size() > 2 && http->compare(http->size() - 2, 2, ":0") == 0;
  if (http != nullptr && peer != nullptr && *http == *peer && !is_free_port) {
    this->AddError("peer_listen", "is the same address as http_listen, " + *http);
  }
}

void SettingsValidator::CheckAddress(const std::string& address, bool is_listening,
                                     const std::string& path) {
  const size_t colon = address.rfind(':');
  const bool has_port = colon != std::string::npos;
  const int port = has_port ? ParseNumber(address.substr(colon + 1), kMaximumPort) : -1;
  if (!has_port || !IsIpv4Address(address.substr(0, colon)) || port < 0) {
    this->AddError(path, "is '" + FormatValue(address) +
                             "'; expected an IP number and a port from 1 to 65535, such as "
                             "10.0.0.1:8080");
    return;
  }
  if (!is_listening && (port == 0 || StartsWith(address, "0.0.0.0:"))) {
    this->AddError(path, "is '" + address + "', which can't be connected to");
  }
}

void SettingsValidator::CheckPeers(const Json& document) {
  const std::string* own_name = FindString(document, "host");
  const std::string* own_address = FindString(document, "peer_listen");
  const Json& peers = FindArray(document, "peers");
  std::map<std::string, size_t> indices_by_name;
  std::map<std::string, size_t> indices_by_address;
  for (size_t i = 0; i < peers.size(); ++i) {
    const std::string path = ElementPath("peers", i);
    if (const std::string* name = FindString(peers[i], "host")) {
      const auto [first_use, is_new] = indices_by_name.emplace(*name, i);
      if (!is_new) {
        this->AddError(path + ".host", "is '" + *name + "', which " +
                                           ElementPath("peers", first_use->second) +
                                           " already has");
      }
      if (own_name != nullptr && *own_name == *name) {
        this->AddError(path + ".host",
                       "is this host itself, '" + *name + "'; list only other hosts");
      }
    }
    if (const std::string* address = FindString(peers[i], "address")) {
      this->CheckAddress(*address, false, path + ".address");
      const auto [first_use, is_new] = indices_by_address.emplace(*address, i);
      if (!is_new) {
        this->AddError(path + ".address", "is " + *address + ", which " +
                                              ElementPath("peers", first_use->second) +
                                              " already has");
      }
      if (own_address != nullptr && *own_address == *address) {
        this->AddError(path + ".address", "is this host's own peer_listen, " + *address);
      }
    }
  }
}

void SettingsValidator::CheckTeams(const Json& document) {
  const Json& teams = FindArray(document, "teams");
  std::map<std::string, size_t> indices_by_id;
  for (size_t i = 0; i < teams.size(); ++i) {
    const std::string* id = FindString(teams[i], "id");
    if (id == nullptr) {
      continue;
    }
    const auto [first_use, is_new] = indices_by_id.emplace(*id, i);
    if (!is_new) {
      this->AddError(
          ElementPath("teams", i) + ".id",
          "is '" + *id + "', which " + ElementPath("teams", first_use->second) + " already has");
    }
  }
}

void SettingsValidator::AddError(const std::string& path, const std::string& message) {
  this->errors.push_back({path, message});
}

}  // namespace sapphirecrank::configuration
