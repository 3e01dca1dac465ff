#pragma once

#include "base/Random.h"
#include "catalog/ObjectCatalog.h"

#include <QTimer>

#include <functional>
#include <string>

namespace filbertbeam {

// Keeps the entry that a host writes about itself: writes it until that
// succeeds, and takes it out at the end.
class EntryRegistration
{
public:
  // References have to outlive the object.
  EntryRegistration(ObjectCatalog& aCatalog,
                    Collection aCollection,
                    std::string aName,
                    Random& aRandom);

  // Writes the entry, now and after each failure.
  void Write(QJsonObject aContent);
  // True until the last write has succeeded; a list need not show it yet.
  bool IsWriting() const { return isWriting_; }

  // Takes the entry out; aDone is called whether that succeeds or not. Nothing
  // is written afterwards.
  void Remove(std::function<void()> aDone);
  bool IsRemoved() const { return isRemoved_; }

private:
  void Send();

  ObjectCatalog& catalog_;
  const Collection collection_;
  const std::string name_;
  Random& random_;
  QJsonObject content_;
  bool isWriting_ = false;
  bool isRemoved_ = false;
  QTimer retryTimer_;
};

} // namespace filbertbeam
