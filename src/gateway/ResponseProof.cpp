#include "gateway/ResponseProof.h"

namespace filbertbeam {

namespace {

constexpr int kRequestTimeout = 408;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

// True for the statuses that agree with the statement that the request was not
// run. A server that sends another one, a success for example, has run it.
bool
MayStateNotRun(int aStatus)
{
  return (aStatus >= 400 && aStatus < 500) || aStatus == kUnavailable;
}

} // namespace

bool
MeansNotRun(int aStatus)
{
  return aStatus == kRequestTimeout || aStatus == kMisdirected ||
         aStatus == kTooManyRequests || aStatus == kUnavailable;
}

bool
IsVerified(const HttpResponseHead& aHead, const ResponseHeaders& aHeaders)
{
  return aHeaders.isSigned && !aHead.fields.Find("Content-Encoding");
}

bool
IsResponseTo(const CallerHeaders& aRequest, const ResponseHeaders& aResponse)
{
  return aResponse.requestId == aRequest.requestId;
}

bool
IsProvenRefusal(const CallerHeaders& aRequest,
                const HttpResponseHead& aHead,
                const ResponseHeaders& aResponse)
{
  const bool isStated = aResponse.isNotExecuted && MayStateNotRun(aHead.status);
  return (isStated || aHead.status == kMisdirected) &&
         !aRequest.requestId.empty() && IsResponseTo(aRequest, aResponse);
}

} // namespace filbertbeam
