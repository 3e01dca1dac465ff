#pragma once

#include <string>
#include <string_view>

namespace filbertbeam {

// These functions handle ASCII letters only and ignore the locale.

bool
IsUpperCaseLetter(char aCharacter);

std::string
LowerCase(std::string_view aText);

} // namespace filbertbeam
