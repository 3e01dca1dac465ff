#include "gateway/Authorization.h"

namespace filbertbeam {

Authorization
Authorize(std::shared_ptr<const RoutingTable> aTable,
          const Route& aRoute,
          const CallerHeaders& aHeaders)
{
  const ContractTable* contracts = aTable->Contracts();
  Authorization authorization;
  authorization.table = std::move(aTable);
  if (contracts == nullptr) {
    authorization.isGranted = true;
    return authorization;
  }
  if (!aHeaders.keySha256.empty()) {
    authorization.contract = contracts->FindByKeySha256(aHeaders.keySha256);
  }
  const bool isAnonymous = aRoute.isPublic && !aHeaders.hasKey;
  authorization.isGranted = isAnonymous || authorization.contract != nullptr;
  return authorization;
}

} // namespace filbertbeam
