#pragma once

#include "http/HttpMessage.h"

namespace filbertbeam {

struct BodyFramingFields
{
  // One of None, Length and Chunked.
  BodyFraming framing = BodyFraming::None;
  std::uint64_t contentLength = 0;
  // A transfer coding other than chunked is present.
  bool unknownCoding = false;
};

// Reads Content-Length and Transfer-Encoding. Returns nullopt and sets aReason
// if they are repeated, malformed or contradict each other.
std::optional<BodyFramingFields>
ReadBodyFraming(const HttpFields& aFields, std::string& aReason);

} // namespace filbertbeam
