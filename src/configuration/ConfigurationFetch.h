#pragma once

#include "base/Clock.h"
#include "configuration/BackgroundWorker.h"
#include "configuration/Configuration.h"
#include "configuration/ConfigurationHead.h"
#include "configuration/ConfigurationParts.h"
#include "configuration/ConfigurationSource.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace filbertbeam {

// One attempt to fetch a complete configuration from one source. Verified parts
// are kept when the attempt fails, so that the next one fetches only the rest.
class ConfigurationFetch
  : public std::enable_shared_from_this<ConfigurationFetch>
{
public:
  using Parts =
    std::map<std::string, std::shared_ptr<const std::string>, std::less<>>;

  struct Result
  {
    // Null if the attempt failed.
    std::shared_ptr<const Configuration> configuration;
    ConfigurationHead head;
    std::string headText;
    // The reason for the failure.
    std::string reason;
    // True if the source sent a valid head, but its revision is not greater
    // than aAboveRevision.
    bool isStale = false;
  };
  using Callback = std::function<void(Result)>;

  // aParts holds the parts that need not be fetched; every verified part is
  // added to it. aRunner runs the joining of the parts. aClock has to outlive
  // the object.
  static std::shared_ptr<ConfigurationFetch> Create(
    const Clock& aClock,
    std::shared_ptr<ConfigurationSource> aSource,
    std::uint64_t aAboveRevision,
    std::shared_ptr<Parts> aParts,
    WorkRunner aRunner = &RunInline);

  // Calls aCallback once, possibly during this call, unless the object is
  // destroyed before. Fetches the head first if there is no aHeadText.
  void Start(std::optional<std::string> aHeadText, Callback aCallback);

  const ConfigurationSource& Source() const { return *source_; }
  Instant StartedAt() const { return startedAt_; }
  // The time of the last response of the source.
  Instant LastProgressAt() const { return lastProgressAt_; }
  // The number of parts that this attempt has fetched and verified.
  int FetchedParts() const { return fetchedParts_; }
  // True once all parts are available, so that no response is pending.
  bool IsJoining() const { return isJoining_; }

private:
  ConfigurationFetch(const Clock& aClock,
                     std::shared_ptr<ConfigurationSource> aSource,
                     std::uint64_t aAboveRevision,
                     std::shared_ptr<Parts> aParts,
                     WorkRunner aRunner);

  void OnHead(const std::string& aText);
  void RequestParts();
  void JoinParts();
  void OnPart(const ConfigurationPartReference& aReference,
              const ConfigurationSource::Response& aResponse);
  void Finish(Result aResult);
  void Fail(std::string aReason, bool aIsStale = false);

  const Clock& clock_;
  std::shared_ptr<ConfigurationSource> source_;
  std::uint64_t aboveRevision_;
  std::shared_ptr<Parts> parts_;
  WorkRunner runner_;
  Callback callback_;
  ConfigurationHead head_;
  std::string headText_;
  std::size_t nextPart_ = 0;
  int openRequests_ = 0;
  int fetchedParts_ = 0;
  bool isRequesting_ = false;
  bool isJoining_ = false;
  Instant startedAt_;
  Instant lastProgressAt_;
};

} // namespace filbertbeam
