#pragma once

#include "base/Clock.h"
#include "membership/ControlChannel.h"
#include "membership/ReplayFilter.h"
#include "membership/SealedMessage.h"

#include <QObject>
#include <QTimer>

#include <nng/nng.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace filbertbeam {

struct ControlChannelSettings
{
  ControlSender self;
  // Port 0 picks a free one.
  Endpoint listen;
  // The address and port at which other hosts reach this one, as they give it
  // to Send: messages sealed for another endpoint are refused. Empty stands
  // for the listening address; port 0 for the listening port.
  Endpoint advertised;
  std::string secret;
};

struct ControlChannelCounters
{
  std::uint64_t sent = 0;
  // Dropped because the queue to the peer is full or its socket failed.
  std::uint64_t sendFailures = 0;
  std::uint64_t received = 0;
  // Dropped because the event loop was too far behind.
  std::uint64_t overflowed = 0;
  // Wrong MAC, malformed, or sealed for another endpoint.
  std::uint64_t unauthentic = 0;
  std::uint64_t replayed = 0;
  std::uint64_t outdated = 0;
  std::uint64_t delayed = 0;
  std::uint64_t crowded = 0;
};

// ControlChannel over nng: a PULL socket that listens, and a PUSH socket per
// peer that connects in the background. Receivers are called on the thread
// that created the object, from its event loop.
class NngControlChannel final : public ControlChannel
{
public:
  // aClock has to outlive the object. Returns null and fills aReason where the
  // address cannot be bound or a setting is invalid.
  static std::unique_ptr<NngControlChannel> Create(
    const ControlChannelSettings& aSettings,
    const Clock& aClock,
    std::string& aReason);

  ~NngControlChannel() override;
  NngControlChannel(const NngControlChannel&) = delete;
  NngControlChannel& operator=(const NngControlChannel&) = delete;

  // Never blocks; a message that cannot be queued is dropped and counted.
  void Send(const Endpoint& aTo,
            ControlMessageType aType,
            ByteView aPayload) override;
  void SetReceiver(ControlMessageType aType, Receiver aReceiver) override;
  void Redial(const Endpoint& aTo) override;

  std::uint16_t Port() const { return port_; }
  std::size_t OpenPeers() const { return peers_.size(); }
  ControlChannelCounters Counters() const;
  // Reason of the last failure, for logs and operators.
  const std::string& LastReason() const { return lastReason_; }

  // Closes the sockets of peers that were not used for kPeerIdleTime; called
  // by a timer of the object.
  void CloseIdlePeers();

  static constexpr std::chrono::seconds kPeerIdleTime{ 60 };

private:
  struct Peer
  {
    nng_socket socket;
    Instant lastUsed;
    // A failure is logged once until the next success.
    bool hasFailed = false;
  };

  NngControlChannel(const ControlChannelSettings& aSettings,
                    const Clock& aClock);
  bool Listen(const Endpoint& aListen, std::string& aReason);
  // Null when no socket can be opened.
  Peer* FindOrOpenPeer(const Endpoint& aTo);
  void FailPeer(const Endpoint& aTo, Peer* aPeer, std::string aReason);

  // Runs on a thread of nng.
  static void OnReceived(void* aChannel);
  void TakeReceived();
  // Runs on the thread of the event loop.
  void Process(const std::string& aBytes);

  const Clock& clock_;
  ControlSender self_;
  Endpoint advertised_;
  SealedMessageCodec codec_;
  ReplayFilter filter_;
  Instant startedAt_;
  std::uint64_t sequence_ = 0;
  std::uint16_t port_ = 0;
  std::string lastReason_;
  ControlChannelCounters counters_;
  std::map<ControlMessageType, Receiver> receivers_;
  std::map<std::string, Peer> peers_;

  nng_socket listening_ = NNG_SOCKET_INITIALIZER;
  nng_aio* receiving_ = nullptr;
  // Used on threads of nng only, in one callback at a time.
  int receiveFailures_ = 0;
  std::atomic<int> waiting_{ 0 };
  std::atomic<std::uint64_t> overflowed_{ 0 };

  // Receives the calls that are moved from threads of nng; its destruction
  // drops those that wait.
  QObject context_;
  QTimer idleTimer_;
};

} // namespace filbertbeam
