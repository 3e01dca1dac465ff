#pragma once

#include "configuration/Configuration.h"

#include <string>
#include <vector>

namespace filbertbeam {

enum class ChangeKind
{
  Added,
  Removed,
  Changed,
};

struct FieldChange
{
  std::string field;
  std::string before;
  std::string after;

  bool operator==(const FieldChange&) const = default;
};

struct ConfigurationChange
{
  ChangeKind kind = ChangeKind::Changed;
  // "service", "backend server", "route" or "contract".
  std::string what;
  std::string name;
  // Empty unless kind is ChangeKind::Changed.
  std::vector<FieldChange> fields;

  bool operator==(const ConfigurationChange&) const = default;
};

// Returns the changes from aBefore to aAfter; empty for equal content. The
// order of services, routes and contracts is ignored. The order of the backend
// servers of a service is compared, since it determines their shards.
std::vector<ConfigurationChange>
CompareConfigurations(const Configuration::Content& aBefore,
                      const Configuration::Content& aAfter);

} // namespace filbertbeam
