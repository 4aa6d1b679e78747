#pragma once

#include <boost/leaf/result.hpp>
#include <string>

#include "coltsfootfork/core/types/ids.h"

namespace coltsfootfork {

// The highest configuration revision that a process has seen, kept over a
// restart so that it never takes an older one. A file of its own, beside the
// log of a control replica.
class RevisionFile {
 public:
  // Makes the folder when it is missing. A file that cannot be read as a
  // number is a StorageError with its place.
  static boost::leaf::result<RevisionFile> Open(const std::string& folder);

  // Zero when nothing was kept yet.
  Revision highest() const { return highest_; }
  // Lasts when it returns. A revision that is not higher changes nothing.
  boost::leaf::result<void> StoreIfHigher(Revision revision);

 private:
  explicit RevisionFile(std::string folder) : folder_(std::move(folder)) {}

  std::string folder_;
  Revision highest_ = 0;
};

}  // namespace coltsfootfork
