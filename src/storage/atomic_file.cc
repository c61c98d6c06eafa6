#include "storage/atomic_file.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>

#include "storage/byte_reader.h"
#include "storage/byte_writer.h"

namespace sapphirecrank::storage {
namespace {

using base::ErrorCode;
using base::Result;

constexpr std::string_view kMagic = "SPHCSNAP";
constexpr uint32_t kFormatVersion = 1;
// Magic, format version, length of the value, checksum of the other header fields and the value.
constexpr size_t kHeaderBytes = 8 + 4 + 8 + 8;
constexpr size_t kChecksumOffset = 8 + 4 + 8;

uint64_t Checksum(std::string_view header, std::string_view value) {
  return XXH64(value.data(), value.size(), XXH64(header.data(), header.size(), 0));
}

}  // namespace

AtomicFile::AtomicFile(const FileSystem& file_system, const std::string& directory,
                       const std::string& name)
    : file_system(file_system), directory(directory), name(name) {}

Result<void> AtomicFile::Save(std::string_view value) {
  if (this->has_failed) {
    return base::MakeErrorResult(ErrorCode::kStorageFailed,
                                 "the file can't be written because an earlier save failed");
  }
  auto replaced = this->Replace(value);
  this->has_failed = !replaced;
  return replaced;
}

Result<std::optional<std::string>> AtomicFile::Load() const {
  auto names = this->file_system.list_directory(this->directory);
  if (!names) {
    return tl::make_unexpected(names.error());
  }
  if (std::find(names->begin(), names->end(), this->name) == names->end()) {
    return std::optional<std::string>();
  }
  std::string path = this->directory + "/" + this->name;
  auto content = this->file_system.read(path);
  if (!content) {
    return tl::make_unexpected(content.error());
  }
  ByteReader reader(*content);
  std::string_view magic = reader.ReadBytes(kMagic.size());
  uint32_t version = reader.ReadU32();
  uint64_t length = reader.ReadU64();
  uint64_t checksum = reader.ReadU64();
  std::string_view header = *content;
  header = header.substr(0, kChecksumOffset);
  if (!reader.ok() || magic != kMagic || version != kFormatVersion ||
      length != reader.remaining_size()) {
    return base::MakeErrorResult(
        ErrorCode::kCorrupted,
        fmt::format("{}: invalid header or unknown format version at offset 0", path));
  }
  std::string_view value = reader.ReadBytes(length);
  if (checksum != Checksum(header, value)) {
    return base::MakeErrorResult(
        ErrorCode::kCorrupted,
        fmt::format("{}: checksum mismatch of the value at offset {}", path, kHeaderBytes));
  }
  return std::optional<std::string>(value);
}

Result<void> AtomicFile::Replace(std::string_view value) {
  std::string path = this->directory + "/" + this->name;
  auto written = this->WriteTemporary(value);
  if (!written) {
    return written;
  }
  auto renamed = this->file_system.rename(path + ".tmp", path);
  return renamed ? this->file_system.sync_directory(this->directory) : renamed;
}

Result<void> AtomicFile::WriteTemporary(std::string_view value) {
  std::string temporary_path = this->directory + "/" + this->name + ".tmp";
  auto names = this->file_system.list_directory(this->directory);
  if (!names) {
    return tl::make_unexpected(names.error());
  }
  // An earlier attempt may have left an incomplete file, to which the new value would be appended.
  if (std::find(names->begin(), names->end(), this->name + ".tmp") != names->end()) {
    auto removed = this->file_system.remove(temporary_path);
    if (!removed) {
      return removed;
    }
  }
  auto file = this->file_system.open_for_append(temporary_path);
  if (!file) {
    return tl::make_unexpected(file.error());
  }
  ByteWriter content;
  content.WriteBytes(kMagic);
  content.WriteU32(kFormatVersion);
  content.WriteU64(value.size());
  content.WriteU64(Checksum(content.written_bytes(), value));
  content.WriteBytes(value);
  auto written = this->file_system.append(*file, content.written_bytes());
  auto synced = written ? this->file_system.sync(*file) : written;
  this->file_system.close(*file);
  return synced;
}

}  // namespace sapphirecrank::storage
