#include "configuration/settings_validator.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "configuration/settings.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using configuration::SettingsError;
using configuration::SettingsValidator;
using Json = nlohmann::json;

namespace {

Json ValidSettings() {
  return Json::parse(R"({"host": "ba-0", "data_centre": "ba", "http_listen": "127.0.0.1:8080",
    "peer_listen": "127.0.0.1:8081", "secret_file": "secret",
    "peers": [{"host": "ba-1", "data_centre": "ba", "address": "127.0.0.2:8081"},
              {"host": "ba-2", "data_centre": "ba", "address": "127.0.0.3:8081"}],
    "teams": [{"id": "tags"}, {"id": "maps", "weight": 3}],
    "http": {"idle_timeout_ms": 5000}})");
}

std::vector<SettingsError> Validate(const Json& settings) {
  return SettingsValidator().Validate(settings.dump());
}

void CheckContainsError(const std::vector<SettingsError>& errors, const std::string& path,
                        const std::string& message_part) {
  for (const SettingsError& error : errors) {
    if (error.path == path && error.message.find(message_part) != std::string::npos) {
      return;
    }
  }
  std::string failure_message = "no error at '" + path + "' with '" + message_part + "' among:\n";
  for (const SettingsError& error : errors) {
    failure_message += error.path + ": " + error.message + "\n";
  }
  FAIL(failure_message.c_str());
}

}  // namespace

TEST_GROUP(SettingsValidator){};

// Guards against valid settings that are rejected or parsed wrongly.
TEST(SettingsValidator, ValidSettingsAreParsed) {
  CHECK_TRUE(Validate(ValidSettings()).empty());
  const auto settings = configuration::ParseSettings(ValidSettings().dump());
  CHECK_TRUE(settings.has_value());
  CHECK(settings->teams[1].weight == base::Weight(3));
  CHECK(settings->peers[1].host == base::HostId("ba-2"));
  CHECK(settings->http.idle_timeout == std::chrono::seconds(5));
}

// Guards against a validator that stops at the first error and makes an operator correct and
// restart once for each error.
TEST(SettingsValidator, AllErrorsAreReportedAtOnce) {
  Json settings = ValidSettings();
  settings.erase("data_centre");
  settings["http_listen"] = 8080;
  settings["peers"][1].erase("address");
  settings["teams"][0]["weight"] = "4";
  settings["colour"] = "blue";
  const auto errors = Validate(settings);
  LONGS_EQUAL(5, errors.size());
  CheckContainsError(errors, "data_centre", "missing");
  CheckContainsError(errors, "http_listen", "8080; expected an IP number and port");
  CheckContainsError(errors, "peers[1].address", "missing");
  CheckContainsError(errors, "teams[0].weight", "\"4\"; expected a whole number from 1 to 1000000");
  CheckContainsError(errors, "colour", "unknown field");
}

// Guards against a misspelled name or unit that is ignored, with the default applied instead.
TEST(SettingsValidator, MisspelledNamesAndUnitsGetASuggestion) {
  Json settings = ValidSettings();
  settings["http"] = {{"idle_timeout_s", 60}, {"maximum_bdy_bytes", 4096}};
  const auto errors = Validate(settings);
  CheckContainsError(errors, "http.idle_timeout_s", "use 'idle_timeout_ms'");
  CheckContainsError(errors, "http.maximum_bdy_bytes", "did you mean 'maximum_body_bytes'");
}

// Guards against hosts that connect to themselves or count another host twice.
TEST(SettingsValidator, ContradictionsBetweenHostsAreReported) {
  Json settings = ValidSettings();
  settings["peers"] = {{{"host", "ba-0"}, {"data_centre", "ba"}, {"address", "127.0.0.1:8081"}},
                       {{"host", "ba-1"}, {"data_centre", "ba"}, {"address", "127.0.0.2:8081"}},
                       {{"host", "ba-1"}, {"data_centre", "ba"}, {"address", "127.0.0.2:8081"}},
                       {{"host", "ba-3"}, {"data_centre", "ba"}, {"address", "0.0.0.0:0"}}};
  settings["peer_listen"] = settings["http_listen"] = "127.0.0.1:8081";
  const auto errors = Validate(settings);
  CheckContainsError(errors, "peers[0].host", "this host itself");
  CheckContainsError(errors, "peers[0].address", "own peer_listen");
  CheckContainsError(errors, "peers[2].host", "peers[1] already has");
  CheckContainsError(errors, "peers[2].address", "peers[1] already has");
  CheckContainsError(errors, "peers[3].address", "can't be connected to");
  CheckContainsError(errors, "peer_listen", "same address as http_listen");
}

// Guards against a team whose weight depends on which of two entries is read last.
TEST(SettingsValidator, DuplicateTeamsAndFieldsAreReported) {
  Json settings = ValidSettings();
  settings["teams"].push_back({{"id", "tags"}});
  CheckContainsError(Validate(settings), "teams[2].id", "teams[0] already has");
  std::string text = ValidSettings().dump();
  text.insert(1, "\"host\": \"other\", ");
  CheckContainsError(SettingsValidator().Validate(text), "", "'host' occurs twice");
}

// Guards against invalid addresses that are reported only when the host listens or connects.
TEST(SettingsValidator, InvalidAddressesAreReported) {
  for (const char* address : {"localhost:1", "1.2.3:4", "1.2.3.4", "1.2.3.256:1", "1.2.3.4:65536",
                              "1.2.3.4:", "1.2.3.4.:1", "1.2.3.4:-1", ""}) {
    Json settings = ValidSettings();
    settings["http_listen"] = address;
    CheckContainsError(Validate(settings), "http_listen", "expected an IP number and a port");
  }
}

// Guards against a crash on a corrupted document, and against an error without a message.
TEST(SettingsValidator, CorruptedTextDoesNotCrash) {
  const bool holds = rc::check([] {
    std::string text = ValidSettings().dump();
    const auto changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes; ++i) {
      text[*rc::gen::inRange<size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
    }
    const auto settings = configuration::ParseSettings(text);
    RC_ASSERT((settings.has_value() || !settings.error().message.empty()));
  });
  CHECK_TRUE(holds);
}

// Guards against a field of the wrong type that is accepted, and against an error that doesn't name
// the field.
TEST(SettingsValidator, WrongTypesAreReportedWithTheirField) {
  const bool holds = rc::check([] {
    Json settings = ValidSettings();
    const std::vector<std::string> names = {"host",  "data_centre", "http_listen", "peer_listen",
                                            "peers", "teams",       "secret_file", "http"};
    const std::string name = *rc::gen::elementOf(names);
    settings[name] = *rc::gen::elementOf(
        std::vector<Json>{nullptr, true, 7, -1.5, Json::array({Json::array()}), ""});
    const auto parsed = configuration::ParseSettings(settings.dump());
    RC_ASSERT(!parsed.has_value());
    RC_ASSERT(parsed.error().message.find(name) != std::string::npos);
  });
  CHECK_TRUE(holds);
}

// Guards against a stack overflow caused by a deeply nested document.
TEST(SettingsValidator, DeepNestingIsRejected) {
  const std::string text = "{\"peers\":" + std::string(2000, '[') + std::string(2000, ']') + "}";
  CheckContainsError(SettingsValidator().Validate(text), "", "nested too deeply");
}
