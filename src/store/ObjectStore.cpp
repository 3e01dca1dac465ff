#include "store/ObjectStore.h"

#include <algorithm>

namespace filbertbeam {

namespace {

// Keys are part of a request's path, so characters that need escaping or would
// end the path are refused.
bool
IsKeyCharacter(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') ||
         (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= '0' && aCharacter <= '9') ||
         std::string_view("-._~:@=+/").find(aCharacter) !=
           std::string_view::npos;
}

} // namespace

bool
IsValidObjectKey(std::string_view aKey)
{
  return !aKey.empty() && IsValidObjectPrefix(aKey);
}

bool
IsValidObjectPrefix(std::string_view aPrefix)
{
  return aPrefix.size() <= kMaxObjectKeyBytes &&
         std::all_of(aPrefix.begin(), aPrefix.end(), &IsKeyCharacter);
}

} // namespace filbertbeam
