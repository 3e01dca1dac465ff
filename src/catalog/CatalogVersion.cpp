#include "catalog/CatalogVersion.h"

#include <fmt/format.h>

#include <charconv>
#include <optional>

namespace filbertbeam {

namespace {

std::optional<std::uint64_t>
ParseNumber(std::string_view aText)
{
  std::uint64_t number = 0;
  const char* const end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, number);
  if (result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return number;
}

} // namespace

std::string
FormatCatalogVersion(const CatalogVersion& aVersion)
{
  return fmt::format("{}.{}", aVersion.generation, aVersion.revision);
}

CatalogVersion
ParseCatalogVersion(std::string_view aText)
{
  const auto separator = aText.find('.');
  const auto generation = separator == std::string_view::npos
                            ? std::optional<std::uint64_t>(0)
                            : ParseNumber(aText.substr(0, separator));
  const auto revision = ParseNumber(
    separator == std::string_view::npos ? aText : aText.substr(separator + 1));
  if (!generation || !revision || *generation > kMaxCatalogGeneration) {
    return {};
  }
  return { *generation, *revision };
}

} // namespace filbertbeam
