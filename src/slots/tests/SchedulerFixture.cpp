#include "SchedulerFixture.h"

namespace filbertbeam {

using namespace std::chrono_literals;

SchedulerFixture::SchedulerFixture()
  : SchedulerFixture({ { "a", 2 }, { "b", 2 } })
{
}

SchedulerFixture::SchedulerFixture(const std::vector<ServerSpec>& aServers,
                                   double aFloor)
{
  service_.name = "permits";
  service_.floor = aFloor;
  scheduler_ = ShardScheduler::Create(service_, 1);
  SetServers(aServers);
}

void
SchedulerFixture::SetServers(const std::vector<ServerSpec>& aServers)
{
  service_.backendServers.clear();
  for (const ServerSpec& spec : aServers) {
    BackendServer server;
    server.name = spec.name;
    server.slots = spec.slots;
    server.isLeaving = spec.isLeaving;
    service_.backendServers.push_back(server);
  }
  std::vector<const BackendServer*> pointers;
  for (const BackendServer& server : service_.backendServers) {
    pointers.push_back(&server);
  }
  scheduler_->SetBackendServers(service_, pointers, Now());
}

ShardRequest
SchedulerFixture::MakeRequest(std::string_view aCustomer,
                              double aPromise,
                              RequestClass aClass) const
{
  ShardRequest request;
  request.id = nextId_++;
  request.customer = aCustomer;
  request.promise = aPromise;
  request.requestClass = aClass;
  request.isIdempotent = true;
  request.deadline = Now() + 30s;
  return request;
}

std::uint64_t
SchedulerFixture::Submit(std::string_view aCustomer,
                         double aPromise,
                         RequestClass aClass)
{
  const ShardRequest request = MakeRequest(aCustomer, aPromise, aClass);
  scheduler_->Submit(request, Now());
  return request.id;
}

std::vector<Assignment>
SchedulerFixture::Dispatch()
{
  return scheduler_->Dispatch(Now());
}

std::vector<Refusal>
SchedulerFixture::Expire()
{
  return scheduler_->Expire(Now());
}

void
SchedulerFixture::Complete(std::uint64_t aRequestId, AttemptResult aResult)
{
  scheduler_->Complete(aRequestId, aResult, Now());
}

ServerReport
SchedulerFixture::ReportOf(std::string_view aServer) const
{
  for (const ServerReport& report : scheduler_->Report(Now())) {
    if (report.backendServer == aServer) {
      return report;
    }
  }
  return {};
}

ServerState
SchedulerFixture::StateOf(std::string_view aServer) const
{
  return ReportOf(aServer).state;
}

} // namespace filbertbeam
