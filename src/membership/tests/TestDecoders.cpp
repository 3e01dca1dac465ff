#include "base/Digest.h"
#include "base/SeededRandom.h"
#include "membership/HeartbeatCodec.h"
#include "membership/HeartbeatProtocol.h"
#include "membership/SealedMessage.h"

#include "base/ManualClock.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <string>

using namespace filbertbeam;

namespace {

constexpr int kInputs = 200'000;
const Endpoint kReceiver{ "10.0.0.1", 9000 };

std::string
RandomName(Random& aRandom)
{
  std::string name;
  const std::uint64_t length = 1 + aRandom.Below(20);
  for (std::uint64_t i = 0; i < length; ++i) {
    name += static_cast<char>('a' + aRandom.Below(26));
  }
  return name;
}

MemberRecord
RandomRecord(Random& aRandom)
{
  const std::string host = RandomName(aRandom);
  MemberRecord record;
  record.id = HostId(host);
  record.incarnation = aRandom.Next() >> aRandom.Below(64);
  record.version = aRandom.Next() >> (2 + aRandom.Below(62));
  record.isLeaving = aRandom.Below(2) == 0;
  record.configurationRevision = aRandom.Next() >> aRandom.Below(64);
  for (std::uint64_t i = aRandom.Below(9); i > 0; --i) {
    record.disconnectedPartners.push_back(
      static_cast<std::uint32_t>(aRandom.Next() >> aRandom.Below(64)));
  }
  if (aRandom.Below(2) == 0) {
    record.details = HostDetails{
      host,
      RandomName(aRandom),
      RandomName(aRandom),
      { RandomName(aRandom), static_cast<std::uint16_t>(aRandom.Next()) },
      { RandomName(aRandom), static_cast<std::uint16_t>(aRandom.Next()) }
    };
  }
  return record;
}

Heartbeat
RandomHeartbeat(Random& aRandom)
{
  Heartbeat heartbeat;
  heartbeat.sender = RandomRecord(aRandom);
  heartbeat.wantsRecords = aRandom.Below(2) == 0;
  for (std::uint64_t i = aRandom.Below(17); i > 0; --i) {
    heartbeat.receivedFrom.push_back(
      static_cast<std::uint32_t>(aRandom.Next()));
  }
  for (std::uint64_t i = aRandom.Below(9); i > 0; --i) {
    heartbeat.detailRequests.push_back(
      static_cast<std::uint32_t>(aRandom.Next()));
  }
  for (std::uint64_t i = aRandom.Below(21); i > 0; --i) {
    heartbeat.updates.push_back(RandomRecord(aRandom));
  }
  return heartbeat;
}

// Overwrites, removes, truncates, duplicates or inserts some bytes.
std::string
Mutate(std::string aBytes, Random& aRandom)
{
  for (std::uint64_t changes = 1 + aRandom.Below(4); changes > 0; --changes) {
    const std::size_t at = aRandom.Below(aBytes.size() + 1);
    switch (aRandom.Below(5)) {
      case 0:
        if (at < aBytes.size()) {
          aBytes[at] = static_cast<char>(aRandom.Next());
        }
        break;
      case 1:
        aBytes.erase(at, aRandom.Below(8));
        break;
      case 2:
        aBytes.insert(at, 1, static_cast<char>(aRandom.Next()));
        break;
      case 3:
        aBytes.resize(at);
        break;
      default:
        aBytes.insert(at, aBytes.substr(at, aRandom.Below(64)));
        break;
    }
  }
  return aBytes;
}

std::string
RandomBytes(Random& aRandom)
{
  std::string bytes(aRandom.Below(200), '\0');
  for (char& byte : bytes) {
    byte = static_cast<char>(aRandom.Next());
  }
  return bytes;
}

// Returns a message with a valid MAC around aBody, as an authentic but faulty
// host could send it.
std::string
SealBody(const std::string& aBody)
{
  const std::string mac =
    HmacSha256("secret", "10.0.0.1 9000\n" + aBody).substr(0, kMacBytes);
  std::string bytes = "\x82\x50" + mac + "\x5a";
  for (int shift = 24; shift >= 0; shift -= 8) {
    bytes += static_cast<char>(aBody.size() >> shift & 0xff);
  }
  return bytes + aBody;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Decoders)

BOOST_AUTO_TEST_CASE(HeartbeatsDecodeAsTheyWereEncoded)
{
  SeededRandom random(11);
  for (int i = 0; i < 2000; ++i) {
    const Heartbeat heartbeat = RandomHeartbeat(random);
    const std::string bytes = HeartbeatCodec::Encode(heartbeat);
    if (bytes.size() > HeartbeatCodec::kMaxBytes) {
      BOOST_TEST(!HeartbeatCodec::Decode(bytes).has_value());
      continue;
    }
    const auto decoded = HeartbeatCodec::Decode(bytes);
    BOOST_TEST_REQUIRE(decoded.has_value());
    BOOST_TEST((*decoded == heartbeat));
  }
}

// Guards against a computed size that is too small, which would exceed the byte
// budget.
BOOST_AUTO_TEST_CASE(TheSizeOfARecordIsThatOfItsEncoding)
{
  SeededRandom random(12);
  Heartbeat heartbeat;
  for (int i = 0; i < 2000; ++i) {
    heartbeat.updates.clear();
    const std::size_t without = HeartbeatCodec::Encode(heartbeat).size();
    heartbeat.updates.push_back(RandomRecord(random));
    BOOST_TEST(HeartbeatCodec::Encode(heartbeat).size() - without ==
               HeartbeatCodec::EncodedSize(heartbeat.updates.front()));
  }
}

// Guards against crashes, hangs and unbounded memory on any input, and against
// input that decodes but corrupts the state of the protocol.
BOOST_AUTO_TEST_CASE(HeartbeatsFromAnyInputAreDecodedOrRefused)
{
  SeededRandom random(13);
  ManualClock clock;
  Member self;
  self.host = "self";
  HeartbeatProtocol protocol(self, clock, random);
  int accepted = 0;
  for (int i = 0; i < kInputs; ++i) {
    const Heartbeat valid = RandomHeartbeat(random);
    const std::string bytes = i % 4 == 0
                                ? RandomBytes(random)
                                : Mutate(HeartbeatCodec::Encode(valid), random);
    const auto heartbeat = HeartbeatCodec::Decode(bytes);
    if (!heartbeat) {
      continue;
    }
    ++accepted;
    BOOST_TEST_REQUIRE(heartbeat->updates.size() <=
                       HeartbeatCodec::kMaxUpdates);
    BOOST_TEST_REQUIRE(heartbeat->receivedFrom.size() <=
                       HeartbeatCodec::kMaxReceivedFrom);
    BOOST_TEST_REQUIRE(heartbeat->sender.version <=
                       HeartbeatCodec::kMaxVersion);
    // Only a few members are added, because each one is part of every later
    // evaluation.
    if (accepted % 200 == 0 && heartbeat->sender.details) {
      protocol.OnHeartbeat(
        { heartbeat->sender.details->host, heartbeat->sender.incarnation },
        bytes);
      protocol.Tick();
      clock.Advance(kHeartbeatTickInterval);
      BOOST_TEST_REQUIRE((protocol.View() != nullptr));
    }
  }
  BOOST_TEST_MESSAGE("accepted " << accepted << " of " << kInputs);
  BOOST_TEST(accepted > 0);
  BOOST_TEST(accepted < kInputs / 2);
}

// Guards against records that rename hosts or exceed the bounds although each
// part is well-formed.
BOOST_AUTO_TEST_CASE(HeartbeatsOutOfBoundsAreRefused)
{
  SeededRandom random(14);
  const auto refuses = [&](const std::function<void(Heartbeat&)>& aChange) {
    Heartbeat heartbeat;
    heartbeat.sender = RandomRecord(random);
    heartbeat.updates = { RandomRecord(random) };
    const auto before = HeartbeatCodec::Encode(heartbeat);
    aChange(heartbeat);
    return HeartbeatCodec::Decode(before).has_value() &&
           !HeartbeatCodec::Decode(HeartbeatCodec::Encode(heartbeat));
  };
  BOOST_TEST(refuses([](Heartbeat& aHeartbeat) {
    aHeartbeat.receivedFrom.resize(HeartbeatCodec::kMaxReceivedFrom + 1);
  }));
  BOOST_TEST(refuses([](Heartbeat& aHeartbeat) {
    aHeartbeat.detailRequests.resize(HeartbeatCodec::kMaxDetailRequests + 1);
  }));
  BOOST_TEST(refuses([](Heartbeat& aHeartbeat) {
    aHeartbeat.updates.resize(HeartbeatCodec::kMaxUpdates + 1);
  }));
  BOOST_TEST(refuses([](Heartbeat& aHeartbeat) {
    aHeartbeat.updates[0].disconnectedPartners.resize(
      HeartbeatCodec::kMaxDisconnectedPartners + 1);
  }));
  BOOST_TEST(refuses([](Heartbeat& aHeartbeat) {
    aHeartbeat.updates[0].version = HeartbeatCodec::kMaxVersion + 1;
  }));
  BOOST_TEST(refuses([](Heartbeat& aHeartbeat) {
    aHeartbeat.updates[0].details.emplace().host = "another host";
  }));
  BOOST_TEST(refuses([](Heartbeat& aHeartbeat) {
    HostDetails& details = aHeartbeat.updates[0].details.emplace();
    details.host.assign(HeartbeatCodec::kMaxNameBytes + 1, 'x');
    aHeartbeat.updates[0].id = HostId(details.host);
  }));
}

// Guards against crashes before the MAC is checked, and against messages that
// are accepted with a wrong MAC.
BOOST_AUTO_TEST_CASE(SealedMessagesFromAnyInputAreRefused)
{
  SeededRandom random(15);
  const SealedMessageCodec codec("secret");
  SealedMessage message;
  message.sender = { "host", 1 };
  message.payload = "payload of some bytes";
  const std::string valid = codec.Seal(message, kReceiver);
  for (int i = 0; i < kInputs; ++i) {
    const std::string bytes =
      i % 4 == 0 ? RandomBytes(random) : Mutate(valid, random);
    const auto opened = codec.Open(bytes, kReceiver);
    // A longer encoding of a length is the only change that keeps the content.
    BOOST_TEST_REQUIRE((!opened || opened->payload == message.payload));
  }
}

// Guards against crashes after the MAC was verified, on messages of a faulty
// host.
BOOST_AUTO_TEST_CASE(AuthenticMessagesWithAnyBodyAreOpenedOrRefused)
{
  SeededRandom random(16);
  const SealedMessageCodec codec("secret");
  SealedMessage message;
  message.sender = { "host", 1 };
  message.payload = "payload of some bytes";
  const std::string valid = codec.Seal(message, kReceiver);
  // The body follows the MAC and the header of its own byte string.
  const std::string body = valid.substr(valid.find('\x88'));
  BOOST_TEST_REQUIRE(codec.Open(SealBody(body), kReceiver).has_value());
  int accepted = 0;
  for (int i = 0; i < kInputs; ++i) {
    const std::string bytes =
      SealBody(i % 4 == 0 ? RandomBytes(random) : Mutate(body, random));
    const auto opened = codec.Open(bytes, kReceiver);
    if (opened) {
      ++accepted;
      BOOST_TEST_REQUIRE(!opened->sender.host.empty());
      BOOST_TEST_REQUIRE(opened->payload.size() <= kMaxControlPayloadBytes);
    }
  }
  BOOST_TEST_MESSAGE("accepted " << accepted << " of " << kInputs);
  BOOST_TEST(accepted > 0);
}

BOOST_AUTO_TEST_SUITE_END()
