#pragma once

#include "base/Clock.h"

#include <array>
#include <cstddef>

namespace filbertbeam {

// The latest samples of one backend server with their instants; the oldest one
// is overwritten.
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

  // aIndex 0 is the newest sample.
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
