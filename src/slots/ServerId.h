#pragma once

#include <cstdint>

namespace filbertbeam {

// Names a backend server within one scheduler; never reused, so that state of
// a removed server cannot reach a later one of the same name.
using ServerId = std::uint32_t;

} // namespace filbertbeam
