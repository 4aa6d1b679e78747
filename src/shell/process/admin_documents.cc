#include "shell/process/admin_documents.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace coltsfootfork {
namespace {

using nlohmann::json;

constexpr char kJson[] = "application/json";

HttpResponse JsonResponse(int status, const json& document) {
  return {status,
          kJson,
          {},
          document.dump(2, ' ', false, json::error_handler_t::replace) + "\n"};
}

HttpResponse NoQuorumResponse(const std::string& detail) {
  HttpResponse response = JsonResponse(503, {{"title", "no_quorum"},
                                             {"reason", "no_quorum"},
                                             {"status", 503},
                                             {"detail", detail}});
  response.content_type = "application/problem+json";
  response.fields.push_back({"Retry-After", "1"});
  return response;
}

json FindingsToJson(const std::vector<Finding>& findings) {
  json list = json::array();
  for (const Finding& finding : findings) {
    list.push_back({{"place", finding.place}, {"problem", finding.problem}});
  }
  return list;
}

json ProcessDocument(const ProcessStatus& status, Revision newest) {
  const RenewLease& last = status.last;
  json document = {
      {"process", last.process.value()},           {"roles", last.roles},
      {"availability_zone", last.zone.value()},    {"address", last.address},
      {"incarnation", last.incarnation},           {"revision", last.in_force},
      {"in_force", last.in_force == newest},       {"stopping", last.stopping},
      {"lease_left_ms", status.lease_left.count()}};
  if (last.server.empty()) return document;
  json services = json::array();
  for (const ServiceId& service : last.services) {
    services.push_back(service.value());
  }
  document["server"] = {{"name", last.server.value()},
                        {"incarnation", last.server_incarnation},
                        {"services", services},
                        {"draining", last.draining}};
  return document;
}

template <typename Reply>
const Reply* Find(const std::optional<ControlReply>& reply) {
  return reply ? std::get_if<Reply>(&*reply) : nullptr;
}

}  // namespace

HttpResponse ConfigurationResponse(const std::optional<ControlReply>& reply) {
  const auto* state = Find<FetchStateReply>(reply);
  if (state == nullptr || !state->current) {
    return NoQuorumResponse("no control replica can say what is current");
  }
  HttpResponse response;
  response.content_type = kJson;
  response.body = state->payload.empty() ? "{}" : state->payload;
  response.fields.push_back(
      {"ETag", "\"" + std::to_string(state->revision) + "\""});
  return response;
}

HttpResponse PutResponse(const std::optional<ControlReply>& reply) {
  const auto* put = Find<PutConfigurationReply>(reply);
  if (put == nullptr || put->verdict == PutVerdict::kNoQuorum) {
    return NoQuorumResponse(
        "the outcome is not known: send the same Change-Id again");
  }
  switch (put->verdict) {
    case PutVerdict::kAccepted:
      return JsonResponse(200, {{"revision", put->revision}});
    case PutVerdict::kConflict:
      return JsonResponse(412, {{"reason", "revision_conflict"},
                                {"revision", put->revision},
                                {"change_id", put->winner_change_id}});
    case PutVerdict::kInvalid:
    case PutVerdict::kNoQuorum:
      break;
  }
  return JsonResponse(422, {{"reason", "invalid_configuration"},
                            {"findings", FindingsToJson(put->findings)}});
}

HttpResponse StatusResponse(const std::optional<ControlReply>& reply) {
  const auto* status = Find<ReadStatusReply>(reply);
  if (status == nullptr || !status->current) {
    return NoQuorumResponse("no control replica can say what is current");
  }
  json processes = json::array();
  for (const ProcessStatus& process : status->processes) {
    processes.push_back(ProcessDocument(process, status->revision));
  }
  json replicas = json::array();
  for (const ReplicaStatus& replica : status->replicas) {
    replicas.push_back({{"process", replica.process.value()},
                        {"incarnation", replica.incarnation},
                        {"voter", replica.voter}});
  }
  return JsonResponse(200, {{"leader", status->leader.value()},
                            {"replicas", replicas},
                            {"term", status->term},
                            {"revision", status->revision},
                            {"processes", processes},
                            {"findings", FindingsToJson(status->findings)}});
}

std::optional<Revision> ParseRevision(std::string_view field) {
  if (field.size() >= 2 && field.front() == '"' && field.back() == '"') {
    field = field.substr(1, field.size() - 2);
  }
  Revision revision = 0;
  const char* end = field.data() + field.size();
  const auto parsed = std::from_chars(field.data(), end, revision);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return revision;
}

}  // namespace coltsfootfork
