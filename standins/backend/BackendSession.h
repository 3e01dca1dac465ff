#pragma once

#include "http/HttpServerExchange.h"

#include <QCryptographicHash>
#include <QObject>

namespace filbertbeam {

class BackendApplication;

// Serves one request: occupies a slot, waits for the service time and responds
// with an echo of the request, or fails in the way that the gray mode
// specifies.
class BackendSession final : public HttpRequestObserver
{
public:
  BackendSession(BackendApplication& aApplication,
                 std::shared_ptr<HttpServerExchange> aExchange);

  void OnRequestBody(ByteView aBytes) override;
  void OnRequestEnd() override;
  void OnResponseWritable() override;
  void OnRequestClosed(bool aIsComplete) override;

private:
  void Serve(bool aIsInTime);
  void SendEcho();
  void StartBytes(std::uint64_t aCount, bool aIsChunked);
  void SendBytes();
  void SendShortResponse(int aStatus, std::string_view aBody);
  void ReleaseSlot();

  BackendApplication& application_;
  std::shared_ptr<HttpServerExchange> exchange_;
  // Context object of the timers. Its destruction stops them, so that a
  // cancelled request is not served.
  QObject context_;
  QCryptographicHash hash_{ QCryptographicHash::Sha256 };
  std::uint64_t bodyBytes_ = 0;
  bool hasSlot_ = true;
  bool isTruncating_ = false;
  std::uint64_t bytesSent_ = 0;
  std::uint64_t bytesToSend_ = 0;
};

} // namespace filbertbeam
