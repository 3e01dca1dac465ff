#include "daemon/RelayAuthentication.h"

#include "relay/RelaySigner.h"
#include "relay/RelayVerifier.h"

namespace filbertbeam {

namespace {

class FleetSecretRequestSigner final : public RelayRequestSigner
{
public:
  FleetSecretRequestSigner(const DaemonSettings& aSettings,
                           std::uint64_t aIncarnation,
                           const Clock& aClock)
    : signer_(aSettings.fleetSecret, { aSettings.host, aIncarnation }, aClock)
  {
  }

  void Sign(HttpRequestHead& aHead, const Member& aOwner) override
  {
    signer_.Sign(aHead, { aOwner.host, aOwner.incarnation });
  }

private:
  RelaySigner signer_;
};

class VerifyingAuthenticator final : public RelayAuthenticator
{
public:
  VerifyingAuthenticator(const DaemonSettings& aSettings,
                         std::uint64_t aIncarnation,
                         const Clock& aClock)
    : verifier_(aSettings.fleetSecret, { aSettings.host, aIncarnation }, aClock)
  {
  }

  bool Authenticate(const HttpRequestHead& aHead, std::string& aReason) override
  {
    if (verifier_.Verify(aHead)) {
      return true;
    }
    aReason = verifier_.LastReason();
    return false;
  }

private:
  RelayVerifier verifier_;
};

} // namespace

std::unique_ptr<RelayRequestSigner>
CreateRelayRequestSigner(const DaemonSettings& aSettings,
                         std::uint64_t aIncarnation,
                         const Clock& aClock)
{
  return std::make_unique<FleetSecretRequestSigner>(
    aSettings, aIncarnation, aClock);
}

std::unique_ptr<RelayAuthenticator>
CreateRelayAuthenticator(const DaemonSettings& aSettings,
                         std::uint64_t aIncarnation,
                         const Clock& aClock)
{
  return std::make_unique<VerifyingAuthenticator>(
    aSettings, aIncarnation, aClock);
}

} // namespace filbertbeam
