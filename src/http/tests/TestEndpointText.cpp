#include "http/EndpointText.h"

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;

BOOST_AUTO_TEST_SUITE(Endpoints)

struct EndpointCase
{
  const char* text;
  const char* address;
  int port;
  const char* reason;
};

const EndpointCase kEndpoints[] = {
  { "127.0.0.1:8080", "127.0.0.1", 8080, "" },
  { "[::1]:8080", "::1", 8080, "" },
  { "", "", 0, "is not set" },
  { "127.0.0.1", "", 0, "has no port; write IP:PORT" },
  { "127.0.0.1:", "", 0, "has a malformed port; write IP:PORT" },
  { "127.0.0.1:70000", "", 0, "has a malformed port; write IP:PORT" },
  { "somewhere:80", "", 0, "has no IP address; write IP:PORT" },
};

// Guards against a text that is parsed as another address.
BOOST_AUTO_TEST_CASE(AreParsedFromTextAndFormatted)
{
  for (const EndpointCase& row : kEndpoints) {
    std::string reason;
    const std::optional<Endpoint> endpoint = ParseEndpoint(row.text, reason);
    BOOST_TEST(reason == row.reason);
    BOOST_TEST(endpoint.has_value() == (row.port != 0));
    if (endpoint) {
      BOOST_TEST(endpoint->address == row.address);
      BOOST_TEST(endpoint->port == row.port);
      BOOST_TEST(FormatEndpoint(*endpoint) == row.text);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
