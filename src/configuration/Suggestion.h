#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace filbertbeam {

// Returns "; did you mean \"NAME\"?" for the candidate closest to aText, or an
// empty string if none is close.
std::string
SuggestName(std::string_view aText,
            const std::vector<std::string_view>& aCandidates);

} // namespace filbertbeam
