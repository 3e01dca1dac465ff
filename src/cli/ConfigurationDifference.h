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
  // Empty but for ChangeKind::Changed.
  std::vector<FieldChange> fields;

  bool operator==(const ConfigurationChange&) const = default;
};

// What leads from aBefore to aAfter; empty for equal content. The order of
// services, routes and contracts does not matter; that of the backend servers
// of a service does, since it decides their shard.
std::vector<ConfigurationChange>
CompareConfigurations(const Configuration::Content& aBefore,
                      const Configuration::Content& aAfter);

} // namespace filbertbeam
