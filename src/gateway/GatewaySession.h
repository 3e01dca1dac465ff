#pragma once

#include "gateway/BackendAttempt.h"
#include "gateway/GatewayContext.h"
#include "http/HttpServerExchange.h"

#include <QTimer>

#include <vector>

namespace filbertbeam {

// Handles one request of a caller, from its head to the final response. Sends
// it to a backend server, with further attempts where they are allowed, and
// responds "not run" only when no attempt can have run and none will follow.
class GatewaySession final
  : public HttpRequestObserver
  , public BackendAttemptObserver
  , public std::enable_shared_from_this<GatewaySession>
{
public:
  // aRoute must belong to the routing table in aContext. aMemory is what the
  // request takes beside its bodies.
  GatewaySession(GatewayContext& aContext,
                 std::shared_ptr<HttpServerExchange> aExchange,
                 const Route& aRoute,
                 CallerHeaders aHeaders,
                 MemoryReservation aMemory);
  ~GatewaySession() override;
  GatewaySession(const GatewaySession&) = delete;
  GatewaySession& operator=(const GatewaySession&) = delete;

  void Start();

  void OnRequestBody(ByteView aBytes) override;
  void OnRequestEnd() override;
  void OnRequestFailed(const RequestFailure& aFailure) override;
  void OnResponseWritable() override;
  void OnRequestClosed(bool aIsComplete) override;

  void OnAttemptHead(BackendAttempt& aAttempt) override;
  void OnAttemptResponse(BackendAttempt& aAttempt) override;
  void OnAttemptFailed(BackendAttempt& aAttempt,
                       const HttpFailure& aFailure) override;
  bool OnAttemptLargeResponse(BackendAttempt& aAttempt) override;
  void OnAttemptBody(BackendAttempt& aAttempt, ByteView aBytes) override;
  void OnAttemptWritable(BackendAttempt& aAttempt) override;

private:
  using AttemptPointer = std::shared_ptr<BackendAttempt>;

  Duration Remaining() const;
  SelectionRequest MakeSelectionRequest(AttemptPurpose aPurpose) const;
  // True when this host may send a request of the service to aServer now.
  bool IsUsable(const BackendServerRecord* aServer) const;
  void RequestSelection(AttemptPurpose aPurpose);
  void OnSelection(AttemptPurpose aPurpose, const SelectionOutcome& aOutcome);
  void OnNoSelection(AttemptPurpose aPurpose,
                     std::string_view aReason,
                     Duration aRetryAfter);
  void StartAttempt(const BackendServerRecord& aServer,
                    const SelectionOutcome& aOutcome,
                    AttemptPurpose aPurpose);
  bool MayStartExtraAttempt() const;
  // Reserves memory for the next bytes of the body and responds "not run" if
  // there is none.
  bool ReserveBody(std::size_t aBytes);
  // Starts another attempt if that is allowed and responds otherwise. Does
  // nothing while another attempt is running or being selected.
  void RetryOrRespond(AttemptPurpose aPurpose, std::string_view aReason);
  void RespondWithFailure(std::string_view aReason, Duration aRetryAfter);
  void OnDeadline();
  void OnHedgeTimeout();

  // Logs that aAttempt ended without a response to forward. aStatus is that of
  // the server's response, 0 without one.
  void LogAttemptEnd(const BackendAttempt& aAttempt,
                     std::string_view aEvent,
                     int aStatus,
                     bool aIsSent,
                     std::string_view aReason) const;
  // There is no memory for the response to aAttempt.
  void OnNoMemory(BackendAttempt& aAttempt);
  // Removes aAttempt from the running attempts and reports its result.
  AttemptPointer EndAttempt(BackendAttempt& aAttempt, AttemptResult aResult);
  void CancelAttempts(AttemptResult aResult);
  void ForwardResponse(const HttpResponseHead& aHead, std::string_view aBody);
  void SendLocalResponse(int aStatus,
                         std::string_view aReason,
                         std::optional<Duration> aRetryAfter);
  void Close(int aStatus, std::string_view aOutcome, std::string_view aReason);

  GatewayContext& context_;
  std::shared_ptr<HttpServerExchange> exchange_;
  // Keeps route_ alive.
  std::shared_ptr<const RoutingTable> routing_;
  const Route& route_;
  const CallerHeaders callerHeaders_;
  const std::string service_;
  const Instant arrivedAt_;
  const Instant deadline_;

  // For the request, and for responses that the caller has not received yet.
  MemoryReservation memory_;
  std::string body_;
  bool isBodyComplete_ = false;
  // The body is too large to be buffered for another attempt.
  bool isBodyStreamed_ = false;

  std::vector<AttemptPointer> runningAttempts_;
  std::vector<std::string> triedServers_;
  int sentAttempts_ = 0;
  // Number of attempts that could not reach their server.
  int unreachableAttempts_ = 0;
  // True when an attempt was sent and there is no proof that it did not run.
  bool mayHaveRun_ = false;
  bool isSelecting_ = false;
  bool isDone_ = false;
  // The attempt whose response is forwarded while it arrives.
  AttemptPointer streamingAttempt_;
  // The latest error response of a server; forwarded when no later attempt
  // succeeds.
  std::optional<HttpResponseHead> failureHead_;
  std::string failureBody_;

  std::string_view lastSelectionSource_ = "none";
  QTimer deadlineTimer_;
  QTimer hedgeTimer_;
};

} // namespace filbertbeam
