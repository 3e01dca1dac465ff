#pragma once

#include "limits/CustomerLimiter.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace filbertbeam {

// CBOR payloads of demand reports and share grants: arrays of [customer,
// requests per second] pairs. Decoding accepts any bytes and returns nothing if
// they are not such a message.
std::string
EncodeDemands(std::span<const CustomerDemand> aDemands);
std::optional<std::vector<CustomerDemand>>
DecodeDemands(std::span<const char> aPayload);

std::string
EncodeShares(std::span<const ShareGrant> aShares);
std::optional<std::vector<ShareGrant>>
DecodeShares(std::span<const char> aPayload);

} // namespace filbertbeam
