#pragma once

#include "slots/ShardScheduler.h"

namespace filbertbeam {

// A request in an owner's queue; receives the scheduler's decision about it.
class ScheduledRequest
{
public:
  virtual ~ScheduledRequest() = default;

  // Called when the request gets a slot of aBackendServer, which it holds until
  // it completes. With aIsTrial, the server is ejected and the request tests
  // whether it has recovered.
  virtual void OnAssigned(const BackendServer& aBackendServer,
                          bool aIsTrial) = 0;
  // Called when the request was removed from the queue without being sent.
  virtual void OnRefused(RefusalReason aReason) = 0;
};

} // namespace filbertbeam
