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
    connection->PauseRequestBody(*this);
  }
}

void
TcpServerExchange::ResumeRequestBody()
{
  if (const auto connection = connection_.lock()) {
    connection->ResumeRequestBody(*this);
  }
}

void
TcpServerExchange::SendHead(const HttpResponseHead& aHead)
{
  if (const auto connection = connection_.lock()) {
    connection->SendHead(*this, aHead);
  }
}

void
TcpServerExchange::SendBody(ByteView aBytes)
{
  if (const auto connection = connection_.lock()) {
    connection->SendBody(*this, aBytes);
  }
}

void
TcpServerExchange::Finish()
{
  if (const auto connection = connection_.lock()) {
    connection->Finish(*this);
  }
}

void
TcpServerExchange::Abort()
{
  if (const auto connection = connection_.lock()) {
    connection->Abort(*this);
  }
}

std::size_t
TcpServerExchange::UnsentBytes() const
{
  const auto connection = connection_.lock();
  return connection ? connection->UnsentBytes(*this) : 0;
}

} // namespace filbertbeam
