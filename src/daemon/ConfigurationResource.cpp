#include "daemon/ConfigurationResource.h"

#include "http/ProblemDetails.h"

#include <utility>

namespace filbertbeam {

void
ConfigurationResource::SetDocuments(std::shared_ptr<const Documents> aDocuments)
{
  documents_ = std::move(aDocuments);
}

void
ConfigurationResource::HandleRequest(HttpServerExchange& aExchange)
{
  const std::string* text = Find(aExchange.Request().target);
  if (!text) {
    ProblemDetails problem;
    problem.status = 404;
    problem.title = "unknown-resource";
    SendWholeResponse(aExchange, ProblemHead(problem), ProblemBody(problem));
    return;
  }
  HttpResponseHead head;
  head.status = 200;
  head.fields.Set("Content-Type", "application/octet-stream");
  SendWholeResponse(aExchange, head, *text);
}

const std::string*
ConfigurationResource::Find(std::string_view aTarget) const
{
  if (!documents_) {
    return nullptr;
  }
  if (aTarget == kConfigurationHeadTarget) {
    return documents_->head.get();
  }
  if (!aTarget.starts_with(kConfigurationPartPrefix)) {
    return nullptr;
  }
  const auto part =
    documents_->parts.find(aTarget.substr(kConfigurationPartPrefix.size()));
  return part == documents_->parts.end() ? nullptr : part->second.get();
}

} // namespace filbertbeam
