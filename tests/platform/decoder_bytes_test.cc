#include <boost/test/unit_test.hpp>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "coltsfootfork/core/fleet/fleet_message.h"
#include "heartbeat_decoder.h"
#include "plan_decoder.h"
#include "platform_calls.h"

// Decoders of what peers send must not throw an exception for any bytes.
namespace coltsfootfork::platform {
namespace {

constexpr int kRoundsPerSample = 20'000;
constexpr int kMaxChanges = 4;

const std::string kHeartbeat =
    R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1",)"
    R"("slots":24,"state":"ready","cold_left_ms":1.5,"sequence":4,"born":7,)"
    R"("models":[{"name":"m","version":1,"adapters":[]}]})";
const std::string kPlan =
    R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/",)"
    R"("kind":"streaming","timeout_ms":6000,"goal_ms":1500,"priority":0,)"
    R"("backends":[{"service":"s","weight":90}],"max_attempts":2,)"
    R"("allowed_regions":["r1"],"resumable":true,"gap_target_ms":180}],)"
    R"("services":[{"name":"s","health_path":"/h","max_conns":2,"cold_s":1,)"
    R"("engine":{"slots":24,"kv_capacity_tokens":1,"link_mbps":2.5,"stride":4,)"
    R"("handle_s":5.0,"moves":true}}],"limits":{"header_bytes":16384},)"
    R"("tenants":[{"name":"t","api_keys":["k1","k2"],"priority":1}]})";
const std::string kReport =
    R"({"runs":[["a",100,5,1],["b",2.5,-6,0]],"handle":"h","made":4})";

// Changes, removes or doubles some bytes.
std::string Mutate(std::string bytes, std::mt19937_64& random) {
  const std::size_t changes = 1 + random() % kMaxChanges;
  for (std::size_t i = 0; i < changes && !bytes.empty(); ++i) {
    const std::size_t at = random() % bytes.size();
    const std::size_t size = random() % 8;
    switch (random() % 4) {
      case 0:
        bytes[at] = static_cast<char>(random());
        break;
      case 1:
        bytes.erase(at, size);
        break;
      case 2:
        bytes.insert(at, bytes.substr(at, size));
        break;
      default:
        bytes[at] = "0-9.eE\"[]{}:,n\xff"[random() % 16];
    }
  }
  return bytes;
}

void CheckDecoder(const std::string& sample,
                  const std::function<void(const std::string&)>& decode) {
  std::mt19937_64 random(11);
  for (int round = 0; round < kRoundsPerSample; ++round) {
    const std::string bytes = Mutate(sample, random);
    BOOST_REQUIRE_NO_THROW(decode(bytes));
  }
}

BOOST_AUTO_TEST_CASE(DocumentsOfPeersRaiseNoException) {
  CheckDecoder(kHeartbeat, [](const std::string& bytes) {
    Findings findings;
    DecodeHeartbeat("i-1", bytes, findings);
    DecodeDeregistration(bytes);
  });
  CheckDecoder(kPlan, [](const std::string& bytes) {
    Findings findings;
    DecodePlan(bytes, findings);
  });
  CheckDecoder(kReport, [](const std::string& bytes) {
    const PlatformCalls calls;
    calls.ReadRunningCalls({200, "", {}, bytes});
    calls.ReadKvTransferReply({200, "", {}, bytes});
  });
}

BOOST_AUTO_TEST_CASE(FieldsOfPeersRaiseNoException) {
  const PlatformCalls calls;
  for (const char* name :
       {"Request-Id", "Deadline-Ms", "Token-Counts", "Prefix-Hash",
        "Length-Hint", "Last-Event-Id", "Credential"}) {
    CheckDecoder("5c1e07a2:800,91bd3f06:410 12.5",
                 [&](const std::string& text) {
                   HttpRequest request;
                   request.fields = {{name, text}};
                   calls.ForwardFields(request, {});
                   calls.ReadCallHead(request);
                 });
  }
  for (const char* name : {"Request-Id", "Not-Executed", "Server-Limit",
                           "Server-Leaving", "Cold-Ms", "Retry-After"}) {
    CheckDecoder("12.5e1", [&](const std::string& text) {
      calls.ReadResponseHead({503, "", {{name, text}}, {}});
    });
  }
}

BOOST_AUTO_TEST_CASE(FramesOfPeersRaiseNoException) {
  ControlDigest digest;
  digest.zone = ZoneId("z");
  digest.voters = {"10.0.0.1:1", "10.0.0.2:1"};
  digest.evacuated = EvacuatedZones{3, {ZoneId("a")}};
  DirectoryUpdate update;
  update.records.push_back({});
  update.records.back().id = ServerId("i-1");
  const std::vector<FleetMessage> messages = {Hello{"10.0.0.1:1", false, true},
                                              digest, update};
  for (const FleetMessage& message : messages) {
    CheckDecoder(EncodeFleetMessage(message),
                 [](const std::string& bytes) { DecodeFleetMessage(bytes); });
  }
}

}  // namespace
}  // namespace coltsfootfork::platform
