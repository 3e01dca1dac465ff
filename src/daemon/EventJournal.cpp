#include "daemon/EventJournal.h"

#include <utility>

namespace filbertbeam {

namespace {

// Limits the journal to about 1 MB at 250 bytes per event.
constexpr std::size_t kMaxEvents = 4'000;

} // namespace

void
EventJournal::Record(EventSubject aSubject,
                     std::string_view aName,
                     std::string_view aText)
{
  JournalEvent event{ std::chrono::system_clock::now(),
                      aSubject,
                      std::string(aName),
                      std::string(aText) };
  QMetaObject::invokeMethod(
    &context_,
    [this, event = std::move(event)]() mutable { Append(std::move(event)); },
    Qt::AutoConnection);
}

std::vector<JournalEvent>
EventJournal::Find(EventSubject aSubject, std::string_view aName) const
{
  std::vector<JournalEvent> found;
  for (const JournalEvent& event : events_) {
    if (event.subject == aSubject && event.name == aName) {
      found.push_back(event);
    }
  }
  return found;
}

void
EventJournal::Append(JournalEvent aEvent)
{
  events_.push_back(std::move(aEvent));
  if (events_.size() > kMaxEvents) {
    events_.pop_front();
  }
}

} // namespace filbertbeam
