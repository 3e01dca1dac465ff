#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace filbertbeam {

// What an entry host asks of the home host of one workspace.
struct QuotaDemand
{
  std::string workspace;
  // Requests that wait for a token.
  std::uint32_t wanted = 0;
  // Tokens of this home whose requests were not sent to any server.
  std::uint32_t returned = 0;
  // The entry host was granted tokens by another home less than a window ago.
  bool hasChangedHome = false;

  bool operator==(const QuotaDemand&) const = default;
};

enum class QuotaStatus : std::uint8_t
{
  Decided,
  // The receiver is not the home host of the workspace in its own view.
  NotHome,
  // The receiver's configuration does not contain the workspace.
  UnknownWorkspace,
};

struct QuotaGrant
{
  std::string workspace;
  QuotaStatus status = QuotaStatus::Decided;
  // Tokens; each admits one request.
  std::uint32_t granted = 0;
  // When a refused request finds a token, if those refused before it return at
  // their times.
  Duration retryAfter{};
  // The bucket has no token before this time has passed.
  Duration emptyFor{};

  bool operator==(const QuotaGrant&) const = default;
};

// Sent by an entry host to the home host of the workspaces.
struct QuotaQuery
{
  // Larger messages are split.
  static constexpr std::size_t kMaxDemands = 32;

  // Chosen by the entry host and copied into the response.
  std::uint64_t queryId = 0;
  std::string host;
  std::string domain;
  // The host that the sender last passed over since it did not respond; empty
  // if there is none.
  std::string missedHome;
  std::vector<QuotaDemand> demands;
};

struct QuotaResponse
{
  std::uint64_t queryId = 0;
  std::vector<QuotaGrant> grants;
};

} // namespace filbertbeam
