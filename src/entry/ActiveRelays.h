#pragma once

#include "membership/MembershipView.h"

#include <unordered_set>

namespace filbertbeam {

class RelayAttempt;

// Set of the relay attempts that still wait for a response head. Not
// thread-safe.
class ActiveRelays
{
public:
  void Add(RelayAttempt& aAttempt) { attempts_.insert(&aAttempt); }
  void Remove(RelayAttempt& aAttempt) { attempts_.erase(&aAttempt); }

  // Notifies the attempts whose owner is unreachable or missing in this view.
  void OnView(const MembershipView& aView);

private:
  std::unordered_set<RelayAttempt*> attempts_;
};

} // namespace filbertbeam
