#pragma once

#include <QCoreApplication>

namespace filbertbeam {

// Processes the pending events. Several rounds are needed, since a response
// leads to the next call.
inline void
ProcessPendingEvents()
{
  for (int i = 0; i < 20; ++i) {
    QCoreApplication::processEvents();
  }
}

} // namespace filbertbeam
