#include "tests/support/free_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>

namespace sapphirecrank::testing {

namespace {

// Below the ephemeral port range: an outgoing connection could otherwise take a free port before
// the test listens on it.
constexpr uint32_t kMinimumPort = 10000;
constexpr uint32_t kPortCount = 20000;
// Test processes that run at the same time start their search at different ports.
constexpr uint32_t kPortsPerProcess = 101;

bool IsPortFree(uint16_t port) {
  const int test_socket = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  const bool is_free =
      bind(test_socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  close(test_socket);
  return is_free;
}

}  // namespace

std::string FreeLoopbackAddress() {
  static std::atomic<uint32_t> next_port_offset{static_cast<uint32_t>(getpid()) * kPortsPerProcess};
  while (true) {
    const auto port = static_cast<uint16_t>(kMinimumPort + next_port_offset++ % kPortCount);
    if (IsPortFree(port)) {
      return "127.0.0.1:" + std::to_string(port);
    }
  }
}

}  // namespace sapphirecrank::testing
