#include "claims/ClaimRecord.h"

#include "base/Digest.h"

#include <QByteArray>
#include <QCborMap>
#include <QCborValue>
#include <QString>

namespace filbertbeam {

namespace {

// Incremented when the meaning of a field changes, so that a host of an older
// release treats the record as undecided instead of misreading it.
constexpr int kRecordFormat = 1;

constexpr qint64 kFirstFinalStatus = 200;
constexpr qint64 kLastStatus = 599;

QLatin1String
Name(const char* aName)
{
  return QLatin1String(aName);
}

QByteArray
Bytes(const std::string& aText)
{
  return QByteArray(aText.data(), static_cast<qsizetype>(aText.size()));
}

// Returns null if the value is missing or has another type.
std::optional<std::string>
BytesOf(const QCborMap& aMap, const char* aName)
{
  const QCborValue value = aMap.value(Name(aName));
  if (!value.isByteArray()) {
    return {};
  }
  return value.toByteArray().toStdString();
}

std::optional<qint64>
IntegerOf(const QCborMap& aMap, const char* aName)
{
  const QCborValue value = aMap.value(Name(aName));
  if (!value.isInteger()) {
    return {};
  }
  return value.toInteger();
}

std::optional<ClaimState>
StateOf(const std::string& aName)
{
  if (aName == "undecided") {
    return ClaimState::Undecided;
  }
  if (aName == "ran") {
    return ClaimState::Ran;
  }
  if (aName == "released") {
    return ClaimState::Released;
  }
  return {};
}

const char*
StateName(ClaimState aState)
{
  switch (aState) {
    case ClaimState::Undecided:
      return "undecided";
    case ClaimState::Ran:
      return "ran";
    case ClaimState::Released:
      return "released";
  }
  return "undecided";
}

// Returns null if there is no status of a final response.
std::optional<int>
StatusOf(const QCborMap& aMap)
{
  const auto status = IntegerOf(aMap, "status");
  if (!status || *status < kFirstFinalStatus || *status > kLastStatus) {
    return {};
  }
  return static_cast<int>(*status);
}

std::optional<StoredResponse>
DecodeResponse(const QCborMap& aMap)
{
  const auto status = StatusOf(aMap);
  auto contentType = BytesOf(aMap, "content_type");
  auto body = BytesOf(aMap, "body");
  if (!status || !contentType || !body) {
    return {};
  }
  return StoredResponse{ *status, std::move(*contentType), std::move(*body) };
}

} // namespace

std::string
ClaimRecord::Encode() const
{
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  QCborMap map;
  map[Name("format")] = kRecordFormat;
  map[Name("fingerprint")] = Bytes(fingerprint);
  map[Name("host")] = Bytes(host);
  // Qt's CBOR integers are signed. Converting back yields the same unsigned
  // value.
  map[Name("incarnation")] = static_cast<qint64>(incarnation);
  map[Name("nonce")] = Bytes(nonce);
  map[Name("state")] = Bytes(StateName(state));
  map[Name("time_ms")] = static_cast<qint64>(
    duration_cast<milliseconds>(time.time_since_epoch()).count());
  if (state == ClaimState::Ran) {
    map[Name("status")] = status;
    if (response) {
      QCborMap responseMap;
      responseMap[Name("status")] = response->status;
      responseMap[Name("content_type")] = Bytes(response->contentType);
      responseMap[Name("body")] = Bytes(response->body);
      map[Name("response")] = responseMap;
    }
  }
  return QCborValue(map).toCbor().toStdString();
}

std::optional<ClaimRecord>
ClaimRecord::Decode(std::string_view aValue)
{
  QCborParserError error;
  const QCborValue value = QCborValue::fromCbor(
    QByteArray(aValue.data(), static_cast<qsizetype>(aValue.size())), &error);
  if (error.error != QCborError::NoError || !value.isMap()) {
    return {};
  }
  const QCborMap map = value.toMap();
  if (IntegerOf(map, "format") != kRecordFormat) {
    return {};
  }
  const auto fingerprint = BytesOf(map, "fingerprint");
  const auto host = BytesOf(map, "host");
  const auto incarnation = IntegerOf(map, "incarnation");
  const auto nonce = BytesOf(map, "nonce");
  const auto stateName = BytesOf(map, "state");
  const auto time = IntegerOf(map, "time_ms");
  if (!fingerprint || !host || !incarnation || !nonce || !stateName || !time) {
    return {};
  }
  const auto state = StateOf(*stateName);
  if (!state) {
    return {};
  }
  ClaimRecord record;
  record.fingerprint = *fingerprint;
  record.host = *host;
  record.incarnation = static_cast<std::uint64_t>(*incarnation);
  record.nonce = *nonce;
  record.state = *state;
  record.time = WallTime(std::chrono::milliseconds(*time));
  if (record.state == ClaimState::Ran) {
    const auto status = StatusOf(map);
    if (!status) {
      return {};
    }
    record.status = *status;
    const QCborValue responseMap = map.value(Name("response"));
    if (responseMap.isMap()) {
      record.response = DecodeResponse(responseMap.toMap());
      if (!record.response) {
        return {};
      }
    }
  }
  return record;
}

bool
ClaimRecord::IsSameAttempt(const ClaimRecord& aOther) const
{
  // The host and its incarnation are compared too, so that two hosts that draw
  // the same random numbers do not share a claim.
  return nonce == aOther.nonce && host == aOther.host &&
         incarnation == aOther.incarnation;
}

std::string
ClaimObjectKey(std::string_view aCustomer, std::string_view aIdempotencyKey)
{
  // The zero byte makes the keys of ("ab", "c") and ("a", "bc") differ.
  std::string name(aCustomer);
  name += '\0';
  name += aIdempotencyKey;
  return "claims/" + Sha256Hex(name);
}

std::optional<ClaimResult>
EvaluateExistingClaim(const std::optional<ClaimRecord>& aRecord,
                      std::string_view aFingerprint)
{
  ClaimResult result;
  if (!aRecord) {
    // The record is unreadable, so the earlier request may have run.
    result.decision = ClaimDecision::Undecided;
    result.reason = "the stored claim cannot be decoded";
    return result;
  }
  if (aRecord->fingerprint != aFingerprint) {
    result.decision = ClaimDecision::FingerprintMismatch;
    result.reason = "the key was used for another request";
    return result;
  }
  switch (aRecord->state) {
    case ClaimState::Undecided:
      result.decision = ClaimDecision::Undecided;
      result.reason = "an earlier request with this key is undecided";
      return result;
    case ClaimState::Ran:
      result.decision = ClaimDecision::AlreadyRan;
      result.status = aRecord->status;
      result.response = aRecord->response;
      result.reason = "an earlier request with this key ran";
      return result;
    case ClaimState::Released:
      break;
  }
  return {};
}

} // namespace filbertbeam
