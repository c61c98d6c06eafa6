#include "frontend/intake_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <string_view>
#include <utility>

#include "base/mutex_lock.h"
#include "json/document_parser.h"

namespace sapphirecrank::frontend {

using base::MutexLock;

namespace {

// Bodies of ordinary requests fit into one small block.
constexpr size_t kFirstBlockSize = 2048;
constexpr size_t kBlockSize = 16384;

}  // namespace

void IntakeConnection::Close() {
  MutexLock lock(this->mutex);
  this->is_closing = true;
  this->FreeBody();
  if (this->descriptor >= 0) {
    shutdown(this->descriptor, SHUT_RDWR);
  }
}

void IntakeConnection::OnClosed() {
  MutexLock lock(this->mutex);
  this->descriptor = -1;
  this->is_closing = true;
  this->FreeBody();
}

size_t IntakeConnection::BytesToReserve(size_t size, size_t expected_size) {
  MutexLock lock(this->mutex);
  const size_t free_size = this->reserved_size - this->body_size;
  return size <= free_size ? 0 : BlockSize(size - free_size, this->body_size, expected_size);
}

bool IntakeConnection::Append(const char* data, size_t size, size_t expected_size) {
  MutexLock lock(this->mutex);
  if (this->is_closing) {
    return false;
  }
  const size_t free_size = this->reserved_size - this->body_size;
  const size_t first_part = std::min(size, free_size);
  if (first_part > 0) {
    this->blocks.back().append(data, first_part);
  }
  if (first_part < size) {
    const size_t rest = size - first_part;
    const size_t block_size = BlockSize(rest, this->body_size, expected_size);
    this->blocks.emplace_back();
    this->blocks.back().reserve(block_size);
    this->blocks.back().append(data + first_part, rest);
    this->reserved_size += block_size;
  }
  this->body_size += size;
  this->document_size += json::EstimateDocumentSize(std::string_view(data, size));
  return true;
}

size_t IntakeConnection::BodySize() {
  MutexLock lock(this->mutex);
  return this->body_size;
}

size_t IntakeConnection::DocumentSize() {
  MutexLock lock(this->mutex);
  return this->document_size;
}

size_t IntakeConnection::DropBody() {
  MutexLock lock(this->mutex);
  const size_t dropped = this->reserved_size;
  this->FreeBody();
  return dropped;
}

std::string IntakeConnection::TakeBody() {
  MutexLock lock(this->mutex);
  std::string body;
  if (this->blocks.size() == 1) {
    body = std::move(this->blocks.front());
  } else {
    body.reserve(this->body_size);
    for (const std::string& block : this->blocks) {
      body += block;
    }
  }
  this->FreeBody();
  return body;
}

size_t IntakeConnection::BlockSize(size_t size, size_t body_size, size_t expected_size) {
  const size_t ordinary_size = body_size == 0 ? kFirstBlockSize : kBlockSize;
  if (expected_size > body_size) {
    // No more than the announced rest. A client that announces much and sends little holds little.
    return std::max(size, std::min(kBlockSize, expected_size - body_size));
  }
  return std::max(size, ordinary_size);
}

void IntakeConnection::FreeBody() {
  // A cleared vector would keep its capacity.
  std::vector<std::string>().swap(this->blocks);
  this->body_size = 0;
  this->reserved_size = 0;
  this->document_size = 0;
}

}  // namespace sapphirecrank::frontend
