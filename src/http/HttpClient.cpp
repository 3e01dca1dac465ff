#include "http/HttpClient.h"

#include "http/TcpHttpClient.h"

namespace filbertbeam {

bool
HttpResponseObserver::IsOwnResponse(const HttpResponseHead&)
{
  return true;
}

std::unique_ptr<HttpClient>
HttpClient::Create(const HttpClientLimits& aLimits)
{
  return std::make_unique<TcpHttpClient>(aLimits);
}

} // namespace filbertbeam
