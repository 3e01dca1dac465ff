#include "entry/EntryService.h"

#include "entry/EntrySession.h"

#include <utility>

namespace filbertbeam {

EntryService::EntryService(EntryContext aContext)
  : context_(std::move(aContext))
{
}

void
EntryService::SetConfiguration(
  std::shared_ptr<const Configuration> aConfiguration)
{
  context_.configuration = std::move(aConfiguration);
}

void
EntryService::SetView(std::shared_ptr<const MembershipView> aView)
{
  context_.limiter.SetLiveHosts(aView->LiveCount());
  context_.fleet->view = std::move(aView);
  context_.activeRelays.OnView(*context_.fleet->view);
}

std::shared_ptr<HttpRequestObserver>
EntryService::OnRequest(std::shared_ptr<HttpServerExchange> aExchange)
{
  auto session = std::make_shared<EntrySession>(std::move(aExchange), context_);
  session->Start();
  return session;
}

} // namespace filbertbeam
