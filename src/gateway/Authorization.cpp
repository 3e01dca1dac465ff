#include "gateway/Authorization.h"

namespace filbertbeam {

const Route*
FindRoute(const RoutingTable& aTable, const HttpRequestHead& aHead)
{
  const std::string_view path =
    std::string_view(aHead.target).substr(0, aHead.target.find('?'));
  return aTable.Find(aHead.fields.Find("Host").value_or(""), path);
}

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
  authorization.needsKeys = !aHeaders.keySha256.empty();
  authorization.isGranted = isAnonymous || authorization.contract != nullptr;
  return authorization;
}

} // namespace filbertbeam
