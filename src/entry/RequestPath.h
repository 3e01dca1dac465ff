#pragma once

#include <optional>
#include <string_view>

namespace filbertbeam {

// Returns the path of a request target in origin form, without its query.
// Returns nothing for other forms and for paths with plain or percent-encoded
// dot segments: a backend server might resolve them to a path of another
// route.
std::optional<std::string_view>
RoutablePath(std::string_view aTarget);

} // namespace filbertbeam
