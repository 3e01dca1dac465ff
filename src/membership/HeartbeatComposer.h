#pragma once

#include "membership/HeartbeatLink.h"
#include "membership/MemberTable.h"

#include <string>

namespace filbertbeam {

// Composes the heartbeats of a host from its own record, the hosts from which
// it receives heartbeats, and as many records of other hosts as fit.
class HeartbeatComposer
{
public:
  // aMembers and aLinks have to outlive the object.
  HeartbeatComposer(const MemberTable& aMembers,
                    HeartbeatLinks& aLinks,
                    std::uint64_t aSelf);

  // Returns the payload for aPeer, to which this host has a link. It has at
  // most aMaxBytes, unless the sender's own record and the lists of ids alone
  // exceed them. Removes the updates that it contains from the link's pending
  // ones. Without aHasSpareBytes, only a few records are sent that are not
  // urgent.
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
