#pragma once

#include "base/Digest.h"
#include "configuration/Configuration.h"

#include <fmt/format.h>

namespace filbertbeam {

// Returns valid content of one service, one route and aContracts contracts;
// aVariant changes the promised rate of the first contract.
inline Configuration::Content
MakeSampleContent(int aContracts, int aVariant = 0)
{
  Configuration::Content content;
  Service service;
  service.name = "permits";
  service.backendServers.push_back(
    { "p1", "10.0.0.1", 8080, "tt-north", "piarco", 4, 400, false });
  content.services.push_back(service);
  content.routes.push_back({ "", "/permits", "permits", {} });
  for (int i = 0; i < aContracts; ++i) {
    Contract contract;
    contract.customer = fmt::format("customer-{:06}", i);
    contract.keySha256.push_back(Sha256Hex(contract.customer));
    contract.services.emplace_back("permits");
    contract.requestsPerSecond = i == 0 ? 1 + aVariant : 1;
    content.contracts.push_back(contract);
  }
  return content;
}

} // namespace filbertbeam
