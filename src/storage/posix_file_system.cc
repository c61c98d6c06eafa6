#include "storage/posix_file_system.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>

namespace sapphirecrank::storage {
namespace {

using base::ErrorCode;
using base::Result;

constexpr mode_t kFileMode = 0640;
constexpr mode_t kDirectoryMode = 0750;

auto SystemError(std::string_view operation, const std::string& subject) {
  return base::MakeErrorResult(
      ErrorCode::kStorageFailed,
      fmt::format("{} {}: {}", operation, subject, std::generic_category().message(errno)));
}

Result<FileHandle> OpenForAppend(const std::string& path) {
  int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
  if (file < 0) {
    return SystemError("open", path);
  }
  return FileHandle(file);
}

Result<void> AppendToFile(FileHandle file, std::string_view data) {
  while (!data.empty()) {
    ssize_t written = ::write(file.value(), data.data(), data.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written < 0) {
      return SystemError("write", fmt::format("file {}", file.value()));
    }
    data.remove_prefix(static_cast<size_t>(written));
  }
  return {};
}

Result<void> SyncFile(FileHandle file) {
  if (::fdatasync(file.value()) != 0) {
    return SystemError("sync", fmt::format("file {}", file.value()));
  }
  return {};
}

Result<void> SyncPath(const std::string& path, int flags) {
  int file = ::open(path.c_str(), flags | O_CLOEXEC);
  if (file < 0) {
    return SystemError("open", path);
  }
  int outcome = ::fsync(file);
  auto failure = SystemError("sync", path);
  ::close(file);
  if (outcome != 0) {
    return failure;
  }
  return {};
}

Result<void> TruncateFile(const std::string& path, base::ByteCount size) {
  if (::truncate(path.c_str(), size.value()) != 0) {
    return SystemError("truncate", path);
  }
  return SyncPath(path, O_WRONLY);
}

Result<void> RenameFile(const std::string& from, const std::string& to) {
  if (::rename(from.c_str(), to.c_str()) != 0) {
    return SystemError("rename", from);
  }
  return {};
}

Result<void> RemoveFile(const std::string& path) {
  if (::unlink(path.c_str()) != 0) {
    return SystemError("remove", path);
  }
  return {};
}

Result<std::vector<std::string>> ListDirectory(const std::string& directory) {
  std::error_code error;
  std::vector<std::string> names;
  for (std::filesystem::directory_iterator entry(directory, error), end; !error && entry != end;
       entry.increment(error)) {
    names.push_back(entry->path().filename().string());
  }
  if (error) {
    return base::MakeErrorResult(ErrorCode::kStorageFailed,
                                 fmt::format("list {}: {}", directory, error.message()));
  }
  return names;
}

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream input(path, std::ios::binary);
  std::ostringstream content;
  if (!input) {
    return SystemError("read", path);
  }
  if (input.peek() != std::ifstream::traits_type::eof()) {
    content << input.rdbuf();
  }
  if (input.bad() || content.bad()) {
    return SystemError("read", path);
  }
  return content.str();
}

Result<void> CreateDirectory(const std::string& path) {
  if (::mkdir(path.c_str(), kDirectoryMode) != 0 && errno != EEXIST) {
    return SystemError("create directory", path);
  }
  return {};
}

}  // namespace

FileSystem MakePosixFileSystem() {
  FileSystem files;
  files.open_for_append = OpenForAppend;
  files.append = AppendToFile;
  files.sync = SyncFile;
  files.close = [](FileHandle file) { ::close(file.value()); };
  files.truncate = TruncateFile;
  files.sync_directory = [](const std::string& path) {
    return SyncPath(path, O_RDONLY | O_DIRECTORY);
  };
  files.rename = RenameFile;
  files.remove = RemoveFile;
  files.list_directory = ListDirectory;
  files.read = ReadFile;
  files.create_directory = CreateDirectory;
  return files;
}

}  // namespace sapphirecrank::storage
