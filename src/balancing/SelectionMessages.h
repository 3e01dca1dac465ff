#pragma once

#include "balancing/AttemptResult.h"
#include "balancing/Selection.h"
#include "http/HttpMessage.h"

#include <variant>

namespace filbertbeam {

// The newest versions that a host has read from the catalog.
struct KnownVersions
{
  std::uint64_t configuration = 0;
  // Of the last change of a backend server's entry.
  std::uint64_t directory = 0;
};

// An entry host asks the owner of a service for a backend server.
struct SelectionQuery
{
  // Chosen by the entry host; the answer extraAttempts it.
  std::uint64_t queryId = 0;
  SelectionRequest request;
  KnownVersions known;
};

struct SelectionResponse
{
  std::uint64_t queryId = 0;
  SelectionResult result;
  KnownVersions known;
};

// The attempt of a ticket ended.
struct TicketResult
{
  std::uint64_t ticket = 0;
  AttemptResult result = AttemptResult::Unused;
};

struct SelectionReport
{
  // More that have ended are left out of one message.
  static constexpr std::size_t kMaxResults = 32;

  std::vector<TicketResult> results;
};

// An entry host chose without the answer to its queryId.
struct SelectionCancellation
{
  std::uint64_t queryId = 0;
};

// A host lives. Its address is the sender's.
struct HostAnnouncement
{
  std::string host;
  std::string domain;
  // Processor that it may use.
  double processorCores = 0;
  // The receiver is to say the same.
  bool isResponseWanted = false;
};

// A host watches the catalog for the others of its failure domain.
struct WatcherHeartbeat
{
  std::string host;
  // False while the catalog does not answer it: it can tell what it knows to
  // one that knows nothing, but must not be followed.
  bool isCatalogReachable = true;
  KnownVersions known;
  // It knows all changes of the catalog up to these revisions.
  KnownVersions readUpTo;
  // Where it tells what it has read, at the sender's address.
  std::uint16_t snapshotPort = 0;
};

using SelectionMessage = std::variant<SelectionQuery,
                                      SelectionResponse,
                                      SelectionReport,
                                      SelectionCancellation,
                                      HostAnnouncement,
                                      WatcherHeartbeat>;

// One datagram, in CBOR.
std::string
EncodeSelectionMessage(const SelectionMessage& aMessage);

// Nothing when the bytes are no message of this version.
std::optional<SelectionMessage>
DecodeSelectionMessage(ByteView aBytes);

} // namespace filbertbeam
