#pragma once

#include "configuration/ConfigurationSource.h"
#include "entry/RelayRequestSigner.h"
#include "http/HttpClient.h"
#include "membership/MembershipView.h"

namespace filbertbeam {

// Fetches the configuration that another host has in force.
class PeerConfigurationSource final : public ConfigurationSource
{
public:
  // aClient and aRequestSigner have to outlive the source.
  PeerConfigurationSource(const Member& aPeer,
                          HttpClient& aClient,
                          RelayRequestSigner& aRequestSigner);

  std::string_view Name() const override { return peer_.host; }
  void FetchHead(Callback aCallback) override;
  void FetchPart(std::string_view aSha256, Callback aCallback) override;

private:
  void Fetch(std::string aTarget, Callback aCallback);

  const Member peer_;
  HttpClient& client_;
  RelayRequestSigner& requestSigner_;
  // Expires with the source, so that late responses are ignored.
  const std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace filbertbeam
