#pragma once

namespace filbertbeam {

// Exact count of the slots of one backend server that its owner has in use.
class ServerSlots
{
public:
  // Fewer slots than are in use take no running request away; no slot is free
  // until enough of them finished.
  void SetSlots(int aSlots);

  // Free slots, where at most aLimit may be in use.
  int Free(int aLimit) const;
  int Free() const { return Free(slots_); }

  // Takes a free slot; false when there is none.
  bool TryTake();
  void Release();

  int Slots() const { return slots_; }
  int Used() const { return used_; }

private:
  int slots_ = 0;
  int used_ = 0;
};

} // namespace filbertbeam
