// Admission control and proxy for the upstream on this host. All calls to the
// upstream pass through it.
#ifndef PERSIMMONQUAY_DAEMON_UPSTREAM_GATE_H
#define PERSIMMONQUAY_DAEMON_UPSTREAM_GATE_H

#include "persimmonquay/base/line_writer.h"
#include "persimmonquay/base/time.h"
#include "persimmonquay/daemon/asio.h"
#include "persimmonquay/daemon/header_names.h"
#include "persimmonquay/daemon/upstream_connection_pool.h"
#include "persimmonquay/traffic/admission_queue.h"
#include "persimmonquay/traffic/processing_time_estimate.h"
#include "proto/link.pb.h"
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace persimmonquay {

class Metrics;

/// Result of one call that reached the upstream.
struct UpstreamCallResult {
  std::string Route;
  bool Failed = false;
  /// Time from the start of the call at the upstream to its end.
  std::chrono::microseconds ProcessingTime{0};
};

/// Admits calls to the upstream next to this node, sends them over pooled
/// connections, validates the responses and sends the replies. A NOT_RUN
/// reply is a guarantee: the call was not sent to the upstream and never will
/// be, or the upstream itself states that it did not run it.
///
/// Every submitted call gets exactly one reply unless it is cancelled. Confined
/// to one thread.
class UpstreamGate {
public:
  using ReplyHandler = std::function<void(proto::CallReply)>;
  using ResultHandler = std::function<void(const UpstreamCallResult &)>;

  UpstreamGate(asio::io_context &IoContext, HeaderNames UpstreamHeaders,
               Tcp::endpoint UpstreamAddress, Metrics &NodeCounters);
  UpstreamGate(const UpstreamGate &) = delete;
  UpstreamGate &operator=(const UpstreamGate &) = delete;
  ~UpstreamGate();

  // Commands.

  /// Submits a call; `Handler` may be called before this returns. Returns a
  /// ticket for `cancel()`.
  std::uint64_t submit(proto::CallRequest Request, ReplyHandler Handler);

  /// Cancels a call, which then gets no reply. A queued call will not run. The
  /// connection of a running call is closed if the call is idempotent;
  /// otherwise the call runs to its end.
  void cancel(std::uint64_t Ticket);

  /// Sets the upstream that is registered now, or none.
  void setUpstream(std::optional<proto::UpstreamEntry> Entry);

  /// Rejects all queued and new calls from now on, because the node is shutting
  /// down.
  void stopAdmitting();

  /// Sets the size of the largest response body that is accepted.
  void setMaxResponseBytes(std::uint64_t Bytes) {
    this->MaxResponseBytes = Bytes;
  }

  /// Sets the handler that is called with the result of each call that reached
  /// the upstream.
  void setResultHandler(ResultHandler Handler) {
    this->OnResult = std::move(Handler);
  }

  // Queries.

  /// Returns whether a call with about this deadline is running at the
  /// upstream. Calls that the upstream makes while it runs the call carry the
  /// same deadline.
  bool hasRunningCallWithDeadline(MonoTime Deadline) const;

  /// Returns a WOULD_TAKE reply if the call would be admitted now, or else the
  /// rejection.
  proto::CallReply checkAdmission(const proto::CallRequest &Request) const;

  proto::LoadReport load() const;
  std::size_t callsInFlight() const { return this->Calls.size(); }
  const std::optional<proto::UpstreamEntry> &upstream() const {
    return this->Upstream;
  }

private:
  struct Call;
  struct ExchangeResult;

  /// Returns why the upstream cannot take the call, or none if it can.
  std::optional<std::string>
  unavailableReason(const proto::CallRequest &) const;
  ProcessingTimeEstimate
  expectedProcessingTime(const proto::CallRequest &) const;
  QueuedCall queuedCall(std::uint64_t Ticket, const proto::CallRequest &Request,
                        MonoTime Now) const;
  /// Starts an admitted call.
  void start(std::uint64_t Ticket);
  /// Rejects queued calls that have expired and starts queued calls in free
  /// slots.
  void startQueuedCalls();
  void reject(const RejectedCall &Rejection);
  void rejectAll(const std::vector<RejectedCall> &Rejections);
  /// Sends a reply with the current load unless the call is cancelled.
  void reply(Call &ActiveCall, proto::CallReply Reply);
  /// Sets the timer for the next expiry of a queued call.
  void armExpiryTimer();
  /// Runs a started call, including one resend, and replies.
  asio::awaitable<void> run(std::shared_ptr<Call> ActiveCall);
  /// Returns whether a call whose connection broke without a response may be
  /// sent again: it is idempotent, and the connection had been idle long enough
  /// to have been closed by the upstream.
  bool mayResend(const Call &ActiveCall) const;
  /// Takes a pooled connection or opens a new one; returns false on failure.
  asio::awaitable<bool> connect(Call &ActiveCall);
  /// Opens a new connection for a call; returns false on failure.
  asio::awaitable<bool> openConnection(Call &ActiveCall);
  /// Records that the upstream has ended while calls were running there.
  void recordCrash();
  /// Sends the request and reads the response to it, skipping responses to
  /// other calls.
  asio::awaitable<ExchangeResult> exchange(Call &ActiveCall);
  /// Reads the response to a call that has been sent; sets `Result`.
  asio::awaitable<void> readResponse(const Call &ActiveCall,
                                     ExchangeResult &Result);
  HttpRequest upstreamRequest(const Call &ActiveCall) const;
  /// Returns the reply for the result of an exchange, and releases the
  /// connection to the pool if it is reusable.
  proto::CallReply evaluate(const Call &ActiveCall, ExchangeResult Result);
  void finish(const std::shared_ptr<Call> &ActiveCall, proto::CallReply Reply);
  /// Logs the end of a call; lines about successful calls are rate-limited.
  void logEnd(const Call &ActiveCall, const proto::CallReply &Reply);
  /// Updates the estimates of processing time and failure rate, and calls the
  /// result handler.
  void recordResult(const Call &ActiveCall, const proto::CallReply &Reply);

  asio::io_context &Context;
  Metrics &Counters;
  RateLimiter SuccessLogLimit;
  HeaderNames Headers;
  Tcp::endpoint Address;
  std::optional<proto::UpstreamEntry> Upstream;
  bool Stopping = false;
  std::uint64_t MaxResponseBytes = 4U << 20U;
  /// Calls are rejected until then after a failed connection attempt.
  MonoTime UnreachableUntil;
  /// Whether the upstream has ended and no connection to it has succeeded
  /// since.
  bool IsUpstreamDown = false;
  /// No call is resent until then.
  MonoTime ResendPausedUntil;
  AdmissionQueue Queue{0};
  UpstreamConnectionPool Pool;
  std::map<std::uint64_t, std::shared_ptr<Call>> Calls;
  /// Processing time at the upstream, by route.
  std::map<std::string, ProcessingTimeEstimate> ProcessingTimes;
  /// Moving average of the fraction of calls that failed, 0 to 1.
  double FailureRate = 0;
  std::uint64_t NextTicket = 1;
  asio::steady_timer ExpiryTimer;
  ResultHandler OnResult;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_UPSTREAM_GATE_H
