#pragma once

#include <boost/leaf/result.hpp>
#include <string>

#include "coltsfootfork/core/types/ids.h"

namespace coltsfootfork {

// Stores the highest configuration revision that a process has seen, so that
// the process never applies an older one after a restart. Separate from the log
// of a control replica in the same folder.
class RevisionFile {
 public:
  // Creates the folder if missing. A file that holds no number is a
  // StorageError with its place.
  static boost::leaf::result<RevisionFile> Open(const std::string& folder);

  // Zero if no revision was stored.
  Revision highest() const { return highest_; }
  // Stores the revision durably before it returns. Ignores a revision that is
  // not higher.
  boost::leaf::result<void> StoreIfHigher(Revision revision);

 private:
  explicit RevisionFile(std::string folder) : folder_(std::move(folder)) {}

  std::string folder_;
  Revision highest_ = 0;
};

}  // namespace coltsfootfork
