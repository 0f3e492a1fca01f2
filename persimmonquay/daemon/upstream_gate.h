// Admission control and proxy for the upstream on this host. All calls to the
// upstream pass through it.
#ifndef PERSIMMONQUAY_DAEMON_UPSTREAM_GATE_H
#define PERSIMMONQUAY_DAEMON_UPSTREAM_GATE_H

#include "persimmonquay/accounts/upstream_activity.h"
#include "persimmonquay/base/line_writer.h"
#include "persimmonquay/base/time.h"
#include "persimmonquay/daemon/asio.h"
#include "persimmonquay/daemon/header_names.h"
#include "persimmonquay/daemon/upstream_connection_pool.h"
#include "persimmonquay/daemon/upstream_watch.h"
#include "persimmonquay/traffic/admission_queue.h"
#include "persimmonquay/traffic/cold_start_limiter.h"
#include "persimmonquay/traffic/crash_ledger.h"
#include "persimmonquay/traffic/host_speed.h"
#include "persimmonquay/traffic/nested_kinds.h"
#include "persimmonquay/traffic/processing_time_estimate.h"
#include "persimmonquay/traffic/response_memory.h"
#include "persimmonquay/traffic/unattended_calls.h"
#include "proto/link.pb.h"
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace persimmonquay {

class Metrics;

/// Reason of a rejection because the node is shutting down.
inline constexpr std::string_view StoppingReason = "the node stops";

/// Reason of a rejection because the operator has evacuated the data centre.
inline constexpr std::string_view EvacuatedReason =
    "the data centre is evacuated";
/// Reason of a rejection because the call was withdrawn before it started.
inline constexpr std::string_view WithdrawnReason = "withdrawn while it waited";

/// Result of one call that reached the upstream.
struct UpstreamCallResult {
  std::string Route;
  bool Failed = false;
  /// The upstream rejected the call and did not run it. `Failed` is set as
  /// well.
  bool Rejected = false;
  /// Time from the start of the call at the upstream to its end.
  std::chrono::microseconds ProcessingTime{0};
};

/// Admits calls to the upstream next to this node, sends them over pooled
/// connections, validates the responses and sends the replies. A NOT_RUN
/// reply is a guarantee: the call was not sent to the upstream and never will
/// be, or the upstream itself states that it did not run it.
///
/// Every submitted call gets exactly one reply unless it is cancelled.
///
/// Notices when the upstream ends and attributes that to the calls that it was
/// running, whether or not their responses were still awaited; see
/// `CrashLedger`.
///
/// Confined to one thread.
class UpstreamGate {
public:
  using ReplyHandler = std::function<void(proto::CallReply)>;
  using ResultHandler = std::function<void(const UpstreamCallResult &)>;
  using CrashHandler = std::function<void(const CrashLedger::Records &)>;
  using LeavingHandler = std::function<void(const proto::UpstreamEntry &)>;

  UpstreamGate(asio::io_context &IoContext, HeaderNames UpstreamHeaders,
               Tcp::endpoint UpstreamAddress, Metrics &NodeCounters,
               CrashLedger &KnownCrashes);
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

  /// Rejects a call if it has not started. Unlike a call that is cancelled, it
  /// gets a reply then.
  void withdraw(std::uint64_t Ticket);

  /// Sets the upstream that is registered now, or none.
  void setUpstream(std::optional<proto::UpstreamEntry> Entry);

  /// Rejects calls from now on that can't be repeated and whose deadline is
  /// after `End`, when the process may end: they might be cut.
  void rejectCallsPast(MonoTime End) { this->ShutdownEnd = End; }

  /// Rejects all queued and new calls from now on, because the node is shutting
  /// down.
  void stopAdmitting();

  /// Sets how long upstreams of the service are cold after a start and how many
  /// calls a second a cold one takes; see `ColdStartLimiter::setLimits()`.
  void setColdLimits(Millis Duration, double CallsPerSecond);

  /// Takes the upstream to be cold, as if it had just started. `Cause` says in
  /// the log why.
  void assumeCold(std::string_view Cause);

  /// Records how much longer the upstream is cold, as it said itself. `Source`
  /// says in the log where.
  void recordColdRemaining(Millis Remaining, std::string_view Source);

  /// Sets whether the operator has evacuated this data centre: no call that is
  /// not running may run then.
  void setEvacuated(bool Enabled);

  /// Sets the size of the largest response body that is accepted. All responses
  /// that are being received may take a fixed multiple of it.
  void setMaxResponseBytes(std::uint64_t Bytes);

  /// Sets the handler that is called with the result of each call that reached
  /// the upstream.
  void setResultHandler(ResultHandler Handler) {
    this->OnResult = std::move(Handler);
  }

  /// Sets the handler that is called with the records of a crash of the
  /// upstream.
  void setCrashHandler(CrashHandler Handler) {
    this->OnCrash = std::move(Handler);
  }

  /// Sets the handler that is called when a response says that the upstream
  /// leaves.
  void setLeavingHandler(LeavingHandler Handler) {
    this->OnLeaving = std::move(Handler);
  }

  // Queries.

  /// Returns whether a call with about this deadline is running at the
  /// upstream. Calls that the upstream makes while it runs the call carry the
  /// same deadline.
  bool hasRunningCallWithDeadline(MonoTime Deadline) const;

  /// Returns whether the upstream may be running any call, also one whose
  /// connection was lost or whose caller has left; unknown for a while after
  /// the last call.
  UpstreamActivity activity() const;

  /// Returns a WOULD_TAKE reply if the call would be admitted now, or else the
  /// rejection.
  proto::CallReply checkAdmission(const proto::CallRequest &Request) const;

  proto::LoadReport load() const;
  /// Returns whether the registered incarnation of the upstream has ended as
  /// far as is known, so that its heartbeats were sent before that.
  bool hasUpstreamEnded() const { return this->HasRecordedCrash; }
  /// Returns whether the upstream is only assumed to be cold.
  bool isColdAssumed() const { return this->ColdStart.isAssumed(monoNow()); }
  /// Returns the number of calls rejected because the upstream was cold.
  std::uint64_t coldRejections() const { return this->ColdRejections; }
  /// Returns the part of the calls that was turned away lately, 0 to 1.
  double rejectedShare() const {
    return this->Queue.tally().rejectedShare(monoNow());
  }
  std::size_t callsInFlight() const { return this->Calls.size(); }
  const std::optional<proto::UpstreamEntry> &upstream() const {
    return this->Upstream;
  }

private:
  struct Call;
  struct ExchangeResult;

  /// Returns why the call may not be sent to the upstream that it names, or
  /// none if it may: that upstream leaves or has left. Has to be asked right
  /// before a call is sent, however long ago it was admitted.
  std::optional<std::string> departureReason(const proto::CallRequest &) const;
  /// Returns why the upstream cannot take the call, or none if it can.
  std::optional<std::string>
  unavailableReason(const proto::CallRequest &) const;
  ProcessingTimeEstimate
  expectedProcessingTime(const proto::CallRequest &) const;
  QueuedCall queuedCall(std::uint64_t Ticket, const proto::CallRequest &Request,
                        MonoTime Arrival) const;
  /// Starts, queues, holds or rejects a call that may wait for `MaxWait`.
  void admit(const std::shared_ptr<Call> &NewCall, Micros MaxWait);
  /// Decides whether a call may be admitted although upstreams have crashed
  /// while they ran the same request. Returns false if it has been rejected or
  /// waits for the end of another such call.
  bool passesCrashCheck(const std::shared_ptr<Call> &NewCall, Micros MaxWait);
  /// Returns whether a call that has waited for a slot may still run; see
  /// `passesCrashCheck()` and `mightBeCut()`. If not, its slot is free again.
  bool mayStillStart(std::uint64_t Ticket);
  /// Returns whether a call with this deadline might be cut by the end of the
  /// process, which would do harm.
  bool mightBeCut(const proto::CallRequest &Request, MonoTime Deadline) const {
    return !Request.idempotent() && Deadline > this->ShutdownEnd;
  }
  /// Lets the next suspect run if the call was the one that ran.
  void releaseSuspect(std::uint64_t Ticket);
  /// Starts an admitted call.
  void start(std::uint64_t Ticket);
  /// Rejects queued calls that have expired and starts queued calls in free
  /// slots.
  void startQueuedCalls();
  void reject(const RejectedCall &Rejection);
  /// Rejects a call that has a slot, but has not been sent.
  void rejectStarted(std::uint64_t Ticket, std::string_view Reason);
  void rejectAll(const std::vector<RejectedCall> &Rejections);
  /// Rejects the calls that wait for a slot after the upstream has turned cold.
  void rejectForCold();
  /// Rejects all calls that are not running.
  void rejectWaiting(std::string_view Reason);
  /// Adds the crashes that are attributed to the call's request.
  void addCrashes(const Call &ActiveCall, proto::CallReply &Reply) const;
  /// Sends a reply with the current load unless the call is cancelled.
  void reply(Call &ActiveCall, proto::CallReply Reply);
  /// Logs the beginning and the end of a shortage.
  void logShortage();
  /// Sets the timer for the next expiry of a queued call.
  void armExpiryTimer();
  /// Runs a started call, including one resend, and replies.
  asio::awaitable<void> run(std::shared_ptr<Call> ActiveCall);
  /// Returns whether a call whose connection broke without a response may be
  /// sent again now.
  bool mayResend(const Call &ActiveCall) const;
  /// Takes a pooled connection or opens a new one.
  asio::awaitable<ErrorCode> connect(Call &ActiveCall);
  /// Opens a new connection for a call.
  asio::awaitable<ErrorCode> openConnection(Call &ActiveCall);
  /// Records that a connection to the upstream has been opened.
  void recordConnected();
  /// Keeps a call in mind whose connection has ended without a response,
  /// because the upstream may still be running it.
  void recordUnattended(const Call &ActiveCall);
  /// Returns whether a call that has been sent awaits its response.
  bool awaitsResponse() const;
  /// Attributes the end of the upstream, which refuses connections, to the
  /// calls that it was running.
  void recordCrash();
  /// Attributes the end of the upstream to `Running`, calls that it was
  /// running.
  void attributeCrash(const std::vector<SentCall> &Running);
  /// Sends the request and reads the response to it, skipping responses to
  /// other calls.
  asio::awaitable<ExchangeResult> exchange(Call &ActiveCall);
  /// Reads the response to a call that has been sent; sets `Result`.
  asio::awaitable<void> readResponse(const Call &ActiveCall,
                                     ExchangeResult &Result);
  /// Returns false if the response to a call has to be given up for the memory
  /// that the responses to all calls take. May give up that to another call.
  bool fitsMemory(const Call &ActiveCall);
  HttpRequest upstreamRequest(const Call &ActiveCall) const;
  /// Adopts the limit that a response of the upstream names, or that it names
  /// none.
  void readLimit(const HttpResponse &Response);
  void setLimit(std::optional<double> CallsPerSecond);
  /// Reads the load that a response names, if any.
  void readLoad(const HttpResponse &Response);
  /// Returns whether a response says that the upstream leaves; passes that on
  /// the first time.
  bool readLeaving(const HttpResponse &Response);
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
  RateLimiter ShortageLogLimit;
  RateLimiter BadLoadLogLimit;
  HeaderNames Headers;
  Tcp::endpoint Address;
  std::optional<proto::UpstreamEntry> Upstream;
  bool Stopping = false;
  bool Evacuated = false;
  /// See `rejectCallsPast()`.
  MonoTime ShutdownEnd = MonoTime::max();
  std::uint64_t MaxResponseBytes;
  ResponseMemory Received;
  /// Calls are rejected until then after a failed connection attempt.
  MonoTime UnreachableUntil;
  /// Whether the upstream has ended and no connection to it has succeeded
  /// since.
  bool IsUpstreamDown = false;
  /// Whether an end of the registered incarnation has been recorded.
  bool HasRecordedCrash = false;
  UnattendedCalls Unattended;
  /// When the last call ended, if any did.
  std::optional<MonoTime> LastCallEnd;
  /// No call is resent until then.
  MonoTime ResendPausedUntil;
  CrashLedger &Crashes;
  /// Of the suspects of a crash, the one that runs or waits for a slot.
  std::optional<std::uint64_t> ActiveSuspect;
  /// The suspects that wait for its end.
  std::deque<std::uint64_t> HeldSuspects;
  /// By route.
  NestedKinds Nested;
  AdmissionQueue Queue{0};
  ColdStartLimiter ColdStart;
  std::uint64_t ColdRejections = 0;
  /// Whether the last line that was logged about it says that there is a
  /// shortage.
  bool HasShortage = false;
  /// Whether the upstream itself has told its limit, or that it has none, since
  /// this node has known it.
  bool HasReadLimit = false;
  UpstreamConnectionPool Pool;
  UpstreamWatch Watch;
  std::map<std::uint64_t, std::shared_ptr<Call>> Calls;
  /// As reported by the upstream.
  HostSpeed Speed;
  /// Processing time at the upstream at usual speed, by route.
  std::map<std::string, ProcessingTimeEstimate> ProcessingTimes;
  /// Moving average of the fraction of calls that failed, 0 to 1.
  double FailureRate = 0;
  std::uint64_t NextTicket = 1;
  asio::steady_timer ExpiryTimer;
  ResultHandler OnResult;
  CrashHandler OnCrash;
  LeavingHandler OnLeaving;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_UPSTREAM_GATE_H
