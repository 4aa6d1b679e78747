#include "shell/storage/revision_file.h"

#include <charconv>
#include <filesystem>
#include <system_error>
#include <utility>

#include "shell/storage/file_writer.h"

namespace coltsfootfork {
namespace {

namespace leaf = boost::leaf;

constexpr char kRevisionFileName[] = "highest-revision";

}  // namespace

leaf::result<RevisionFile> RevisionFile::Open(const std::string& folder) {
  std::error_code error;
  std::filesystem::create_directories(folder, error);
  if (error) {
    return SystemError(folder, "cannot create the folder", error.value());
  }
  RevisionFile file(folder);
  const std::string path = folder + "/" + kRevisionFileName;
  if (!std::filesystem::exists(path)) return file;
  BOOST_LEAF_AUTO(text, ReadWholeFile(path));
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, file.highest_);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return leaf::new_error(StorageError{path, "is not a number"});
  }
  return file;
}

leaf::result<void> RevisionFile::StoreIfHigher(Revision revision) {
  if (revision <= highest_) return {};
  BOOST_LEAF_CHECK(ReplaceFile(folder_, kRevisionFileName,
                               std::to_string(revision), nullptr));
  highest_ = revision;
  return {};
}

}  // namespace coltsfootfork
