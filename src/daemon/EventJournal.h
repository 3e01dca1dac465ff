#pragma once

#include "base/EventSink.h"

#include <QObject>

#include <chrono>
#include <deque>
#include <string>
#include <vector>

namespace filbertbeam {

struct JournalEvent
{
  std::chrono::system_clock::time_point time;
  EventSubject subject = EventSubject::Host;
  std::string name;
  std::string text;
};

// Keeps the latest events of this host for "explain". Events of other threads
// are posted to the thread that creates the journal; only that thread may read
// it.
class EventJournal final : public EventSink
{
public:
  void Record(EventSubject aSubject,
              std::string_view aName,
              std::string_view aText) override;

  // Returns the events of aSubject with this name, newest last.
  std::vector<JournalEvent> Find(EventSubject aSubject,
                                 std::string_view aName) const;

private:
  void Append(JournalEvent aEvent);

  QObject context_;
  std::deque<JournalEvent> events_;
};

} // namespace filbertbeam
