#pragma once

#include "http/HttpMessage.h"

namespace filbertbeam {

// How much of a request's body has been passed to the client, and how many of
// the request's bytes have been queued and sent.
class RequestProgress
{
public:
  void Begin(const HttpRequestHead& aHead);

  bool IsChunked() const { return framing_ == BodyFraming::Chunked; }
  // Counts bytes of the body. Returns false if it is longer than announced.
  bool AddBody(std::size_t aBytes);
  // Returns false if the body is shorter than announced.
  bool FinishBody();
  bool IsBodyComplete() const { return isBodyComplete_; }

  void OnQueued(std::size_t aBytes) { queuedBytes_ += aBytes; }
  void OnSent(std::uint64_t aBytes) { sentBytes_ += aBytes; }
  // True once a byte was passed to the operating system.
  bool AnyByteSent() const { return sentBytes_ > 0; }
  std::size_t UnsentBytes() const;
  // True once the whole request was passed to the operating system.
  bool IsSent() const { return isBodyComplete_ && sentBytes_ == queuedBytes_; }

private:
  BodyFraming framing_ = BodyFraming::None;
  // Only with a length.
  std::uint64_t bodyBytesLeft_ = 0;
  bool isBodyComplete_ = false;
  std::uint64_t queuedBytes_ = 0;
  std::uint64_t sentBytes_ = 0;
};

} // namespace filbertbeam
