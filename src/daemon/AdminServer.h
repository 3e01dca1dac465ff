#pragma once

#include "http/HttpMessage.h"

#include <QHttpServer>
#include <QJsonObject>

#include <memory>
#include <string>
#include <string_view>

namespace filbertbeam {

// Provides the data that the admin endpoint returns.
class AdminModel
{
public:
  virtual ~AdminModel() = default;

  // Returns true when this host can serve callers. The load balancer queries it
  // through /readyz.
  virtual bool IsReady() = 0;
  // Returns the metrics in the Prometheus text format.
  virtual std::string Metrics() = 0;
  virtual QJsonObject Status() = 0;
  // aKind is "customer", "backend-server", "request" or "host".
  virtual QJsonObject Explain(std::string_view aKind,
                              std::string_view aName) = 0;
  virtual QJsonObject Burn() = 0;
};

// Serves the admin endpoint for operators and the load balancer. /healthz,
// /readyz and /metrics need no authentication; /status, /explain and /burn need
// the operator token.
class AdminServer
{
public:
  // Returns null and fills aReason when the address cannot be bound. aModel has
  // to outlive the server.
  static std::unique_ptr<AdminServer> Create(const Endpoint& aEndpoint,
                                             std::string_view aOperatorToken,
                                             AdminModel& aModel,
                                             std::string& aReason);

private:
  AdminServer(std::string_view aOperatorToken, AdminModel& aModel);
  void AddRoutes();
  bool IsOperator(const QHttpServerRequest& aRequest) const;

  const std::string operatorToken_;
  AdminModel& model_;
  QHttpServer server_;
};

} // namespace filbertbeam
