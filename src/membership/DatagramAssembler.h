#pragma once

#include "base/Clock.h"
#include "http/HttpMessage.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace filbertbeam {

// Largest part of a message in one datagram, in bytes. With all headers it fits
// into an Ethernet frame.
inline constexpr std::size_t kMaxDatagramPart = 1'200;

// Divides a message into datagrams. aNumber identifies the message among those
// of one sender. aMessage has at most 64 KiB.
std::vector<std::string>
DivideIntoDatagrams(std::string_view aMessage, std::uint32_t aNumber);

// Reassembles messages from datagrams that arrive in any order. A message with
// a lost datagram is dropped after kMaxAge. The memory for incomplete messages
// is bounded, so that unauthenticated datagrams cannot exhaust it.
class DatagramAssembler
{
public:
  // Returns the message that this datagram completes, if any.
  std::optional<std::string> Add(const Endpoint& aSender,
                                 ByteView aDatagram,
                                 Instant aNow);

  // Returns the size of all parts of incomplete messages, in bytes.
  std::size_t BufferedBytes() const { return bufferedBytes_; }
  std::uint64_t Malformed() const { return malformed_; }

  static constexpr std::size_t kMaxBufferedBytes = 1024 * 1024;
  static constexpr std::chrono::seconds kMaxAge{ 2 };

private:
  struct IncompleteMessage
  {
    std::vector<std::string> parts;
    std::size_t missing = 0;
    Instant since;
  };
  using Key = std::pair<std::string, std::uint32_t>;

  void Remove(std::map<Key, IncompleteMessage>::iterator aItem);
  void MakeRoom(std::size_t aBytes, Instant aNow);

  std::map<Key, IncompleteMessage> incompleteMessages_;
  std::size_t bufferedBytes_ = 0;
  std::uint64_t malformed_ = 0;
};

} // namespace filbertbeam
