#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace sapphirecrank::storage {

/// Reads what `ByteWriter` wrote. A read past the end returns zero or an empty string and makes
/// `ok()` false for good.
///
/// Thread safety: none. The bytes must outlive the reader.
class ByteReader {
 public:
  explicit ByteReader(std::string_view bytes) : remaining_bytes(bytes) {}

  /// Takes 4 bytes.
  uint32_t ReadU32() { return static_cast<uint32_t>(this->ReadNumber(sizeof(uint32_t))); }

  /// Takes 8 bytes.
  uint64_t ReadU64() { return this->ReadNumber(sizeof(uint64_t)); }

  /// Takes a length-prefixed string.
  std::string ReadString() {
    uint32_t size = this->ReadU32();
    return std::string(this->ReadBytes(size));
  }

  /// Takes `size` bytes.
  std::string_view ReadBytes(size_t size) {
    if (size > this->remaining_bytes.size()) {
      this->all_reads_complete = false;
      this->remaining_bytes = {};
      return {};
    }
    std::string_view taken = this->remaining_bytes.substr(0, size);
    this->remaining_bytes.remove_prefix(size);
    return taken;
  }

  /// Tells whether every read so far found its bytes.
  bool ok() const { return this->all_reads_complete; }

  /// Returns the number of bytes left.
  size_t remaining_size() const { return this->remaining_bytes.size(); }

 private:
  uint64_t ReadNumber(size_t size) {
    constexpr int kBitsPerByte = 8;
    uint64_t value = 0;
    std::string_view taken = this->ReadBytes(size);
    for (size_t i = 0; i < taken.size(); ++i) {
      value |= static_cast<uint64_t>(static_cast<unsigned char>(taken[i])) << (kBitsPerByte * i);
    }
    return value;
  }

  std::string_view remaining_bytes;
  bool all_reads_complete = true;
};

}  // namespace sapphirecrank::storage
