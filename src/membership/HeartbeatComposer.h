#pragma once

#include "membership/HeartbeatLink.h"
#include "membership/MemberTable.h"

#include <string>

namespace filbertbeam {

// Writes the heartbeats of a host: its own record, whom it hears, and as many
// records of others as there is room for.
class HeartbeatComposer
{
public:
  // The references have to outlive the object.
  HeartbeatComposer(const MemberTable& aMembers,
                    HeartbeatLinks& aLinks,
                    std::uint64_t aSelf);

  // The payload for aPeer, to which this host has a link; at most aMaxBytes
  // but for the fixed parts. What is sent leaves the link's pending updates.
  // Without aHasSpareBytes, few records go out that are not urgent.
  std::string Compose(std::uint64_t aPeer,
                      std::size_t aMaxBytes,
                      bool aHasSpareBytes,
                      Instant aNow);

private:
  class Draft;

  void AddPending(Draft& aDraft,
                  HeartbeatLink& aLink,
                  bool aHasSpareBytes) const;
  void Refresh(Draft& aDraft,
               std::uint64_t aPeer,
               HeartbeatLink& aLink,
               bool aHasSpareBytes) const;

  const MemberTable& members_;
  HeartbeatLinks& links_;
  const std::uint64_t self_;
};

} // namespace filbertbeam
