#include "shell/process/trace_file.h"

#include <cerrno>
#include <cstring>
#include <stdexcept>

namespace coltsfootfork {
namespace {

std::ofstream Open(const std::string& path) {
  std::ofstream out(path, std::ios::binary | std::ios::trunc);
  if (!out) throw std::runtime_error(path + ": " + std::strerror(errno));
  return out;
}

}  // namespace

TraceFile::TraceFile(const std::string& path, const TraceHeader& header)
    : out_(Open(path)), recorder_(out_, header) {}

TraceFile::~TraceFile() { recorder_.Finish(); }

}  // namespace coltsfootfork
