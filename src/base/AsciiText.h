#pragma once

#include <string>
#include <string_view>

namespace filbertbeam {

// Letters of ASCII only, whatever the locale.

bool
IsUpperCaseLetter(char aCharacter);

std::string
LowerCase(std::string_view aText);

} // namespace filbertbeam
