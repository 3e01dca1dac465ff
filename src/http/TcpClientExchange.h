#pragma once

#include "http/HttpClient.h"

namespace filbertbeam {

class HttpClientConnection;

// Client exchange that runs on an HttpClientConnection. Calls have no effect
// after the exchange has ended.
class TcpClientExchange final : public HttpClientExchange
{
public:
  TcpClientExchange(std::weak_ptr<HttpClientConnection> aConnection,
                    const ConnectionUse& aUse);

  ConnectionUse Connection() const override { return use_; }
  bool MayHaveCarried(std::string_view aRequestId) const override;
  void SendBody(ByteView aBytes) override;
  void FinishBody() override;
  void PauseResponseBody() override;
  void ResumeResponseBody() override;
  void Cancel() override;
  bool AnyByteSent() const override;
  std::size_t UnsentBytes() const override;

  // Detaches the exchange from its connection; aAnyByteSent is the final result
  // of AnyByteSent.
  void Detach(bool aAnyByteSent);

private:
  std::weak_ptr<HttpClientConnection> connection_;
  const ConnectionUse use_;
  bool anyByteSent_ = false;
};

} // namespace filbertbeam
