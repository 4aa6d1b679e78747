#include "coltsfootfork/core/control_state/control_state.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <variant>

#include "cbor.h"
#include "coltsfootfork/core/configuration/sha256.h"
#include "control_fields.h"

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;
using Json = nlohmann::json;

constexpr std::chrono::hours kDefaultClaimRetention{24};

PutConfigurationReply Invalid(const char* place, const char* problem) {
  PutConfigurationReply reply;
  reply.verdict = PutVerdict::kInvalid;
  reply.findings.push_back({place, problem});
  return reply;
}

}  // namespace

template <typename A>
void Fields(A& archive, CachedChangeReply& m) {
  archive("change_id", m.change_id);
  archive("expected", m.expected);
  archive("digest", m.digest);
  archive("at_ms", m.applied_at);
  archive("reply", m.reply);
}

template <typename A>
void Fields(A& archive, RevisionDelta& m) {
  archive("revision", m.revision);
  archive("patch", m.patch);
}

namespace {

struct StateSnapshot {
  milliseconds clock{0};
  Revision revision = 0;
  std::string document;
  std::string digest;
  std::string change_id;
  std::vector<RevisionDelta> deltas;
  std::vector<CachedChangeReply> changes;
  std::string claims;
};

template <typename A>
void Fields(A& archive, StateSnapshot& m) {
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
  change_replies_.Expire(clock_);
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
  const CachedChangeReply* earlier = change_replies_.Find(put.change_id);
  if (earlier != nullptr) {
    const bool same =
        earlier->expected == put.expected && earlier->digest == put.digest;
    return same ? earlier->reply
                : Invalid("Change-Id", "already used for another change");
  }
  PutConfigurationReply reply = ApplyIfCurrent(put);
  change_replies_.Insert(
      {put.change_id, put.expected, put.digest, clock_, reply});
  return reply;
}

PutConfigurationReply ControlState::ApplyIfCurrent(
    const PutConfiguration& put) {
  PutConfigurationReply reply;
  if (put.expected != revision_) {
    reply.verdict = PutVerdict::kConflict;
    reply.revision = revision_;
    reply.winner_change_id = change_id_;
    return reply;
  }
  if (!ApplyChange(put)) {
    reply = Invalid("", "the document does not have the stated digest");
    reply.revision = revision_;
    return reply;
  }
  reply.verdict = PutVerdict::kAccepted;
  reply.revision = revision_;
  return reply;
}

bool ControlState::ApplyChange(const PutConfiguration& put) {
  auto patch = put.is_patch ? ApplyPatch(put) : ApplyFullDocument(put);
  if (!patch.has_value()) return false;
  ++revision_;
  deltas_.Add({revision_, std::move(*patch)});
  document_stale_ = true;
  digest_ = put.digest;
  change_id_ = put.change_id;
  UpdateRules();
  return true;
}

// The digest is not verified here: the leader has verified it, and so does
// every process that puts the document in force. Computing it would make the
// cost of a log replay proportional to the size of the documents.
std::optional<std::string> ControlState::ApplyPatch(
    const PutConfiguration& put) {
  if (!tree_.Patch(put.document)) return std::nullopt;
  return put.document;
}

std::optional<std::string> ControlState::ApplyFullDocument(
    const PutConfiguration& put) {
  auto tree = DocumentTree::Read(put.document);
  if (!tree.has_value() || Sha256Hex(tree->ToText()) != put.digest) {
    return std::nullopt;
  }
  std::string patch = tree_.DeltaTo(*tree);
  tree_ = std::move(*tree);
  return patch;
}

void ControlState::UpdateRules() {
  const auto seconds = tree_.NonNegativeIntegerAt("/rules/claim_retention_s");
  claim_retention_ = seconds.has_value() ? std::chrono::seconds(*seconds)
                                         : milliseconds(kDefaultClaimRetention);
}

const std::string& ControlState::document() const {
  if (document_stale_) document_ = tree_.ToText();
  document_stale_ = false;
  return document_;
}

FetchStateReply ControlState::Fetch(const FetchState& request) const {
  FetchStateReply reply;
  reply.revision = revision_;
  const bool newer = request.whole || request.have_revision < revision_;
  if (revision_ == 0 || !newer) return reply;
  reply.digest = digest_;
  auto patch =
      request.whole ? std::nullopt : deltas_.PatchFrom(request.have_revision);
  if (patch.has_value() && patch->size() < document().size()) {
    reply.is_patch = true;
    reply.base_revision = request.have_revision;
    reply.payload = std::move(*patch);
  } else {
    reply.payload = document();
  }
  return reply;
}

std::string ControlState::Snapshot() const {
  StateSnapshot fields;
  fields.clock = clock_;
  fields.revision = revision_;
  fields.document = document();
  fields.digest = digest_;
  fields.change_id = change_id_;
  fields.deltas = deltas_.List();
  fields.changes = change_replies_.List();
  fields.claims = claims_.Snapshot();
  return WriteCbor(WriteField(fields));
}

bool ControlState::Restore(std::string_view bytes) {
  const auto json = ReadCbor(bytes);
  StateSnapshot fields;
  if (!json.has_value() || !ReadField(*json, fields)) return false;
  const bool is_empty = fields.revision == 0 && fields.document.empty();
  auto tree = is_empty ? std::make_optional<DocumentTree>()
                       : DocumentTree::Read(fields.document);
  if (!tree.has_value() || !claims_.Restore(fields.claims)) return false;
  clock_ = fields.clock;
  revision_ = fields.revision;
  tree_ = std::move(*tree);
  document_ = std::move(fields.document);
  document_stale_ = false;
  digest_ = std::move(fields.digest);
  change_id_ = std::move(fields.change_id);
  UpdateRules();
  deltas_.Clear();
  for (RevisionDelta& delta : fields.deltas) deltas_.Add(std::move(delta));
  change_replies_ = ChangeReplyCache();
  for (auto& change : fields.changes) change_replies_.Insert(std::move(change));
  return true;
}

}  // namespace coltsfootfork
