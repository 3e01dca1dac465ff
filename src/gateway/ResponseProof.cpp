#include "gateway/ResponseProof.h"

namespace filbertbeam {

namespace {

constexpr int kRequestTimeout = 408;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

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
  return (aResponse.isNotExecuted || aHead.status == kMisdirected) &&
         !aRequest.requestId.empty() && IsResponseTo(aRequest, aResponse);
}

} // namespace filbertbeam
