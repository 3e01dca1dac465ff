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

// Bytes of a message in one datagram; fits an Ethernet frame with its headers.
inline constexpr std::size_t kMaxDatagramPart = 1'200;

// Divides a message into datagrams. aNumber tells the messages of one sender
// apart. aMessage has at most 64 KiB.
std::vector<std::string>
DivideIntoDatagrams(std::string_view aMessage, std::uint32_t aNumber);

// Joins the datagrams of messages again, in whatever order they arrive. A
// message with a lost datagram is forgotten after a while; what is kept of
// unfinished messages is bounded, so a stranger's datagrams cannot fill the
// memory.
class DatagramAssembler
{
public:
  // Returns the message that this datagram completes.
  std::optional<std::string> Add(const Endpoint& aSender,
                                 ByteView aDatagram,
                                 Instant aNow);

  // Bytes kept for unfinished messages.
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
