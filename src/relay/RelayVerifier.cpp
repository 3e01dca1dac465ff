#include "relay/RelayVerifier.h"

#include "base/Digest.h"
#include "http/ConnectionFields.h"

#include <algorithm>

namespace filbertbeam {

namespace {

// A sender may be discarded once none of its heads can be accepted as the first
// of an unknown incarnation: a head from a clock that is ahead by the allowed
// difference stays current for twice that difference.
constexpr auto kSenderRetention = 2 * RelayVerifier::kMaxTimeDifference;

} // namespace

RelayVerifier::RelayVerifier(std::string aSecret,
                             RelayIdentity aOwner,
                             const Clock& aClock)
  : secret_(std::move(aSecret))
  , owner_(std::move(aOwner))
  , clock_(aClock)
{
}

bool
RelayVerifier::Verify(const HttpRequestHead& aHead)
{
  const auto& fields = aHead.fields.All();
  const auto count =
    std::count_if(fields.begin(), fields.end(), [](const HttpField& aField) {
      return EqualsIgnoringCase(aField.name, kSignatureField);
    });
  if (count != 1) {
    return Refuse("the head has no signature, or several");
  }
  const auto signature =
    ParseRelaySignature(*aHead.fields.Find(kSignatureField));
  if (!signature) {
    return Refuse("the signature is malformed");
  }
  if (!ConstantTimeEquals(ComputeRelayMac(secret_, *signature, aHead),
                          signature->mac)) {
    return Refuse("the signature is wrong");
  }
  // No state is kept for a head that was rejected before this point, so only
  // holders of the fleet secret can make this host use memory.
  if (signature->owner != owner_) {
    return Refuse("the head is for another owner or another run of it");
  }
  const Instant now = clock_.Now();
  const auto key =
    std::make_pair(signature->entry.host, signature->entry.incarnation);
  auto sender = senders_.find(key);
  if (sender == senders_.end()) {
    if (!IsCurrent(*signature)) {
      return Refuse("the time of an unknown entry host differs too much");
    }
    if (!MakeRoomForSender(now)) {
      return Refuse("too many entry hosts are active");
    }
    sender = senders_.try_emplace(key).first;
  }
  sender->second.lastReceivedAt = now;
  if (!sender->second.window.Insert(signature->number)) {
    return Refuse("the request number was seen before or is too old");
  }
  return true;
}

bool
RelayVerifier::Refuse(std::string_view aReason)
{
  lastReason_ = aReason;
  return false;
}

bool
RelayVerifier::IsCurrent(const RelaySignature& aSignature) const
{
  const std::int64_t now =
    std::chrono::duration_cast<std::chrono::milliseconds>(
      clock_.WallNow().time_since_epoch())
      .count();
  constexpr std::int64_t kMaxMilliseconds =
    std::chrono::milliseconds(kMaxTimeDifference).count();
  // The difference is not computed, as an extreme wallTime could overflow it.
  return aSignature.wallTime >= now - kMaxMilliseconds &&
         aSignature.wallTime <= now + kMaxMilliseconds;
}

bool
RelayVerifier::MakeRoomForSender(Instant aNow)
{
  if (senders_.size() < kMaxIncarnations) {
    return true;
  }
  std::erase_if(senders_, [aNow](const auto& aItem) {
    return aNow - aItem.second.lastReceivedAt > kSenderRetention;
  });
  return senders_.size() < kMaxIncarnations;
}

} // namespace filbertbeam
