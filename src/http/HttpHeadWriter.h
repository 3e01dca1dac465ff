#pragma once

#include "http/HttpMessage.h"

namespace filbertbeam {

// Properties of an exchange that affect the head of its response.
struct ResponseHeadContext
{
  bool keepAlive = true;
  // The request method is HEAD, so the response has no body.
  bool isHeadRequest = false;
};

// Serializes the head with the framing fields. Returns nullopt and sets aReason
// if a part of the head cannot be represented (for example a field value with a
// line break). Connection fields in aHead.fields are omitted.
// BodyFraming::UntilClose is written as chunked, so that a truncated message
// never looks complete.
std::optional<std::string>
WriteRequestHead(const HttpRequestHead& aHead, std::string& aReason);

std::optional<std::string>
WriteResponseHead(const HttpResponseHead& aHead,
                  const ResponseHeadContext& aContext,
                  std::string& aReason);

// True for a response that never has a body, regardless of its fields.
bool
IsBodilessResponse(int aStatus, bool aIsHeadRequest);

// Returns the line "size CR LF" that precedes the data of a chunk; kChunkEnd
// ("CR LF") follows the data.
std::string
WriteChunkBegin(std::size_t aSize);

inline constexpr std::string_view kChunkEnd = "\r\n";
// The last chunk, without trailer fields.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

} // namespace filbertbeam
