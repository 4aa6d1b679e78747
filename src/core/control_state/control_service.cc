#include "coltsfootfork/core/control_state/control_service.h"

#include <algorithm>
#include <string>
#include <utility>

#include "coltsfootfork/core/configuration/parse_configuration.h"
#include "coltsfootfork/core/configuration/sha256.h"

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxChangeIdBytes = 128;
constexpr std::size_t kMaxClaimKeyBytes = 256;

bool IsPrintable(char c) { return c > ' ' && c <= '~'; }

bool IsChangeId(const std::string& id) {
  return !id.empty() && id.size() <= kMaxChangeIdBytes &&
         std::all_of(id.begin(), id.end(), IsPrintable);
}

template <typename... F>
struct Overloaded : F... {
  using F::operator()...;
};
template <typename... F>
Overloaded(F...) -> Overloaded<F...>;

}  // namespace

ControlReply ControlService::NoQuorumReply(
    const ControlRequest& request) const {
  struct Visitor {
    Revision revision;
    ControlReply operator()(const ClaimBegin& /*m*/) const {
      return ClaimBeginReply{};
    }
    ControlReply operator()(const ClaimSettle& /*m*/) const {
      return ClaimSettleReply{};
    }
    ControlReply operator()(const PutConfiguration& /*m*/) const {
      return PutConfigurationReply{};
    }
    ControlReply operator()(const RenewLease& /*m*/) const {
      RenewLeaseReply reply;
      reply.revision = revision;
      return reply;
    }
    ControlReply operator()(const FetchState& /*m*/) const {
      return FetchStateReply{};
    }
    ControlReply operator()(const ReadStatus& /*m*/) const {
      return ReadStatusReply{};
    }
  };
  return std::visit(Visitor{state_.revision()}, request);
}

ReplyOrCommand ControlService::Handle(const ControlRequest& request,
                                      const LeaderView& view,
                                      milliseconds wall_clock, Time now) {
  UpdateLeadership(view, now);
  const bool current = view.holds_lease;
  return std::visit(
      Overloaded{[&](const FetchState& fetch) -> ReplyOrCommand {
                   return ControlReply(Fetch(fetch, current, now));
                 },
                 [&](const RenewLease& renew) -> ReplyOrCommand {
                   return ControlReply(Renew(renew, current, now));
                 },
                 [&](const ReadStatus& /*read*/) -> ReplyOrCommand {
                   return ControlReply(Status(view, now));
                 },
                 [&](const PutConfiguration& put) -> ReplyOrCommand {
                   if (!current) return NoQuorumReply(request);
                   return Propose(put, wall_clock, now);
                 },
                 [&](const ClaimBegin& begin) -> ReplyOrCommand {
                   if (!current) return NoQuorumReply(request);
                   if (begin.claim.key.size() > kMaxClaimKeyBytes) {
                     ClaimBeginReply reply;
                     reply.problem = "the idempotency key is too long";
                     return ControlReply(reply);
                   }
                   return MakeCommand(request, wall_clock, now);
                 },
                 [&](const ClaimSettle& /*settle*/) -> ReplyOrCommand {
                   if (!current) return NoQuorumReply(request);
                   return MakeCommand(request, wall_clock, now);
                 }},
      request);
}

void ControlService::Tick(const LeaderView& view, Time now) {
  UpdateLeadership(view, now);
  leases_.Tick(now);
}

void ControlService::UpdateLeadership(const LeaderView& view, Time now) {
  UpdateRules();
  if (!view.holds_lease) leading_term_.reset();
  if (!view.holds_lease || leading_term_ == view.term) return;
  leading_term_ = view.term;
  clock_.reset();
  leases_.Reset(view.term, now);
  splitter_.Clear();
}

void ControlService::UpdateRules() {
  if (rules_revision_ == state_.revision()) return;
  rules_revision_ = state_.revision();
  Findings findings;
  auto configuration = state_.tree().ToConfiguration(findings);
  // A newer binary wrote the document: keep the previous inventory.
  if (!configuration.has_value()) return;
  configuration->revision = rules_revision_;
  rules_ = std::make_shared<const ServingRules>(
      std::make_shared<const Configuration>(std::move(*configuration)));
  leases_.SetRules(rules_);
}

ControlCommand ControlService::MakeCommand(ControlRequest request,
                                           milliseconds wall_clock, Time now) {
  if (!clock_.has_value()) clock_ = ClockBase{wall_clock, now};
  const auto passed =
      std::chrono::duration_cast<milliseconds>(now - clock_->now);
  return {std::max(clock_->wall_clock + passed, state_.clock()),
          std::move(request)};
}

ReplyOrCommand ControlService::Propose(const PutConfiguration& put,
                                       milliseconds wall_clock, Time now) {
  Findings findings;
  if (!IsChangeId(put.change_id)) {
    findings.Add("Change-Id", "must be 1 to 128 printable characters");
  }
  const auto tree = DocumentTree::Read(put.document);
  Findings tree_findings;
  // The lists of the tree are sorted, so the document is parsed again to report
  // places in the text as written.
  if (!tree.has_value() || !tree->ToConfiguration(tree_findings).has_value()) {
    ParseConfiguration(put.document, findings);
  }
  if (!tree.has_value() || !findings.empty()) {
    PutConfigurationReply reply;
    reply.verdict = PutVerdict::kInvalid;
    reply.revision = state_.revision();
    reply.findings = findings.list();
    return ControlReply(reply);
  }
  return MakeCommand(MakeLoggedChange(put, *tree), wall_clock, now);
}

PutConfiguration ControlService::MakeLoggedChange(
    const PutConfiguration& put, const DocumentTree& tree) const {
  const std::string canonical = tree.ToText();
  PutConfiguration change;
  change.expected = put.expected;
  change.change_id = put.change_id;
  change.digest = Sha256Hex(canonical);
  // Revisions only increase, so this change is either a conflict or a retry
  // whose original reply is found by its Change-Id. The document isn't needed.
  if (put.expected < state_.revision()) return change;
  change.document = canonical;
  if (put.expected != state_.revision() || put.expected == 0) return change;
  std::string patch = state_.tree().DeltaTo(tree);
  DocumentTree patched = state_.tree();
  const bool patch_is_exact =
      patched.Patch(patch) && patched.ToText() == canonical;
  if (patch_is_exact && patch.size() < canonical.size()) {
    change.document = std::move(patch);
    change.is_patch = true;
  }
  return change;
}

FetchStateReply ControlService::Fetch(const FetchState& fetch, bool current,
                                      Time now) {
  FetchStateReply reply = state_.Fetch(fetch);
  reply.current = current;
  if (!current) return reply;
  reply.directory_version = leases_.directory_version(now);
  if (reply.directory_version > fetch.have_directory) {
    reply.directory = leases_.directory(now);
  }
  return reply;
}

RenewLeaseReply ControlService::Renew(const RenewLease& renew, bool current,
                                      Time now) {
  RenewLeaseReply reply;
  reply.revision = state_.revision();
  if (!current) return reply;
  reply.granted = leases_.Renew(renew, now);
  reply.lease = leases_.lease();
  reply.directory_version = leases_.directory_version(now);
  if (reply.granted) splitter_.OnRenewal(renew, rules_.get(), now, reply);
  return reply;
}

ReadStatusReply ControlService::Status(const LeaderView& view, Time now) const {
  ReadStatusReply reply;
  reply.current = view.holds_lease;
  reply.leader = view.leader;
  reply.term = view.term;
  reply.revision = state_.revision();
  if (!reply.current) return reply;
  reply.replicas = view.replicas;
  reply.processes = leases_.Status(now);
  reply.findings = leases_.FindingsAt(now);
  return reply;
}

}  // namespace coltsfootfork
