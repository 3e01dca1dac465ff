#include "http/TcpClientExchange.h"

#include "http/HttpClientConnection.h"

namespace filbertbeam {

TcpClientExchange::TcpClientExchange(
  std::weak_ptr<HttpClientConnection> aConnection,
  const ConnectionUse& aUse)
  : connection_(std::move(aConnection))
  , use_(aUse)
{
}

bool
TcpClientExchange::MayHaveCarried(std::string_view aRequestId) const
{
  const auto connection = connection_.lock();
  return connection && connection->MayHaveCarried(aRequestId);
}

void
TcpClientExchange::SendBody(ByteView aBytes)
{
  if (const auto connection = connection_.lock()) {
    connection->SendBody(aBytes);
  }
}

void
TcpClientExchange::FinishBody()
{
  if (const auto connection = connection_.lock()) {
    connection->FinishBody();
  }
}

void
TcpClientExchange::PauseResponseBody()
{
  if (const auto connection = connection_.lock()) {
    connection->PauseResponseBody();
  }
}

void
TcpClientExchange::ResumeResponseBody()
{
  if (const auto connection = connection_.lock()) {
    connection->ResumeResponseBody();
  }
}

void
TcpClientExchange::Cancel()
{
  if (const auto connection = connection_.lock()) {
    connection->Cancel();
  }
}

bool
TcpClientExchange::AnyByteSent() const
{
  const auto connection = connection_.lock();
  return connection ? connection->AnyByteSent() : anyByteSent_;
}

std::size_t
TcpClientExchange::UnsentBytes() const
{
  const auto connection = connection_.lock();
  return connection ? connection->UnsentBytes() : 0;
}

void
TcpClientExchange::Detach(bool aAnyByteSent)
{
  anyByteSent_ = aAnyByteSent;
  connection_.reset();
}

} // namespace filbertbeam
