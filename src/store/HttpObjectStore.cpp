#include "store/HttpObjectStore.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace filbertbeam {

namespace {

// A failed call in the terms of ObjectStore; None for a success.
StoreError
ErrorOf(int aStatus)
{
  switch (aStatus) {
    case 200:
    case 201:
      return StoreError::None;
    case 404:
      return StoreError::NotFound;
    case 412:
      return StoreError::Conflict;
    case 400:
    case 413:
    case 414:
    case 431:
      return StoreError::Invalid;
    default:
      // A server that fails may have written before.
      return StoreError::Unavailable;
  }
}

template<typename Value>
StoreResult<Value>
FailureOf(const PlatformReply& aReply, StoreError aError)
{
  return { {},
           aError,
           aReply.status == 0 ? aReply.reason
                              : fmt::format("status {}: {}",
                                            aReply.status,
                                            aReply.body.substr(0, 200)),
           aError == StoreError::Unavailable && aReply.isUnsent };
}

// The number in an ETag of the form "7" with its quotes.
std::optional<std::uint64_t>
VersionOf(const PlatformReply& aReply)
{
  const auto tag = aReply.fields.Find("ETag");
  if (!tag || tag->size() < 3 || tag->front() != '"' || tag->back() != '"') {
    return {};
  }
  const char* const end = tag->data() + tag->size() - 1;
  std::uint64_t version = 0;
  const auto parsed = std::from_chars(tag->data() + 1, end, version);
  if (parsed.ec != std::errc() || parsed.ptr != end || version == 0) {
    return {};
  }
  return version;
}

// Not usable although the status says success.
template<typename Value>
StoreResult<Value>
Unusable(std::string_view aReason)
{
  return { {}, StoreError::Unavailable, std::string(aReason) };
}

} // namespace

std::unique_ptr<HttpObjectStore>
HttpObjectStore::Create(std::vector<Endpoint> aEndpoints,
                        const PlatformClientLimits& aLimits,
                        std::string& aReason)
{
  auto client = PlatformClient::Create(std::move(aEndpoints), aLimits, aReason);
  if (client == nullptr) {
    return nullptr;
  }
  return std::make_unique<HttpObjectStore>(std::move(client));
}

HttpObjectStore::HttpObjectStore(std::unique_ptr<PlatformClient> aClient)
  : client_(std::move(aClient))
{
}

void
HttpObjectStore::Get(std::string_view aKey, ObjectCallback aCallback)
{
  Read(aKey, "", std::chrono::milliseconds(0), std::move(aCallback));
}

void
HttpObjectStore::Create(std::string_view aKey,
                        std::string_view aValue,
                        VersionCallback aCallback)
{
  Write(aKey, aValue, { "If-None-Match", "*" }, std::move(aCallback));
}

void
HttpObjectStore::Update(std::string_view aKey,
                        std::string_view aValue,
                        std::uint64_t aExpectedVersion,
                        VersionCallback aCallback)
{
  if (aExpectedVersion == 0) {
    Refuse("version 0 names no object", std::move(aCallback));
    return;
  }
  Write(aKey,
        aValue,
        { "If-Match", fmt::format("\"{}\"", aExpectedVersion) },
        std::move(aCallback));
}

void
HttpObjectStore::Watch(std::string_view aKey,
                       std::uint64_t aAfterVersion,
                       std::chrono::milliseconds aTimeout,
                       ObjectCallback aCallback)
{
  const auto timeout = std::max(aTimeout, std::chrono::milliseconds(0));
  Read(aKey,
       fmt::format("?watch={}&timeout_ms={}", aAfterVersion, timeout.count()),
       timeout,
       std::move(aCallback));
}

void
HttpObjectStore::List(std::string_view aPrefix, ListCallback aCallback)
{
  if (!IsValidObjectPrefix(aPrefix)) {
    Refuse("invalid prefix", std::move(aCallback));
    return;
  }
  HttpRequestHead head;
  head.method = "GET";
  head.target = fmt::format("/objects?prefix={}", aPrefix);
  client_->Call(std::move(head),
                "",
                std::chrono::milliseconds(0),
                [callback = std::move(aCallback)](const PlatformReply& aReply) {
                  using Keys = std::vector<std::string>;
                  const StoreError error = ErrorOf(aReply.status);
                  if (error != StoreError::None) {
                    callback(FailureOf<Keys>(aReply, error));
                    return;
                  }
                  const QJsonValue listed =
                    QJsonDocument::fromJson(
                      QByteArray::fromStdString(aReply.body))
                      .object()
                      .value("keys");
                  if (!listed.isArray()) {
                    callback(Unusable<Keys>("the listing is malformed"));
                    return;
                  }
                  Keys keys;
                  const QJsonArray array = listed.toArray();
                  keys.reserve(static_cast<std::size_t>(array.size()));
                  for (const auto& key : array) {
                    keys.push_back(key.toString().toStdString());
                  }
                  callback({ std::move(keys), StoreError::None, {} });
                });
}

void
HttpObjectStore::Read(std::string_view aKey,
                      std::string_view aQuery,
                      std::chrono::milliseconds aExtraTime,
                      ObjectCallback aCallback)
{
  if (!IsValidObjectKey(aKey)) {
    Refuse("invalid key", std::move(aCallback));
    return;
  }
  HttpRequestHead head;
  head.method = "GET";
  head.target = fmt::format("/objects/{}{}", aKey, aQuery);
  client_->Call(std::move(head),
                "",
                aExtraTime,
                [key = std::string(aKey),
                 callback = std::move(aCallback)](const PlatformReply& aReply) {
                  const StoreError error = ErrorOf(aReply.status);
                  if (error != StoreError::None) {
                    callback(FailureOf<StoredObject>(aReply, error));
                    return;
                  }
                  const auto version = VersionOf(aReply);
                  if (!version) {
                    callback(Unusable<StoredObject>("no usable ETag"));
                    return;
                  }
                  callback({ StoredObject{ key, aReply.body, *version },
                             StoreError::None,
                             {} });
                });
}

void
HttpObjectStore::Write(std::string_view aKey,
                       std::string_view aValue,
                       const HttpField& aCondition,
                       VersionCallback aCallback)
{
  if (!IsValidObjectKey(aKey)) {
    Refuse("invalid key", std::move(aCallback));
    return;
  }
  if (aValue.size() > kMaxObjectBytes) {
    Refuse("the value is too large", std::move(aCallback));
    return;
  }
  HttpRequestHead head;
  head.method = "PUT";
  head.target = fmt::format("/objects/{}", aKey);
  head.fields.Add(aCondition.name, aCondition.value);
  client_->Call(std::move(head),
                aValue,
                std::chrono::milliseconds(0),
                [callback = std::move(aCallback)](const PlatformReply& aReply) {
                  const StoreError error = ErrorOf(aReply.status);
                  if (error != StoreError::None) {
                    callback(FailureOf<std::uint64_t>(aReply, error));
                    return;
                  }
                  const auto version = VersionOf(aReply);
                  if (!version) {
                    callback(Unusable<std::uint64_t>("no usable ETag"));
                    return;
                  }
                  callback({ *version, StoreError::None, {} });
                });
}

template<typename Value>
void
HttpObjectStore::Refuse(
  std::string_view aReason,
  std::function<void(const StoreResult<Value>&)> aCallback)
{
  client_->Post(
    [reason = std::string(aReason), callback = std::move(aCallback)] {
      callback({ {}, StoreError::Invalid, reason });
    });
}

} // namespace filbertbeam
