#pragma once

#include "balancing/AttemptResult.h"
#include "balancing/Selection.h"
#include "catalog/CatalogVersion.h"
#include "http/HttpMessage.h"
#include "quota/QuotaMessages.h"

#include <variant>

namespace filbertbeam {

// The newest versions that a host has read from the catalog.
struct KnownVersions
{
  CatalogVersion configuration;
  // Version of the last change to the entry of a backend server.
  CatalogVersion directory;

  bool operator==(const KnownVersions&) const = default;
};

// Sent by an entry host to the owner of a shard to request a backend server.
struct SelectionQuery
{
  // Chosen by the entry host and copied into the response.
  std::uint64_t queryId = 0;
  SelectionRequest request;
  KnownVersions known;
};

struct SelectionResponse
{
  std::uint64_t queryId = 0;
  SelectionResult result;
  KnownVersions known;
  // The request waits at the owner for a free slot; another response follows.
  // The entry host repeats the query while it waits.
  bool isWaiting = false;
};

// Result of the attempt with the ticket.
struct TicketResult
{
  std::uint64_t ticket = 0;
  AttemptResult result = AttemptResult::Unused;
};

struct SelectionReport
{
  // Encoding a message drops further results.
  static constexpr std::size_t kMaxResults = 32;

  std::vector<TicketResult> results;
};

// Sent by an entry host that made a selection without waiting longer for the
// response to its query.
struct SelectionCancellation
{
  std::uint64_t queryId = 0;
};

// Announces that a host is alive at the address of the sender.
struct HostAnnouncement
{
  std::string host;
  std::string domain;
  // Processor capacity that the host may use.
  double processorCores = 0;
  // Asks the receiver to announce itself in return.
  bool isResponseWanted = false;
};

// Sent by the host that watches the catalog on behalf of its failure domain.
struct WatcherHeartbeat
{
  std::string host;
  // False while the catalog does not respond to the host, or has not yet
  // responded since the host began to watch it. Its snapshot may then
  // initialize a host that has read nothing yet, but others must not rely on
  // its updates.
  bool isCatalogReachable = true;
  KnownVersions known;
  // The host has read all changes of the catalog up to these versions.
  KnownVersions readUpTo;
  // The host knows each change after these versions.
  KnownVersions historyBegin;
  // How long ago the catalog last responded to the host, or to a watcher that
  // ranks before it, as that one has reported.
  Duration catalogAge = Duration::max();
  // How long ago a response of the catalog last showed, to the host or to one
  // that it heard, that its configuration was the newest.
  Duration configurationAge = Duration::max();
  // Port at the sender's address that serves snapshots of what the host has
  // read.
  std::uint16_t snapshotPort = 0;
};

using SelectionMessage = std::variant<SelectionQuery,
                                      SelectionResponse,
                                      SelectionReport,
                                      SelectionCancellation,
                                      HostAnnouncement,
                                      WatcherHeartbeat,
                                      QuotaQuery,
                                      QuotaResponse>;

// Encodes one datagram as CBOR.
std::string
EncodeSelectionMessage(const SelectionMessage& aMessage);

// Returns nothing if the bytes are not a message of this protocol version.
std::optional<SelectionMessage>
DecodeSelectionMessage(ByteView aBytes);

} // namespace filbertbeam
