#include "gateway/PeerData.h"

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;

BOOST_AUTO_TEST_SUITE(DataForPeers)

BOOST_AUTO_TEST_CASE(IsUnpackedAsItWasPacked)
{
  const std::string text = "{\"events\":\"" + std::string(100'000, 'x') + "\"}";
  const std::string packed = PackPeerData(text);
  BOOST_TEST(packed.size() < text.size() / 10);
  BOOST_TEST(UnpackPeerData(packed).value_or("") == text);
}

BOOST_AUTO_TEST_CASE(IsPackedOnlyOnRequest)
{
  BOOST_TEST(AcceptsPackedData(PackedTarget("/")));
  BOOST_TEST(AcceptsPackedData(PackedTarget("/changes?a=1")));
  BOOST_TEST(!AcceptsPackedData("/"));
  BOOST_TEST(!AcceptsPackedData("/changes?a=1"));
}

// Guards against a host that cannot read the responses of peers that still run
// an earlier version.
BOOST_AUTO_TEST_CASE(MayBePlainText)
{
  BOOST_TEST(UnpackPeerData("{}").value_or("") == "{}");
}

// Guards against a damaged response that ends the process or claims all of its
// memory.
BOOST_AUTO_TEST_CASE(ThatIsDamagedIsRefused)
{
  const std::string packed = PackPeerData("{\"a\":1}");
  for (std::size_t length = 0; length < packed.size(); ++length) {
    BOOST_TEST(!UnpackPeerData(packed.substr(0, length)).has_value());
  }
  BOOST_TEST(!UnpackPeerData("not ready\n").has_value());
  // A small response that becomes a large text.
  std::string large;
  large.resize(20'000'000, ' ');
  BOOST_TEST(!UnpackPeerData(PackPeerData(large)).has_value());
  BOOST_TEST(
    !UnpackPeerData(std::string("\x7f\xff\xff\xff", 4) + packed.substr(4))
       .has_value());
}

// Guards against a watcher that encodes the same changes for each of its
// followers.
BOOST_AUTO_TEST_CASE(IsEncodedOnceForAllFollowers)
{
  PeerResponseCache cache;
  int encoded = 0;
  const auto encode = [&encoded] { return std::to_string(++encoded); };
  for (int i = 0; i < 87; ++i) {
    BOOST_TEST(cache.Get("7", "/changes?a=1", encode) == "1");
  }
  BOOST_TEST(cache.Get("7", "/changes?a=2", encode) == "2");
  BOOST_TEST(cache.Get("8", "/changes?a=1", encode) == "3");
  for (int i = 0; i < 100; ++i) {
    cache.Get("8", "/changes?a=" + std::to_string(i), encode);
  }
  BOOST_TEST(cache.Get("8", "/changes?a=1", encode) == "103");
}

BOOST_AUTO_TEST_SUITE_END()
