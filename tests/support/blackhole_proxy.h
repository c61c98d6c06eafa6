#pragma once

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace sapphirecrank::testing {

/// TCP proxy that can turn its open connections into black holes: they stay open, but nothing
/// passes any more, as when a firewall between two hosts has lost its connection state.
///
/// Thread safety: all methods may be called from any thread.
class BlackholeProxy {
 public:
  /// Listens on a free loopback port and forwards to `forward_address`, a loopback address with a
  /// port.
  explicit BlackholeProxy(const std::string& forward_address);
  ~BlackholeProxy();

  BlackholeProxy(const BlackholeProxy&) = delete;
  BlackholeProxy& operator=(const BlackholeProxy&) = delete;

  /// Returns the address that it listens on.
  std::string Address() const;

  /// Forwards nothing more on all open connections; connections accepted later work.
  void BlackholeOpenConnections();

  /// Returns the number of connections that were accepted and connected to the forward address.
  int AcceptedConnectionCount() const { return this->accepted_connection_count; }

 private:
  struct ConnectionPair {
    int client_socket;
    int server_socket;
    bool is_blackholed = false;
  };

  void RunForwarding();
  void AcceptConnection();
  /// Forwards the available bytes of one socket to another. Returns false if a side has closed.
  static bool ForwardAvailableBytes(int source_socket, int destination_socket);

  std::string forward_address;
  int listen_socket;
  int port = 0;
  std::atomic<bool> is_stopping{false};
  std::atomic<int> accepted_connection_count{0};
  std::mutex mutex;
  std::vector<ConnectionPair> connection_pairs;
  std::thread thread;
};

}  // namespace sapphirecrank::testing
