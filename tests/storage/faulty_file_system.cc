#include "tests/storage/faulty_file_system.h"

#include <algorithm>

namespace sapphirecrank::storage {
namespace {

using base::Result;

auto InjectedFailure() {
  return base::MakeErrorResult(base::ErrorCode::kStorageFailed, "injected failure");
}

}  // namespace

FileSystem FaultyFileSystem::MakeFileSystem() {
  FileSystem file_system;
  file_system.open_for_append = [this](const std::string& path) { return this->Open(path); };
  file_system.append = [this](FileHandle handle, std::string_view data) {
    return this->Append(handle, data);
  };
  file_system.sync = [this](FileHandle handle) { return this->Sync(handle); };
  file_system.close = [this](FileHandle handle) { this->open_files.erase(handle.value()); };
  file_system.truncate = [this](const std::string& path, base::ByteCount size) -> Result<void> {
    if (this->FailsNextOperation() || this->directory_entries.count(path) == 0) {
      return InjectedFailure();
    }
    File& file = this->files[this->directory_entries[path]];
    file.content.resize(static_cast<size_t>(size.value()));
    file.durable_content = file.content;
    return {};
  };
  file_system.sync_directory = [this](const std::string&) -> Result<void> {
    if (this->FailsNextOperation()) {
      return InjectedFailure();
    }
    this->durable_directory_entries = this->directory_entries;
    this->unsynced_entry_changes.clear();
    return {};
  };
  file_system.rename = [this](const std::string& from, const std::string& to) {
    return this->ChangeDirectoryEntries([from, to](DirectoryEntries& entries) {
      entries[to] = entries[from];
      entries.erase(from);
    });
  };
  file_system.remove = [this](const std::string& path) {
    return this->ChangeDirectoryEntries([path](DirectoryEntries& entries) { entries.erase(path); });
  };
  file_system.list_directory =
      [this](const std::string& directory) -> Result<std::vector<std::string>> {
    if (this->has_crashed) {
      return InjectedFailure();
    }
    return this->FileNames(directory);
  };
  file_system.read = [this](const std::string& path) -> Result<std::string> {
    if (this->has_crashed || this->directory_entries.count(path) == 0) {
      return InjectedFailure();
    }
    return this->files[this->directory_entries[path]].content;
  };
  file_system.create_directory = [this](const std::string&) -> Result<void> {
    return this->has_crashed ? Result<void>(InjectedFailure()) : Result<void>();
  };
  return file_system;
}

void FaultyFileSystem::Crash() {
  size_t surviving_change_count = this->random() % (this->unsynced_entry_changes.size() + 1);
  for (size_t i = 0; i < surviving_change_count; ++i) {
    this->unsynced_entry_changes[i](this->durable_directory_entries);
  }
  this->unsynced_entry_changes.clear();
  this->directory_entries = this->durable_directory_entries;
  for (auto& [file_number, file] : this->files) {
    size_t unsynced_size =
        file.content.size() - std::min(file.content.size(), file.durable_content.size());
    size_t surviving_size = this->random() % (unsynced_size + 1);
    std::string surviving_tail =
        file.content.substr(file.content.size() - unsynced_size, surviving_size);
    if (!surviving_tail.empty() && this->random() % 2 == 0) {
      // After a crash a block of the tail may be corrupted, because blocks reach the disk in any
      // order.
      surviving_tail[this->random() % surviving_tail.size()] ^= 0x55;
    }
    file.durable_content += file.has_lost_data ? "" : surviving_tail;
    file.content = file.durable_content;
    file.has_lost_data = false;
  }
  this->open_files.clear();
  this->fails_next_sync = false;
  this->free_space = -1;
  this->operations_until_crash = -1;
  this->has_crashed = false;
}

void FaultyFileSystem::FlipBit(const std::string& path, size_t offset) {
  File& file = this->files[this->directory_entries[path]];
  file.content.at(offset) ^= 1;
  file.durable_content = file.content;
}

std::string FaultyFileSystem::Content(const std::string& path) const {
  return this->files.at(this->directory_entries.at(path)).content;
}

void FaultyFileSystem::SetContent(const std::string& path, const std::string& content) {
  int file_number = this->next_file_number++;
  this->files[file_number] = File{content, content, false};
  this->directory_entries[path] = file_number;
  this->durable_directory_entries[path] = file_number;
}

void FaultyFileSystem::Delete(const std::string& path) {
  this->directory_entries.erase(path);
  this->durable_directory_entries.erase(path);
}

std::vector<std::string> FaultyFileSystem::FileNames(const std::string& directory) const {
  std::vector<std::string> file_names;
  for (const auto& [path, file_number] : this->directory_entries) {
    if (path.rfind(directory + "/", 0) == 0) {
      file_names.push_back(path.substr(directory.size() + 1));
    }
  }
  return file_names;
}

bool FaultyFileSystem::FailsNextOperation() {
  if (!this->has_crashed && this->operations_until_crash >= 0) {
    this->has_crashed = this->operations_until_crash-- == 0;
  }
  return this->has_crashed;
}

Result<FileHandle> FaultyFileSystem::Open(const std::string& path) {
  if (this->directory_entries.count(path) == 0) {
    int file_number = this->next_file_number;
    auto created = this->ChangeDirectoryEntries(
        [path, file_number](DirectoryEntries& entries) { entries[path] = file_number; });
    if (!created) {
      return tl::make_unexpected(created.error());
    }
    this->files[this->next_file_number++] = File();
  }
  if (this->has_crashed) {
    return InjectedFailure();
  }
  this->open_files[this->next_handle] = this->directory_entries[path];
  return FileHandle(this->next_handle++);
}

Result<void> FaultyFileSystem::Append(FileHandle handle, std::string_view data) {
  bool had_crashed = this->has_crashed;
  bool fails = this->FailsNextOperation();
  if (had_crashed || this->open_files.count(handle.value()) == 0) {
    return InjectedFailure();
  }
  File& file = this->files[this->open_files[handle.value()]];
  if (fails) {
    file.content += data.substr(0, this->random() % (data.size() + 1));
    return InjectedFailure();
  }
  if (this->free_space >= 0 && static_cast<int64_t>(data.size()) > this->free_space) {
    file.content += data.substr(0, static_cast<size_t>(this->free_space));
    this->free_space = 0;
    return InjectedFailure();
  }
  this->free_space -= this->free_space >= 0 ? static_cast<int64_t>(data.size()) : 0;
  file.content += data;
  return {};
}

Result<void> FaultyFileSystem::Sync(FileHandle handle) {
  ++this->sync_calls;
  if (this->FailsNextOperation() || this->open_files.count(handle.value()) == 0) {
    return InjectedFailure();
  }
  File& file = this->files[this->open_files[handle.value()]];
  if (this->fails_next_sync) {
    this->fails_next_sync = false;
    file.has_lost_data = true;
    return InjectedFailure();
  }
  if (!file.has_lost_data) {
    file.durable_content = file.content;
  }
  return {};
}

Result<void> FaultyFileSystem::ChangeDirectoryEntries(
    const std::function<void(DirectoryEntries&)>& change) {
  bool had_crashed = this->has_crashed;
  bool fails = this->FailsNextOperation();
  if (!had_crashed && (!fails || this->random() % 2 == 0)) {
    change(this->directory_entries);
    this->unsynced_entry_changes.push_back(change);
  }
  if (fails) {
    return InjectedFailure();
  }
  return {};
}

}  // namespace sapphirecrank::storage
