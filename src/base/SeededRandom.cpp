#include "base/SeededRandom.h"

namespace filbertbeam {

namespace {

std::uint64_t
SystemSeed()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

} // namespace

SeededRandom::SeededRandom(std::uint64_t aSeed)
  : engine_(aSeed)
{
}

SeededRandom::SeededRandom()
  : engine_(SystemSeed())
{
}

std::uint64_t
SeededRandom::Next()
{
  return engine_();
}

} // namespace filbertbeam
