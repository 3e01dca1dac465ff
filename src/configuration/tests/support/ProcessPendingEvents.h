#pragma once

#include <QCoreApplication>

namespace filbertbeam {

// Delivers what is under way without delay. Several rounds, since one answer
// leads to the next call.
inline void
ProcessPendingEvents()
{
  for (int i = 0; i < 20; ++i) {
    QCoreApplication::processEvents();
  }
}

} // namespace filbertbeam
