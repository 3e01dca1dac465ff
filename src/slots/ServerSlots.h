#pragma once

namespace filbertbeam {

// Exact count of the slots of one backend server that requests of its owner
// use.
class ServerSlots
{
public:
  // Sets the number of slots. Where fewer slots remain than are in use, running
  // requests keep theirs, and no slot is free until enough of them have
  // finished.
  void SetSlots(int aSlots);

  // Returns the number of free slots if at most aLimit slots may be in use.
  int Free(int aLimit) const;
  int Free() const { return Free(slots_); }

  // Takes a free slot; returns false if there is none.
  bool TryTake();
  void Release();

  int Slots() const { return slots_; }
  int Used() const { return used_; }

private:
  int slots_ = 0;
  int used_ = 0;
};

} // namespace filbertbeam
