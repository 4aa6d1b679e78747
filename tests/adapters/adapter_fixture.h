#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <vector>

#include "coltsfootfork/adapters/http_engine_adapter.h"

namespace coltsfootfork {

// An adapter with its own engine port, and the messages and findings received
// from it.
struct AdapterFixture {
  AdapterFixture();

  // Runs the event loop until the condition holds. Fails the test if no event
  // occurs within a timeout.
  void RunUntil(const std::function<bool()>& condition);
  // Sends raw bytes to the engine port and returns everything received until
  // the connection is closed.
  std::string CallPort(const std::string& bytes);
  // Announces the address as the backend server "e1".
  void Announce(const std::string& address, std::uint64_t incarnation = 1);
  void Submit(const std::string& request, const std::string& prompt,
              std::uint32_t first_index = 0);
  // The token texts received for the request.
  std::string Tokens(const std::string& request) const;
  // The final message of the request: "completed", "refused", "interrupted",
  // "never sent", or empty while there is none.
  std::string OutcomeOf(const std::string& request) const;

  template <typename Message>
  std::vector<Message> Received() const {
    std::vector<Message> found;
    for (const EngineToAgent& message : messages) {
      if (auto* one = std::get_if<Message>(&message)) found.push_back(*one);
    }
    return found;
  }

  // Kind of the submitted requests.
  RequestKind kind = RequestKind::kGeneration;
  boost::asio::io_context io{1};
  std::vector<EngineToAgent> messages;
  std::vector<Finding> findings;
  HttpEngineAdapter adapter;
};

}  // namespace coltsfootfork
