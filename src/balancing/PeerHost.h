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
  // Processor that it may use; 0 while unknown, and then it owns nothing.
  double processorCores = 1;

  bool operator==(const PeerHost&) const = default;
};

} // namespace filbertbeam
