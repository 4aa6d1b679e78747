#include "cbor.h"

namespace coltsfootfork {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxDepth = 16;

// The library's parser recurses once per nesting level, so the depth is
// checked before a value is built, to protect the stack.
class DepthCheck : public nlohmann::json_sax<Json> {
 public:
  bool null() override { return true; }
  bool boolean(bool /*value*/) override { return true; }
  bool number_integer(Json::number_integer_t /*value*/) override {
    return true;
  }
  bool number_unsigned(Json::number_unsigned_t /*value*/) override {
    return true;
  }
  bool number_float(Json::number_float_t /*value*/,
                    const std::string& /*text*/) override {
    return true;
  }
  bool string(std::string& /*value*/) override { return true; }
  bool binary(Json::binary_t& /*value*/) override { return true; }
  bool key(std::string& /*name*/) override { return true; }
  bool start_object(std::size_t /*elements*/) override {
    return EnterContainer();
  }
  bool start_array(std::size_t /*elements*/) override {
    return EnterContainer();
  }
  bool end_object() override { return LeaveContainer(); }
  bool end_array() override { return LeaveContainer(); }
  bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                   const nlohmann::detail::exception& /*error*/) override {
    return false;
  }

 private:
  bool EnterContainer() { return ++depth_ <= kMaxDepth; }
  bool LeaveContainer() {
    --depth_;
    return true;
  }

  std::size_t depth_ = 0;
};

}  // namespace

std::string WriteCbor(const Json& value) {
  std::string bytes;
  Json::to_cbor(value, nlohmann::detail::output_adapter<char>(bytes));
  return bytes;
}

std::optional<Json> ReadCbor(std::string_view bytes) {
  DepthCheck check;
  if (!Json::sax_parse(bytes.begin(), bytes.end(), &check,
                       Json::input_format_t::cbor)) {
    return std::nullopt;
  }
  return Json::from_cbor(bytes.begin(), bytes.end(), true, false);
}

}  // namespace coltsfootfork
