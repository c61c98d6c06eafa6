#pragma once

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace sapphirecrank::testing {

/// Forwards TCP connections to an address, and can make the open ones silent for good: they stay
/// open, but nothing passes any more, as when a device between two hosts has lost track of them.
///
/// Thread safety: all methods may be called from any thread.
class BlackholeProxy {
 public:
  /// Listens on a free loopback port.
  explicit BlackholeProxy(const std::string& forward_to);
  ~BlackholeProxy();

  BlackholeProxy(const BlackholeProxy&) = delete;
  BlackholeProxy& operator=(const BlackholeProxy&) = delete;

  /// Returns the address that it listens on.
  std::string Address() const;

  /// Makes all open connections silent; later ones work.
  void BlackholeOpenConnections();

  /// Returns how many connections were accepted.
  int AcceptedConnectionCount() const { return this->accepted_connection_count; }

 private:
  struct ConnectionPair {
    int client_socket;
    int server_socket;
    bool is_blackholed = false;
  };

  void RunForwarding();
  void AcceptConnection();
  /// Moves what can be read from one side to the other. False if a side has ended.
  static bool ForwardAvailableBytes(int from, int to);

  std::string forward_address;
  int listen_socket;
  int port = 0;
  std::atomic<bool> stopping{false};
  std::atomic<int> accepted_connection_count{0};
  std::mutex mutex;
  std::vector<ConnectionPair> connection_pairs;
  std::thread thread;
};

}  // namespace sapphirecrank::testing
