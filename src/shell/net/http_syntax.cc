#include "shell/net/http_syntax.h"

#include <boost/beast/core/string.hpp>

namespace coltsfootfork {
namespace {

constexpr std::string_view kBlanks = " \t";
constexpr std::string_view kChunkedName = "chunked";
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstStatus = 100;
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;

std::string_view Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(kBlanks) + 1 - first);
}

bool IsChunked(std::string_view coding) {
  return boost::beast::iequals({coding.data(), coding.size()},
                               {kChunkedName.data(), kChunkedName.size()});
}

}  // namespace

TransferCoding ReadTransferCoding(std::string_view value) {
  bool ends_chunked = false;
  bool has_others = false;
  while (!value.empty()) {
    const std::size_t comma = value.find(',');
    const std::string_view coding = Trim(value.substr(0, comma));
    value.remove_prefix(comma == std::string_view::npos ? value.size()
                                                        : comma + 1);
    if (coding.empty()) continue;
    // Nothing may follow the chunked coding, not even itself.
    if (ends_chunked) return TransferCoding::kUndelimited;
    ends_chunked = IsChunked(coding);
    has_others = has_others || !ends_chunked;
  }
  if (!ends_chunked) return TransferCoding::kUndelimited;
  return has_others ? TransferCoding::kUnsupported : TransferCoding::kChunked;
}

bool IsOnOneLine(std::string_view name, std::string_view value) {
  constexpr std::size_t kColonBytes = 1;
  const char* begin = name.data() + name.size() + kColonBytes;
  while (kBlanks.find(*begin) != std::string_view::npos) ++begin;
  return begin == value.data();
}

bool IsResponseStatus(int status) {
  return status >= kFirstStatus && status <= kLastStatus &&
         status != kSwitchingProtocols;
}

bool IsInterimStatus(int status) { return status < kFirstFinalStatus; }

}  // namespace coltsfootfork
