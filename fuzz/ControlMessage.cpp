#include "membership/HeartbeatCodec.h"
#include "membership/SealedMessage.h"

#include <cstddef>
#include <cstdint>

// Fuzzes messages between hosts. Any bytes may arrive before the MAC is
// checked, and a host that has the secret may still send a malformed payload.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize) // NOLINT
{
  using namespace filbertbeam;
  static const SealedMessageCodec codec("secret of the fuzzer");
  static const Endpoint receiver{ "127.0.0.1", 1 };
  const ByteView bytes(reinterpret_cast<const char*>(aData), aSize);
  codec.Open(bytes, receiver);
  HeartbeatCodec::Decode(bytes);
  return 0;
}
