#include "tests/support/free_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>

namespace sapphirecrank::testing {

namespace {

// Below the ports that the system gives to outgoing connections, which could take a free port
// before it is listened on.
constexpr uint32_t kLowestPort = 10000;
constexpr uint32_t kPortCount = 20000;
// Test programs that run at the same time begin at different ports.
constexpr uint32_t kPortsPerProcess = 101;

bool IsPortFree(uint16_t port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  const bool is_free =
      bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  close(descriptor);
  return is_free;
}

}  // namespace

std::string FreeLoopbackAddress() {
  static std::atomic<uint32_t> next{static_cast<uint32_t>(getpid()) * kPortsPerProcess};
  while (true) {
    const auto port = static_cast<uint16_t>(kLowestPort + next++ % kPortCount);
    if (IsPortFree(port)) {
      return "127.0.0.1:" + std::to_string(port);
    }
  }
}

}  // namespace sapphirecrank::testing
