#pragma once

#include <string_view>

namespace filbertbeam {

enum class EventSubject
{
  Customer,
  BackendServer,
  Request,
  Host,
};

// Records decisions that operators may query later. Implementations are safe to
// call from any thread.
class EventSink
{
public:
  virtual ~EventSink() = default;

  virtual void Record(EventSubject aSubject,
                      std::string_view aName,
                      std::string_view aText) = 0;
};

} // namespace filbertbeam
