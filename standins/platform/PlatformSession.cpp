#include "standins/platform/PlatformSession.h"

#include "standins/platform/PlatformStandIn.h"
#include "store/ListedHostJson.h"

#include <QJsonArray>
#include <QJsonDocument>

#include <fmt/format.h>

#include <charconv>
#include <utility>

namespace filbertbeam {

namespace {

constexpr std::string_view kObjects = "/objects";
constexpr std::string_view kHosts = "/hosts";
// Longer waits are cut, so that the watches of clients that left go away.
constexpr std::uint64_t kMaxWatchMs = 600'000;

// The number between the quotes of an ETag; null for anything else.
std::optional<std::uint64_t>
TagVersion(std::string_view aTag)
{
  if (aTag.size() < 3 || aTag.front() != '"' || aTag.back() != '"') {
    return {};
  }
  std::uint64_t version = 0;
  const char* const end = aTag.data() + aTag.size() - 1;
  const auto parsed = std::from_chars(aTag.data() + 1, end, version);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return {};
  }
  return version;
}

} // namespace

PlatformSession::PlatformSession(PlatformStandIn& aStandIn,
                                 std::shared_ptr<HttpServerExchange> aExchange)
  : standIn_(aStandIn)
  , exchange_(std::move(aExchange))
{
  const std::string& target = exchange_->Request().target;
  const std::size_t end = std::min(target.find('?'), target.size());
  path_ = target.substr(0, end);
  if (end < target.size()) {
    query_ = QUrlQuery(QString::fromStdString(target.substr(end + 1)));
  }
}

void
PlatformSession::OnRequestBody(ByteView aBytes)
{
  body_.append(aBytes.data(), aBytes.size());
}

void
PlatformSession::OnRequestEnd()
{
  const std::string method = exchange_->Request().method;
  const std::string_view path = path_;
  if (path.starts_with("/control")) {
    ServeControl(method);
  } else if (path == kObjects && method == "GET") {
    ListObjects();
  } else if (path.starts_with(kObjects) && path.size() > kObjects.size() &&
             path[kObjects.size()] == '/') {
    ServeObject(method, path_.substr(kObjects.size() + 1));
  } else if (path == kHosts && method == "GET") {
    ListHosts();
  } else if (path.starts_with(kHosts) && path.size() > kHosts.size() + 1 &&
             path[kHosts.size()] == '/') {
    ServeHosts(method, path_.substr(kHosts.size() + 1));
  } else {
    Send(404, "no such path");
  }
}

void
PlatformSession::OnRequestClosed(bool)
{
  exchange_.reset();
}

void
PlatformSession::ServeObject(std::string_view aMethod, const std::string& aKey)
{
  if (aMethod == "GET") {
    ReadObject(aKey);
  } else if (aMethod == "PUT") {
    WriteObject(aKey);
  } else {
    Send(405, "GET and PUT only");
  }
}

void
PlatformSession::ReadObject(const std::string& aKey)
{
  const auto answer =
    [self = shared_from_this()](const StoreResult<StoredObject>& aResult) {
      if (!self->SendFailure(aResult)) {
        self->Send(200, aResult.value->value, aResult.value->version);
      }
    };
  if (!query_.hasQueryItem("watch")) {
    standIn_.Store().Get(aKey, answer);
    return;
  }
  const auto version = Number("watch");
  const auto timeout = Number("timeout_ms");
  if (!version || !timeout) {
    Send(400, "watch and timeout_ms have to be numbers");
    return;
  }
  standIn_.Store().Watch(
    aKey,
    *version,
    std::chrono::milliseconds(std::min(*timeout, kMaxWatchMs)),
    answer);
}

void
PlatformSession::WriteObject(const std::string& aKey)
{
  const auto answer =
    [self = shared_from_this()](const StoreResult<std::uint64_t>& aResult) {
      if (!self->SendFailure(aResult)) {
        self->Send(*aResult.value == 1 ? 201 : 200, "", *aResult.value);
      }
    };
  const HttpFields& fields = exchange_->Request().fields;
  const auto mustMatch = fields.Find("If-Match");
  const auto mustNotMatch = fields.Find("If-None-Match");
  if (mustNotMatch == "*" && !mustMatch) {
    standIn_.Store().Create(aKey, body_, answer);
    return;
  }
  const auto version = mustMatch ? TagVersion(*mustMatch) : std::nullopt;
  if (!version || mustNotMatch) {
    Send(400, "one of If-None-Match: * and If-Match: \"version\" is needed");
    return;
  }
  standIn_.Store().Update(aKey, body_, *version, answer);
}

void
PlatformSession::ListObjects()
{
  standIn_.Store().List(
    query_.queryItemValue("prefix").toStdString(),
    [self = shared_from_this()](
      const StoreResult<std::vector<std::string>>& aResult) {
      if (self->SendFailure(aResult)) {
        return;
      }
      QJsonArray keys;
      for (const std::string& key : *aResult.value) {
        keys.append(QString::fromStdString(key));
      }
      self->SendJson({ { "keys", keys } });
    });
}

void
PlatformSession::ServeHosts(std::string_view aMethod, const std::string& aHost)
{
  if (aMethod == "DELETE") {
    standIn_.RemoveHost(aHost);
    SendJson({});
    return;
  }
  if (aMethod != "PUT") {
    Send(405, "PUT and DELETE only");
    return;
  }
  QJsonObject fields =
    QJsonDocument::fromJson(QByteArray::fromStdString(body_)).object();
  fields["host"] = QString::fromStdString(aHost);
  const auto host = ListedHostFromJson(fields);
  if (!host) {
    Send(400, "region, domain and address are needed");
    return;
  }
  standIn_.PutHost(*host);
  SendJson({});
}

void
PlatformSession::ListHosts()
{
  standIn_.CountHostListCall();
  const StoreFaults faults = standIn_.Store().Faults();
  const auto answer = [self = shared_from_this(), isAway = faults.isAway] {
    if (self->exchange_ && isAway) {
      self->exchange_->Abort();
      return;
    }
    QJsonArray hosts;
    for (const auto& [name, host] : self->standIn_.VisibleHosts()) {
      hosts.append(ListedHostToJson(host));
    }
    self->SendJson({ { "hosts", hosts } });
  };
  standIn_.RunLater(faults.delay + faults.answerDelay, answer);
}

void
PlatformSession::ServeControl(std::string_view aMethod)
{
  if (aMethod == "GET" && path_ == "/control/counts") {
    SendCounts();
    return;
  }
  if (aMethod != "POST" || path_ != "/control") {
    Send(404, "no such path");
    return;
  }
  StoreFaults faults = standIn_.Store().Faults();
  std::optional<std::uint64_t> hostLag;
  bool isReset = false;
  // Nothing changes unless every item of the query is understood.
  for (const auto& [name, value] : query_.queryItems()) {
    const auto number = Number(name.toLatin1().constData());
    if (!number || *number > kMaxWatchMs) {
      Send(400, "not a number: " + name.toStdString());
      return;
    }
    const std::chrono::milliseconds time(*number);
    if (name == "away") {
      faults.isAway = *number != 0;
    } else if (name == "slow_ms") {
      faults.delay = time;
    } else if (name == "slow_answer_ms") {
      faults.answerDelay = time;
    } else if (name == "lose_write_answers") {
      faults.loseWriteAnswers = static_cast<int>(*number);
    } else if (name == "host_lag_ms") {
      hostLag = number;
    } else if (name == "reset_counts") {
      isReset = *number != 0;
    } else {
      Send(400, "no such fault: " + name.toStdString());
      return;
    }
  }
  standIn_.Store().SetFaults(faults);
  if (hostLag) {
    standIn_.SetHostLag(std::chrono::milliseconds(*hostLag));
  }
  if (isReset) {
    standIn_.ResetCounts();
  }
  SendJson({});
}

void
PlatformSession::SendCounts()
{
  const StoreCallCounts& counts = standIn_.Store().Counts();
  SendJson({ { "gets", static_cast<qint64>(counts.gets) },
             { "creates", static_cast<qint64>(counts.creates) },
             { "updates", static_cast<qint64>(counts.updates) },
             { "watches", static_cast<qint64>(counts.watches) },
             { "lists", static_cast<qint64>(counts.lists) },
             { "host_lists", static_cast<qint64>(standIn_.HostListCalls()) } });
}

template<typename Value>
bool
PlatformSession::SendFailure(const StoreResult<Value>& aResult)
{
  switch (aResult.error) {
    case StoreError::None:
      return false;
    case StoreError::NotFound:
      Send(404, aResult.reason);
      return true;
    case StoreError::Conflict:
      Send(412, aResult.reason);
      return true;
    case StoreError::Invalid:
      Send(400, aResult.reason);
      return true;
    case StoreError::Unavailable:
      break;
  }
  // An outage and a lost answer look the same to the client: the connection
  // ends without a response.
  if (exchange_) {
    exchange_->Abort();
  }
  return true;
}

void
PlatformSession::Send(int aStatus,
                      std::string_view aBody,
                      std::uint64_t aVersion)
{
  if (!exchange_) {
    return;
  }
  HttpResponseHead head;
  head.status = aStatus;
  if (aVersion != 0) {
    head.fields.Add("ETag", fmt::format("\"{}\"", aVersion));
    head.fields.Add("Content-Type", "application/octet-stream");
  } else {
    head.fields.Add("Content-Type",
                    aStatus == 200 ? "application/json" : "text/plain");
  }
  // Finishing the response closes the exchange, which resets exchange_.
  const auto exchange = exchange_;
  SendWholeResponse(*exchange, head, aBody);
}

void
PlatformSession::SendJson(const QJsonObject& aObject)
{
  Send(200,
       QJsonDocument(aObject).toJson(QJsonDocument::Compact).toStdString());
}

std::optional<std::uint64_t>
PlatformSession::Number(const char* aName) const
{
  bool isNumber = false;
  const std::uint64_t number =
    query_.queryItemValue(QLatin1String(aName)).toULongLong(&isNumber);
  return isNumber ? std::optional(number) : std::nullopt;
}

} // namespace filbertbeam
