#pragma once

#include "base/Clock.h"
#include "relay/RelaySignature.h"
#include "relay/ReplayWindow.h"

#include <map>

namespace filbertbeam {

// Verifies that relayed heads come from the fleet; rejects forged, redirected
// and replayed ones. Not thread-safe.
class RelayVerifier
{
public:
  // Largest clock difference accepted in the first head of an entry
  // incarnation.
  static constexpr std::chrono::seconds kMaxTimeDifference{ 30 };
  static constexpr std::size_t kMaxIncarnations = 4096;

  // aOwner is the host that verifies. aClock has to outlive the verifier.
  RelayVerifier(std::string aSecret, RelayIdentity aOwner, const Clock& aClock);

  // Accepts each signed head once. Returns false and sets LastReason for a
  // missing, wrong or repeated signature, and for one made for another owner or
  // for another run of this one.
  bool Verify(const HttpRequestHead& aHead);

  const std::string& LastReason() const { return lastReason_; }
  std::size_t IncarnationCount() const { return senders_.size(); }

private:
  struct Sender
  {
    ReplayWindow window;
    Instant lastReceivedAt;
  };

  bool Refuse(std::string_view aReason);
  bool IsCurrent(const RelaySignature& aSignature) const;
  bool MakeRoomForSender(Instant aNow);

  const std::string secret_;
  const RelayIdentity owner_;
  const Clock& clock_;
  std::map<std::pair<std::string, std::uint64_t>, Sender> senders_;
  std::string lastReason_;
};

} // namespace filbertbeam
