#include "configuration/secret_file.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace sapphirecrank::configuration {

using base::ErrorCode;
using base::MakeErrorResult;

namespace {

constexpr mode_t kGroupAndOtherPermissions = 077;
constexpr mode_t kPermissionBits = 07777;
constexpr off_t kMaximumFileBytes = 4L * 1024 * 1024;

base::Result<void> CheckFileStatus(const std::string& path, const struct stat& status) {
  if (!S_ISREG(status.st_mode)) {
    return MakeErrorResult(ErrorCode::kInvalidArgument, "'" + path + "' is not a regular file",
                           "file");
  }
  if ((status.st_mode & kGroupAndOtherPermissions) != 0) {
    return MakeErrorResult(
        ErrorCode::kPermissionDenied,
        fmt::format(
            "'{}' has mode {:04o}, which gives access to its group or others; use chmod 600", path,
            status.st_mode & kPermissionBits),
        "file");
  }
  if (status.st_size == 0) {
    return MakeErrorResult(ErrorCode::kInvalidArgument, "'" + path + "' is empty", "file");
  }
  if (status.st_size > kMaximumFileBytes) {
    return MakeErrorResult(ErrorCode::kTooLarge, "'" + path + "' is larger than 4 MiB", "file");
  }
  return {};
}

base::Result<std::string> ReadDescriptor(const std::string& path, int descriptor) {
  std::string text;
  char buffer[4096];
  while (true) {
    const ssize_t read_size = read(descriptor, buffer, sizeof(buffer));
    if (read_size == 0) {
      return text;
    }
    if (read_size < 0) {
      return MakeErrorResult(ErrorCode::kNotFound,
                             "can't read '" + path + "': " + std::strerror(errno), "file");
    }
    text.append(buffer, static_cast<size_t>(read_size));
  }
}

}  // namespace

base::Result<std::string> ReadSecretFile(const std::string& path) {
  // Non-blocking, because opening a named pipe would otherwise wait for a writer.
  const int descriptor = open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK);
  if (descriptor < 0) {
    return MakeErrorResult(ErrorCode::kNotFound,
                           "can't read '" + path + "': " + std::strerror(errno), "file");
  }
  struct stat status {};
  fstat(descriptor, &status);
  const auto status_check = CheckFileStatus(path, status);
  base::Result<std::string> text =
      status_check ? ReadDescriptor(path, descriptor)
                   : base::Result<std::string>(tl::make_unexpected(status_check.error()));
  close(descriptor);
  return text;
}

}  // namespace sapphirecrank::configuration
