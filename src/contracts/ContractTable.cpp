#include "contracts/ContractTable.h"

#include <fmt/format.h>

#include <cmath>

namespace filbertbeam {

namespace {

bool
IsAmount(double aValue)
{
  return std::isfinite(aValue) && aValue >= 0;
}

} // namespace

ContractTable::ContractTable(std::vector<Contract> aContracts)
  : contracts_(std::move(aContracts))
{
}

std::shared_ptr<const ContractTable>
ContractTable::Create(std::vector<Contract> aContracts, std::string& aReason)
{
  std::shared_ptr<ContractTable> table(
    new ContractTable(std::move(aContracts)));
  for (const Contract& contract : table->contracts_) {
    if (contract.customer.empty()) {
      aReason = "a contract has no name";
      return nullptr;
    }
    if (!IsAmount(contract.requestsPerSecond) || !IsAmount(contract.burst)) {
      aReason = fmt::format("the rate or burst of {} is not a number of at "
                            "least 0",
                            contract.customer);
      return nullptr;
    }
    if (!table->byCustomer_.emplace(contract.customer, &contract).second) {
      aReason = fmt::format("two contracts are named {}", contract.customer);
      return nullptr;
    }
    for (const std::string& key : contract.keySha256) {
      const auto [entry, isNew] = table->byKey_.emplace(key, &contract);
      if (!isNew && entry->second != &contract) {
        aReason = fmt::format("{} and {} have the same key",
                              entry->second->customer,
                              contract.customer);
        return nullptr;
      }
    }
  }
  return table;
}

const Contract*
ContractTable::FindByKeySha256(std::string_view aKeySha256) const
{
  const auto found = byKey_.find(aKeySha256);
  return found == byKey_.end() ? nullptr : found->second;
}

const Contract*
ContractTable::Find(std::string_view aCustomer) const
{
  const auto found = byCustomer_.find(aCustomer);
  return found == byCustomer_.end() ? nullptr : found->second;
}

} // namespace filbertbeam
