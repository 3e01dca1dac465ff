#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace filbertbeam {

// 64 lower-case hexadecimal digits.
std::string
Sha256Hex(std::string_view aData);

// The 32 raw bytes of HMAC-SHA-256.
std::string
HmacSha256(std::string_view aKey, std::string_view aData);

// Compares in a time that does not depend on where the inputs differ.
bool
ConstantTimeEquals(std::string_view aLeft, std::string_view aRight);

// xxHash64 of aData; the same on every host, unlike std::hash.
std::uint64_t
StableHash(std::string_view aData, std::uint64_t aSeed = 0);

} // namespace filbertbeam
