#pragma once

#include "configuration/Configuration.h"

#include <span>
#include <string>

namespace filbertbeam {

// Writes what ConfigurationReader reads. Equal content gives equal text: the
// items are sorted, one stands on a line, and defaults that mean "absent" are
// left out. Backend servers keep their order, since it decides their shard.
class ConfigurationWriter
{
public:
  // Sorts services by name, routes by host and path prefix, and contracts by
  // customer.
  static void Sort(Configuration::Content& aContent);

  static std::string Write(Configuration::Content aContent);

  // Items without the line break between them.
  static std::string WriteService(const Service& aService);
  static std::string WriteRoute(const Route& aRoute);
  static std::string WriteContract(const Contract& aContract);
};

} // namespace filbertbeam
