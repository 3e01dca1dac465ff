#pragma once

#include "base/Random.h"
#include "catalog/ObjectCatalog.h"

#include <QTimer>

#include <functional>
#include <string>

namespace filbertbeam {

// Maintains the entry that a host writes about itself: retries the write until
// it succeeds, and removes the entry at the end.
class EntryRegistration
{
public:
  // The references have to outlive this object.
  EntryRegistration(ObjectCatalog& aCatalog,
                    Collection aCollection,
                    std::string aName,
                    Random& aRandom);

  // Writes the entry at once and retries after each failure.
  void Write(QJsonObject aContent);
  // True until the latest write has succeeded; a list may not contain the entry
  // yet.
  bool IsWriting() const { return isWriting_; }

  // Removes the entry; aDone is called whether that succeeds or not. Nothing is
  // written afterwards.
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
