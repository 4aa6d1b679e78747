#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "soak/slow_servers.h"

namespace coltsfootfork {

enum class SlowCallKind : std::uint8_t {
  // A large stream or a large response, read slowly but steadily.
  kSteadyStream = 0,
  kSteadyResponse,
  // The same, not read at all until the caller gives up.
  kUnreadStream,
  kUnreadResponse,
  // A large request to a server that reads it slowly.
  kUpload,
};

inline constexpr SlowCallKind kLastSlowCallKind = SlowCallKind::kUpload;

// An entry as callers reach it without a proxy and its faults.
struct SlowCallEntry {
  boost::asio::ip::tcp::endpoint address;
  // Counts the faults that pause, stop or kill the entry.
  std::function<std::uint64_t()> faults;
  // Such a fault is in effect.
  std::function<bool()> is_disturbed;
};

// A caller that sends calls of one kind, in a loop, to all entries in turn.
// Checks that an entry that was not disturbed meanwhile passes on whole
// responses.
class SlowCaller {
 public:
  using Finding = std::function<void(const std::string& finding)>;

  SlowCaller(boost::asio::io_context& io, std::string name, SlowCallKind kind,
             std::vector<SlowCallEntry> entries,
             const SlowReadingServer& uploads, Finding on_finding);
  ~SlowCaller();
  SlowCaller(const SlowCaller&) = delete;
  SlowCaller& operator=(const SlowCaller&) = delete;

  void Start() { Next(); }
  // Closes the connection and starts no further call.
  void Stop();
  SlowCallKind kind() const { return kind_; }
  // The number of whole responses, or of calls that were given up where nothing
  // is read.
  int served() const { return served_; }

 private:
  class Call;

  void Next();
  void OnEnd(const Call& call);
  // Returns what is wrong with the response; empty if nothing is.
  std::string CheckResponse(const Call& call) const;
  std::string CheckUpload(const Call& call) const;

  boost::asio::io_context& io_;
  std::string name_;
  SlowCallKind kind_;
  std::vector<SlowCallEntry> entries_;
  const SlowReadingServer& uploads_;
  Finding on_finding_;
  boost::asio::steady_timer pause_;
  std::shared_ptr<Call> call_;
  std::size_t number_ = 0;
  std::uint64_t faults_before_ = 0;
  bool disturbed_before_ = false;
  int served_ = 0;
  bool stopping_ = false;
};

}  // namespace coltsfootfork
