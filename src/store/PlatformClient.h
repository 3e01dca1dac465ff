#pragma once

#include "http/HttpClient.h"

#include <functional>
#include <unordered_map>
#include <vector>

namespace filbertbeam {

struct PlatformClientLimits
{
  // Time limit of one call, from its start to the last byte of the response.
  std::chrono::milliseconds callTimeout{ 2'000 };
  std::chrono::milliseconds connectTimeout{ 500 };
  // Calls with a larger response fail; a listing may hold many keys.
  std::size_t responseBytes = 32 * 1024 * 1024;
  // Maximum number of idle connections to keep. Each pending watch occupies one
  // connection.
  int idleConnections = 8;
  // As in HttpClientLimits; detects that the connection of a pending watch is
  // broken.
  std::chrono::seconds unresponsivePeerTimeout{ 0 };
};

struct PlatformReply
{
  // 0 when no complete response was received; reason then says why.
  int status = 0;
  HttpFields fields;
  std::string body;
  std::string reason;
  // With status 0: no byte of the request was sent.
  bool isUnsent = false;
  // With status 0: the response was larger than the limit.
  bool isTooLarge = false;
};

// Client of the platform's HTTP API. Sends each call once, to one endpoint.
// After a failure, later calls go to the next endpoint.
class PlatformClient
{
public:
  using Callback = std::function<void(const PlatformReply&)>;

  // Returns null, with a reason, when there is no endpoint or one of them is
  // not an IP address and a port.
  static std::unique_ptr<PlatformClient> Create(
    std::vector<Endpoint> aEndpoints,
    const PlatformClientLimits& aLimits,
    std::string& aReason);

  PlatformClient(std::vector<Endpoint> aEndpoints,
                 const PlatformClientLimits& aLimits);
  ~PlatformClient();

  PlatformClient(const PlatformClient&) = delete;
  PlatformClient& operator=(const PlatformClient&) = delete;

  // Sends later calls to aEndpoints, starting with the first.
  void SetEndpoints(std::vector<Endpoint> aEndpoints);

  // Sends a call. The callback runs from the event loop, exactly once unless
  // this is destroyed first. aExtraTime is added to the time limit of the call.
  void Call(HttpRequestHead aHead,
            std::string_view aBody,
            std::chrono::milliseconds aExtraTime,
            Callback aCallback);

private:
  class PendingCall;

  void OnFinished(std::uint64_t aCall,
                  const Callback& aCallback,
                  const PlatformReply& aReply);

  std::vector<Endpoint> endpoints_;
  PlatformClientLimits limits_;
  std::unique_ptr<HttpClient> client_;
  std::size_t currentEndpoint_ = 0;
  std::uint64_t nextCall_ = 1;
  std::unordered_map<std::uint64_t, std::shared_ptr<PendingCall>> calls_;
};

} // namespace filbertbeam
