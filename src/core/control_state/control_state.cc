#include "coltsfootfork/core/control_state/control_state.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <variant>

#include "cbor.h"
#include "coltsfootfork/core/configuration/canonical_form.h"
#include "coltsfootfork/core/configuration/configuration_delta.h"
#include "coltsfootfork/core/configuration/sha256.h"
#include "control_fields.h"

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;
using Json = nlohmann::json;

// The rule as the document states it; the default where it states none.
milliseconds ReadClaimRetention(const std::string& document) {
  constexpr std::chrono::hours kDefault{24};
  const Json json = Json::parse(document, nullptr, false);
  const Json::json_pointer place("/rules/claim_retention_s");
  if (!json.is_object() || !json.contains(place)) return kDefault;
  const Json& value = json.at(place);
  if (!value.is_number_unsigned()) return kDefault;
  return std::chrono::seconds(value.get<std::int64_t>());
}

PutConfigurationReply Refused(const char* place, const char* problem) {
  PutConfigurationReply reply;
  reply.verdict = PutVerdict::kInvalid;
  reply.findings.push_back({place, problem});
  return reply;
}

std::optional<std::string> WholeDocument(const PutConfiguration& put) {
  auto document = CanonicalForm(put.document);
  if (!document.has_value() || Sha256Hex(*document) != put.digest) {
    return std::nullopt;
  }
  return document;
}

}  // namespace

template <typename A>
void Fields(A& archive, RememberedChange& m) {
  archive("change_id", m.change_id);
  archive("expected", m.expected);
  archive("digest", m.digest);
  archive("at_ms", m.at);
  archive("reply", m.reply);
}

template <typename A>
void Fields(A& archive, RevisionDelta& m) {
  archive("revision", m.revision);
  archive("patch", m.patch);
}

namespace {

// What a snapshot holds beside the claims.
struct SnapshotFields {
  milliseconds clock{0};
  Revision revision = 0;
  std::string document;
  std::string digest;
  std::string change_id;
  std::vector<RevisionDelta> deltas;
  std::vector<RememberedChange> changes;
  std::string claims;
};

template <typename A>
void Fields(A& archive, SnapshotFields& m) {
  archive("clock_ms", m.clock);
  archive("revision", m.revision);
  archive("document", m.document);
  archive("digest", m.digest);
  archive("change_id", m.change_id);
  archive("deltas", m.deltas);
  archive("changes", m.changes);
  archive("claims", BytesRef{m.claims});
}

}  // namespace

ControlReply ControlState::Apply(const ControlCommand& command) {
  clock_ = std::max(clock_, command.at);
  claims_.Expire(claim_retention_, clock_);
  changes_.Expire(clock_);
  struct Visitor {
    ControlState& state;
    ControlReply operator()(const ClaimBegin& begin) const {
      return state.claims_.Begin(begin, state.clock_);
    }
    ControlReply operator()(const ClaimSettle& settle) const {
      return state.claims_.Settle(settle, state.clock_);
    }
    ControlReply operator()(const PutConfiguration& put) const {
      return state.Put(put);
    }
    ControlReply operator()(const RenewLease& /*renew*/) const {
      return RenewLeaseReply{};
    }
    ControlReply operator()(const FetchState& /*fetch*/) const {
      return FetchStateReply{};
    }
    ControlReply operator()(const ReadStatus& /*read*/) const {
      return ReadStatusReply{};
    }
  };
  return std::visit(Visitor{*this}, command.request);
}

ControlReply ControlState::Put(const PutConfiguration& put) {
  const RememberedChange* first = changes_.Find(put.change_id);
  if (first != nullptr) {
    const bool same =
        first->expected == put.expected && first->digest == put.digest;
    return same ? first->reply
                : Refused("Change-Id", "already used for another change");
  }
  PutConfigurationReply reply = Decide(put);
  changes_.Remember({put.change_id, put.expected, put.digest, clock_, reply});
  return reply;
}

PutConfigurationReply ControlState::Decide(const PutConfiguration& put) {
  PutConfigurationReply reply;
  if (put.expected != revision_) {
    reply.verdict = PutVerdict::kConflict;
    reply.revision = revision_;
    reply.winner_change_id = change_id_;
    return reply;
  }
  if (!Accept(put)) {
    reply = Refused("", "the document does not have the stated digest");
    reply.revision = revision_;
    return reply;
  }
  reply.verdict = PutVerdict::kAccepted;
  reply.revision = revision_;
  return reply;
}

bool ControlState::Accept(const PutConfiguration& put) {
  auto document = put.is_patch ? ApplyDelta(document_, put.document, put.digest)
                               : WholeDocument(put);
  if (!document.has_value()) return false;
  auto patch = put.is_patch ? std::optional<std::string>(put.document)
                            : MakeDelta(document_, *document);
  ++revision_;
  if (patch.has_value()) deltas_.Add({revision_, std::move(*patch)});
  document_ = std::move(*document);
  digest_ = put.digest;
  change_id_ = put.change_id;
  claim_retention_ = ReadClaimRetention(document_);
  return true;
}

FetchStateReply ControlState::Fetch(const FetchState& request) const {
  FetchStateReply reply;
  reply.revision = revision_;
  const bool newer = request.whole || request.have_revision < revision_;
  if (revision_ == 0 || !newer) return reply;
  reply.digest = digest_;
  auto patch =
      request.whole ? std::nullopt : deltas_.PatchFrom(request.have_revision);
  if (patch.has_value() && patch->size() < document_.size()) {
    reply.is_patch = true;
    reply.base_revision = request.have_revision;
    reply.payload = std::move(*patch);
  } else {
    reply.payload = document_;
  }
  return reply;
}

std::string ControlState::Snapshot() const {
  SnapshotFields fields;
  fields.clock = clock_;
  fields.revision = revision_;
  fields.document = document_;
  fields.digest = digest_;
  fields.change_id = change_id_;
  fields.deltas = deltas_.List();
  fields.changes = changes_.List();
  fields.claims = claims_.Snapshot();
  return WriteCbor(WriteField(fields));
}

bool ControlState::Restore(std::string_view bytes) {
  const auto json = ReadCbor(bytes);
  SnapshotFields fields;
  if (!json.has_value() || !ReadField(*json, fields)) return false;
  if (!claims_.Restore(fields.claims)) return false;
  clock_ = fields.clock;
  revision_ = fields.revision;
  document_ = std::move(fields.document);
  digest_ = std::move(fields.digest);
  change_id_ = std::move(fields.change_id);
  claim_retention_ = ReadClaimRetention(document_);
  deltas_.Clear();
  for (RevisionDelta& delta : fields.deltas) deltas_.Add(std::move(delta));
  changes_ = ChangeMemory();
  for (auto& change : fields.changes) changes_.Remember(std::move(change));
  return true;
}

}  // namespace coltsfootfork
