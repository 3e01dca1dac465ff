#pragma once

#include <string>
#include <vector>

namespace filbertbeam::testing {

// Returns status lines whose status is not one of 100 to 599 with three digits.
inline std::vector<std::string>
BadStatusLines()
{
  return {
    "HTTP/1.1 000 X",        "HTTP/1.1 000",     "HTTP/1.1 099 X",
    "HTTP/1.1 600 X",        "HTTP/1.1 999 X",   "HTTP/1.1 0",
    "HTTP/1.1 00 ",          "HTTP/1.1 0200 OK", "HTTP/1.1 -01 X",
    "HTTP/1.1 -200 OK",      "HTTP/1.1 +20 OK",  "HTTP/1.1 2000",
    "HTTP/1.1 2000 OK",      "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK",
    "HTTP/1.1 2 00 OK",      "HTTP/1.1 20 OK",   "HTTP/1.1 2x0 OK",
    "HTTP/1.1 200OK",        "HTTP/1.1 ",        "HTTP/1.1",
    "HTTP/1.1 4294967496 X", "HTTP/1.0 000 X",   "HTTP/1.0 0",
  };
}

} // namespace filbertbeam::testing
