#include "platform/control_group.h"

#include <stdlib.h>

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "shell/clock/monotonic_now.h"
#include "shell/net/http_client.h"
#include "shell/net/ip_address.h"

namespace coltsfootfork::platform {
namespace {

namespace fs = std::filesystem;
using nlohmann::json;

// Many times the attempts that a new group needs, each of which waits for about
// a second: a call that is never acknowledged is a failure.
constexpr int kMaxAttempts = 100;

}  // namespace

ControlGroup::ControlGroup(int count, int count_with_disk, UsagePacing usage)
    : usage_(usage) {
  std::string pattern = (fs::temp_directory_path() / "group-XXXXXX").string();
  folder_ = ::mkdtemp(pattern.data());
  for (int i = 0; i < count; ++i) {
    ControlProcess process;
    process.reserved_address = std::make_unique<ReservedAddress>();
    process.address = process.reserved_address->text();
    process.reserved_api_address = std::make_unique<ReservedAddress>();
    process.api_address = process.reserved_api_address->text();
    if (i < count_with_disk) {
      process.folder = folder_ + "/" + std::to_string(i);
    }
    processes.push_back(std::move(process));
  }
  for (int i = 0; i < count; ++i) Start(i, /*is_first_start=*/true);
}

ControlGroup::~ControlGroup() { fs::remove_all(folder_); }

void ControlGroup::Start(int index, bool is_first_start) {
  ControlProcess& process = processes[index];
  ControlNodeOptions options;
  options.self = process.address;
  options.data_folder = process.folder;
  options.is_first_start = is_first_start;
  options.usage = usage_;
  options.seed = 11 + index;
  for (int i = 0; i < 3 && i < static_cast<int>(processes.size()); ++i) {
    options.seeds.push_back(processes[i].address);
  }
  process.control = std::make_unique<ControlNode>(io, options, MonotonicNow());
  process.api = std::make_unique<ControlApi>(
      io, ParseEndpoint(process.api_address).value(), *process.control);
}

HttpResponse ControlGroup::Call(int index, const std::string& method,
                                const std::string& path,
                                const std::string& body) {
  HttpRequest request;
  request.method = method;
  request.target = path;
  request.body = body;
  std::optional<HttpFetchResult> done;
  HttpFetch(io, ParseEndpoint(processes[index].api_address).value(), request,
            std::chrono::seconds(30),
            [&](HttpFetchResult result) { done = std::move(result); });
  RunUntil([&] { return done.has_value(); });
  return done->response.value_or(HttpResponse{0, "", {}, ""});
}

int ControlGroup::Put(int index, int version, int timeout_ms) {
  const json document = {{"version", version},
                         {"routes",
                          {{{"host", "a"},
                            {"path_prefix", "/"},
                            {"kind", "idempotent"},
                            {"timeout_ms", timeout_ms},
                            {"service", "s"}}}},
                         {"services", {{{"name", "s"}}}}};
  return Call(index, "POST", "/api/config/put", document.dump()).status;
}

void ControlGroup::PutUntilAccepted(int index, int version) {
  UntilAcknowledged([&] { return Put(index, version); });
}

int ControlGroup::ReadVersion(int index) {
  const HttpResponse response = Call(index, "GET", "/api/config/get", "");
  if (response.status != 200) return -response.status;
  return json::parse(response.body).at("version").get<int>();
}

int ControlGroup::ReadVersionUntilAvailable(int index) {
  int version = -503;
  for (int i = 0; i < kMaxAttempts && version == -503; ++i) {
    version = ReadVersion(index);
  }
  return version;
}

int ControlGroup::Heartbeat(int index, const std::string& id, int sequence,
                            const std::string& state, int incarnation) {
  const json body = {{"service", "s"},      {"address", "127.0.0.1:9"},
                     {"state", state},      {"sequence", sequence},
                     {"born", incarnation}, {"slots", 4}};
  return Call(index, "POST", "/api/instances/" + id + "/heartbeat", body.dump())
      .status;
}

int ControlGroup::Deregister(int index, const std::string& id) {
  return Call(index, "POST", "/api/instances/" + id + "/deregister",
              R"({"sequence":99,"born":1000})")
      .status;
}

void ControlGroup::HeartbeatUntilAcknowledged(int index, const std::string& id,
                                              int sequence,
                                              const std::string& state) {
  UntilAcknowledged([&] { return Heartbeat(index, id, sequence, state); });
}

void ControlGroup::UntilAcknowledged(const std::function<int()>& call) {
  int status = 0;
  for (int i = 0; i < kMaxAttempts && status != 200; ++i) status = call();
  BOOST_REQUIRE(status == 200);
}

void ControlGroup::RestartAll() {
  for (ControlProcess& process : processes) {
    process.api.reset();
    process.control.reset();
  }
  for (int i = 0; i < static_cast<int>(processes.size()); ++i) {
    Start(i, /*is_first_start=*/false);
  }
}

ServerState ControlGroup::StateOf(int index, const std::string& id) const {
  return processes[index].control->directory().Find(ServerId(id))->record.state;
}

void ControlGroup::RunUntil(const std::function<bool()>& condition) {
  while (!condition()) BOOST_REQUIRE(io.run_one() > 0);
}

}  // namespace coltsfootfork::platform
