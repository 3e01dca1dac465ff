#pragma once

#include "catalog/CatalogVersion.h"

#include <ostream>

namespace filbertbeam {

// For the messages of failed checks.
inline std::ostream&
operator<<(std::ostream& aStream, const CatalogVersion& aVersion)
{
  return aStream << FormatCatalogVersion(aVersion);
}

namespace testing {

// A version of the generation in which a test begins.
inline CatalogVersion
At(std::uint64_t aRevision)
{
  return { 0, aRevision };
}

} // namespace testing

} // namespace filbertbeam
