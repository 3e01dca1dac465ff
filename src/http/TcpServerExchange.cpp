#include "http/TcpServerExchange.h"

#include "http/HttpServerConnection.h"

namespace filbertbeam {

TcpServerExchange::TcpServerExchange(
  std::weak_ptr<HttpServerConnection> aConnection,
  HttpRequestHead aRequest,
  Endpoint aPeer)
  : connection_(std::move(aConnection))
  , request_(std::move(aRequest))
  , peer_(std::move(aPeer))
{
}

void
TcpServerExchange::PauseRequestBody()
{
  if (const auto connection = connection_.lock()) {
    connection->PauseRequestBody();
  }
}

void
TcpServerExchange::ResumeRequestBody()
{
  if (const auto connection = connection_.lock()) {
    connection->ResumeRequestBody();
  }
}

void
TcpServerExchange::SendHead(const HttpResponseHead& aHead)
{
  if (const auto connection = connection_.lock()) {
    connection->SendHead(aHead);
  }
}

void
TcpServerExchange::SendBody(ByteView aBytes)
{
  if (const auto connection = connection_.lock()) {
    connection->SendBody(aBytes);
  }
}

void
TcpServerExchange::Finish()
{
  if (const auto connection = connection_.lock()) {
    connection->Finish();
  }
}

void
TcpServerExchange::Abort()
{
  if (const auto connection = connection_.lock()) {
    connection->Abort();
  }
}

std::size_t
TcpServerExchange::UnsentBytes() const
{
  const auto connection = connection_.lock();
  return connection ? connection->UnsentBytes() : 0;
}

} // namespace filbertbeam
