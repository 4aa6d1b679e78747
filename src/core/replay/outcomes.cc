#include "coltsfootfork/core/replay/outcomes.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace coltsfootfork {
namespace {

using nlohmann::json;

// In the order of the enumeration.
constexpr std::array<std::string_view, 5> kEndNames = {
    "open", "whole", "answer", "problem", "caller_gone"};

std::optional<RequestEnd> ParseRequestEnd(std::string_view name) {
  for (std::size_t i = 0; i < kEndNames.size(); ++i) {
    if (kEndNames.at(i) == name) return static_cast<RequestEnd>(i);
  }
  return std::nullopt;
}

// Visits the members of a JSON object with their JSON pointers. A value that is
// not an object is a finding.
class MemberReader {
 public:
  MemberReader(const json& value, std::string pointer, Findings* findings)
      : value_(value), pointer_(std::move(pointer)), findings_(findings) {}

  template <typename Visitor>
  void ForEach(const Visitor& visit_member) const {
    if (!value_.is_object()) {
      findings_->Add(pointer_, "is not an object");
      return;
    }
    for (const auto& [key, member] : value_.items()) {
      const json::json_pointer pointer = json::json_pointer(pointer_) / key;
      visit_member(key, member, pointer.to_string());
    }
  }

 private:
  const json& value_;
  std::string pointer_;
  Findings* findings_;
};

template <typename Value>
void ReadNumber(const json& member, const std::string& pointer,
                Findings* findings, Value* value) {
  if (member.is_number_unsigned()) {
    *value = member.get<std::uint64_t>();
  } else {
    findings->Add(pointer, "is not a whole number from 0");
  }
}

void ReadMilliseconds(const json& member, const std::string& pointer,
                      Findings* findings,
                      std::optional<std::chrono::milliseconds>* value) {
  std::uint64_t count = 0;
  ReadNumber(member, pointer, findings, &count);
  *value = std::chrono::milliseconds(count);
}

void ReadFlag(const json& member, const std::string& pointer,
              Findings* findings, std::optional<bool>* value) {
  if (member.is_boolean()) {
    *value = member.get<bool>();
  } else {
    findings->Add(pointer, "is not true or false");
  }
}

template <typename Value, typename Parser>
void ReadName(const json& member, const std::string& pointer,
              Findings* findings, const Parser& parse,
              std::optional<Value>* value) {
  if (member.is_string()) *value = parse(member.get_ref<const std::string&>());
  if (!*value) findings->Add(pointer, "is not a word that is known here");
}

RequestOutcome ReadRequest(const json& value, const std::string& pointer,
                           Findings* findings) {
  RequestOutcome outcome;
  MemberReader(value, pointer, findings)
      .ForEach([&](const std::string& key, const json& member,
                   const std::string& place) {
        if (key == "end") {
          ReadName(member, place, findings, ParseRequestEnd, &outcome.end);
        } else if (key == "tokens") {
          ReadNumber(member, place, findings, &outcome.tokens);
        } else if (key == "reason") {
          ReadName(member, place, findings, ParseReason, &outcome.reason);
        } else if (key == "not_run") {
          ReadFlag(member, place, findings, &outcome.not_run);
        } else if (key == "rank") {
          ReadName(member, place, findings, ParseRank, &outcome.rank);
        } else if (key == "hand_overs") {
          ReadNumber(member, place, findings, &outcome.dispatches);
        } else if (key == "max_stall_ms") {
          ReadMilliseconds(member, place, findings, &outcome.max_stall);
        } else {
          findings->Add(place, "is not known here");
        }
      });
  return outcome;
}

void ReadReasons(const json& value, const std::string& pointer,
                 Findings* findings, std::map<Reason, std::uint64_t>* reasons) {
  MemberReader(value, pointer, findings)
      .ForEach([&](const std::string& key, const json& member,
                   const std::string& place) {
        const auto reason = ParseReason(key);
        if (!reason) return findings->Add(place, "is no reason");
        ReadNumber(member, place, findings, &(*reasons)[*reason]);
      });
}

}  // namespace

std::string_view RequestEndName(RequestEnd end) {
  return kEndNames.at(static_cast<std::size_t>(end));
}

std::optional<Outcomes> ParseOutcomes(std::string_view json_text,
                                      Findings* findings) {
  const json document = json::parse(json_text, nullptr, false);
  Outcomes outcomes;
  MemberReader(document, "", findings)
      .ForEach([&](const std::string& key, const json& member,
                   const std::string& place) {
        if (key == "requests") {
          MemberReader(member, place, findings)
              .ForEach([&](const std::string& id, const json& value,
                           const std::string& pointer) {
                outcomes.requests[RequestId(id)] =
                    ReadRequest(value, pointer, findings);
              });
        } else if (key == "reasons") {
          ReadReasons(member, place, findings, &outcomes.reasons);
        } else if (key == "max_stall_ms") {
          ReadMilliseconds(member, place, findings, &outcomes.max_stall);
        } else if (key == "same_effects") {
          std::optional<bool> same;
          ReadFlag(member, place, findings, &same);
          outcomes.same_effects = same.value_or(true);
        } else {
          findings->Add(place, "is not known here");
        }
      });
  if (!findings->empty()) return std::nullopt;
  return outcomes;
}

}  // namespace coltsfootfork
