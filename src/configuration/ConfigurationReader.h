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

// Parses and validates the operators' JSON into Configuration::Content. Add is
// called for each file, then Finish once. Input may be arbitrary bytes: every
// fault in it is reported as a finding.
class ConfigurationReader
{
public:
  // Limits of a file and of the values in it.
  static constexpr std::size_t kMaxFileBytes = 64ULL * 1024 * 1024;
  static constexpr double kMinFloor = 0.5;
  // Ten times the target peak of the whole fleet: no fleet could serve a
  // greater promised rate of one customer.
  static constexpr double kMaxRequestsPerSecond = 1'000'000;
  static constexpr int kMaxSlots = 10'000;
  static constexpr int kMaxConnections = 65'535;

  // Reads one file; aSource names it in findings.
  void Add(std::string_view aSource, std::string_view aText);

  // Checks the references across files and returns the content; empty if there
  // is any finding.
  std::optional<Configuration::Content> Finish();

  // All findings so far: those of each file in the order of its text, then
  // references to unknown services.
  const Findings& Faults() const { return findings_; }

private:
  struct Location
  {
    int source = 0;
    int line = 0;
  };
  // A reference to a service, checked after all files have been read.
  struct Reference
  {
    Location location;
    // Index of the route or contract in the list of its file, and in the list
    // of content_.
    int indexInFile = 0;
    int index = 0;
    // Index in the contract's list of services; -1 for a route.
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
  // Returns the location of a value in the file that is being read.
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
  // Region of each domain, to find domains that are listed in two regions.
  std::unordered_map<std::string, std::string> regionOfDomain_;
};

} // namespace filbertbeam
