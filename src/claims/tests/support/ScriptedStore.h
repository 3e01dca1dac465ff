#pragma once

#include "store/MemoryObjectStore.h"

namespace filbertbeam {

enum class CallFault
{
  None,
  // The call fails before a byte is sent.
  Refused,
  // The call fails without taking effect, but the caller cannot detect that.
  LostRequest,
  // The call fails, but a write takes effect.
  LostResponse,
  // The call fails, and a write takes effect only when ApplyLateWrites is
  // called.
  Late,
};

// Forwards calls to a store and injects the fault that a script returns for
// each call.
class ScriptedStore final : public ObjectStore
{
public:
  // Returns the fault of a call. aCall is the number of the call, from 0.
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
    savedFaults_ = store_.Faults();
    if (fault == CallFault::None) {
      return;
    }
    StoreFaults faults = savedFaults_;
    if (aIsWrite && fault == CallFault::LostResponse) {
      faults.lostWriteResponses = 1;
    } else if (aIsWrite && fault == CallFault::Late) {
      faults.lateWrites = 1;
    } else {
      faults.isUnavailable = true;
      faults.isConnectionRefused = fault == CallFault::Refused;
    }
    store_.SetFaults(faults);
  }
  // MemoryObjectStore reads its faults when a call starts, so they can be
  // restored right after it.
  void ClearFault() { store_.SetFaults(savedFaults_); }

  MemoryObjectStore& store_;
  Script script_;
  StoreFaults savedFaults_;
  int calls_ = 0;
};

} // namespace filbertbeam
