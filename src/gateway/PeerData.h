#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace filbertbeam {

// Adds to aTarget that the peer may compress its response.
std::string
PackedTarget(std::string_view aTarget);

// True if the sender of a request for aTarget accepts a compressed response.
bool
AcceptsPackedData(std::string_view aTarget);

// Compresses a response to a peer.
std::string
PackPeerData(std::string_view aText);

// Returns the text of a response of a peer, which may or may not have
// compressed it, or nullopt if it is damaged or too long.
std::optional<std::string>
UnpackPeerData(std::string_view aBytes);

// Keeps responses to peers for as long as the data does not change: after a
// change, all hosts that follow a watcher send it the same request within a
// moment.
class PeerResponseCache
{
public:
  // Returns the response to aTarget. aVersion identifies the data; aEncode
  // returns the response if it is not known yet.
  const std::string& Get(const std::string& aVersion,
                         std::string_view aTarget,
                         const std::function<std::string()>& aEncode);

private:
  struct Response
  {
    std::string target;
    std::string body;
  };

  std::string version_;
  // Oldest first; few at a time.
  std::vector<Response> responses_;
};

} // namespace filbertbeam
