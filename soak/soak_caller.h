#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "soak/invariant_checker.h"

namespace coltsfootfork {

// A caller that sends calls in a loop and keeps its connection until the server
// closes it.
class SoakCaller {
 public:
  using Endpoint = boost::asio::ip::tcp::endpoint;
  using Done = std::function<void(const std::string& call, SoakKind kind,
                                  const ObservedResponse& observed)>;

  // An entry's address, and whether the entry was signalled to stop.
  struct Entry {
    Endpoint address;
    std::function<bool()> is_stopping;
  };

  // Each request names one of the timeouts.
  SoakCaller(boost::asio::io_context& io, std::string name,
             std::vector<Entry> entries,
             std::vector<std::chrono::milliseconds> timeouts,
             std::uint64_t seed, Done done);

  void Start() { Next(); }
  // Starts no further call. The call in flight still finishes.
  void Stop() { stopping_ = true; }
  bool is_idle() const { return idle_; }

 private:
  void Next();
  void Connect();
  void Send();
  void Read();
  void End(bool complete);
  ObservedResponse ObserveResponse(bool complete) const;

  boost::asio::io_context& io_;
  std::string name_;
  std::vector<Entry> entries_;
  std::vector<std::chrono::milliseconds> timeouts_;
  std::mt19937_64 random_;
  Done done_;
  boost::asio::steady_timer pause_;
  std::optional<boost::beast::tcp_stream> stream_;
  boost::beast::flat_buffer buffer_;
  boost::beast::http::request<boost::beast::http::empty_body> request_;
  std::optional<
      boost::beast::http::response_parser<boost::beast::http::string_body>>
      parser_;
  std::string call_;
  SoakKind kind_ = SoakKind::kRead;
  // The entry of the connection.
  std::size_t entry_ = 0;
  std::chrono::steady_clock::time_point times_out_at_;
  bool sent_to_stopping_ = false;
  int number_ = 0;
  bool stopping_ = false;
  bool idle_ = true;
};

}  // namespace coltsfootfork
