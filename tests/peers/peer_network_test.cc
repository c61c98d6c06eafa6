#include "peers/peer_network.h"

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <condition_variable>
#include <filesystem>
#include <functional>
#include <iterator>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "tests/support/blackhole_proxy.h"
#include "tests/support/free_port.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using base::HostId;
using peers::PeerNetwork;

namespace {

/// A `PeerNetwork` of one host that records the calls of its hooks.
class TestHost {
 public:
  TestHost(const std::string& name, uint64_t incarnation, const std::string& secret,
           const std::string& listen_address, const std::string& peer,
           const std::string& peer_address, base::Duration host_timeout = std::chrono::seconds(1),
           base::Duration link_timeout = std::chrono::milliseconds(600)) {
    peers::PeerNetworkSettings settings;
    settings.host = HostId(name);
    settings.data_centre = base::DataCentreId("ba");
    settings.incarnation = base::Incarnation(incarnation);
    settings.advertised_address = base::NetworkAddress(listen_address);
    settings.shared_secret = secret;
    settings.host_timeout = host_timeout;
    settings.link_timeout = link_timeout;
    settings.peers = {{HostId(peer), settings.data_centre, base::NetworkAddress(peer_address)}};
    PeerNetwork::Hooks hooks;
    hooks.now = base::SteadyClock();
    hooks.on_message = [this](const HostId&, const protocol::Message& message) {
      if (const auto* cancel = std::get_if<protocol::CancelTasks>(&message)) {
        this->RecordEvent([&] { this->received.push_back(cancel->submission.value()); });
        if (cancel->submission == base::SubmissionId("unexpected")) {
          throw std::runtime_error("unexpected message");
        }
      }
    };
    hooks.on_peer_up = [this](const HostId&, base::Incarnation) {
      this->RecordEvent([&] { ++this->up_count; });
    };
    hooks.on_peer_lost = [this](const HostId&) {
      if (this->on_peer_lost) {
        this->on_peer_lost();
      }
      this->RecordEvent([&] { ++this->loss_count; });
    };
    hooks.on_session_reset = [this](const HostId&) {
      this->RecordEvent([&] { ++this->reset_count; });
    };
    hooks.on_heartbeat_acknowledged = [this](const HostId&, base::TimePoint sent) {
      this->RecordEvent([&] {
        this->last_acknowledged_heartbeat_at = sent;
        this->reset_count_at_last_acknowledgement = this->reset_count;
        ++this->acknowledgement_count;
      });
    };
    hooks.make_heartbeat = [] { return protocol::Heartbeat(); };
    hooks.on_connection_error = [this](const HostId&, const std::string& reason) {
      this->RecordEvent([&] { this->connection_errors.push_back(reason); });
    };
    this->network = std::make_unique<PeerNetwork>(settings, hooks);
    CHECK_TRUE(this->network->Start().has_value());
  }

  ~TestHost() { this->network->Stop(); }

  /// Waits until `condition` holds. The test runner's timeout bounds the wait.
  template <typename Condition>
  void WaitFor(Condition condition) {
    std::unique_lock<std::mutex> lock(this->mutex);
    this->changed.wait(lock, condition);
  }

  bool HasConnectionError(const std::string& part) const {
    for (const std::string& error : this->connection_errors) {
      if (error.find(part) != std::string::npos) {
        return true;
      }
    }
    return false;
  }

  std::unique_ptr<PeerNetwork> network;
  /// Called on the network thread for each loss, if set. Must be set before the first loss.
  std::function<void()> on_peer_lost;
  std::vector<std::string> received;
  std::vector<std::string> connection_errors;
  std::atomic<int> up_count{0};
  std::atomic<int> loss_count{0};
  std::atomic<int> reset_count{0};
  base::TimePoint last_acknowledged_heartbeat_at;
  int reset_count_at_last_acknowledgement = 0;
  int acknowledgement_count = 0;

 private:
  template <typename Change>
  void RecordEvent(Change change) {
    {
      std::lock_guard<std::mutex> lock(this->mutex);
      change();
    }
    this->changed.notify_all();
  }

  std::mutex mutex;
  std::condition_variable changed;
};

/// An address that doesn't respond to new connections, as that of a host without power: its queue
/// of connections is full.
class SilentAddress {
 public:
  SilentAddress() {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    this->sockets.push_back(socket(AF_INET, SOCK_STREAM, 0));
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    auto* generic_address = reinterpret_cast<sockaddr*>(&address);
    CHECK_EQUAL(0, bind(this->sockets[0], generic_address, size));
    CHECK_EQUAL(0, listen(this->sockets[0], 0));
    CHECK_EQUAL(0, getsockname(this->sockets[0], generic_address, &size));
    constexpr int kQueuedConnections = 4;
    for (int i = 0; i < kQueuedConnections; ++i) {
      this->sockets.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
      (void)connect(this->sockets.back(), generic_address, size);
    }
    this->text = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  }

  ~SilentAddress() {
    for (const int socket : this->sockets) {
      close(socket);
    }
  }

  std::string text;

 private:
  std::vector<int> sockets;
};

/// Returns the number of open file descriptors of this process.
std::ptrdiff_t OpenDescriptorCount() {
  return std::distance(std::filesystem::directory_iterator("/proc/self/fd"),
                       std::filesystem::directory_iterator());
}

}  // namespace

TEST_GROUP(PeerNetwork) {
  std::string first_address = testing::FreeLoopbackAddress();
  std::string second_address = testing::FreeLoopbackAddress();

  std::unique_ptr<TestHost> StartFirstHost(uint64_t incarnation = 1) {
    return std::make_unique<TestHost>("a", incarnation, "secret", this->first_address, "b",
                                      this->second_address);
  }
  std::unique_ptr<TestHost> StartSecondHost(uint64_t incarnation,
                                            const std::string& secret = "secret") {
    return std::make_unique<TestHost>("b", incarnation, secret, this->second_address, "a",
                                      this->first_address);
  }
};

// Guards against messages that are lost or reordered between two live hosts.
TEST(PeerNetwork, ReliableMessagesArriveInOrder) {
  constexpr int kMessages = 500;
  auto first = this->StartFirstHost();
  auto second = this->StartSecondHost(2);
  first->WaitFor([&] { return first->up_count >= 1; });
  for (int i = 0; i < kMessages; ++i) {
    const protocol::CancelTasks message{base::SubmissionId(std::to_string(i))};
    CHECK_TRUE(first->network->SendReliably(HostId("b"), message));
  }
  second->WaitFor([&] { return second->received.size() == kMessages; });
  for (int i = 0; i < kMessages; ++i) {
    CHECK(second->received[i] == std::to_string(i));
  }
  first->network->WaitUntilDelivered(std::chrono::seconds(60));
}

// Guards against a peer's loss or restart that is not reported: work placed on its old process
// would be awaited until its deadline.
TEST(PeerNetwork, ReportsLossAndRestartOfAPeer) {
  auto first = this->StartFirstHost();
  auto second = this->StartSecondHost(2);
  first->WaitFor([&] { return first->up_count >= 1; });
  const int losses_before = first->loss_count;
  second.reset();
  first->WaitFor([&] { return first->loss_count > losses_before; });
  CHECK_FALSE(first->network->SendReliably(HostId("b"), protocol::CancelTasks{}));
  const int ups_before = first->up_count;
  second = this->StartSecondHost(3);
  first->WaitFor([&] { return first->up_count > ups_before; });
  CHECK_TRUE(first->network->SendReliably(HostId("b"), protocol::CancelTasks{}));
  second->WaitFor([&] { return second->received.size() == 1; });
}

// Guards against work of an ended process that is started after its host has restarted: the work
// may have arrived on a link that was still open after the loss was reported, so the restart is
// reported as a second loss. Found by the soak test as TWICE (seed 1 with stored jobs): an
// allocator was stalled while a gateway was killed and restarted.
TEST(PeerNetwork, ReportsASecondLossWhenALostPeerRestarts) {
  auto first = this->StartFirstHost();
  auto second = this->StartSecondHost(2);
  first->WaitFor([&] { return first->up_count >= 1; });
  second.reset();
  first->WaitFor([&] { return first->loss_count == 1; });
  second = this->StartSecondHost(3);
  first->WaitFor([&] { return first->up_count >= 2; });
  LONGS_EQUAL(2, first->loss_count);
}

// Guards against accepting a process that doesn't know the shared secret.
TEST(PeerNetwork, RefusesAWrongSecret) {
  auto first = this->StartFirstHost();
  auto second = this->StartSecondHost(2, "other");
  first->WaitFor([&] { return first->HasConnectionError("wrong shared secret"); });
  LONGS_EQUAL(0, first->up_count);
}

// Guards against an unexpected error in the handling of one message that ends the process, and
// against handling the message again after the link was replaced.
TEST(PeerNetwork, ContinuesAfterAnErrorInTheHandlingOfAMessage) {
  auto first = this->StartFirstHost();
  auto second = this->StartSecondHost(2);
  first->WaitFor([&] { return first->up_count > 0; });
  for (const char* submission : {"unexpected", "next"}) {
    CHECK_TRUE(first->network->SendReliably(HostId("b"),
                                            protocol::CancelTasks{base::SubmissionId(submission)}));
  }
  second->WaitFor([&] { return second->received.size() >= 2; });
  CHECK((second->received == std::vector<std::string>{"unexpected", "next"}));
  CHECK_TRUE(second->HasConnectionError("unexpected message"));
}

// Guards against a host that waits for ever on an open connection over which nothing passes any
// more while new connections work, and against messages lost or duplicated when the link is
// replaced.
TEST(PeerNetwork, ReplacesABlackholedLinkWithoutLosingMessages) {
  constexpr int kMessages = 100;
  testing::BlackholeProxy proxy(this->second_address);
  // The host timeout is long enough that a busy machine doesn't count the other host as lost.
  TestHost first("a", 1, "secret", this->first_address, "b", proxy.Address(),
                 std::chrono::minutes(5));
  auto second = this->StartSecondHost(2);
  first.WaitFor([&] { return first.up_count >= 1; });
  for (int i = 0; i < kMessages; ++i) {
    if (i == kMessages / 2) {
      proxy.BlackholeOpenConnections();
    }
    CHECK_TRUE(first.network->SendReliably(
        HostId("b"), protocol::CancelTasks{base::SubmissionId(std::to_string(i))}));
  }
  second->WaitFor([&] { return second->received.size() >= kMessages; });
  first.network->WaitUntilDelivered(std::chrono::minutes(1));
  LONGS_EQUAL(kMessages, second->received.size());
  for (int i = 0; i < kMessages; ++i) {
    CHECK(second->received[i] == std::to_string(i));
  }
  CHECK_TRUE(proxy.AcceptedConnectionCount() >= 2);
  LONGS_EQUAL(0, first.loss_count);
}

// Guards against a host that continues work for a host that counted it as lost for a while. The
// link was broken in one direction only, so this host itself noticed no loss.
TEST(PeerNetwork, NotifiesAHostThatItWasCountedAsLost) {
  testing::BlackholeProxy proxy(this->second_address);
  TestHost first("a", 1, "secret", this->first_address, "b", proxy.Address(),
                 std::chrono::milliseconds(300));
  auto second = this->StartSecondHost(2);
  first.WaitFor([&] { return first.up_count >= 1; });
  second->WaitFor([&] { return second->up_count >= 1; });
  const int loss_count = first.loss_count;
  const int reset_count = second->reset_count;
  proxy.BlackholeOpenConnections();
  first.WaitFor([&] { return first.loss_count > loss_count; });
  second->WaitFor([&] { return second->reset_count > reset_count; });
  LONGS_EQUAL(0, second->loss_count);
}

// Guards against starting work for a host that has counted this one as lost: the response on a new
// link was taken as an acknowledged heartbeat before its session number was checked. Found by the
// soak test as TWICE (seed 316 with --faults pause,pause,kill,term).
TEST(PeerNetwork, ReportsSessionResetBeforeAcknowledgedHeartbeat) {
  testing::BlackholeProxy to_second(this->second_address);
  testing::BlackholeProxy to_first(this->first_address);
  // The first host's link stays blackholed, so the second host learns of the loss on its own link.
  TestHost first("a", 1, "secret", this->first_address, "b", to_second.Address(),
                 std::chrono::milliseconds(300), std::chrono::minutes(5));
  TestHost second("b", 2, "secret", this->second_address, "a", to_first.Address(),
                  std::chrono::minutes(5));
  first.WaitFor([&] { return first.up_count >= 1; });
  second.WaitFor([&] { return second.up_count >= 1; });
  const int loss_count = first.loss_count;
  const int reset_count = second.reset_count;
  to_second.BlackholeOpenConnections();
  to_first.BlackholeOpenConnections();
  first.WaitFor([&] { return first.loss_count > loss_count; });
  // The network thread writes these members under the lock of `WaitFor`.
  int acknowledgements_before = 0;
  second.WaitFor([&] {
    acknowledgements_before = second.acknowledgement_count;
    return true;
  });
  int reset_count_at_acknowledgement = 0;
  second.WaitFor([&] {
    reset_count_at_acknowledgement = second.reset_count_at_last_acknowledgement;
    return second.acknowledgement_count > acknowledgements_before;
  });
  CHECK(reset_count_at_acknowledgement > reset_count);
}

// Guards against work that is started although its sender takes it for cancelled: the message was
// sent after the receiver had counted the sender as lost, and before the sender learned of it
// (review/11, TWICE).
TEST(PeerNetwork, HandlesNoMessageOfASessionThatItHasEnded) {
  testing::BlackholeProxy to_first(this->first_address);
  auto first = this->StartFirstHost();
  // The second host gets no response to its heartbeats; its own responses reach the first one.
  TestHost second("b", 2, "secret", this->second_address, "a", to_first.Address(),
                  std::chrono::milliseconds(300));
  first->WaitFor([&] { return first->up_count >= 1; });
  second.WaitFor([&] { return second.up_count >= 1; });
  const auto send = [&first](const char* submission) {
    return first->network->SendReliably(HostId("b"),
                                        protocol::CancelTasks{base::SubmissionId(submission)});
  };
  // The network thread of the second host handles the message after this hook.
  bool is_sent = false;
  second.on_peer_lost = [&] {
    if (!is_sent) {
      is_sent = send("void");
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
  };
  const int reset_count = first->reset_count;
  to_first.BlackholeOpenConnections();
  first->WaitFor([&] { return first->reset_count > reset_count; });
  first->WaitFor([&] { return send("next"); });
  second.WaitFor([&] { return !second.received.empty(); });
  CHECK_TRUE(is_sent);
  CHECK(second.received.front() == "next");
}

// Guards against a state that a host sends once for each session and that is lost with the session:
// the other side would never get it.
TEST(PeerNetwork, ReportsAPeerAsUpAgainAfterASessionReset) {
  testing::BlackholeProxy to_first(this->first_address);
  auto first = this->StartFirstHost();
  TestHost second("b", 2, "secret", this->second_address, "a", to_first.Address(),
                  std::chrono::milliseconds(300));
  first->WaitFor([&] { return first->up_count >= 1; });
  second.WaitFor([&] { return second.up_count >= 1; });
  const int up_count = first->up_count;
  const int reset_count = first->reset_count;
  to_first.BlackholeOpenConnections();
  first->WaitFor([&] { return first->reset_count > reset_count; });
  first->WaitFor([&] { return first->up_count > up_count; });
  LONGS_EQUAL(0, first->loss_count);
}

// Guards against descriptors that run out because of hosts that are gone for good: an abandoned
// connection attempt has to be closed before the next one begins.
TEST(PeerNetwork, ClosesAbandonedConnectionAttempts) {
  const SilentAddress gone_host;
  const TestHost host("a", 1, "secret", this->first_address, "b", gone_host.text);
  const std::ptrdiff_t count_before = OpenDescriptorCount();
  // Enough for several attempts.
  std::this_thread::sleep_for(std::chrono::seconds(4));
  // The first attempt may have begun before the count.
  CHECK(OpenDescriptorCount() <= count_before + 1);
}
