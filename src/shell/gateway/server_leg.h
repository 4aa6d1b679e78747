#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "coltsfootfork/core/gateway/load_reservation.h"
#include "coltsfootfork/core/types/ids.h"
#include "coltsfootfork/core/types/time.h"
#include "shell/gateway/gateway_context.h"
#include "shell/gateway/server_connection.h"

namespace coltsfootfork {

// What a send of a call is made of.
struct LegPlan {
  ServerId server;
  std::string address;
  // The incarnation that is called.
  std::uint64_t incarnation = 0;
  // What the call takes there.
  ServerLoad load;
  // The server that keeps a copy, if any, and where it is.
  ServerId backup;
  std::string backup_address;
  ConnectionWish wish;
};

// What a send tells its call. Nothing is told after Cancel.
struct LegEvents {
  // The request's bytes, asked for when they are about to be sent.
  std::function<std::string()> request;
  // The server was not reached.
  std::function<void()> on_unreached;
  std::function<void(const HttpResponse& head, const ResponseHead& facts)>
      on_head;
  std::function<void(std::string_view bytes)> on_body;
  std::function<void(ExchangeEnd end)> on_end;
};

// One send of a call to one server. While it lives, the server's load counts
// the call.
class ServerLeg : public std::enable_shared_from_this<ServerLeg> {
 public:
  ServerLeg(GatewayContext& context, LegPlan plan);
  ServerLeg(const ServerLeg&) = delete;
  ServerLeg& operator=(const ServerLeg&) = delete;

  void Start(RequestId id, Time now, LegEvents events);
  // Closes the connection if the exchange is not over, so that the server
  // stops.
  void Cancel();

  // The server has begun to answer.
  void OnPrefillDone() { reservation_.OnPrefillDone(); }
  // The call takes so many tokens more than was expected.
  void Raise(std::uint64_t tokens);

  const LegPlan& plan() const { return plan_; }
  // The request has been handed to a connection.
  bool is_sent() const { return sent_; }

 private:
  void OnConnected(std::shared_ptr<ServerConnection> connection);
  // Takes in what the server says of itself in an answer.
  void NoteWord(const ResponseHead& facts, Time now);
  void Release();

  GatewayContext& context_;
  LegPlan plan_;
  LoadReservation reservation_;
  // Of the copy, where one is kept.
  std::optional<LoadReservation> backup_reservation_;
  RequestId id_;
  LegEvents events_;
  std::shared_ptr<ServerConnection> connection_;
  bool cancelled_ = false;
  bool sent_ = false;
};

}  // namespace coltsfootfork
