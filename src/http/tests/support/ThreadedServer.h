#pragma once

#include "http/HttpMessage.h"
#include "http/tests/support/RandomPauses.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <functional>
#include <list>
#include <mutex>
#include <ostream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace filbertbeam::testing {

enum class ConnectionEnding
{
  None,
  Reset,
  Close,
};

inline std::ostream&
operator<<(std::ostream& aStream, ConnectionEnding aEnding)
{
  switch (aEnding) {
    case ConnectionEnding::None:
      return aStream << "none";
    case ConnectionEnding::Reset:
      return aStream << "reset";
    case ConnectionEnding::Close:
      return aStream << "close";
  }
  return aStream;
}

// What a ThreadedServer does with its connections.
struct ServerBehavior
{
  // Maximum number of connections that wait to be accepted, less one.
  int backlog = 64;
  bool isAccepting = true;
  bool isReading = true;
  // Returns what is sent for a request head.
  std::function<std::string(std::string_view aHead)> respond;
  ConnectionEnding ending = ConnectionEnding::None;
  // From accepting a connection to its ending.
  std::chrono::microseconds endsAfter{ 0 };
};

// Returns a response for ServerBehavior that is the same for each request.
inline std::function<std::string(std::string_view)>
Always(std::string aResponse)
{
  return
    [response = std::move(aResponse)](std::string_view) { return response; };
}

// A server on a thread of its own, which accepts and receives while the event
// loop of the test is blocked or RandomPauses pauses its threads. Records what
// each connection received.
class ThreadedServer
{
public:
  explicit ThreadedServer(ServerBehavior aBehavior = {})
    : behavior_(std::move(aBehavior))
    , listener_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    (void)::bind(listener_, reinterpret_cast<sockaddr*>(&address), size);
    (void)::listen(listener_, behavior_.backlog);
    (void)::getsockname(
      listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    thread_ = std::jthread([this](const std::stop_token& aStop) {
      ExemptThreadFromPauses();
      while (!aStop.stop_requested()) {
        Serve();
        std::this_thread::sleep_for(kInterval);
      }
    });
  }
  ~ThreadedServer()
  {
    thread_.request_stop();
    thread_.join();
    for (Connection& connection : connections_) {
      End(connection, ConnectionEnding::Close);
    }
    ::close(listener_);
  }
  ThreadedServer(const ThreadedServer&) = delete;
  ThreadedServer& operator=(const ThreadedServer&) = delete;

  Endpoint Address() const { return { "127.0.0.1", port_ }; }

  void SetBehavior(ServerBehavior aBehavior)
  {
    const std::scoped_lock lock(mutex_);
    behavior_ = std::move(aBehavior);
  }
  // Accepts and reads whatever the kernel has for the server.
  void AcceptAndReadAll()
  {
    const std::scoped_lock lock(mutex_);
    behavior_.isAccepting = true;
    behavior_.isReading = true;
    behavior_.ending = ConnectionEnding::None;
  }

  // Returns the bytes that each accepted connection received.
  std::vector<std::string> Received() const
  {
    const std::scoped_lock lock(mutex_);
    std::vector<std::string> all;
    for (const Connection& connection : connections_) {
      all.push_back(connection.received);
    }
    return all;
  }
  std::size_t ReceivedBytes() const
  {
    std::size_t bytes = 0;
    for (const std::string& received : Received()) {
      bytes += received.size();
    }
    return bytes;
  }
  int Accepted() const
  {
    const std::scoped_lock lock(mutex_);
    return static_cast<int>(connections_.size());
  }
  // Returns how often aText was received.
  int Count(std::string_view aText) const
  {
    int count = 0;
    for (const std::string& received : Received()) {
      for (auto at = received.find(aText); at != std::string::npos;
           at = received.find(aText, at + aText.size())) {
        ++count;
      }
    }
    return count;
  }

private:
  using Clock = std::chrono::steady_clock;

  static constexpr std::chrono::microseconds kInterval{ 100 };

  struct Connection
  {
    int socket = -1;
    Clock::time_point acceptedAt;
    std::string received;
    // Start of the bytes in which no head was found yet.
    std::size_t searchedFrom = 0;
  };

  void Serve()
  {
    const std::scoped_lock lock(mutex_);
    while (behavior_.isAccepting) {
      const int socket =
        ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (socket < 0) {
        break;
      }
      connections_.push_back({ socket, Clock::now(), "", 0 });
    }
    for (Connection& connection : connections_) {
      if (connection.socket < 0) {
        continue;
      }
      if (behavior_.isReading) {
        Read(connection);
        Respond(connection);
      }
      if (behavior_.ending != ConnectionEnding::None &&
          Clock::now() >= connection.acceptedAt + behavior_.endsAfter) {
        Read(connection);
        End(connection, behavior_.ending);
      }
    }
  }

  static void Read(Connection& aConnection)
  {
    std::string block(64 * 1024, '\0');
    while (true) {
      const auto count =
        ::recv(aConnection.socket, block.data(), block.size(), 0);
      if (count < 0 && errno == EAGAIN) {
        return;
      }
      if (count <= 0) {
        End(aConnection, ConnectionEnding::Close);
        return;
      }
      aConnection.received.append(block, 0, static_cast<std::size_t>(count));
    }
  }

  void Respond(Connection& aConnection) const
  {
    constexpr std::string_view kHeadEnd = "\r\n\r\n";
    while (behavior_.respond != nullptr && aConnection.socket >= 0) {
      const auto begin = aConnection.searchedFrom;
      const auto end = aConnection.received.find(kHeadEnd, begin);
      if (end == std::string::npos) {
        return;
      }
      aConnection.searchedFrom = end + kHeadEnd.size();
      const std::string response = behavior_.respond(
        std::string_view(aConnection.received).substr(begin, end - begin + 2));
      (void)::send(
        aConnection.socket, response.data(), response.size(), MSG_NOSIGNAL);
    }
  }

  static void End(Connection& aConnection, ConnectionEnding aEnding)
  {
    if (aConnection.socket < 0) {
      return;
    }
    if (aEnding == ConnectionEnding::Reset) {
      const linger reset{ 1, 0 };
      ::setsockopt(
        aConnection.socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }
    ::close(aConnection.socket);
    aConnection.socket = -1;
  }

  mutable std::mutex mutex_;
  ServerBehavior behavior_;
  int listener_;
  std::uint16_t port_ = 0;
  std::list<Connection> connections_;
  std::jthread thread_;
};

} // namespace filbertbeam::testing
