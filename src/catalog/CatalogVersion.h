#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace filbertbeam {

// A version of the catalog's state. A catalog that was restored from an older
// copy begins a new generation and assigns revisions again, so revisions of
// different generations must not be compared.
struct CatalogVersion
{
  // Increases each time the catalog is restored from a copy.
  std::uint64_t generation = 0;
  // Increases with each change within a generation; 0 if unknown.
  std::uint64_t revision = 0;

  bool IsKnown() const { return revision != 0; }

  // clang-tidy takes the comparison of its result for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const CatalogVersion&) const = default;
};

// Larger numbers are no generation: a catalog that is restored each second
// reaches this one after a century.
inline constexpr std::uint64_t kMaxCatalogGeneration = 0xFFFF'FFFF;

// Returns "GENERATION.REVISION", for logs and for requests to peers.
std::string
FormatCatalogVersion(const CatalogVersion& aVersion);

// Returns an unknown version if aText is not of the form that
// FormatCatalogVersion returns. A revision alone, which hosts of an earlier
// release send, has the generation 0.
CatalogVersion
ParseCatalogVersion(std::string_view aText);

} // namespace filbertbeam
