#include "gateway/PeerRequest.h"

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kResponseTimeout{ 400 };
// More than the compressed copy of the largest deployment.
constexpr std::size_t kMaxResponse = 8 * 1024 * 1024;

} // namespace

PlatformClientLimits
PeerClientLimits()
{
  PlatformClientLimits limits;
  limits.callTimeout = kResponseTimeout;
  limits.connectTimeout = kResponseTimeout;
  limits.responseBytes = kMaxResponse;
  return limits;
}

void
GetFromPeer(PlatformClient& aClient,
            std::string aTarget,
            PlatformClient::Callback aCallback)
{
  HttpRequestHead head;
  head.method = "GET";
  head.target = std::move(aTarget);
  aClient.Call(std::move(head), {}, milliseconds(0), std::move(aCallback));
}

} // namespace filbertbeam
