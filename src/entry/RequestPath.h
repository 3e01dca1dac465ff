#pragma once

#include <optional>
#include <string_view>

namespace filbertbeam {

// The path of a request target in origin form, without its query. Nothing for
// other forms and for paths with dot segments, plain or percent-encoded: a
// backend server might resolve them to a path of another route.
std::optional<std::string_view>
RoutablePath(std::string_view aTarget);

} // namespace filbertbeam
