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

Json GoodSettings() {
  return Json::parse(R"({"host": "ba-0", "data_centre": "ba", "http_listen": "127.0.0.1:8080",
    "peer_listen": "127.0.0.1:8081", "secret_file": "secret",
    "peers": [{"host": "ba-1", "data_centre": "ba", "address": "127.0.0.2:8081"},
              {"host": "ba-2", "data_centre": "ba", "address": "127.0.0.3:8081"}],
    "teams": [{"id": "tags"}, {"id": "maps", "weight": 3}],
    "http": {"idle_timeout_ms": 5000}})");
}

std::vector<SettingsError> Check(const Json& settings) {
  return SettingsValidator().Validate(settings.dump());
}

void CheckHas(const std::vector<SettingsError>& faults, const std::string& path,
              const std::string& part) {
  for (const SettingsError& fault : faults) {
    if (fault.path == path && fault.message.find(part) != std::string::npos) {
      return;
    }
  }
  std::string all = "no fault at '" + path + "' with '" + part + "' among:\n";
  for (const SettingsError& fault : faults) {
    all += fault.path + ": " + fault.message + "\n";
  }
  FAIL(all.c_str());
}

}  // namespace

TEST_GROUP(SettingsValidator){};

// Guards against good settings that are refused, or read wrongly.
TEST(SettingsValidator, GoodSettingsAreRead) {
  CHECK_TRUE(Check(GoodSettings()).empty());
  const auto settings = configuration::ParseSettings(GoodSettings().dump());
  CHECK_TRUE(settings.has_value());
  CHECK(settings->teams[1].weight == base::Weight(3));
  CHECK(settings->peers[1].host == base::HostId("ba-2"));
  CHECK(settings->http.idle_timeout == std::chrono::seconds(5));
}

// Guards against an operator who has to mend one fault after the other.
TEST(SettingsValidator, AllFaultsAreListedAtOnce) {
  Json settings = GoodSettings();
  settings.erase("data_centre");
  settings["http_listen"] = 8080;
  settings["peers"][1].erase("address");
  settings["teams"][0]["weight"] = "4";
  settings["colour"] = "blue";
  const auto faults = Check(settings);
  LONGS_EQUAL(5, faults.size());
  CheckHas(faults, "data_centre", "missing");
  CheckHas(faults, "http_listen", "8080; expected an IP number and port");
  CheckHas(faults, "peers[1].address", "missing");
  CheckHas(faults, "teams[0].weight", "\"4\"; expected a whole number from 1 to 1000000");
  CheckHas(faults, "colour", "unknown field");
}

// Guards against a mistyped name or unit that is ignored, so that the default stays in force.
TEST(SettingsValidator, MistypedNamesAndUnitsAreExplained) {
  Json settings = GoodSettings();
  settings["http"] = {{"idle_timeout_s", 60}, {"maximum_bdy_bytes", 4096}};
  const auto faults = Check(settings);
  CheckHas(faults, "http.idle_timeout_s", "use 'idle_timeout_ms'");
  CheckHas(faults, "http.maximum_bdy_bytes", "did you mean 'maximum_body_bytes'");
}

// Guards against hosts that connect to themselves or count one other host twice.
TEST(SettingsValidator, ContradictionsAmongHostsAreFound) {
  Json settings = GoodSettings();
  settings["peers"] = {{{"host", "ba-0"}, {"data_centre", "ba"}, {"address", "127.0.0.1:8081"}},
                       {{"host", "ba-1"}, {"data_centre", "ba"}, {"address", "127.0.0.2:8081"}},
                       {{"host", "ba-1"}, {"data_centre", "ba"}, {"address", "127.0.0.2:8081"}},
                       {{"host", "ba-3"}, {"data_centre", "ba"}, {"address", "0.0.0.0:0"}}};
  settings["peer_listen"] = settings["http_listen"] = "127.0.0.1:8081";
  const auto faults = Check(settings);
  CheckHas(faults, "peers[0].host", "this host itself");
  CheckHas(faults, "peers[0].address", "own peer_listen");
  CheckHas(faults, "peers[2].host", "peers[1] has too");
  CheckHas(faults, "peers[2].address", "peers[1] has too");
  CheckHas(faults, "peers[3].address", "can't be connected to");
  CheckHas(faults, "peer_listen", "same address as http_listen");
}

// Guards against a team whose quota depends on which of two entries is read last.
TEST(SettingsValidator, RepeatedTeamsAndFieldsAreFound) {
  Json settings = GoodSettings();
  settings["teams"].push_back({{"id", "tags"}});
  CheckHas(Check(settings), "teams[2].id", "teams[0] has too");
  std::string text = GoodSettings().dump();
  text.insert(1, "\"host\": \"other\", ");
  CheckHas(SettingsValidator().Validate(text), "", "'host' occurs twice");
}

// Guards against addresses that only fail when the host listens or connects.
TEST(SettingsValidator, AddressesOutOfRangeAreFound) {
  for (const char* address : {"localhost:1", "1.2.3:4", "1.2.3.4", "1.2.3.256:1", "1.2.3.4:65536",
                              "1.2.3.4:", "1.2.3.4.:1", "1.2.3.4:-1", ""}) {
    Json settings = GoodSettings();
    settings["http_listen"] = address;
    CheckHas(Check(settings), "http_listen", "expected an IP number and a port");
  }
}

// Guards against a crash, or settings without a named fault, for a damaged document.
TEST(SettingsValidator, DamagedTextNeverCrashes) {
  const bool holds = rc::check([] {
    std::string text = GoodSettings().dump();
    const auto changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes; ++i) {
      text[*rc::gen::inRange<size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
    }
    const auto settings = configuration::ParseSettings(text);
    RC_ASSERT((settings.has_value() || !settings.error().message.empty()));
  });
  CHECK_TRUE(holds);
}

// Guards against a value of any type in any field that is accepted or not named.
TEST(SettingsValidator, WrongTypesAreNamedByTheirField) {
  const bool holds = rc::check([] {
    Json settings = GoodSettings();
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

// Guards against a stack overflow by a deeply nested document.
TEST(SettingsValidator, DeepNestingIsRefused) {
  const std::string text = "{\"peers\":" + std::string(2000, '[') + std::string(2000, ']') + "}";
  CheckHas(SettingsValidator().Validate(text), "", "nested too deeply");
}
