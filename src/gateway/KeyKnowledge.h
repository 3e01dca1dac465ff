#pragma once

#include "base/Clock.h"

#include <optional>

namespace filbertbeam {

// What a host knows about how current its configuration is.
struct ConfigurationContact
{
  // A configuration is in force, and the peers were asked for a newer one.
  bool isComplete = false;
  // A peer has reported a change of the configuration that this host has not
  // read.
  bool lacksReportedChange = false;
  // When the catalog last responded to this host.
  std::optional<Instant> catalogRespondedAt;
  // When a peer that reads the catalog last showed that this host has read all
  // that the peer has.
  std::optional<Instant> coveredAt;
};

// Returns the last time at which the host was in touch and had read all that it
// knew of, or nothing if its contact shows none.
std::optional<Instant>
ConfirmedAt(const ConfigurationContact& aContact);

// Decides whether a host may go by the keys that it knows. Without a limit it
// always may, from its first configuration on.
class KeyKnowledge
{
public:
  // aLimit is the longest time out of touch after which keys are still trusted.
  explicit KeyKnowledge(std::optional<Duration> aLimit = {})
    : limit_(aLimit)
  {
  }

  // The keys were known to be current at aTime. An earlier time than the last
  // one is ignored.
  void Confirm(Instant aTime);
  bool MayJudge(Instant aNow) const;

private:
  std::optional<Duration> limit_;
  std::optional<Instant> confirmedAt_;
};

} // namespace filbertbeam
