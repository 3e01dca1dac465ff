#include "http/RequestProgress.h"

namespace filbertbeam {

void
RequestProgress::Begin(const HttpRequestHead& aHead)
{
  *this = {};
  framing_ = aHead.framing;
  bodyBytesLeft_ = framing_ == BodyFraming::Length ? aHead.contentLength : 0;
  isBodyComplete_ = !IsChunked() && bodyBytesLeft_ == 0;
}

bool
RequestProgress::AddBody(std::size_t aBytes)
{
  if (IsChunked() && !isBodyComplete_) {
    return true;
  }
  if (aBytes > bodyBytesLeft_) {
    return false;
  }
  bodyBytesLeft_ -= aBytes;
  isBodyComplete_ = bodyBytesLeft_ == 0;
  return true;
}

bool
RequestProgress::FinishBody()
{
  isBodyComplete_ = isBodyComplete_ || IsChunked();
  return isBodyComplete_;
}

std::size_t
RequestProgress::UnsentBytes() const
{
  return static_cast<std::size_t>(queuedBytes_ - sentBytes_);
}

} // namespace filbertbeam
