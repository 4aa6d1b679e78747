#include "standin/standin_options.h"

#include <docopt/docopt.h>

#include <sstream>

namespace coltsfootfork::standin {
namespace {

constexpr char kUsage[] =
    R"(A small backend server that speaks the engine protocol.

Usage:
  engine_standin --server=NAME --services=LIST [--agent=ADDRESS]... [options]

Options:
  --agent=ADDRESS          IP:PORT of an agent to announce to.
  --server=NAME            Name of the server.
  --services=LIST          Names of its services, separated by commas.
  --listen=ADDRESS         IP:PORT to listen on [default: 127.0.0.1:0].
  --zone=NAME              Availability zone.
  --token-interval-ms=N    Time of a step with a batch of one [default: 5].
  --prefill-us-per-token=N  Time for a prompt token not cached [default: 0].
  --memory-tokens=N        Key/value memory in tokens [default: 100000].
  --max-batch=N            Most requests in one batch [default: 32].
  --tokens=N               Output length without max_tokens [default: 16].
  --late-ms=N              Answers each odd-numbered run late [default: 0].
  --load-lag-ms=N          Age of the load in its reports [default: 0].
  --event-gap-every=N      Drops each Nth cache event [default: 0].
  --silent-after=N         Goes silent after N tokens on a link [default: 0].
  --refuse-every=N         Refuses each Nth request as not run [default: 0].
  --cannot-resume          Forgets a request when its link breaks.
  --checks-fence           Refuses orders with an old fence.
  --help                   Prints this text.
)";

}  // namespace

StandinOptions ParseOptions(int argc, char** argv) {
  auto args = docopt::docopt(kUsage, {argv + 1, argv + argc});
  auto number = [&](const char* name) { return args[name].asLong(); };
  StandinOptions options;
  options.agents = args["--agent"].asStringList();
  options.listen = args["--listen"].asString();
  options.server = args["--server"].asString();
  if (args["--zone"]) options.zone = args["--zone"].asString();
  std::istringstream services(args["--services"].asString());
  for (std::string name; std::getline(services, name, ',');) {
    options.services.insert(name);
  }
  options.token_interval =
      std::chrono::milliseconds(number("--token-interval-ms"));
  options.prefill_per_token =
      std::chrono::microseconds(number("--prefill-us-per-token"));
  options.late = std::chrono::milliseconds(number("--late-ms"));
  options.load_lag = std::chrono::milliseconds(number("--load-lag-ms"));
  options.memory_tokens = number("--memory-tokens");
  options.max_batch = number("--max-batch");
  options.default_tokens = number("--tokens");
  options.can_resume = !args["--cannot-resume"].asBool();
  options.checks_fence = args["--checks-fence"].asBool();
  options.event_gap_every = number("--event-gap-every");
  options.silent_after = number("--silent-after");
  options.refuse_every = number("--refuse-every");
  return options;
}

}  // namespace coltsfootfork::standin
