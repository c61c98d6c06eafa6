#include "tests/support/blackhole_proxy.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sapphirecrank::testing {

namespace {

constexpr int kPollTimeoutMs = 20;
constexpr int kBacklog = 16;
constexpr size_t kBufferSize = 65536;

sockaddr_in LoopbackAddress(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(port));
  return address;
}

}  // namespace

BlackholeProxy::BlackholeProxy(const std::string& forward_address)
    : forward_address(forward_address), listen_socket(socket(AF_INET, SOCK_STREAM, 0)) {
  sockaddr_in address = LoopbackAddress(0);
  socklen_t length = sizeof(address);
  (void)bind(this->listen_socket, reinterpret_cast<sockaddr*>(&address), length);
  (void)listen(this->listen_socket, kBacklog);
  getsockname(this->listen_socket, reinterpret_cast<sockaddr*>(&address), &length);
  this->port = ntohs(address.sin_port);
  this->thread = std::thread([this] { this->RunForwarding(); });
}

BlackholeProxy::~BlackholeProxy() {
  this->is_stopping = true;
  this->thread.join();
  for (const ConnectionPair& pair : this->connection_pairs) {
    close(pair.client_socket);
    close(pair.server_socket);
  }
  close(this->listen_socket);
}

std::string BlackholeProxy::Address() const { return "127.0.0.1:" + std::to_string(this->port); }

void BlackholeProxy::BlackholeOpenConnections() {
  std::lock_guard<std::mutex> lock(this->mutex);
  for (ConnectionPair& pair : this->connection_pairs) {
    pair.is_blackholed = true;
  }
}

void BlackholeProxy::RunForwarding() {
  while (!this->is_stopping) {
    std::vector<pollfd> polled_sockets = {{this->listen_socket, POLLIN, 0}};
    {
      std::lock_guard<std::mutex> lock(this->mutex);
      for (const ConnectionPair& pair : this->connection_pairs) {
        if (!pair.is_blackholed) {
          polled_sockets.push_back({pair.client_socket, POLLIN, 0});
          polled_sockets.push_back({pair.server_socket, POLLIN, 0});
        }
      }
    }
    poll(polled_sockets.data(), polled_sockets.size(), kPollTimeoutMs);
    if ((polled_sockets[0].revents & POLLIN) != 0) {
      this->AcceptConnection();
    }
    std::lock_guard<std::mutex> lock(this->mutex);
    for (ConnectionPair& pair : this->connection_pairs) {
      const bool is_open =
          pair.is_blackholed || (ForwardAvailableBytes(pair.client_socket, pair.server_socket) &&
                                 ForwardAvailableBytes(pair.server_socket, pair.client_socket));
      // The sockets of a closed connection stay open until the proxy is destroyed, as a black hole.
      pair.is_blackholed = pair.is_blackholed || !is_open;
    }
  }
}

void BlackholeProxy::AcceptConnection() {
  const int client = accept(this->listen_socket, nullptr, nullptr);
  const int server = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = LoopbackAddress(
      std::stoi(this->forward_address.substr(this->forward_address.rfind(':') + 1)));
  if (connect(server, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    close(client);
    close(server);
    return;
  }
  ++this->accepted_connection_count;
  std::lock_guard<std::mutex> lock(this->mutex);
  this->connection_pairs.push_back({client, server});
}

bool BlackholeProxy::ForwardAvailableBytes(int source_socket, int destination_socket) {
  char buffer[kBufferSize];
  const ssize_t length = recv(source_socket, buffer, sizeof(buffer), MSG_DONTWAIT);
  if (length < 0) {
    return errno == EAGAIN || errno == EWOULDBLOCK;
  }
  return length > 0 &&
         send(destination_socket, buffer, static_cast<size_t>(length), MSG_NOSIGNAL) == length;
}

}  // namespace sapphirecrank::testing
