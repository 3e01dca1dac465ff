#pragma once

#include "membership/MembershipView.h"

#include <unordered_set>

namespace filbertbeam {

class RelayAttempt;

// The attempts that wait for the head of a response. Not thread-safe.
class ActiveRelays
{
public:
  void Add(RelayAttempt& aAttempt) { attempts_.insert(&aAttempt); }
  void Remove(RelayAttempt& aAttempt) { attempts_.erase(&aAttempt); }

  // Tells the attempts whose owner is unreachable in this view.
  void OnView(const MembershipView& aView);

private:
  std::unordered_set<RelayAttempt*> attempts_;
};

} // namespace filbertbeam
