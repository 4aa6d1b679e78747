#include "platform_calls.h"

#include <boost/test/unit_test.hpp>

namespace coltsfootfork::platform {
namespace {

std::string FieldOf(const std::vector<HttpField>& fields,
                    const std::string& name) {
  std::string value = "none";
  for (const HttpField& field : fields) {
    if (field.name == name) value = value == "none" ? field.value : "twice";
  }
  return value;
}

HttpRequest Request() {
  HttpRequest request;
  request.method = "POST";
  request.target = "/a/1";
  request.fields = {{"Host", "a.example"},
                    {"Request-Id", "9c41"},
                    {"Model", "m"},
                    {"Token-Counts", "1460,80"},
                    {"Prefix-Hash", "5c1e:800"},
                    {"Length-Hint", "64"},
                    {"Deadline-Ms", "39000"},
                    {"Credential", "key"}};
  return request;
}

ForwardHead Head() {
  ForwardHead head;
  head.server = ServerId("i-1");
  head.remaining_time = std::chrono::milliseconds(38000);
  head.workspace = WorkspaceId("t");
  head.rank = 12;
  return head;
}

BOOST_AUTO_TEST_CASE(CallHeadIsDecoded) {
  const CallHead head = PlatformCalls().ReadCallHead(Request());
  BOOST_TEST(head.id == RequestId("9c41"));
  BOOST_TEST(head.api_key == "key");
  BOOST_CHECK(head.caller_timeout.value() == std::chrono::milliseconds(39000));
  BOOST_TEST(head.prompt_tokens == 1460U);
  BOOST_TEST(head.max_output_tokens == 80U);
  BOOST_TEST(head.expected_output_tokens.value() == 64U);
}

BOOST_AUTO_TEST_CASE(SharedPartsAreAllButTheLast) {
  const auto shared_parts = [](const std::string& prefix) {
    HttpRequest request;
    request.fields = {{"Prefix-Hash", prefix}};
    return PlatformCalls().ReadCallHead(request).shared_parts;
  };
  const std::vector<std::string> both = {"5c1e", "91bd"};
  BOOST_TEST(shared_parts("5c1e:800, 91BD:410 ,e440:250") == both);
  BOOST_TEST(shared_parts("5c1e,91bd,e440") == both);
  BOOST_TEST(shared_parts("5c1e:800").empty());
  BOOST_TEST(shared_parts("").empty());
  BOOST_TEST(shared_parts(":1,,x:2").empty());
  BOOST_TEST(shared_parts(std::string(100000, ',')).empty());
}

BOOST_AUTO_TEST_CASE(InvalidFieldsOfCallAreIgnored) {
  HttpRequest request = Request();
  for (HttpField& field : request.fields) {
    if (field.name != "Host") field.value = "-1 x";
  }
  const CallHead head = PlatformCalls().ReadCallHead(request);
  BOOST_TEST(!head.caller_timeout.has_value());
  BOOST_TEST(head.prompt_tokens == 0U);
  BOOST_TEST(!head.expected_output_tokens.has_value());
}

// Guards against an id that ends the process when its stream migrates.
BOOST_AUTO_TEST_CASE(TransferOfCallWithAnyIdIsWritten) {
  KvTransferRequest transfer;
  transfer.target_address = "127.0.0.1:1";
  for (const char* id : {"9c41", "\xff", "\xc3", "caf\xe9"}) {
    transfer.id = RequestId(id);
    const HttpRequest request =
        PlatformCalls().WriteKvTransferRequest(transfer);
    BOOST_TEST(request.body.find("127.0.0.1:1") != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(ServerReceivesWorkspaceInsteadOfKey) {
  const auto fields = PlatformCalls().ForwardFields(Request(), Head());
  BOOST_TEST(FieldOf(fields, "Credential") == "none");
  BOOST_TEST(FieldOf(fields, "Tenant") == "t");
  BOOST_TEST(FieldOf(fields, "Deadline-Ms") == "38000");
  BOOST_TEST(FieldOf(fields, "Expect-Instance") == "i-1");
  BOOST_TEST(FieldOf(fields, "Request-Priority") == "9");
  BOOST_TEST(FieldOf(fields, "Request-Id") == "9c41");
  BOOST_TEST(FieldOf(fields, "Prefix-Hash") == "5c1e:800");
  BOOST_TEST(FieldOf(fields, "Kv-From") == "none");
}

BOOST_AUTO_TEST_CASE(GatewayFieldsOfCallersAreDropped) {
  HttpRequest request = Request();
  for (const char* name :
       {"Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Kv-Fetch", "Tenant",
        "request-priority", "Expect-Instance", "Last-Event-Id"}) {
    request.fields.push_back({name, "forged"});
  }
  for (const HttpField& field :
       PlatformCalls().ForwardFields(request, Head())) {
    BOOST_TEST(field.value != "forged", field.name);
  }
}

BOOST_AUTO_TEST_CASE(ResumedStreamNamesKvCopyAndLastEvent) {
  ForwardHead head = Head();
  head.migration_source = MigrationSource{"10.0.0.1:80", "h7"};
  head.last_event_id = "31";
  head.backup_address = "10.0.0.2:80";
  const auto fields = PlatformCalls().ForwardFields(Request(), head);
  BOOST_TEST(FieldOf(fields, "Kv-From") == "10.0.0.1:80/h7");
  BOOST_TEST(FieldOf(fields, "Last-Event-Id") == "31");
  BOOST_TEST(FieldOf(fields, "Kv-Backup") == "10.0.0.2:80");
}

BOOST_AUTO_TEST_CASE(NotRunRequiresHeaderOr421) {
  const PlatformCalls calls;
  HttpResponse response;
  response.status = 503;
  BOOST_TEST(!calls.ReadResponseHead(response).not_run);
  response.fields = {{"Not-Executed", "1"}};
  BOOST_TEST(calls.ReadResponseHead(response).not_run);
  HttpResponse misdirected;
  misdirected.status = 421;
  BOOST_TEST(calls.ReadResponseHead(misdirected).not_run);
}

BOOST_AUTO_TEST_CASE(KvTransferRepliesAreDecoded) {
  const PlatformCalls calls;
  const auto decode = [&](int status, const std::string& body) {
    return calls.ReadKvTransferReply({status, "application/json", {}, body});
  };
  BOOST_TEST(decode(200, R"({"handle":"h1","made":4})").handle == "h1");
  BOOST_CHECK(decode(200, R"({"handle":"h1"})").status ==
              KvTransferStatus::kDone);
  BOOST_CHECK(decode(404, "").status == KvTransferStatus::kUnknownCall);
  BOOST_CHECK(decode(409, "").status == KvTransferStatus::kTransferInProgress);
  BOOST_CHECK(decode(503, R"({"handle":"h2"})").status ==
              KvTransferStatus::kTargetUnavailable);
  BOOST_TEST(decode(503, R"({"handle":"h2"})").handle == "h2");
  BOOST_CHECK(decode(500, "[").status == KvTransferStatus::kFailed);
  BOOST_TEST(decode(200, R"({"handle":[]})").handle.empty());
}

BOOST_AUTO_TEST_CASE(ReleaseOfACopyNamesItsHandle) {
  const HttpRequest request = PlatformCalls().WriteKvCopyRelease("h1");
  BOOST_TEST(request.method == "DELETE");
  BOOST_TEST(request.target == "/api/kv-handle/h1");
}

BOOST_AUTO_TEST_CASE(RunningCallsAreDecodedCompletelyOrNotAtAll) {
  const PlatformCalls calls;
  const auto decode = [&](int status, const std::string& body) {
    return calls.ReadRunningCalls({status, "application/json", {}, body});
  };
  const auto runs = decode(200, R"({"runs":[["a",3500,12,2],["b",70,1,0]]})");
  BOOST_REQUIRE(runs.has_value());
  BOOST_TEST(runs->size() == 2U);
  BOOST_TEST((*runs)[1].tokens == 70U);
  BOOST_TEST(!decode(200, R"({"runs":[["a",3500],[1]]})").has_value());
  BOOST_TEST(!decode(200, "{}").has_value());
  BOOST_TEST(!decode(503, R"({"runs":[]})").has_value());
}

}  // namespace
}  // namespace coltsfootfork::platform
