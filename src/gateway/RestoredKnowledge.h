#pragma once

#include "catalog/ObjectCatalog.h"
#include "gateway/KnownDepartures.h"
#include "store/PlatformClient.h"

#include <QTimer>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace filbertbeam {

// What a host knows and a catalog that was restored from an older copy does
// not show. Empty in calm.
struct RestoredKnowledge
{
  // The configuration in force, if the catalog shows an older one.
  std::optional<CatalogObject> configuration;
  // For how long the departures count against the catalog's word.
  std::chrono::milliseconds remaining{ 0 };
  std::vector<KnownDeparture> departures;
};

// The target of a request to a peer for its RestoredKnowledge.
inline constexpr std::string_view kRestoredKnowledgePath = "/restored";

std::string
EncodeRestoredKnowledge(const RestoredKnowledge& aKnowledge);

// Returns nothing if the text is not an encoding.
std::optional<RestoredKnowledge>
DecodeRestoredKnowledge(std::string_view aText);

// Asks peers, one after the other until one responds, for what they know
// against the catalog's word. A host that starts does so before it is ready:
// the catalog alone does not tell that it shows an older state.
class RestoredKnowledgeClient
{
public:
  // Receives nothing if no peer responded in time.
  using Handler = std::function<void(std::optional<RestoredKnowledge>)>;

  RestoredKnowledgeClient(const std::vector<Endpoint>& aPeers,
                          Handler aOnResult);

  // The handler runs once, at once if there are no peers.
  void Start();
  // True from when the handler has been called.
  bool IsDone() const { return isDone_; }

private:
  void Request();
  void OnReply(const PlatformReply& aReply);
  void Finish(std::optional<RestoredKnowledge> aKnowledge);

  const std::size_t peers_;
  const Handler onResult_;
  PlatformClient client_;
  std::size_t requests_ = 0;
  bool isDone_ = false;
  QTimer deadline_;
};

} // namespace filbertbeam
