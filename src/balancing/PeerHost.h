#pragma once

#include "http/HttpMessage.h"

#include <string>

namespace filbertbeam {

// A host of the system as it is found in the catalog.
struct PeerHost
{
  std::string name;
  std::string domain;
  // For datagrams.
  Endpoint address;
  // Where it tells what it has read from the catalog; without a port, unknown.
  Endpoint snapshot = {};

  bool operator==(const PeerHost&) const = default;
};

} // namespace filbertbeam
