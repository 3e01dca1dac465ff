#pragma once

#include "http/HttpClient.h"

namespace filbertbeam {

class HttpClientConnection;

// The exchange that runs on a connection. Once it is over, its calls have no
// effect.
class TcpClientExchange final : public HttpClientExchange
{
public:
  explicit TcpClientExchange(std::weak_ptr<HttpClientConnection> aConnection);

  void SendBody(ByteView aBytes) override;
  void FinishBody() override;
  void PauseResponseBody() override;
  void ResumeResponseBody() override;
  void Cancel() override;
  bool AnyByteSent() const override;
  std::size_t UnsentBytes() const override;

  // Separates the exchange from its connection.
  void Detach(bool aAnyByteSent);

private:
  std::weak_ptr<HttpClientConnection> connection_;
  bool anyByteSent_ = false;
};

} // namespace filbertbeam
