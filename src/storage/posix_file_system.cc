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
  int descriptor = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
  if (descriptor < 0) {
    return SystemError("open", path);
  }
  return FileHandle(descriptor);
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
  int descriptor = ::open(path.c_str(), flags | O_CLOEXEC);
  if (descriptor < 0) {
    return SystemError("open", path);
  }
  int sync_status = ::fsync(descriptor);
  // Created before `close`, which may change `errno`.
  auto sync_error = SystemError("sync", path);
  ::close(descriptor);
  if (sync_status != 0) {
    return sync_error;
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
  FileSystem file_system;
  file_system.open_for_append = OpenForAppend;
  file_system.append = AppendToFile;
  file_system.sync = SyncFile;
  file_system.close = [](FileHandle file) { ::close(file.value()); };
  file_system.truncate = TruncateFile;
  file_system.sync_directory = [](const std::string& path) {
    return SyncPath(path, O_RDONLY | O_DIRECTORY);
  };
  file_system.rename = RenameFile;
  file_system.remove = RemoveFile;
  file_system.list_directory = ListDirectory;
  file_system.read = ReadFile;
  file_system.create_directory = CreateDirectory;
  return file_system;
}

}  // namespace sapphirecrank::storage
