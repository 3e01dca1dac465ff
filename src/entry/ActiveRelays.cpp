#include "entry/ActiveRelays.h"

#include "entry/RelayAttempt.h"

#include <memory>
#include <vector>

namespace filbertbeam {

void
ActiveRelays::OnView(const MembershipView& aView)
{
  // Notifying an attempt may remove it from the set and add new ones, so the
  // attempts to notify are collected first.
  std::vector<std::shared_ptr<RelayAttempt>> unreachable;
  for (RelayAttempt* attempt : attempts_) {
    const Member* owner = aView.Find(attempt->Owner());
    if (!owner || owner->state == HostState::Unreachable) {
      unreachable.push_back(attempt->shared_from_this());
    }
  }
  for (const std::shared_ptr<RelayAttempt>& attempt : unreachable) {
    attempt->OnOwnerUnreachable();
  }
}

} // namespace filbertbeam
