#include "standins/backend/BackendApplication.h"

#include "standins/backend/BackendSession.h"

#include <fmt/format.h>

namespace filbertbeam {

namespace {

constexpr std::chrono::milliseconds kLoadSampleInterval{ 50 };

Instant
Now()
{
  return std::chrono::steady_clock::now();
}

void
SendResponse(HttpServerExchange& aExchange,
             int aStatus,
             std::string_view aType,
             std::string_view aBody)
{
  HttpResponseHead head;
  head.status = aStatus;
  head.fields.Add("Content-Type", aType);
  if (aStatus == 503) {
    head.fields.Add("Retry-After", "1");
  }
  SendWholeResponse(aExchange, std::move(head), aBody);
}

} // namespace

BackendApplication::BackendApplication(const BackendSettings& aSettings)
  : settings_(aSettings)
  , start_(Now())
  , modeSince_(start_)
  , random_(aSettings.seed)
  , serviceFactor_(0, aSettings.serviceTimeSigma)
{
  loadTimer_.setInterval(kLoadSampleInterval);
  QObject::connect(
    &loadTimer_, &QTimer::timeout, &context_, [this] { SampleLoad(); });
  loadTimer_.start();
}

std::shared_ptr<HttpRequestObserver>
BackendApplication::OnRequest(std::shared_ptr<HttpServerExchange> aExchange)
{
  if (ServeEndpoint(*aExchange)) {
    return nullptr;
  }
  if (busySlots_ >= settings_.slots) {
    runs_.AddShed();
    SendResponse(*aExchange, settings_.shedStatus, "text/plain", "shed\n");
    return nullptr;
  }
  ++busySlots_;
  return std::make_shared<BackendSession>(*this, std::move(aExchange));
}

std::chrono::microseconds
BackendApplication::DrawServiceTime()
{
  double factor = serviceFactor_(random_);
  if (mode_.kind == GrayModeKind::Slow) {
    factor *= mode_.factor;
  }
  if (Now() - start_ < settings_.coldTime) {
    factor *= settings_.coldFactor;
  }
  return std::chrono::microseconds(static_cast<std::int64_t>(
    static_cast<double>(settings_.serviceTime.count()) * factor));
}

bool
BackendApplication::DrawFailure(std::string_view aCustomer)
{
  switch (mode_.kind) {
    case GrayModeKind::Errors:
      return std::uniform_real_distribution<>()(random_) < mode_.rate;
    case GrayModeKind::CustomerErrors:
      return aCustomer == mode_.customer;
    case GrayModeKind::Flapping:
      return IsFlappingDown();
    default:
      return false;
  }
}

bool
BackendApplication::ServeEndpoint(HttpServerExchange& aExchange)
{
  const HttpRequestHead& request = aExchange.Request();
  const std::string_view target = request.target;
  const auto question = target.find('?');
  const std::string_view path = target.substr(0, question);
  const std::string_view query =
    question == std::string_view::npos ? "" : target.substr(question + 1);
  if (path == "/health") {
    const bool isUnhealthy = mode_.kind == GrayModeKind::Flapping
                               ? IsFlappingDown()
                               : mode_.kind != GrayModeKind::Healthy;
    const bool isReportedUnhealthy = settings_.honestHealth && isUnhealthy;
    SendResponse(aExchange,
                 isReportedUnhealthy ? 503 : 200,
                 "text/plain",
                 isReportedUnhealthy ? "unhealthy\n" : "healthy\n");
    return true;
  }
  if (path == "/load") {
    SendResponse(aExchange,
                 200,
                 "application/json",
                 fmt::format(R"({{"busy":{},"slots":{}}})",
                             ReportedLoad(),
                             settings_.slots));
    return true;
  }
  if (path == "/control" && request.method == "POST") {
    SwitchMode(aExchange, query);
    return true;
  }
  if (path == "/control/runs") {
    SendResponse(aExchange, 200, "application/json", runs_.ToJson());
    return true;
  }
  return false;
}

void
BackendApplication::SwitchMode(HttpServerExchange& aExchange,
                               std::string_view aQuery)
{
  std::string reason;
  auto mode = GrayMode::Parse(aQuery, reason);
  if (!mode) {
    SendResponse(aExchange, 400, "text/plain", reason + "\n");
    return;
  }
  mode_ = std::move(*mode);
  modeSince_ = Now();
  SendResponse(aExchange, 200, "text/plain", "ok\n");
}

bool
BackendApplication::IsFlappingDown() const
{
  return (Now() - modeSince_) / Duration(mode_.period) % 2 == 1;
}

int
BackendApplication::ReportedLoad() const
{
  if (settings_.reportedLoad >= 0) {
    return settings_.reportedLoad;
  }
  if (settings_.loadLag.count() == 0) {
    return busySlots_;
  }
  // Finds the newest sample that is at least as old as the lag.
  const Instant until = Now() - settings_.loadLag;
  int load = 0;
  for (const LoadSample& sample : loadSamples_) {
    if (sample.when > until) {
      break;
    }
    load = sample.busySlots;
  }
  return load;
}

void
BackendApplication::SampleLoad()
{
  const Instant now = Now();
  loadSamples_.push_back({ now, busySlots_ });
  while (loadSamples_.size() > 1 &&
         loadSamples_[1].when <= now - settings_.loadLag) {
    loadSamples_.pop_front();
  }
}

} // namespace filbertbeam
