#include "tests/support/free_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sapphirecrank::testing {

std::string FreeAddress() {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  (void)bind(descriptor, reinterpret_cast<sockaddr*>(&address), length);
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length);
  close(descriptor);
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

}  // namespace sapphirecrank::testing
