#include "frontend/intake_connection.h"

#include <CppUTest/TestHarness.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using frontend::IntakeConnection;

TEST_GROUP(IntakeConnection) {
  IntakeConnection connection{-1};

  /// Appends in pieces and returns how many bytes were reserved.
  size_t Append(const std::string& body, size_t piece_size, size_t announced_size) {
    size_t reserved = 0;
    for (size_t begin = 0; begin < body.size(); begin += piece_size) {
      const std::string piece = body.substr(begin, piece_size);
      reserved += this->connection.BytesToReserve(piece.size(), announced_size);
      CHECK(this->connection.Append(piece.data(), piece.size(), announced_size));
    }
    return reserved;
  }
};

// Guards against a body in very small pieces that takes a multiple of its bytes, and against bytes
// that are lost between two blocks.
TEST(IntakeConnection, KeepsABodyInLittleMoreThanItsSize) {
  std::string body;
  for (int i = 0; i < 40000; ++i) {
    body += std::to_string(i);
  }
  for (const size_t piece_size : {size_t{1}, size_t{8}, size_t{4096}, body.size()}) {
    for (const size_t announced_size : {size_t{0}, body.size()}) {
      const size_t reserved = this->Append(body, piece_size, announced_size);
      CHECK(reserved <= body.size() + 16384 + 2048);
      LONGS_EQUAL(body.size(), this->connection.BodySize());
      CHECK(this->connection.TakeBody() == body);
      LONGS_EQUAL(0, this->connection.BodySize());
    }
  }
}

// Guards against a client that announces a large body, sends little of it, and holds all of it.
TEST(IntakeConnection, ReservesLittleForAnAnnouncedBody) {
  CHECK(this->Append("x", 1, 1 << 20) <= 16384);
  CHECK(this->connection.DropBody() <= 16384);
  LONGS_EQUAL(100, this->connection.BytesToReserve(1, 100));
}

// Guards against a connection that is closed only when its client closes it, and against a body
// that is kept until then.
TEST(IntakeConnection, CloseFreesTheBodyAndEndsTheConnection) {
  int sockets[2];
  LONGS_EQUAL(0, socketpair(AF_UNIX, SOCK_STREAM, 0, sockets));
  IntakeConnection open_connection(sockets[0]);
  CHECK(open_connection.Append("body", 4, 0));
  open_connection.Close();
  LONGS_EQUAL(0, open_connection.BodySize());
  CHECK_FALSE(open_connection.Append("body", 4, 0));
  char byte = 0;
  LONGS_EQUAL(0, read(sockets[1], &byte, 1));
  close(sockets[0]);
  close(sockets[1]);
}

// Guards against a shutdown of another connection that has got the descriptor of a closed one.
TEST(IntakeConnection, ClosedConnectionLeavesItsDescriptorAlone) {
  int sockets[2];
  LONGS_EQUAL(0, socketpair(AF_UNIX, SOCK_STREAM, 0, sockets));
  IntakeConnection closed_connection(sockets[0]);
  closed_connection.OnClosed();
  closed_connection.Close();
  LONGS_EQUAL(1, write(sockets[1], "x", 1));
  char byte = 0;
  LONGS_EQUAL(1, read(sockets[0], &byte, 1));
  close(sockets[0]);
  close(sockets[1]);
}
