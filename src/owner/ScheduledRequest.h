#pragma once

#include "slots/ShardScheduler.h"

namespace filbertbeam {

// A request that waits in an owner's queue.
class ScheduledRequest
{
public:
  virtual ~ScheduledRequest() = default;

  // The request has a slot of this backend server until it completes. With
  // aIsTrial, the server is ejected and the request tries whether it serves
  // well again.
  virtual void OnAssigned(const BackendServer& aBackendServer,
                          bool aIsTrial) = 0;
  // The request left the queue unsent.
  virtual void OnRefused(RefusalReason aReason) = 0;
};

} // namespace filbertbeam
