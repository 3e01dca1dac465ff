#pragma once

#include "configuration/Configuration.h"

#include <span>
#include <string>

namespace filbertbeam {

// Writes the JSON that ConfigurationReader reads. Equal content gives equal
// text: the items are sorted and written one per line, and fields are omitted
// whose default means "absent". Backend servers keep their order, since it
// determines their shard.
class ConfigurationWriter
{
public:
  // Sorts services by name, routes by host and path prefix, and contracts by
  // customer.
  static void Sort(Configuration::Content& aContent);

  static std::string Write(Configuration::Content aContent);

  // Each writes a single item, without the separator between items.
  static std::string WriteService(const Service& aService);
  static std::string WriteRoute(const Route& aRoute);
  static std::string WriteContract(const Contract& aContract);
};

} // namespace filbertbeam
