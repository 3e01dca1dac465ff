#pragma once

#include "http/HttpMessage.h"

#include <string>

namespace filbertbeam {

// A host of the system as listed in the catalog.
struct PeerHost
{
  std::string name;
  std::string domain;
  // Receives datagrams.
  Endpoint address;
  // Serves snapshots of what the host has read from the catalog; unknown
  // without a port.
  Endpoint snapshot = {};
  // Processor capacity that the host may use; 0 if unknown, and the host then
  // owns no shard.
  double processorCores = 1;

  bool operator==(const PeerHost&) const = default;
};

} // namespace filbertbeam
