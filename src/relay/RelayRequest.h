#pragma once

#include "http/HttpFields.h"
#include "limits/RequestClass.h"

#include <chrono>
#include <optional>
#include <string>

namespace filbertbeam {

// Metadata that an entry host sends to the owner along with a request.
struct RelayRequest
{
  std::string shard;
  std::string customer;
  // Requests per second.
  double promise = 0;
  RequestClass requestClass = RequestClass::InContract;
  bool isIdempotent = false;
  // Time until the deadline.
  std::chrono::milliseconds remaining{ 0 };
  std::string requestId;
};

void
WriteRelayFields(const RelayRequest& aRequest, HttpFields& aFields);

// Returns nullopt and sets aReason if a field is missing or malformed.
std::optional<RelayRequest>
ReadRelayFields(const HttpFields& aFields, std::string& aReason);

} // namespace filbertbeam
