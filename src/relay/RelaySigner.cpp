#include "relay/RelaySigner.h"

namespace filbertbeam {

RelaySigner::RelaySigner(std::string aSecret,
                         RelayIdentity aEntry,
                         const Clock& aClock)
  : secret_(std::move(aSecret))
  , entry_(std::move(aEntry))
  , clock_(aClock)
{
}

void
RelaySigner::Sign(HttpRequestHead& aHead, const RelayIdentity& aOwner)
{
  RelaySignature signature;
  signature.entry = entry_;
  signature.owner = aOwner;
  signature.number = ++lastNumber_;
  signature.wallTime = std::chrono::duration_cast<std::chrono::milliseconds>(
                         clock_.WallNow().time_since_epoch())
                         .count();
  signature.mac = ComputeRelayMac(secret_, signature, aHead);
  aHead.fields.Set(kSignatureField, FormatRelaySignature(signature));
}

} // namespace filbertbeam
