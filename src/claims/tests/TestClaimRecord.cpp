#include "base/Digest.h"
#include "base/SeededRandom.h"
#include "claims/ClaimRecord.h"
#include "claims/RetryBackoff.h"

#include <QByteArray>
#include <QCborMap>
#include <QCborValue>

#include <boost/test/unit_test.hpp>

#include <limits>

using namespace filbertbeam;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(ClaimRecords)

namespace {

ClaimRecord
SomeRecord(ClaimState aState)
{
  ClaimRecord record;
  record.fingerprint = "fingerprint";
  record.host = "host-1";
  record.incarnation = 0xfedcba9876543210ULL;
  record.nonce = "nonce";
  record.state = aState;
  record.time = WallTime(milliseconds(1'700'000'000'123));
  return record;
}

// Returns the value of aRecord with other statuses of its state and response.
std::string
WithStatuses(const ClaimRecord& aRecord, qint64 aStatus, qint64 aResponseStatus)
{
  const QLatin1String status("status");
  const QLatin1String response("response");
  QCborMap map =
    QCborValue::fromCbor(QByteArray::fromStdString(aRecord.Encode())).toMap();
  QCborMap responseMap = map.value(response).toMap();
  responseMap[status] = aResponseStatus;
  map[status] = aStatus;
  map[response] = responseMap;
  return QCborValue(map).toCbor().toStdString();
}

} // namespace

// Guards against a replayed response that differs from the original one.
BOOST_AUTO_TEST_CASE(EveryFieldSurvivesEncodingAndDecoding)
{
  ClaimRecord record = SomeRecord(ClaimState::Ran);
  record.status = 201;
  record.response = StoredResponse{ 201,
                                    "application/octet-stream",
                                    std::string("\0\xff\r\n", 4) };
  const auto decoded = ClaimRecord::Decode(record.Encode());
  BOOST_REQUIRE(decoded);
  BOOST_TEST(decoded->fingerprint == record.fingerprint);
  BOOST_TEST(decoded->host == record.host);
  BOOST_TEST(decoded->incarnation == record.incarnation);
  BOOST_TEST(decoded->nonce == record.nonce);
  BOOST_TEST((decoded->state == ClaimState::Ran));
  BOOST_TEST((decoded->time == record.time));
  BOOST_TEST(decoded->status == 201);
  BOOST_REQUIRE(decoded->response);
  BOOST_TEST(decoded->response->status == 201);
  BOOST_TEST(decoded->response->contentType == "application/octet-stream");
  BOOST_TEST((decoded->response->body == record.response->body));
}

// Guards against decoding a damaged record as a valid state.
BOOST_AUTO_TEST_CASE(DamagedValuesDoNotDecode)
{
  const std::string value = SomeRecord(ClaimState::Released).Encode();
  BOOST_TEST(ClaimRecord::Decode(value).has_value());
  for (std::size_t size = 0; size < value.size(); ++size) {
    BOOST_TEST(!ClaimRecord::Decode(value.substr(0, size)));
  }
  std::string unknownState = value;
  unknownState.replace(unknownState.find("released"), 8, "relocked");
  BOOST_TEST(!ClaimRecord::Decode(unknownState));
}

// Guards against a replayed response whose status is none, or becomes another
// one when it is converted.
BOOST_AUTO_TEST_CASE(RecordsWithAStatusThatDoesNotExistDoNotDecode)
{
  constexpr qint64 kWraps = (1LL << 32) + 200;
  ClaimRecord record = SomeRecord(ClaimState::Ran);
  record.status = 200;
  record.response = StoredResponse{ 200, "text/plain", "body" };
  for (const qint64 status :
       std::initializer_list<qint64>{ std::numeric_limits<qint64>::min(),
                                      -200,
                                      -1,
                                      0,
                                      1,
                                      99,
                                      100,
                                      199,
                                      600,
                                      999,
                                      kWraps,
                                      -kWraps,
                                      std::numeric_limits<qint64>::max() }) {
    BOOST_TEST_CONTEXT("status " << status)
    {
      BOOST_TEST(!ClaimRecord::Decode(WithStatuses(record, status, 200)));
      BOOST_TEST(!ClaimRecord::Decode(WithStatuses(record, 200, status)));
      BOOST_TEST(!ClaimRecord::Decode(WithStatuses(record, status, status)));
    }
  }
  for (const qint64 status : { 200, 204, 404, 500, 599 }) {
    BOOST_TEST(
      ClaimRecord::Decode(WithStatuses(record, status, status)).has_value());
  }
}

// Guards against a claim that two customers or two keys share.
BOOST_AUTO_TEST_CASE(ObjectKeysSeparateCustomerFromKey)
{
  BOOST_TEST(ClaimObjectKey("ab", "c") ==
             "claims/" + Sha256Hex(std::string("ab\0c", 4)));
  BOOST_TEST(ClaimObjectKey("ab", "c") != ClaimObjectKey("a", "bc"));
}

// Guards against a wrong decision for any state of an existing claim.
BOOST_AUTO_TEST_CASE(ExistingClaimsAreEvaluatedByStateAndFingerprint)
{
  struct Row
  {
    std::optional<ClaimRecord> record;
    const char* fingerprint;
    std::optional<ClaimDecision> decision;
  };
  const Row rows[] = {
    { SomeRecord(ClaimState::Undecided),
      "fingerprint",
      ClaimDecision::Undecided },
    { SomeRecord(ClaimState::Ran), "fingerprint", ClaimDecision::AlreadyRan },
    { SomeRecord(ClaimState::Released), "fingerprint", {} },
    { SomeRecord(ClaimState::Undecided),
      "other",
      ClaimDecision::FingerprintMismatch },
    { SomeRecord(ClaimState::Ran),
      "other",
      ClaimDecision::FingerprintMismatch },
    { SomeRecord(ClaimState::Released),
      "other",
      ClaimDecision::FingerprintMismatch },
    { {}, "fingerprint", ClaimDecision::Undecided },
  };
  for (const Row& row : rows) {
    const auto result = EvaluateExistingClaim(row.record, row.fingerprint);
    BOOST_TEST(result.has_value() == row.decision.has_value());
    if (result && row.decision) {
      BOOST_TEST((result->decision == *row.decision));
    }
  }
}

// Guards against frequent calls to the store during an outage of hours, and
// against hosts that call at the same time.
BOOST_AUTO_TEST_CASE(DelaysDoubleUpToTheLimitAndVary)
{
  SeededRandom random(3);
  RetryBackoff backoff(milliseconds(100), milliseconds(1'000));
  for (const int longest : { 100, 200, 400, 800, 1'000, 1'000 }) {
    const milliseconds pause = backoff.Next(random);
    BOOST_TEST(pause.count() >= longest / 2);
    BOOST_TEST(pause.count() <= longest);
  }
  BOOST_TEST((backoff.Next(random) != backoff.Next(random)));
  backoff.Reset();
  BOOST_TEST(backoff.Next(random).count() <= 100);
}

BOOST_AUTO_TEST_SUITE_END()
