#include "http/HttpRequestParser.h"

#include <cstddef>
#include <cstdint>

// Fuzzes the parser of callers' requests.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize) // NOLINT
{
  using namespace filbertbeam;
  constexpr std::size_t kHeadLimit = 16 * 1024;
  constexpr std::uint64_t kBodyLimit = 64 * 1024;
  HttpRequestParser parser(kHeadLimit, kBodyLimit);
  parser.Reset();
  ByteView input(reinterpret_cast<const char*>(aData), aSize);
  while (true) {
    std::size_t consumed = 0;
    const HttpParseStep step = parser.Parse(input, consumed);
    input = input.subspan(consumed);
    if (step == HttpParseStep::NeedMore || step == HttpParseStep::Failed) {
      return 0;
    }
    if (step == HttpParseStep::End) {
      parser.Reset();
    }
  }
}
