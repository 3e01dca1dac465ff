#pragma once

#include "http/HttpMessage.h"

namespace filbertbeam {

// What the head of a response depends on besides its fields.
struct ResponseHeadContext
{
  bool keepAlive = true;
  // The response answers a HEAD request: it has no body.
  bool isHeadRequest = false;
};

// Returns the bytes of the head with the framing fields. Returns nothing and
// fills aReason when a part of the head cannot be represented (for example a
// field value with a line break). Connection fields among aHead.fields are left
// out. Body framing UntilClose is written as chunked, so that a truncated
// message never looks complete.
std::optional<std::string>
WriteRequestHead(const HttpRequestHead& aHead, std::string& aReason);

std::optional<std::string>
WriteResponseHead(const HttpResponseHead& aHead,
                  const ResponseHeadContext& aContext,
                  std::string& aReason);

// True for a response that never has a body, whatever its fields say.
bool
IsBodilessResponse(int aStatus, bool aIsHeadRequest);

// The bytes around one chunk of a body: "size CR LF" and "CR LF".
std::string
WriteChunkBegin(std::size_t aSize);

inline constexpr std::string_view kChunkEnd = "\r\n";
// The last chunk, without trailer fields.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

} // namespace filbertbeam
