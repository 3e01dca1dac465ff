#pragma once

#include <cstddef>

namespace filbertbeam {

// Limits the memory that many buffers take together. Not thread-safe.
class MemoryBudget
{
public:
  // aLimit is in bytes.
  explicit MemoryBudget(std::size_t aLimit)
    : limit_(aLimit)
  {
  }
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  std::size_t Limit() const { return limit_; }
  std::size_t Used() const { return used_; }

private:
  friend class MemoryReservation;

  const std::size_t limit_;
  std::size_t used_ = 0;
};

// The part of a budget that one owner of buffers has reserved. Returns it when
// it is destroyed; the budget has to outlive it.
class MemoryReservation
{
public:
  explicit MemoryReservation(MemoryBudget& aBudget)
    : budget_(&aBudget)
  {
  }
  MemoryReservation(MemoryReservation&& aOther) noexcept;
  ~MemoryReservation() { ShrinkTo(0); }
  MemoryReservation(const MemoryReservation&) = delete;
  MemoryReservation& operator=(const MemoryReservation&) = delete;
  MemoryReservation& operator=(MemoryReservation&&) = delete;

  std::size_t Bytes() const { return bytes_; }

  // Reserves aBytes in all. Keeps what is reserved and returns false if the
  // budget would then have less than aReserve bytes left.
  bool GrowTo(std::size_t aBytes, std::size_t aReserve = 0);
  // Returns what is reserved beyond aBytes.
  void ShrinkTo(std::size_t aBytes);
  // Adds what aOther has reserved to this reservation, of the same budget.
  void Take(MemoryReservation& aOther);

private:
  MemoryBudget* budget_;
  std::size_t bytes_ = 0;
};

} // namespace filbertbeam
