#pragma once

#include <string_view>

namespace filbertbeam {

// The owner refused the signature, most likely since it was restarted and its
// new incarnation is not known here yet.
inline constexpr std::string_view kNotAuthentic = "not-authentic";

// True for refusals that only say that this shard cannot take the request
// now; another shard may.
bool
MayRunOnAnotherShard(std::string_view aReason);

// True where another owner of the shard may take the request.
bool
MayRunAtAnotherOwner(std::string_view aReason);

// A sentence for the caller; empty for reasons that say enough.
std::string_view
DetailOf(std::string_view aReason);

} // namespace filbertbeam
