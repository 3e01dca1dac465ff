#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace filbertbeam {

// Returns the SHA-256 digest as 64 lower-case hexadecimal digits.
std::string
Sha256Hex(std::string_view aData);

// Returns the 32 raw bytes of the HMAC-SHA-256.
std::string
HmacSha256(std::string_view aKey, std::string_view aData);

// Compares two texts in a time that does not depend on where they differ.
bool
ConstantTimeEquals(std::string_view aLeft, std::string_view aRight);

// Returns the xxHash64 of aData. Unlike std::hash, it is the same on every
// host.
std::uint64_t
StableHash(std::string_view aData, std::uint64_t aSeed = 0);

} // namespace filbertbeam
