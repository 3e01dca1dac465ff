#pragma once

#include <string_view>

namespace filbertbeam {

// The refusal reason of an owner that rejected the signature of the request,
// most likely because the owner was restarted and this host has not read its
// new incarnation yet.
inline constexpr std::string_view kNotAuthentic = "not-authentic";

// Returns true if the refusal only concerns the chosen shard, so that another
// shard may accept the request.
bool
MayRunOnAnotherShard(std::string_view aReason);

// Returns true if another owner of the shard may accept the request.
bool
MayRunAtAnotherOwner(std::string_view aReason);

// Returns a sentence that explains the reason to the caller, or an empty text
// for reasons that need no explanation.
std::string_view
DetailOf(std::string_view aReason);

} // namespace filbertbeam
