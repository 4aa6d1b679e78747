#include "shell/gateway/refusal_response.h"

#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace coltsfootfork {

HttpResponse RefusalResponse(
    int status, const std::string& reason,
    std::optional<std::chrono::milliseconds> retry_after) {
  HttpResponse response;
  response.status = status;
  response.content_type = "application/problem+json";
  response.body =
      nlohmann::json{{"reason", reason}, {"not_run", retry_after.has_value()}}
          .dump();
  if (retry_after) {
    std::ostringstream seconds;
    seconds << std::fixed << std::setprecision(3)
            << std::chrono::duration<double>(*retry_after).count();
    response.fields.push_back({"Retry-After", seconds.str()});
  }
  return response;
}

}  // namespace coltsfootfork
