#include "gateway/SimpleHttpServer.h"

namespace filbertbeam {

SimpleHttpServer::SimpleHttpServer(Handler aHandler)
  : handler_(std::move(aHandler))
{
}

std::unique_ptr<SimpleHttpServer>
SimpleHttpServer::Create(const Endpoint& aEndpoint,
                         Handler aHandler,
                         std::string& aReason)
{
  std::unique_ptr<SimpleHttpServer> probe(
    new SimpleHttpServer(std::move(aHandler)));
  probe->server_ =
    HttpServer::Create(aEndpoint, HttpServerLimits{}, *probe, aReason);
  return probe->server_ ? std::move(probe) : nullptr;
}

std::shared_ptr<HttpRequestObserver>
SimpleHttpServer::OnRequest(std::shared_ptr<HttpServerExchange> aExchange)
{
  const SimpleHttpResponse response = handler_(aExchange->Request().target);
  HttpResponseHead head;
  head.status = response.status;
  head.fields.Set("Content-Type", "text/plain");
  SendWholeResponse(*aExchange, head, response.body);
  return nullptr;
}

} // namespace filbertbeam
