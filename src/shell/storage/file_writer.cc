#include "shell/storage/file_writer.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdio>
#include <system_error>
#include <utility>

namespace coltsfootfork {
namespace {

namespace leaf = boost::leaf;

constexpr mode_t kFileMode = 0600;
constexpr std::size_t kReadChunkBytes = 64 * kBytesPerKibibyte;

int InjectedError(const StorageFaultInjector& fault_injector,
                  StorageStep step) {
  return fault_injector ? fault_injector(step) : 0;
}

}  // namespace

leaf::error_id SystemError(const std::string& place, const std::string& action,
                           int error) {
  return leaf::new_error(StorageError{
      place, action + ": " + std::generic_category().message(error)});
}

FileWriter::FileWriter(std::string path, int descriptor,
                       StorageFaultInjector fault_injector)
    : path_(std::move(path)),
      descriptor_(descriptor),
      fault_injector_(std::move(fault_injector)) {}

FileWriter::~FileWriter() {
  if (descriptor_ >= 0) ::close(descriptor_);
}

FileWriter::FileWriter(FileWriter&& other) noexcept
    : path_(std::move(other.path_)),
      descriptor_(std::exchange(other.descriptor_, -1)),
      fault_injector_(std::move(other.fault_injector_)) {}

FileWriter& FileWriter::operator=(FileWriter&& other) noexcept {
  std::swap(path_, other.path_);
  std::swap(descriptor_, other.descriptor_);
  std::swap(fault_injector_, other.fault_injector_);
  return *this;
}

leaf::result<FileWriter> FileWriter::Open(const std::string& path,
                                          StorageFaultInjector fault_injector) {
  const int descriptor = ::open(
      path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, kFileMode);
  if (descriptor < 0) return SystemError(path, "cannot open", errno);
  return FileWriter(path, descriptor, std::move(fault_injector));
}

leaf::result<void> FileWriter::Write(std::string_view bytes) {
  if (const int error = InjectedError(fault_injector_, StorageStep::kWrite)) {
    return SystemError(path_, "cannot write", error);
  }
  while (!bytes.empty()) {
    const ssize_t written = ::write(descriptor_, bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) continue;
    if (written < 0) return SystemError(path_, "cannot write", errno);
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
  return {};
}

leaf::result<void> FileWriter::Sync() {
  if (const int error = InjectedError(fault_injector_, StorageStep::kSync)) {
    return SystemError(path_, "cannot sync", error);
  }
  if (::fdatasync(descriptor_) != 0) {
    return SystemError(path_, "cannot sync", errno);
  }
  return {};
}

leaf::result<void> FileWriter::Truncate(std::uint64_t size) {
  if (::ftruncate(descriptor_, static_cast<off_t>(size)) != 0) {
    return SystemError(path_, "cannot truncate", errno);
  }
  return Sync();
}

leaf::result<std::string> ReadWholeFile(const std::string& path) {
  const int descriptor = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (descriptor < 0) return SystemError(path, "cannot open", errno);
  // Closes the descriptor on every return.
  const FileWriter owner(path, descriptor, nullptr);
  std::string bytes;
  std::array<char, kReadChunkBytes> chunk{};
  while (true) {
    const ssize_t size = ::read(descriptor, chunk.data(), chunk.size());
    if (size < 0 && errno == EINTR) continue;
    if (size < 0) return SystemError(path, "cannot read", errno);
    if (size == 0) return bytes;
    bytes.append(chunk.data(), static_cast<std::size_t>(size));
  }
}

leaf::result<void> SyncFolder(const std::string& folder,
                              const StorageFaultInjector& fault_injector) {
  if (const int error =
          InjectedError(fault_injector, StorageStep::kSyncFolder)) {
    return SystemError(folder, "cannot sync", error);
  }
  const int descriptor =
      ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0) return SystemError(folder, "cannot open", errno);
  const FileWriter owner(folder, descriptor, nullptr);
  if (::fsync(descriptor) != 0) {
    return SystemError(folder, "cannot sync", errno);
  }
  return {};
}

leaf::result<void> ReplaceFile(const std::string& folder,
                               const std::string& name, std::string_view bytes,
                               const StorageFaultInjector& fault_injector) {
  const std::string path = folder + "/" + name;
  const std::string temporary = path + ".tmp";
  ::unlink(temporary.c_str());
  {
    BOOST_LEAF_AUTO(file, FileWriter::Open(temporary, fault_injector));
    BOOST_LEAF_CHECK(file.Write(bytes));
    BOOST_LEAF_CHECK(file.Sync());
  }
  if (const int error = InjectedError(fault_injector, StorageStep::kRename)) {
    return SystemError(path, "cannot rename", error);
  }
  if (std::rename(temporary.c_str(), path.c_str()) != 0) {
    return SystemError(path, "cannot rename", errno);
  }
  return SyncFolder(folder, fault_injector);
}

}  // namespace coltsfootfork
