#include "http/HttpServerExchange.h"

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
  aHead.framing = BodyFraming::Length;
  aHead.contentLength = aBody.size();
  aExchange.SendHead(aHead);
  if (!aBody.empty()) {
    aExchange.SendBody({ aBody.data(), aBody.size() });
  }
  aExchange.Finish();
}

} // namespace filbertbeam
