#include "http/HttpServerExchange.h"

#include "http/HttpHeadWriter.h"

namespace filbertbeam {

void
HttpRequestObserver::OnRequestFailed(const RequestFailure&)
{
}

void
SendWholeResponse(HttpServerExchange& aExchange,
                  HttpResponseHead aHead,
                  std::string_view aBody)
{
  // Without a body, a stated length is that of the response to a GET (RFC 9110,
  // 8.6).
  if (!aBody.empty() ||
      !IsBodilessResponse(aHead.status, aExchange.Request().method == "HEAD")) {
    aHead.framing = BodyFraming::Length;
    aHead.contentLength = aBody.size();
  }
  aExchange.SendHead(aHead);
  if (!aBody.empty()) {
    aExchange.SendBody({ aBody.data(), aBody.size() });
  }
  aExchange.Finish();
}

} // namespace filbertbeam
