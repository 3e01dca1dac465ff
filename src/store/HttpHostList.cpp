#include "store/HttpHostList.h"

#include "store/ListedHostJson.h"

#include <QJsonArray>
#include <QJsonDocument>

#include <fmt/format.h>

namespace filbertbeam {

namespace {

StoreResult<std::vector<ListedHost>>
HostsOf(const PlatformReply& aReply)
{
  if (aReply.status != 200) {
    return { {},
             StoreError::Unavailable,
             aReply.status == 0 ? aReply.reason
                                : fmt::format("status {}", aReply.status),
             aReply.isUnsent };
  }
  const QJsonValue listed =
    QJsonDocument::fromJson(QByteArray::fromStdString(aReply.body))
      .object()
      .value("hosts");
  if (!listed.isArray()) {
    return { {}, StoreError::Unavailable, "the host list is malformed" };
  }
  std::vector<ListedHost> hosts;
  const QJsonArray array = listed.toArray();
  for (const auto& value : array) {
    // The list is refused as a whole: a host left out of it would look as if
    // it had gone.
    auto host = ListedHostFromJson(value.toObject());
    if (!host) {
      return { {}, StoreError::Unavailable, "a listed host is malformed" };
    }
    hosts.push_back(std::move(*host));
  }
  return { std::move(hosts), StoreError::None, {} };
}

} // namespace

std::unique_ptr<HttpHostList>
HttpHostList::Create(std::vector<Endpoint> aEndpoints,
                     const PlatformClientLimits& aLimits,
                     std::string& aReason)
{
  auto client = PlatformClient::Create(std::move(aEndpoints), aLimits, aReason);
  if (client == nullptr) {
    return nullptr;
  }
  return std::make_unique<HttpHostList>(std::move(client));
}

HttpHostList::HttpHostList(std::unique_ptr<PlatformClient> aClient)
  : client_(std::move(aClient))
{
}

void
HttpHostList::Fetch(Callback aCallback)
{
  HttpRequestHead head;
  head.method = "GET";
  head.target = "/hosts";
  client_->Call(std::move(head),
                "",
                std::chrono::milliseconds(0),
                [callback = std::move(aCallback)](const PlatformReply& aReply) {
                  callback(HostsOf(aReply));
                });
}

} // namespace filbertbeam
