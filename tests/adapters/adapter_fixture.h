#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <vector>

#include "coltsfootfork/adapters/http_engine_adapter.h"

namespace coltsfootfork {

// An adapter on a port of its own, and what it told.
struct AdapterFixture {
  AdapterFixture();

  // Runs the loop until the condition holds; fails the test when it does not
  // come to hold.
  void RunUntil(const std::function<bool()>& condition);
  // Sends raw bytes to the engine port and returns all that comes back.
  std::string CallPort(const std::string& bytes);
  // Announces the address as the backend server "e1".
  void Announce(const std::string& address, std::uint64_t incarnation = 1);
  void Submit(const std::string& request, const std::string& prompt,
              std::uint32_t first_index = 0);
  // The texts that came for the request, and how it ended: "completed",
  // "refused", "interrupted", "never sent" or nothing yet.
  std::string Tokens(const std::string& request) const;
  std::string OutcomeOf(const std::string& request) const;

  template <typename Message>
  std::vector<Message> Received() const {
    std::vector<Message> found;
    for (const EngineToAgent& message : messages) {
      if (auto* one = std::get_if<Message>(&message)) found.push_back(*one);
    }
    return found;
  }

  boost::asio::io_context io{1};
  std::vector<EngineToAgent> messages;
  std::vector<Finding> findings;
  HttpEngineAdapter adapter;
};

}  // namespace coltsfootfork
