#include "core/replay/trace_reader.h"

#include <utility>

#include "core/replay/configuration_codec.h"
#include "core/replay/trace_codec.h"

namespace coltsfootfork {
namespace {

using nlohmann::json;

constexpr char kTruncated[] = "the trace is cut off: its end line is missing";

}  // namespace

std::string LinePlace(std::uint64_t number) {
  return "line " + std::to_string(number);
}

void TraceReader::AddFinding(const std::string& problem) {
  findings_->Add(LinePlace(line_number_), problem);
}

std::optional<json> TraceReader::ReadJsonLine() {
  std::string text;
  ++line_number_;
  if (!std::getline(in_, text) || in_.eof()) {
    AddFinding(kTruncated);
    return std::nullopt;
  }
  json line = json::parse(text, nullptr, false);
  if (line.is_object()) return line;
  AddFinding("is not a JSON object");
  return std::nullopt;
}

std::optional<TraceHeader> TraceReader::ReadHeader() {
  const auto line = ReadJsonLine();
  if (!line) return std::nullopt;
  try {
    if (line->value("trace", "") != "coltsfootfork") {
      AddFinding("is not the first line of a coltsfootfork trace");
      return std::nullopt;
    }
    const auto version = line->at("version").get<std::uint64_t>();
    if (version != kTraceVersion) {
      AddFinding("version " + std::to_string(version) +
                 " is not known to this program, which reads version " +
                 std::to_string(kTraceVersion));
      return std::nullopt;
    }
    TraceHeader header;
    header.seed = line->at("seed").get<std::uint64_t>();
    header.whole_bodies = line->at("whole_bodies").get<bool>();
    header.options = line->at("options").get<EntryOptions>();
    return header;
  } catch (const json::exception& error) {
    AddFinding(std::string("the header cannot be read: ") + error.what());
    return std::nullopt;
  }
}

std::optional<TraceLine> TraceReader::ReadLine() {
  const auto line = ReadJsonLine();
  if (!line) return std::nullopt;
  try {
    if (line->contains("end")) {
      CheckEndLine(*line);
      return std::nullopt;
    }
    return Decode(*line);
  } catch (const json::exception& error) {
    AddFinding(std::string("cannot be read: ") + error.what());
    return std::nullopt;
  }
}

void TraceReader::CheckEndLine(const json& line) {
  if (line.at("end").get<std::uint64_t>() != line_number_) {
    AddFinding("the end line counts other lines than there are");
  } else if (in_.peek() != std::istream::traits_type::eof()) {
    AddFinding("something follows the end line");
  }
}

std::optional<TraceLine> TraceReader::Decode(const json& line) {
  TraceLine decoded;
  decoded.number = line_number_;
  decoded.at = Time(Duration(line.at("at").get<std::int64_t>()));
  if (decoded.at < previous_time_) {
    AddFinding("its time lies before that of the line above");
    return std::nullopt;
  }
  previous_time_ = decoded.at;
  if (line.contains("in")) {
    auto input = InputFromJson(line.at("in"));
    if (!input) {
      AddFinding("the kind of input is not known");
      return std::nullopt;
    }
    decoded.content = *std::move(input);
  } else if (line.contains("out")) {
    auto effect = EffectFromJson(line.at("out"));
    if (!effect) {
      AddFinding("the kind of effect is not known");
      return std::nullopt;
    }
    decoded.content = *std::move(effect);
  } else if (line.contains("tick")) {
    decoded.content = TraceTick{};
  } else {
    AddFinding("is neither an input nor an effect nor a tick");
    return std::nullopt;
  }
  return decoded;
}

}  // namespace coltsfootfork
