#pragma once

#include <cstdint>

namespace filbertbeam {

// Identifies a backend server within one scheduler. Ids are never reused, so
// that a server does not inherit the state of a removed one of the same name.
using ServerId = std::uint32_t;

} // namespace filbertbeam
