#include "http/HttpServer.h"

#include "http/TcpHttpServer.h"

namespace filbertbeam {

bool
HttpApplication::MayRunConcurrently(const HttpRequestHead&)
{
  return false;
}

bool
HttpApplication::MayAbortResponse(const HttpRequestHead&)
{
  return false;
}

std::unique_ptr<HttpServer>
HttpServer::Create(const Endpoint& aEndpoint,
                   const HttpServerLimits& aLimits,
                   HttpApplication& aApplication,
                   std::string& aReason)
{
  auto server = std::make_unique<TcpHttpServer>(aLimits, aApplication);
  if (!server->Listen(aEndpoint)) {
    aReason = server->LastReason();
    return nullptr;
  }
  return server;
}

} // namespace filbertbeam
