#include "shell/process/problem.h"

#include <nlohmann/json.hpp>

namespace coltsfootfork {
namespace {

constexpr char kTypePrefix[] = "urn:coltsfootfork:problem:";

std::int64_t RoundUpToSeconds(std::chrono::milliseconds duration) {
  return std::chrono::ceil<std::chrono::seconds>(duration).count();
}

}  // namespace

int ProblemStatus(Reason reason) {
  switch (reason) {
    case Reason::kBadRequest:
      return 400;
    case Reason::kUnauthenticated:
      return 401;
    case Reason::kUnknownService:
      return 404;
    case Reason::kClaimInProgress:
    case Reason::kClaimOutcomeUnknown:
      return 409;
    case Reason::kRequestTooLarge:
      return 413;
    case Reason::kIdempotencyKeyReused:
      return 422;
    case Reason::kWorkspaceRequestLimit:
    case Reason::kWorkspaceTokenLimit:
    case Reason::kWorkspaceStreamLimit:
      return 429;
    case Reason::kServerError:
    case Reason::kServerLost:
    case Reason::kAgentLost:
    case Reason::kStreamIncomplete:
    case Reason::kOutcomeUnknown:
      return 502;
    case Reason::kStreamStalled:
      return 504;
    default:
      return 503;
  }
}

std::string ProblemText(const Problem& problem) {
  const std::string reason(ReasonName(problem.reason));
  nlohmann::json document = {{"type", kTypePrefix + reason},
                             {"title", reason},
                             {"status", ProblemStatus(problem.reason)},
                             {"reason", reason},
                             {"not_run", problem.not_run}};
  if (!problem.detail.empty()) document["detail"] = problem.detail;
  if (problem.retry_after.count() > 0) {
    document["retry_after_ms"] = problem.retry_after.count();
  }
  return document.dump(-1, ' ', false,
                       nlohmann::json::error_handler_t::replace);
}

HttpResponse ProblemResponse(const Problem& problem) {
  HttpResponse response;
  response.status = ProblemStatus(problem.reason);
  response.content_type = "application/problem+json";
  response.body = ProblemText(problem);
  if (problem.retry_after.count() > 0) {
    response.fields.push_back(
        {"Retry-After", std::to_string(RoundUpToSeconds(problem.retry_after))});
  }
  return response;
}

}  // namespace coltsfootfork
