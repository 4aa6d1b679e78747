#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace coltsfootfork {

// The JSON patch (RFC 6902) that leads from one document to another. Both are
// taken with their inventory lists as objects keyed by id, so that an entity
// put into the middle of a list does not touch the others. Nothing where a
// text has no canonical form.
std::optional<std::string> MakeDelta(std::string_view before_text,
                                     std::string_view after_text);

// Applies a patch of MakeDelta to a document and returns the result in
// canonical form. Nothing where the patch is damaged, does not fit, or leads
// to a document with another SHA-256 digest than the given one.
std::optional<std::string> ApplyDelta(std::string_view before_text,
                                      std::string_view patch_text,
                                      std::string_view digest);

}  // namespace coltsfootfork
