#include "http/HttpClient.h"

#include "http/TcpHttpClient.h"

#include <utility>

namespace filbertbeam {

bool
HttpResponseObserver::IsOwnResponse(const HttpResponseHead&)
{
  return true;
}

std::string
HttpResponseObserver::RequestIdOf(const HttpResponseHead&) const
{
  return {};
}

bool
HttpResponseObserver::HasServerMark(const HttpResponseHead&) const
{
  return false;
}

bool
HttpResponseObserver::AllowsReuseAfter(const HttpResponseHead&) const
{
  return true;
}

std::unique_ptr<HttpClient>
HttpClient::Create(const HttpClientLimits& aLimits, StrayBytesHandler aHandler)
{
  return std::make_unique<TcpHttpClient>(aLimits, std::move(aHandler));
}

} // namespace filbertbeam
