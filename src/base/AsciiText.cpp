#include "base/AsciiText.h"

namespace filbertbeam {

bool
IsUpperCaseLetter(char aCharacter)
{
  return aCharacter >= 'A' && aCharacter <= 'Z';
}

std::string
LowerCase(std::string_view aText)
{
  std::string text(aText);
  for (char& character : text) {
    if (IsUpperCaseLetter(character)) {
      character = static_cast<char>(character - 'A' + 'a');
    }
  }
  return text;
}

} // namespace filbertbeam
