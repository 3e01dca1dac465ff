#include "gateway/SimpleHttpServer.h"

namespace filbertbeam {

ProbeServer::ProbeServer(Handler aHandler)
  : handler_(std::move(aHandler))
{
}

std::unique_ptr<ProbeServer>
ProbeServer::Create(const Endpoint& aEndpoint,
                    Handler aHandler,
                    std::string& aReason)
{
  std::unique_ptr<ProbeServer> probe(new ProbeServer(std::move(aHandler)));
  probe->server_ =
    HttpServer::Create(aEndpoint, HttpServerLimits{}, *probe, aReason);
  return probe->server_ ? std::move(probe) : nullptr;
}

std::shared_ptr<HttpRequestObserver>
ProbeServer::OnRequest(std::shared_ptr<HttpServerExchange> aExchange)
{
  const ProbeAnswer answer = handler_(aExchange->Request().target);
  HttpResponseHead head;
  head.status = answer.status;
  head.fields.Set("Content-Type", "text/plain");
  SendWholeResponse(*aExchange, head, answer.body);
  return nullptr;
}

} // namespace filbertbeam
