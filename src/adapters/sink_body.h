#pragma once

#include <boost/asio/buffers_iterator.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <functional>
#include <string_view>

namespace coltsfootfork {

// A Beast body type that passes its bytes to a callback while they are parsed
// and stores none.
struct SinkBody {
  struct Value {
    // Returning false stops the parser with http::error::body_limit.
    std::function<bool(std::string_view bytes)> sink;
  };

  class Reader {
   public:
    template <bool is_request, class Fields>
    Reader(boost::beast::http::header<is_request, Fields>& /*header*/,
           Value& body)
        : body_(body) {}

    void init(const boost::optional<std::uint64_t>& /*length*/,
              boost::system::error_code& error) {
      error = {};
    }

    template <class Buffers>
    std::size_t put(const Buffers& buffers, boost::system::error_code& error) {
      std::size_t consumed = 0;
      error = {};
      for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
        const std::string_view bytes(static_cast<const char*>(buffer.data()),
                                     buffer.size());
        if (!body_.sink(bytes)) {
          error = boost::beast::http::error::body_limit;
          return consumed;
        }
        consumed += bytes.size();
      }
      return consumed;
    }

    void finish(boost::system::error_code& error) { error = {}; }

   private:
    Value& body_;
  };

  // Names required by the Beast Body concept.
  using value_type = Value;
  using reader = Reader;
};

}  // namespace coltsfootfork
