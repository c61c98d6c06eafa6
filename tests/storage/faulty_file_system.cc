#include "tests/storage/faulty_file_system.h"

#include <algorithm>

namespace sapphirecrank::storage {
namespace {

using base::Result;

auto Failure() {
  return base::MakeErrorResult(base::ErrorCode::kStorageFailed, "provoked failure");
}

}  // namespace

FileSystem FaultyFileSystem::Hooks() {
  FileSystem hooks;
  hooks.open_for_append = [this](const std::string& path) { return this->Open(path); };
  hooks.append = [this](FileHandle handle, std::string_view data) {
    return this->Write(handle, data);
  };
  hooks.sync = [this](FileHandle handle) { return this->Sync(handle); };
  hooks.close = [this](FileHandle handle) { this->handles.erase(handle.value()); };
  hooks.truncate = [this](const std::string& path, base::ByteCount size) -> Result<void> {
    if (this->Fails() || this->names.count(path) == 0) {
      return Failure();
    }
    File& file = this->files[this->names[path]];
    file.content.resize(static_cast<size_t>(size.value()));
    file.durable = file.content;
    return {};
  };
  hooks.sync_directory = [this](const std::string&) -> Result<void> {
    if (this->Fails()) {
      return Failure();
    }
    this->durable_names = this->names;
    this->unsynced_changes.clear();
    return {};
  };
  hooks.rename = [this](const std::string& from, const std::string& to) {
    return this->ChangeNames([from, to](NameTable& table) {
      table[to] = table[from];
      table.erase(from);
    });
  };
  hooks.remove = [this](const std::string& path) {
    return this->ChangeNames([path](NameTable& table) { table.erase(path); });
  };
  hooks.list_directory = [this](const std::string& directory) -> Result<std::vector<std::string>> {
    if (this->down) {
      return Failure();
    }
    return this->Names(directory);
  };
  hooks.read = [this](const std::string& path) -> Result<std::string> {
    if (this->down || this->names.count(path) == 0) {
      return Failure();
    }
    return this->files[this->names[path]].content;
  };
  hooks.create_directory = [this](const std::string&) -> Result<void> {
    return this->down ? Result<void>(Failure()) : Result<void>();
  };
  return hooks;
}

void FaultyFileSystem::Crash() {
  size_t kept = this->random() % (this->unsynced_changes.size() + 1);
  for (size_t i = 0; i < kept; ++i) {
    this->unsynced_changes[i](this->durable_names);
  }
  this->unsynced_changes.clear();
  this->names = this->durable_names;
  for (auto& [number, file] : this->files) {
    size_t tail = file.content.size() - std::min(file.content.size(), file.durable.size());
    size_t torn = this->random() % (tail + 1);
    std::string rest = file.content.substr(file.content.size() - tail, torn);
    if (!rest.empty() && this->random() % 2 == 0) {
      // Blocks of a torn write reach the disk in any order.
      rest[this->random() % rest.size()] ^= 0x55;
    }
    file.durable += file.loses_data ? "" : rest;
    file.content = file.durable;
    file.loses_data = false;
  }
  this->handles.clear();
  this->sync_fails = false;
  this->space = -1;
  this->operations_left = -1;
  this->down = false;
}

void FaultyFileSystem::Damage(const std::string& path, size_t offset) {
  File& file = this->files[this->names[path]];
  file.content.at(offset) ^= 1;
  file.durable = file.content;
}

std::string FaultyFileSystem::Content(const std::string& path) const {
  return this->files.at(this->names.at(path)).content;
}

void FaultyFileSystem::SetContent(const std::string& path, const std::string& content) {
  int number = this->next_file++;
  this->files[number] = File{content, content, false};
  this->names[path] = number;
  this->durable_names[path] = number;
}

void FaultyFileSystem::Delete(const std::string& path) {
  this->names.erase(path);
  this->durable_names.erase(path);
}

std::vector<std::string> FaultyFileSystem::Names(const std::string& directory) const {
  std::vector<std::string> found;
  for (const auto& [path, number] : this->names) {
    if (path.rfind(directory + "/", 0) == 0) {
      found.push_back(path.substr(directory.size() + 1));
    }
  }
  return found;
}

bool FaultyFileSystem::Fails() {
  if (!this->down && this->operations_left >= 0) {
    this->down = this->operations_left-- == 0;
  }
  return this->down;
}

Result<FileHandle> FaultyFileSystem::Open(const std::string& path) {
  if (this->names.count(path) == 0) {
    int number = this->next_file;
    auto created = this->ChangeNames([path, number](NameTable& table) { table[path] = number; });
    if (!created) {
      return tl::make_unexpected(created.error());
    }
    this->files[this->next_file++] = File();
  }
  if (this->down) {
    return Failure();
  }
  this->handles[this->next_handle] = this->names[path];
  return FileHandle(this->next_handle++);
}

Result<void> FaultyFileSystem::Write(FileHandle handle, std::string_view data) {
  bool was_down = this->down;
  bool fails = this->Fails();
  if (was_down || this->handles.count(handle.value()) == 0) {
    return Failure();
  }
  File& file = this->files[this->handles[handle.value()]];
  if (fails) {
    file.content += data.substr(0, this->random() % (data.size() + 1));
    return Failure();
  }
  if (this->space >= 0 && static_cast<int64_t>(data.size()) > this->space) {
    file.content += data.substr(0, static_cast<size_t>(this->space));
    this->space = 0;
    return Failure();
  }
  this->space -= this->space >= 0 ? static_cast<int64_t>(data.size()) : 0;
  file.content += data;
  return {};
}

Result<void> FaultyFileSystem::Sync(FileHandle handle) {
  ++this->sync_count;
  if (this->Fails() || this->handles.count(handle.value()) == 0) {
    return Failure();
  }
  File& file = this->files[this->handles[handle.value()]];
  if (this->sync_fails) {
    this->sync_fails = false;
    file.loses_data = true;
    return Failure();
  }
  if (!file.loses_data) {
    file.durable = file.content;
  }
  return {};
}

Result<void> FaultyFileSystem::ChangeNames(const std::function<void(NameTable&)>& change) {
  bool was_down = this->down;
  bool fails = this->Fails();
  if (!was_down && (!fails || this->random() % 2 == 0)) {
    change(this->names);
    this->unsynced_changes.push_back(change);
  }
  if (fails) {
    return Failure();
  }
  return {};
}

}  // namespace sapphirecrank::storage
