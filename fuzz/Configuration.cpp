#include "configuration/ConfigurationHead.h"
#include "configuration/ConfigurationReader.h"

#include <cstddef>
#include <cstdint>
#include <string>

// Files of operators, and the head as another host or the store gives it.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize) // NOLINT
{
  using namespace filbertbeam;
  const std::string_view text(reinterpret_cast<const char*>(aData), aSize);
  ConfigurationReader reader;
  reader.Add("fuzz.json", text);
  reader.Finish();
  std::string reason;
  ConfigurationHead::Parse(text, reason);
  return 0;
}
