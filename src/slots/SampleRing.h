#pragma once

#include "base/Clock.h"

#include <array>
#include <cstddef>

namespace filbertbeam {

// Ring buffer of the latest samples of one backend server and their times; a
// new sample overwrites the oldest one.
template<std::size_t Capacity>
class SampleRing
{
public:
  struct Sample
  {
    Instant at;
    double value = 0;
  };

  void Add(Instant aAt, double aValue)
  {
    samples_[next_] = { aAt, aValue };
    next_ = (next_ + 1) % Capacity;
    size_ = size_ < Capacity ? size_ + 1 : Capacity;
  }

  std::size_t Size() const { return size_; }

  // Returns the sample at aIndex, where 0 is the newest one.
  const Sample& Newest(std::size_t aIndex) const
  {
    return samples_[(next_ + Capacity - 1 - aIndex) % Capacity];
  }

private:
  std::array<Sample, Capacity> samples_{};
  std::size_t next_ = 0;
  std::size_t size_ = 0;
};

} // namespace filbertbeam
