#pragma once

#include <fmt/format.h>

#include <string>
#include <string_view>

namespace filbertbeam {

// Appends a metric without labels in the Prometheus text format. aType is
// "counter" or "gauge".
template<typename Value>
void
AppendMetric(std::string& aText,
             std::string_view aType,
             std::string_view aName,
             Value aValue)
{
  aText += fmt::format("# TYPE {0} {1}\n{0} {2}\n", aName, aType, aValue);
}

} // namespace filbertbeam
