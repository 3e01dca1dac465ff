#pragma once

#include "gateway/AttemptHistory.h"
#include "gateway/Authorization.h"
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
  // aRoute must belong to the table of aAuthorization, which has to be granted.
  // aMemory is what the request takes beside its bodies.
  GatewaySession(GatewayContext& aContext,
                 std::shared_ptr<HttpServerExchange> aExchange,
                 const Route& aRoute,
                 Authorization aAuthorization,
                 CallerHeaders aHeaders,
                 MemoryReservation aMemory);
  ~GatewaySession() override;
  GatewaySession(const GatewaySession&) = delete;
  GatewaySession& operator=(const GatewaySession&) = delete;

  // Asks for a verdict on the limit of the workspace unless aVerdict has it.
  void Start(std::optional<QuotaVerdict> aVerdict);

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

  // A response without that of a server.
  struct LocalOutcome
  {
    int statusIfNotRun = 0;
    int statusIfUnknown = 0;
    std::string_view reason;
    // When the caller may return if the request has not run.
    std::optional<Duration> retryAfter = std::nullopt;
  };

  // Where the response that is forwarded came from, and its form; for logs.
  struct ForwardedResponse
  {
    ConnectionUse connection;
    BodyFraming framing = BodyFraming::None;
    // Size in bytes of the body that was passed on.
    std::uint64_t bodyBytes = 0;
  };

  Duration Remaining() const;
  SelectionRequest MakeSelectionRequest(AttemptPurpose aPurpose) const;
  // Authorizes the request again if the configuration has changed. Returns
  // false if its key is not valid any more.
  bool IsStillAuthorized();
  void OnUnauthorized();
  void RequestQuota();
  void OnQuotaVerdict(const QuotaVerdict& aVerdict);
  // Gives the token back if no attempt was sent.
  void ReturnQuota();
  // Returns the servers that this request may not be sent to.
  std::vector<std::string> ExcludedServers() const;
  // True when this host may send the request to aServer now.
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
  // Responds with the latest error response of a server, or without one. Call
  // it only while no attempt is running.
  void RespondWithFailure(std::string_view aReason, Duration aRetryAfter);
  // Responds "not run" if that is proven, and with the status that promises
  // nothing otherwise.
  void RespondLocally(const LocalOutcome& aOutcome);
  void CountFailure();
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
  // Records aAttempt's response as the one that is forwarded.
  void SetForwarded(const BackendAttempt& aAttempt, std::size_t aBodyBytes);
  // Passes on a part of the body of the response that is streamed.
  void StreamBody(ByteView aBytes);
  void Close(int aStatus, std::string_view aOutcome, std::string_view aReason);

  GatewayContext& context_;
  std::shared_ptr<HttpServerExchange> exchange_;
  // Keeps route_ alive.
  std::shared_ptr<const RoutingTable> routing_;
  const Route& route_;
  // By the newest configuration of which the request was checked.
  Authorization authorization_;
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
  AttemptHistory attempts_;
  bool isSelecting_ = false;
  // Of the latest selection.
  std::uint64_t selectionId_ = 0;
  bool isWaitingForQuota_ = false;
  // The first selection follows the verdict.
  bool isSelectionDeferred_ = false;
  // Workspace and token that admitted the request.
  std::string quotaWorkspace_;
  QuotaToken quotaToken_;
  bool isDone_ = false;
  // The attempt whose response is forwarded while it arrives.
  AttemptPointer streamingAttempt_;
  // The latest error response of a server; forwarded when no later attempt
  // succeeds.
  std::optional<HttpResponseHead> failureHead_;
  std::string failureBody_;
  ForwardedResponse forwarded_;

  std::string_view lastSelectionSource_ = "none";
  QTimer deadlineTimer_;
  QTimer hedgeTimer_;
};

} // namespace filbertbeam
