#pragma once

#include "http/HttpServer.h"
#include "store/ObjectStore.h"

#include <QJsonObject>
#include <QUrlQuery>

namespace filbertbeam {

class PlatformStandIn;

// One request to the stand-in of the platform.
class PlatformSession final
  : public HttpRequestObserver
  , public std::enable_shared_from_this<PlatformSession>
{
public:
  PlatformSession(PlatformStandIn& aStandIn,
                  std::shared_ptr<HttpServerExchange> aExchange);

  void OnRequestBody(ByteView aBytes) override;
  void OnRequestEnd() override;
  void OnResponseWritable() override {}
  void OnRequestClosed(bool aIsComplete) override;

private:
  void ServeObject(std::string_view aMethod, const std::string& aKey);
  void ReadObject(const std::string& aKey);
  void WriteObject(const std::string& aKey);
  void ListObjects();
  void ServeHosts(std::string_view aMethod, const std::string& aHost);
  void ListHosts();
  void ServeControl(std::string_view aMethod);
  void SendCounts();

  template<typename Value>
  bool SendFailure(const StoreResult<Value>& aResult);
  void Send(int aStatus, std::string_view aBody, std::uint64_t aVersion = 0);
  void SendJson(const QJsonObject& aObject);
  // A number of the query; null when it is absent or malformed.
  std::optional<std::uint64_t> Number(const char* aName) const;

  PlatformStandIn& standIn_;
  // Null once the exchange is closed.
  std::shared_ptr<HttpServerExchange> exchange_;
  std::string path_;
  QUrlQuery query_;
  std::string body_;
};

} // namespace filbertbeam
