#pragma once

#include "store/PlatformClient.h"
#include "store/tests/support/EventLoop.h"

#include <boost/test/unit_test.hpp>

namespace filbertbeam {

// Sends requests to a stand-in of the platform, for its controls.
class PlatformRequests
{
public:
  explicit PlatformRequests(std::uint16_t aPort)
    : client_({ { "127.0.0.1", aPort } }, {})
  {
  }

  PlatformReply Send(std::string_view aMethod,
                     std::string_view aTarget,
                     std::string_view aBody = "")
  {
    HttpRequestHead head;
    head.method = aMethod;
    head.target = aTarget;
    std::optional<PlatformReply> reply;
    client_.Call(std::move(head),
                 aBody,
                 std::chrono::milliseconds(0),
                 [&](const PlatformReply& aReply) { reply = aReply; });
    BOOST_REQUIRE(RunUntil([&] { return reply.has_value(); }));
    return *reply;
  }

private:
  PlatformClient client_;
};

} // namespace filbertbeam
