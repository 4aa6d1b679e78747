#include "adapters/engine_decoders.h"

#include <limits>

#include "adapters/json_fields.h"
#include "shell/net/ip_address.h"

namespace coltsfootfork {
namespace {

constexpr std::size_t kMaxNameBytes = 256;
constexpr std::size_t kMaxServices = 1024;
constexpr std::size_t kMaxBlocks = 1 << 16;
constexpr std::size_t kMaxTextBytes = 64 << 10;
constexpr std::uint64_t kMaxU32 = std::numeric_limits<std::uint32_t>::max();

}  // namespace

std::optional<AnnouncedServer> DecodeAnnounce(std::string_view body,
                                              Findings* findings) {
  JsonFields fields(body, findings);
  AnnouncedServer announced;
  EngineAnnouncement& message = announced.message;
  message.server = ServerId(fields.String("server", kMaxNameBytes));
  message.incarnation = fields.Unsigned("incarnation");
  announced.address = fields.String("address", kMaxNameBytes);
  for (std::string& name :
       fields.Strings("services", kMaxServices, kMaxNameBytes)) {
    message.services.emplace_back(std::move(name));
  }
  message.memory_tokens = fields.Unsigned("memory_tokens");
  message.max_batch =
      static_cast<std::uint32_t>(fields.Unsigned("max_batch", kMaxU32));
  message.can_resume = fields.Flag("can_resume");
  message.checks_fence = fields.Flag("checks_fence");
  message.draining = fields.Flag("leaving");
  if (findings->empty() && message.server.empty()) {
    findings->Add("/server", "is empty");
  }
  const auto endpoint = ParseEndpoint(announced.address);
  if (findings->empty() && (!endpoint || endpoint->port() == 0)) {
    findings->Add("/address", "is not IP:PORT");
  }
  if (!findings->empty()) return std::nullopt;
  return announced;
}

std::optional<EngineLoad> DecodeLoad(std::string_view body,
                                     Findings* findings) {
  JsonFields fields(body, findings);
  EngineLoad load;
  load.running_requests =
      static_cast<std::uint32_t>(fields.Unsigned("running_requests", kMaxU32));
  load.waiting_requests =
      static_cast<std::uint32_t>(fields.Unsigned("waiting_requests", kMaxU32));
  load.memory_used_tokens = fields.Unsigned("memory_used_tokens");
  load.preemptions = fields.Unsigned("preemptions");
  if (!findings->empty()) return std::nullopt;
  return load;
}

std::optional<CacheHint> DecodeCacheEvents(std::string_view body,
                                           Findings* findings) {
  JsonFields fields(body, findings);
  CacheHint hint;
  hint.sequence = fields.Unsigned("sequence");
  hint.added_blocks = fields.Numbers("added_blocks", kMaxBlocks);
  hint.removed_blocks = fields.Numbers("removed_blocks", kMaxBlocks);
  if (!findings->empty()) return std::nullopt;
  return hint;
}

std::optional<StreamEvent> DecodeStreamEvent(std::string_view data,
                                             Findings* findings) {
  JsonFields fields(data, findings);
  if (!findings->empty()) return std::nullopt;
  StreamEvent event;
  if (fields.Has("finish_reason")) {
    StreamFinished finished;
    finished.finish_reason = fields.String("finish_reason", kMaxNameBytes);
    finished.token_count =
        static_cast<std::uint32_t>(fields.Unsigned("token_count", kMaxU32));
    event = std::move(finished);
  } else if (fields.OptionalFlag("preempted")) {
    event = StreamPreempted{};
  } else {
    StreamToken token;
    token.index = static_cast<std::uint32_t>(fields.Unsigned("index", kMaxU32));
    token.text = fields.String("text", kMaxTextBytes);
    event = std::move(token);
  }
  if (!findings->empty()) return std::nullopt;
  return event;
}

bool ReportsNotRun(std::string_view body) {
  Findings findings;
  JsonFields fields(body, &findings);
  return fields.OptionalFlag("not_run");
}

EngineOrderResult DecodeOrderResult(FencingToken fence, std::string_view body) {
  Findings findings;
  JsonFields fields(body, &findings);
  EngineOrderResult result;
  result.fence = fence;
  result.applied = fields.Flag("applied");
  if (fields.Has("problem")) {
    result.problem = fields.String("problem", kMaxTextBytes);
  }
  if (!findings.empty()) {
    result.applied = false;
    result.problem = "the answer cannot be read: " + findings.ToText();
  }
  return result;
}

}  // namespace coltsfootfork
