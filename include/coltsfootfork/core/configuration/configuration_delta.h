#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace coltsfootfork {

// Computes the JSON patch (RFC 6902) from one document to another. The patch
// treats inventory lists as objects keyed by id, so that an entity inserted in
// the middle of a list does not affect the others. Returns std::nullopt if a
// text has no canonical form.
std::optional<std::string> MakeDelta(std::string_view before_text,
                                     std::string_view after_text);

// Applies a patch of MakeDelta to a document and returns the result in
// canonical form. Returns std::nullopt if the patch is corrupt or doesn't
// apply, or if the SHA-256 digest of the result differs from `digest`.
std::optional<std::string> ApplyDelta(std::string_view before_text,
                                      std::string_view patch_text,
                                      std::string_view digest);

}  // namespace coltsfootfork
