#pragma once

#include "base/Clock.h"
#include "http/HttpServer.h"
#include "standins/backend/BackendSettings.h"
#include "standins/backend/GrayMode.h"
#include "standins/backend/RunLog.h"

#include <QObject>
#include <QTimer>

#include <deque>
#include <random>

namespace filbertbeam {

// The simulated backend server: slots, service times, gray modes and the
// endpoints /health, /load, /control?mode=... and /control/runs.
class BackendApplication final : public HttpApplication
{
public:
  explicit BackendApplication(const BackendSettings& aSettings);

  std::shared_ptr<HttpRequestObserver> OnRequest(
    std::shared_ptr<HttpServerExchange> aExchange) override;

  // For the sessions of requests.
  const GrayMode& Mode() const { return mode_; }
  RunLog& Runs() { return runs_; }
  void ReleaseSlot() { --busySlots_; }
  // Draws the service time of one request.
  std::chrono::microseconds DrawServiceTime();
  // Draws whether a request of this customer fails.
  bool DrawFailure(std::string_view aCustomer);
  // Context of timers.
  QObject& Context() { return context_; }

  int BusySlots() const { return busySlots_; }

private:
  struct LoadSample
  {
    Instant when;
    int busySlots = 0;
  };

  bool ServeEndpoint(HttpServerExchange& aExchange);
  void SwitchMode(HttpServerExchange& aExchange, std::string_view aQuery);
  bool IsFlappingDown() const;
  int ReportedLoad() const;
  void SampleLoad();

  BackendSettings settings_;
  Instant start_;
  GrayMode mode_;
  Instant modeSince_;
  int busySlots_ = 0;
  RunLog runs_;
  std::mt19937_64 random_;
  std::lognormal_distribution<double> serviceFactor_;
  QObject context_;
  QTimer loadTimer_;
  std::deque<LoadSample> loadSamples_;
};

} // namespace filbertbeam
