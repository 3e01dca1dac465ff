#pragma once

#include "base/EventSink.h"

#include <string_view>

namespace filbertbeam::testing {

// An event sink that discards all events.
class NullEventSink final : public EventSink
{
public:
  void Record(EventSubject, std::string_view, std::string_view) override {}
};

} // namespace filbertbeam::testing
