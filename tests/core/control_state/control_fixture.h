#pragma once

#include <chrono>
#include <string>

#include "coltsfootfork/core/configuration/canonical_form.h"
#include "coltsfootfork/core/configuration/configuration_delta.h"
#include "coltsfootfork/core/configuration/sha256.h"
#include "coltsfootfork/core/control_state/control_state.h"
#include "core/configuration/sample_document.h"

namespace coltsfootfork {

// Returns a distinct document for each change, in canonical form.
inline std::string DocumentOf(const std::string& change_id) {
  unsigned number = 0;
  for (const char c : change_id) {
    number = number * 31 + static_cast<unsigned>(c);
  }
  auto document = SampleDocument();
  document["rules"]["claim_retention_s"] = 1000 + number % 1000;
  document["inventory"]["services"].push_back({{"id", change_id}});
  return CanonicalForm(document.dump()).value();
}

inline ControlCommand PutCommand(
    Revision expected, const std::string& change_id,
    std::chrono::milliseconds at = std::chrono::hours(1)) {
  PutConfiguration put;
  put.expected = expected;
  put.change_id = change_id;
  put.document = DocumentOf(change_id);
  put.digest = Sha256Hex(put.document);
  return {at, put};
}

inline PutConfigurationReply Put(
    ControlState& state, Revision expected, const std::string& change_id,
    std::chrono::milliseconds at = std::chrono::hours(1)) {
  return std::get<PutConfigurationReply>(
      state.Apply(PutCommand(expected, change_id, at)));
}

}  // namespace coltsfootfork
