#include "coltsfootfork/core/replay/trace_recorder.h"

#include <nlohmann/json.hpp>

#include "core/replay/body_digest.h"
#include "core/replay/configuration_codec.h"
#include "core/replay/trace_codec.h"
#include "core/replay/trace_reader.h"

namespace coltsfootfork {
namespace {

using nlohmann::json;

void WriteLine(std::ostream& out, const json& line) {
  // Bytes that are not valid UTF-8 are replaced: JSON cannot represent them.
  out << line.dump(-1, ' ', false, json::error_handler_t::replace) << '\n';
}

std::int64_t Microseconds(Time at) { return at.time_since_epoch().count(); }

}  // namespace

TraceRecorder::TraceRecorder(std::ostream& out, const TraceHeader& header)
    : out_(out), whole_bodies_(header.whole_bodies) {
  WriteLine(out_, {{"trace", "coltsfootfork"},
                   {"version", kTraceVersion},
                   {"seed", header.seed},
                   {"whole_bodies", header.whole_bodies},
                   {"options", header.options}});
}

void TraceRecorder::OnInput(const EntryInput& input,
                            const std::vector<EntryEffect>& effects, Time now) {
  ++line_count_;
  json line = {{"at", Microseconds(now)}};
  if (whole_bodies_) {
    line["in"] = InputToJson(input);
  } else {
    EntryInput digested = input;
    DigestBodies(&digested);
    line["in"] = InputToJson(digested);
  }
  WriteLine(out_, line);
  WriteEffects(effects, now);
}

void TraceRecorder::OnTick(const std::vector<EntryEffect>& effects, Time now) {
  ++line_count_;
  WriteLine(out_, {{"at", Microseconds(now)}, {"tick", true}});
  WriteEffects(effects, now);
}

void TraceRecorder::WriteEffects(const std::vector<EntryEffect>& effects,
                                 Time now) {
  for (EntryEffect effect : effects) {
    ++line_count_;
    if (!whole_bodies_) DigestBodies(&effect);
    WriteLine(out_, {{"at", Microseconds(now)}, {"out", EffectToJson(effect)}});
  }
}

void TraceRecorder::Finish() {
  WriteLine(out_, {{"end", line_count_ + 1}});
  out_.flush();
}

}  // namespace coltsfootfork
