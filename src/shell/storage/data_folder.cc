#include "shell/storage/data_folder.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>

#include <cerrno>
#include <charconv>
#include <filesystem>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <system_error>
#include <utility>

namespace coltsfootfork {
namespace {

namespace leaf = boost::leaf;
namespace fs = std::filesystem;
using Json = nlohmann::json;

constexpr char kLockName[] = "lock";
constexpr char kIdentityName[] = "identity";
constexpr mode_t kFolderMode = 0700;
constexpr mode_t kLockMode = 0600;
// Enough for any 64-bit number, so that file names sort by number.
constexpr int kNumberDigits = 20;

leaf::result<FileWriter> Lock(const std::string& folder) {
  const std::string path = folder + "/" + kLockName;
  const int descriptor =
      ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kLockMode);
  if (descriptor < 0) return SystemError(path, "cannot open", errno);
  FileWriter lock(path, descriptor, nullptr);
  if (::flock(descriptor, LOCK_EX | LOCK_NB) != 0) {
    return leaf::new_error(
        StorageError{folder, "another process uses this data folder"});
  }
  return lock;
}

leaf::result<std::uint64_t> InodeNumberOf(const std::string& path) {
  struct stat status {};
  if (::stat(path.c_str(), &status) != 0) {
    return SystemError(path, "cannot read", errno);
  }
  return static_cast<std::uint64_t>(status.st_ino);
}

Incarnation RandomIncarnation() {
  std::random_device device;
  Incarnation number = 0;
  while (number == 0) {
    number = (static_cast<Incarnation>(device()) << 32U) | device();
  }
  return number;
}

}  // namespace

leaf::result<DataFolder> DataFolder::Open(
    const std::string& path, const StorageFaultInjector& fault_injector,
    bool refuse_copies) {
  if (::mkdir(path.c_str(), kFolderMode) != 0 && errno != EEXIST) {
    return SystemError(path, "cannot create the folder", errno);
  }
  BOOST_LEAF_AUTO(lock, Lock(path));
  DataFolder folder(path, std::move(lock));
  const bool has_identity = fs::exists(path + "/" + kIdentityName);
  if (has_identity) {
    BOOST_LEAF_CHECK(folder.LoadIdentity(refuse_copies));
    return folder;
  }
  if (!folder.NumberedFiles(kSegmentPrefix).empty() ||
      !folder.NumberedFiles(kSnapshotPrefix).empty()) {
    return leaf::new_error(
        StorageError{path + "/" + kIdentityName,
                     "missing, though the folder holds a log; empty the folder "
                     "to join as a new replica"});
  }
  BOOST_LEAF_CHECK(folder.CreateIdentity(fault_injector));
  return folder;
}

leaf::result<void> DataFolder::CreateIdentity(
    const StorageFaultInjector& fault_injector) {
  incarnation_ = RandomIncarnation();
  const std::string path = path_ + "/" + kIdentityName;
  const std::string temporary = path + ".tmp";
  // The inode number is known once the file exists; rename preserves it.
  {
    BOOST_LEAF_AUTO(file, FileWriter::Open(temporary, fault_injector));
    BOOST_LEAF_CHECK(file.Truncate(0));
    BOOST_LEAF_AUTO(inode, InodeNumberOf(temporary));
    const Json identity = {{"incarnation", incarnation_}, {"inode", inode}};
    BOOST_LEAF_CHECK(file.Write(identity.dump()));
    BOOST_LEAF_CHECK(file.Sync());
  }
  std::error_code error;
  fs::rename(temporary, path, error);
  if (error) return SystemError(path, "cannot rename", error.value());
  return SyncFolder(path_, fault_injector);
}

leaf::result<void> DataFolder::LoadIdentity(bool refuse_copies) {
  const std::string path = path_ + "/" + kIdentityName;
  BOOST_LEAF_AUTO(text, ReadWholeFile(path));
  BOOST_LEAF_AUTO(inode, InodeNumberOf(path));
  const Json identity = Json::parse(text, nullptr, false);
  const bool valid = identity.is_object() &&
                     identity.value("incarnation", Json()).is_number() &&
                     identity.value("inode", Json()).is_number();
  if (!valid) return leaf::new_error(StorageError{path, "damaged"});
  if (refuse_copies && identity.at("inode").get<std::uint64_t>() != inode) {
    return leaf::new_error(
        StorageError{path,
                     "the folder was copied or restored and may lack votes or "
                     "entries that the replica has acknowledged; empty it to "
                     "join as a new replica"});
  }
  incarnation_ = identity.at("incarnation").get<Incarnation>();
  return {};
}

std::map<std::uint64_t, std::string> DataFolder::NumberedFiles(
    const std::string& prefix) const {
  std::map<std::uint64_t, std::string> files;
  std::error_code error;
  for (const fs::directory_entry& entry :
       fs::directory_iterator(path_, error)) {
    const std::string name = entry.path().filename().string();
    const std::string head = prefix + "-";
    if (name.compare(0, head.size(), head) != 0) continue;
    std::uint64_t number = 0;
    const char* end = name.data() + name.size();
    const auto parsed = std::from_chars(name.data() + head.size(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end) continue;
    files[number] = entry.path().string();
  }
  return files;
}

std::string DataFolder::FileName(const std::string& prefix,
                                 std::uint64_t number) {
  std::ostringstream name;
  name << prefix << '-' << std::setw(kNumberDigits) << std::setfill('0')
       << number;
  return name.str();
}

std::uint64_t DataFolder::TotalBytes() const {
  std::uint64_t total = 0;
  std::error_code error;
  for (const fs::directory_entry& entry :
       fs::directory_iterator(path_, error)) {
    const std::uintmax_t size = entry.file_size(error);
    if (!error) total += size;
  }
  return total;
}

}  // namespace coltsfootfork
