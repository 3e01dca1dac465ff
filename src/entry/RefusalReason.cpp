#include "entry/RefusalReason.h"

namespace filbertbeam {

bool
MayRunOnAnotherShard(std::string_view aReason)
{
  return aReason == "queue-full" || aReason == "wait-exceeded" ||
         aReason == "no-spare-slot" || aReason == "no-backend-server";
}

bool
MayRunAtAnotherOwner(std::string_view aReason)
{
  return aReason == "moved" || aReason == "unknown-shard" ||
         aReason == "owner-unreachable" || aReason == "no-owner" ||
         aReason == kNotAuthentic;
}

std::string_view
DetailOf(std::string_view aReason)
{
  if (aReason == "queue-full") {
    return "The customer has as many requests waiting as its contract allows.";
  }
  if (aReason == "no-spare-slot") {
    return "The customer is above the rate that its contract promises, and no "
           "spare capacity is free.";
  }
  if (aReason == "wait-exceeded" || aReason == "no-backend-server") {
    return "No backend server of the service could take the request.";
  }
  if (aReason == "incomplete-body") {
    return "The rest of the request body is invalid or arrived too slowly.";
  }
  if (aReason == "deadline-passed") {
    return "The deadline of the request passed.";
  }
  if (MayRunAtAnotherOwner(aReason)) {
    return "The host that is responsible for the service's backend servers "
           "cannot be reached.";
  }
  return {};
}

} // namespace filbertbeam
