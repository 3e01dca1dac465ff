#pragma once

#include <bitset>
#include <cstdint>

namespace filbertbeam {

// Records which of the newest numbers of one sender were received.
class ReplayWindow
{
public:
  static constexpr std::uint64_t kSize = 4096;

  // Returns false for a number that was received before or is too old to check.
  bool Insert(std::uint64_t aNumber);

private:
  bool isEmpty_ = true;
  std::uint64_t highest_ = 0;
  std::bitset<kSize> received_;
};

} // namespace filbertbeam
