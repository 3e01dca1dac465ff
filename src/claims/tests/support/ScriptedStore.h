#pragma once

#include "store/MemoryObjectStore.h"

namespace filbertbeam {

enum class CallFault
{
  None,
  // Fails before a byte was sent.
  Refused,
  // Fails without effect, but the caller cannot know.
  LostRequest,
  // A write takes effect, a read does not matter; either fails.
  LostAnswer,
  // A write fails and waits for ApplyLateWrites; a read fails.
  Late,
};

// Asks a script before every call what is to go wrong with it.
class ScriptedStore final : public ObjectStore
{
public:
  // aCall counts from 0.
  using Script = std::function<CallFault(int aCall, bool aIsWrite)>;

  explicit ScriptedStore(MemoryObjectStore& aStore)
    : store_(aStore)
  {
  }

  void SetScript(Script aScript)
  {
    script_ = std::move(aScript);
    calls_ = 0;
  }
  int Calls() const { return calls_; }

  void Get(std::string_view aKey, ObjectCallback aCallback) override
  {
    SetFault(false);
    store_.Get(aKey, std::move(aCallback));
    ClearFault();
  }
  void Create(std::string_view aKey,
              std::string_view aValue,
              VersionCallback aCallback) override
  {
    SetFault(true);
    store_.Create(aKey, aValue, std::move(aCallback));
    ClearFault();
  }
  void Update(std::string_view aKey,
              std::string_view aValue,
              std::uint64_t aExpectedVersion,
              VersionCallback aCallback) override
  {
    SetFault(true);
    store_.Update(aKey, aValue, aExpectedVersion, std::move(aCallback));
    ClearFault();
  }
  void Watch(std::string_view aKey,
             std::uint64_t aAfterVersion,
             std::chrono::milliseconds aTimeout,
             ObjectCallback aCallback) override
  {
    store_.Watch(aKey, aAfterVersion, aTimeout, std::move(aCallback));
  }
  void List(std::string_view aPrefix, ListCallback aCallback) override
  {
    store_.List(aPrefix, std::move(aCallback));
  }

private:
  void SetFault(bool aIsWrite)
  {
    const CallFault fault =
      script_ ? script_(calls_, aIsWrite) : CallFault::None;
    ++calls_;
    before_ = store_.Faults();
    if (fault == CallFault::None) {
      return;
    }
    StoreFaults faults = before_;
    if (aIsWrite && fault == CallFault::LostAnswer) {
      faults.lostWriteResponses = 1;
    } else if (aIsWrite && fault == CallFault::Late) {
      faults.lateWrites = 1;
    } else {
      faults.isAway = true;
      faults.isConnectionRefused = fault == CallFault::Refused;
    }
    store_.SetFaults(faults);
  }
  // MemoryObjectStore decides on its faults when the call is made.
  void ClearFault() { store_.SetFaults(before_); }

  MemoryObjectStore& store_;
  Script script_;
  StoreFaults before_;
  int calls_ = 0;
};

} // namespace filbertbeam
