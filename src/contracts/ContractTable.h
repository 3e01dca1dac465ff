#pragma once

#include "contracts/Contract.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace filbertbeam {

// The contracts of one version of the configuration. Immutable; shared by all
// threads.
class ContractTable
{
public:
  // Returns null and sets aReason if a contract has no name, two contracts have
  // the same name or the same key, or a rate or burst is not a finite number of
  // at least 0.
  static std::shared_ptr<const ContractTable> Create(
    std::vector<Contract> aContracts,
    std::string& aReason);
  // The lookups point into the contracts, so a copy would refer to the
  // original.
  ContractTable(const ContractTable&) = delete;
  ContractTable& operator=(const ContractTable&) = delete;

  const std::vector<Contract>& Contracts() const { return contracts_; }
  bool IsEmpty() const { return contracts_.empty(); }
  // Returns null if no contract has the key. Keys are found by their digests,
  // so the time tells nothing about a key that is similar.
  const Contract* FindByKeySha256(std::string_view aKeySha256) const;
  const Contract* Find(std::string_view aCustomer) const;

private:
  explicit ContractTable(std::vector<Contract> aContracts);

  const std::vector<Contract> contracts_;
  std::unordered_map<std::string_view, const Contract*> byKey_;
  std::unordered_map<std::string_view, const Contract*> byCustomer_;
};

} // namespace filbertbeam
