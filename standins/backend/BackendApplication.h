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

// The simulated backend server. Implements slots, service times, gray modes and
// the endpoints /health, /load, /control?mode=... and /control/runs.
class BackendApplication final : public HttpApplication
{
public:
  explicit BackendApplication(const BackendSettings& aSettings);

  std::shared_ptr<HttpRequestObserver> OnRequest(
    std::shared_ptr<HttpServerExchange> aExchange) override;

  // The following functions are for BackendSession.
  const GrayMode& Mode() const { return mode_; }
  RunLog& Runs() { return runs_; }
  void ReleaseSlot() { --busySlots_; }
  // Returns a random service time for one request.
  std::chrono::microseconds DrawServiceTime();
  // Returns whether a request of this customer fails, at random where the gray
  // mode has a failure rate.
  bool DrawFailure(std::string_view aCustomer);
  // Returns the context object of the timers.
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
