#include "core/replay/body_digest.h"

#include <string>

#include "coltsfootfork/core/configuration/sha256.h"
#include "coltsfootfork/core/stream/stored_generation.h"

namespace coltsfootfork {
namespace {

// 128 bits make a collision between two texts of one trace negligible.
constexpr std::size_t kDigestHexDigits = 32;

void ReplaceWithDigest(std::string* text) {
  if (text->empty()) return;
  *text = "length " + std::to_string(text->size()) + " sha256 " +
          Sha256Hex(*text).substr(0, kDigestHexDigits);
}

struct DigestVisitor {
  void operator()(CallerRequest& call) const { ReplaceWithDigest(&call.body); }
  void operator()(ClaimReplied& claim_reply) const {
    StoredResponse& answer = claim_reply.reply.answer;
    auto generation = UnpackGeneration(answer);
    if (!generation) return ReplaceWithDigest(&answer.body);
    ReplaceWithDigest(&generation->text);
    answer = PackGeneration(*generation);
  }
  void operator()(AgentMessage& message) const {
    std::visit(*this, message.message);
  }
  void operator()(TokenFrame& frame) const { ReplaceWithDigest(&frame.text); }
  void operator()(RequestCompleted& completed) const {
    ReplaceWithDigest(&completed.body);
  }
  void operator()(SendToAgent& send) const { std::visit(*this, send.message); }
  void operator()(Dispatch& dispatch) const {
    ReplaceWithDigest(&dispatch.body);
  }
  void operator()(DeliverToken& token) const { ReplaceWithDigest(&token.text); }
  void operator()(DeliverResponse& answer) const {
    ReplaceWithDigest(&answer.answer.body);
  }
  template <typename Other>
  void operator()(Other& /*other*/) const {}
};

}  // namespace

void DigestBodies(EntryInput* input) { std::visit(DigestVisitor{}, *input); }

void DigestBodies(EntryEffect* effect) {
  std::visit(DigestVisitor{}, *effect);
  DropJoinedBody(effect);
}

void DropJoinedBody(EntryEffect* effect) {
  auto* settle = std::get_if<SettleClaim>(effect);
  if (settle != nullptr) settle->claim.answer.body.clear();
}

}  // namespace coltsfootfork
