#pragma once

#include "base/Findings.h"
#include "configuration/Configuration.h"
#include "configuration/JsonField.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace filbertbeam {

// Reads the operators' JSON into Configuration::Content. Call Add for each
// file, then Finish once. Any bytes are acceptable as input: what is wrong with
// them becomes findings.
class ConfigurationReader
{
public:
  // Upper limits of what a file may state.
  static constexpr std::size_t kMaxFileBytes = 64ULL * 1024 * 1024;
  static constexpr double kMinFloor = 0.5;
  // Ten times the target peak of the whole fleet: no fleet can keep a greater
  // promise to one customer.
  static constexpr double kMaxRequestsPerSecond = 1'000'000;
  static constexpr int kMaxSlots = 10'000;
  static constexpr int kMaxConnections = 65'535;

  // aSource names the text in findings.
  void Add(std::string_view aSource, std::string_view aText);

  // Checks what spans files. Empty when there is any finding.
  std::optional<Configuration::Content> Finish();

  // All findings so far: per file in the order of the text, then references to
  // unknown services.
  const Findings& Faults() const { return findings_; }

private:
  struct Location
  {
    int source = 0;
    int line = 0;
  };
  // A mention of a service, checked when all files are read.
  struct Reference
  {
    Location location;
    // Index within the list of the file, and within the list of content_.
    int indexInFile = 0;
    int index = 0;
    // Index within the contract's services; -1 for a route.
    int serviceIndex = -1;
  };
  using Locations = std::unordered_map<std::string, Location>;

  void ReadService(const JsonField& aObject);
  void ReadBackendServer(const JsonField& aObject, Service& aService);
  void ReadRoute(const JsonField& aObject);
  void ReadContract(const JsonField& aObject);
  void ReadKeys(const JsonField& aObject, Contract& aContract);
  void CheckUnique(const JsonField& aObject,
                   Locations& aLocations,
                   const std::string& aKey,
                   std::string_view aWhat);
  void CheckReferences();
  // Of a value in the file that is being read.
  Location LocationOf(const JsonField& aField) const;
  std::string FormatLocation(const Location& aLocation) const;

  Findings findings_;
  Configuration::Content content_;
  std::vector<std::string> sources_;
  std::vector<Reference> references_;
  Locations services_;
  Locations routes_;
  Locations customers_;
  Locations keys_;
  // Region of each domain, to find a domain that is said to be in two.
  std::unordered_map<std::string, std::string> regionOfDomain_;
};

} // namespace filbertbeam
