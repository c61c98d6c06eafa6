#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace sapphirecrank::storage {

/// Reads what `ByteWriter` wrote. A read past the end and all later reads return zero or an empty
/// string; `ok()` is false from then on.
///
/// Precondition: the bytes outlive the reader. Thread safety: none.
class ByteReader {
 public:
  explicit ByteReader(std::string_view bytes) : remaining_bytes(bytes) {}

  /// Reads a 4-byte little-endian number.
  uint32_t ReadU32() { return static_cast<uint32_t>(this->ReadNumber(sizeof(uint32_t))); }

  /// Reads an 8-byte little-endian number.
  uint64_t ReadU64() { return this->ReadNumber(sizeof(uint64_t)); }

  /// Reads a 4-byte length and the string that follows it.
  std::string ReadString() {
    uint32_t size = this->ReadU32();
    return std::string(this->ReadBytes(size));
  }

  /// Reads `size` bytes. The result refers to the bytes of the reader.
  std::string_view ReadBytes(size_t size) {
    if (size > this->remaining_bytes.size()) {
      this->all_reads_complete = false;
      this->remaining_bytes = {};
      return {};
    }
    std::string_view read_bytes = this->remaining_bytes.substr(0, size);
    this->remaining_bytes.remove_prefix(size);
    return read_bytes;
  }

  /// Tells whether all reads so far ended within the bytes.
  bool ok() const { return this->all_reads_complete; }

  /// Returns the number of bytes that are not read yet.
  size_t remaining_size() const { return this->remaining_bytes.size(); }

 private:
  uint64_t ReadNumber(size_t size) {
    constexpr int kBitsPerByte = 8;
    uint64_t value = 0;
    std::string_view read_bytes = this->ReadBytes(size);
    for (size_t i = 0; i < read_bytes.size(); ++i) {
      value |= static_cast<uint64_t>(static_cast<unsigned char>(read_bytes[i]))
               << (kBitsPerByte * i);
    }
    return value;
  }

  std::string_view remaining_bytes;
  bool all_reads_complete = true;
};

}  // namespace sapphirecrank::storage
