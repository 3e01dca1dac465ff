#include "base/MemoryBudget.h"

#include <utility>

namespace filbertbeam {

MemoryReservation::MemoryReservation(MemoryReservation&& aOther) noexcept
  : budget_(aOther.budget_)
  , bytes_(std::exchange(aOther.bytes_, 0))
{
}

bool
MemoryReservation::GrowTo(std::size_t aBytes, std::size_t aReserve)
{
  if (aBytes <= bytes_) {
    return true;
  }
  const std::size_t growth = aBytes - bytes_;
  const std::size_t left = budget_->limit_ - budget_->used_;
  if (aReserve > left || growth > left - aReserve) {
    return false;
  }
  budget_->used_ += growth;
  bytes_ = aBytes;
  return true;
}

void
MemoryReservation::ShrinkTo(std::size_t aBytes)
{
  if (aBytes < bytes_) {
    budget_->used_ -= bytes_ - aBytes;
    bytes_ = aBytes;
  }
}

void
MemoryReservation::Take(MemoryReservation& aOther)
{
  bytes_ += std::exchange(aOther.bytes_, 0);
}

} // namespace filbertbeam
