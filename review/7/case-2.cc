// A request whose transfer coding is not chunked carries another request in its
// body. Exits with 1 if an engine runs the inner request, 0 if not.

#include <unistd.h>

#include <cstdio>
#include <string>

#include "deployment-2.h"

namespace {

constexpr char kPlan[] =
    R"({"version":7,"routes":[{"name":"r-1","host":"shop.example",)"
    R"("path_prefix":"/sale/","kind":"non_idempotent","timeout_ms":2000,)"
    R"("goal_ms":300,"priority":0,"service":"ledger","max_attempts":1,)"
    R"("public":false}],"services":[{"name":"ledger",)"
    R"("health_path":"/healthz","max_conns":120,"protocol":"h1","tls":false}],)"
    R"("limits":{"header_bytes":16384,"body_bytes":4194304,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
    R"("tenants":[{"name":"stall","api_keys":["key-1"],"priority":1}]})";

std::string Head(const std::string& path, const std::string& id,
                 const std::string& framing) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id +
         "\r\nDeadline-Ms: 2000\r\nCredential: key-1\r\n" + framing + "\r\n";
}

std::string Chunked(const std::string& body) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", body.size());
  return size + body + "\r\n0\r\n\r\n";
}

}  // namespace

int main() {
  using std::chrono::milliseconds;
  review::Record record(review::Variable("RECORD", "record.txt"));
  review::Deployment deployment(record);
  review::Engine engine(record, "i-1", "127.0.31.20");
  engine.Run();
  deployment.Start();
  deployment.Put(kPlan);
  deployment.Control(
      0, "POST", "/api/instances/i-1/heartbeat",
      engine.Heartbeat("ledger", "ready", review::UnixMilliseconds(), 1));
  deployment.AwaitReady();

  const char* const codings[] = {"gzip", "xchunked", "chunked, identity"};
  for (int i = 0; i < 3; ++i) {
    const std::string number = std::to_string(i + 1);
    const std::string inner =
        Head("/sale/inner", "inner-" + number, "Content-Length: 0\r\n");
    // Without the trouble, the same bytes are sent in one chunk.
    const std::string coding =
        review::HasTrouble() ? codings[i] : std::string("chunked");
    const std::string outer = Head("/sale/outer", "outer-" + number,
                                   "Transfer-Encoding: " + coding + "\r\n") +
                              (review::HasTrouble() ? inner : Chunked(inner));
    const int descriptor = review::Connect(
        deployment.entry_ip(), deployment.entry_port(), milliseconds(1000));
    if (descriptor < 0 || !review::SendAll(descriptor, outer)) {
      review::GiveUp("the entry took no request");
    }
    record.Write("the consumer sends one request, outer-" + number +
                 ", with Transfer-Encoding: " + coding + " and a body of " +
                 std::to_string(inner.size()) + " bytes");
    const std::string answers =
        review::ReadUntilQuiet(descriptor, milliseconds(1000));
    close(descriptor);
    for (std::size_t at = answers.find("HTTP/1.1 "); at != std::string::npos;
         at = answers.find("HTTP/1.1 ", at + 1)) {
      record.Write("the consumer gets " +
                   answers.substr(at, answers.find("\r\n", at) - at));
    }
  }

  int smuggled = 0;
  int outer = 0;
  for (const review::ReceivedRequest& request : engine.requests()) {
    const bool is_inner = request.Field("request-id").rfind("inner-", 0) == 0;
    ++(is_inner ? smuggled : outer);
  }
  record.Write("run by the engine: " + std::to_string(outer) +
               " requests of the consumer, " + std::to_string(smuggled) +
               " that were inside another one");
  if (smuggled > 0) return 1;
  // Without the trouble all requests must have been served.
  return review::HasTrouble() || outer == 3 ? 0 : 2;
}
