#pragma once

#include "coltsfootfork/core/messages/entry_io.h"

namespace coltsfootfork {

// Replaces each body and token text by its length and digest, so that a trace
// exposes neither prompts nor responses. Equal texts get equal replacements.
void DigestBodies(EntryInput* input);
void DigestBodies(EntryEffect* effect);

// Clears the body that the core concatenates from several texts: it cannot be
// reproduced from the digests of the texts.
void DropJoinedBody(EntryEffect* effect);

}  // namespace coltsfootfork
