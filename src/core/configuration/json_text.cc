#include "json_text.h"

#include <algorithm>
#include <string>
#include <vector>

#include "coltsfootfork/core/configuration/parse_configuration.h"

namespace coltsfootfork {
namespace {

using Json = nlohmann::json;

// Detects faults that are not visible in the parsed value, by observing the
// parser's events: duplicate keys and excessive nesting.
class JsonTextCheck : public nlohmann::json_sax<Json> {
 public:
  JsonTextCheck(std::string_view text, BoundedFindings& findings)
      : text_(text), findings_(findings) {}

  bool null() override { return OnValue(); }
  bool boolean(bool /*value*/) override { return OnValue(); }
  bool number_integer(Json::number_integer_t /*value*/) override {
    return OnValue();
  }
  bool number_unsigned(Json::number_unsigned_t /*value*/) override {
    return OnValue();
  }
  bool number_float(Json::number_float_t /*value*/,
                    const std::string& /*text*/) override {
    return OnValue();
  }
  bool string(std::string& /*value*/) override { return OnValue(); }
  bool binary(Json::binary_t& /*value*/) override { return OnValue(); }

  bool start_object(std::size_t /*elements*/) override {
    return OnContainerStart(false);
  }
  bool start_array(std::size_t /*elements*/) override {
    return OnContainerStart(true);
  }
  bool end_object() override { return OnContainerEnd(); }
  bool end_array() override { return OnContainerEnd(); }

  bool key(std::string& name) override {
    levels_.back().keys.push_back(name);
    return true;
  }

  bool parse_error(std::size_t position, const std::string& /*token*/,
                   const nlohmann::detail::exception& /*error*/) override {
    const std::size_t end =
        std::min(position > 0 ? position - 1 : 0, text_.size());
    const std::string_view before = text_.substr(0, end);
    const auto line = std::count(before.begin(), before.end(), '\n') + 1;
    const std::size_t line_start = before.rfind('\n');
    const std::size_t column =
        line_start == std::string_view::npos ? end + 1 : end - line_start;
    findings_.Add(
        "line " + std::to_string(line) + ", column " + std::to_string(column),
        "the text is not JSON from here on");
    return false;
  }

 private:
  struct Level {
    bool is_list = false;
    std::size_t next_index = 0;
    // The keys of an object so far, in the order of the text.
    std::vector<std::string> keys;
  };

  bool OnValue() {
    if (!levels_.empty()) ++levels_.back().next_index;
    return true;
  }

  bool OnContainerStart(bool is_list) {
    OnValue();
    if (levels_.size() >= kMaxDocumentDepth) {
      findings_.Add(CurrentPointer(), "objects and lists are nested too deep");
      return false;
    }
    levels_.push_back({is_list, 0, {}});
    return true;
  }

  bool OnContainerEnd() {
    auto& keys = levels_.back().keys;
    std::sort(keys.begin(), keys.end());
    auto duplicate = std::adjacent_find(keys.begin(), keys.end());
    const std::string key =
        duplicate == keys.end() ? std::string() : *duplicate;
    const bool found = duplicate != keys.end();
    levels_.pop_back();
    if (found) {
      findings_.Add(ChildPointer(CurrentPointer(), key),
                    "the key stands twice in its object");
    }
    return true;
  }

  std::string CurrentPointer() const {
    std::string pointer;
    for (const Level& level : levels_) {
      pointer = level.is_list ? ChildPointer(pointer, level.next_index - 1)
                              : ChildPointer(pointer, level.keys.back());
    }
    return pointer;
  }

  std::string_view text_;
  BoundedFindings& findings_;
  std::vector<Level> levels_;
};

}  // namespace

std::optional<Json> ReadJsonText(std::string_view text,
                                 BoundedFindings& findings) {
  if (text.size() > kMaxDocumentBytes) {
    findings.Add("", "the document is larger than " +
                         std::to_string(kMaxDocumentBytes) + " bytes");
    return std::nullopt;
  }
  JsonTextCheck check(text, findings);
  if (!Json::sax_parse(text.begin(), text.end(), &check)) return std::nullopt;
  return Json::parse(text.begin(), text.end(), nullptr, false);
}

}  // namespace coltsfootfork
