#include <CppUTest/TestHarness.h>

#include <filesystem>
#include <map>
#include <string>
#include <vector>

#include "configuration/settings.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using configuration::PeerSettings;
using configuration::Settings;

namespace {

std::vector<Settings> ReadDeployment(const std::string& name) {
  const auto root = std::filesystem::path(__FILE__).parent_path().parent_path().parent_path();
  std::vector<Settings> hosts;
  for (const auto& entry : std::filesystem::directory_iterator(root / "examples" / name)) {
    const auto text = configuration::ReadFile(entry.path().string());
    CHECK_TRUE(text.has_value());
    const auto settings = configuration::ParseSettings(*text);
    CHECK_TRUE_TEXT(settings.has_value(),
                    settings.has_value() ? "" : settings.error().message.c_str());
    CHECK(entry.path().stem().string() == settings->host.value());
    hosts.push_back(*settings);
  }
  return hosts;
}

void CheckDeployment(const std::string& name) {
  const std::vector<Settings> hosts = ReadDeployment(name);
  CHECK_TRUE(hosts.size() >= 6 && hosts.size() <= 8);
  std::map<base::DataCentreId, int> sizes;
  for (const Settings& host : hosts) {
    ++sizes[host.data_centre];
    LONGS_EQUAL(hosts.size() - 1, host.peers.size());
    CHECK(host.secret_file == hosts.front().secret_file);
    LONGS_EQUAL(hosts.front().teams.size(), host.teams.size());
    for (const Settings& other : hosts) {
      for (const PeerSettings& peer : other.peers) {
        if (peer.host == host.host) {
          CHECK(peer.address == host.peer_listen_address);
          CHECK(peer.data_centre == host.data_centre);
        }
      }
    }
  }
  LONGS_EQUAL(3, sizes.size());
  for (const auto& [data_centre, size] : sizes) {
    CHECK_TRUE(size == 2 || size == 3);
  }
}

}  // namespace

TEST_GROUP(Examples){};

// Guards against an example deployment with an invalid settings file, or with hosts whose settings
// contradict each other.
TEST(Examples, RegistryIsConsistent) { CheckDeployment("registry"); }

// Guards against the same errors in the other example deployment.
TEST(Examples, AssociationIsConsistent) { CheckDeployment("association"); }
