#pragma once

#include "owner/OwnerService.h"

#include <map>
#include <memory>
#include <string>

namespace filbertbeam {

inline constexpr std::string_view kConfigurationHeadTarget =
  "/.filbertbeam/configuration/head";
inline constexpr std::string_view kConfigurationPartPrefix =
  "/.filbertbeam/configuration/parts/";

// Serves the configuration in force to other hosts, on the owner thread.
class ConfigurationResource final : public InternalRequestHandler
{
public:
  struct Documents
  {
    std::shared_ptr<const std::string> head;
    // Texts of the parts, by their SHA-256.
    std::map<std::string, std::shared_ptr<const std::string>, std::less<>>
      parts;
  };

  void SetDocuments(std::shared_ptr<const Documents> aDocuments);

  void HandleRequest(HttpServerExchange& aExchange) override;

private:
  const std::string* Find(std::string_view aTarget) const;

  std::shared_ptr<const Documents> documents_;
};

} // namespace filbertbeam
