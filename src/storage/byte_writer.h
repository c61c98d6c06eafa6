#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace sapphirecrank::storage {

/// Builds a byte string from little-endian numbers and length-prefixed strings.
///
/// Thread safety: none.
class ByteWriter {
 public:
  /// Appends a number as 4 little-endian bytes.
  void WriteU32(uint32_t value) { this->WriteNumber(value, sizeof(value)); }

  /// Appends a number as 8 little-endian bytes.
  void WriteU64(uint64_t value) { this->WriteNumber(value, sizeof(value)); }

  /// Appends the length as 4 bytes, then the text. Precondition: the text is shorter than 4 GiB.
  void WriteString(std::string_view text) {
    this->WriteU32(static_cast<uint32_t>(text.size()));
    this->bytes.append(text);
  }

  /// Appends bytes without a length.
  void WriteBytes(std::string_view raw) { this->bytes.append(raw); }

  /// Returns the bytes that were written so far.
  const std::string& written_bytes() const { return this->bytes; }

  /// Moves the written bytes out of the writer, which must not be used afterwards.
  std::string TakeBytes() { return std::move(this->bytes); }

 private:
  void WriteNumber(uint64_t value, size_t size) {
    constexpr int kBitsPerByte = 8;
    for (size_t i = 0; i < size; ++i) {
      this->bytes.push_back(static_cast<char>(value >> (kBitsPerByte * i)));
    }
  }

  std::string bytes;
};

}  // namespace sapphirecrank::storage
