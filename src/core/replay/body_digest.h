#pragma once

#include "coltsfootfork/core/messages/entry_io.h"

namespace coltsfootfork {

// Puts the length and the digest of each body and token text in its place, so
// that a trace shows neither prompts nor answers. Equal texts stay equal.
void DigestBodies(EntryInput* input);
void DigestBodies(EntryEffect* effect);

// Takes out the body that the core itself has made of several texts: it cannot
// be made again from their digests.
void DropJoinedBody(EntryEffect* effect);

}  // namespace coltsfootfork
