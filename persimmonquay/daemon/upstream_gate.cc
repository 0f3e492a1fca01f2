#include "persimmonquay/daemon/upstream_gate.h"

#include "persimmonquay/base/hashing.h"
#include "persimmonquay/base/http_status.h"
#include "persimmonquay/base/logging.h"
#include "persimmonquay/daemon/connection_timer.h"
#include "persimmonquay/daemon/hop_by_hop_headers.h"
#include "persimmonquay/daemon/metrics.h"
#include "persimmonquay/daemon/sockets.h"
#include "persimmonquay/fleet/upstream_notices.h"
#include "persimmonquay/traffic/request_fingerprint.h"
#include "persimmonquay/traffic/upstream_load.h"
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>
#include <boost/beast/http/write.hpp>
#include <cmath>
#include <utility>

namespace persimmonquay {
namespace internal {

/// Longest idle time of a pooled connection that may carry a non-idempotent and
/// an idempotent call, respectively. If a connection breaks, it is unknown
/// whether the call ran, so a call that must not run twice uses only
/// connections that were in use very recently.
constexpr Millis MaxIdleNonIdempotent{100};
constexpr Millis MaxIdleIdempotent{60000};

/// A connection that breaks after at least this idle time is taken to have been
/// closed or dropped before the call was sent, so that the call may be resent.
/// No upstream closes idle connections sooner.
constexpr Millis MinIdleToResend{100};

/// Time without resends after a resent call has failed as well: in that case
/// the upstream is at fault, not an idle connection.
constexpr Millis ResendBackoff{10000};

/// Time for which calls are rejected after a connection to the upstream has
/// failed.
constexpr Millis UnreachableBackoff{300};

/// Extra time after a call's deadline in which the upstream's own timeout
/// response may still arrive.
constexpr Millis ResponseGrace{150};

/// Time after its deadline by which an upstream has stopped working on a call,
/// also if it notices the deadline late.
constexpr Millis MaxOverrun{3000};

/// Two deadlines that differ by less than this are taken to be the same: the
/// remaining time is passed on in whole milliseconds over two hops on the same
/// host.
constexpr Millis DeadlineTolerance{8};

/// Maximum size of a response header, and of what stands between the chunks of
/// a response body.
constexpr std::uint32_t MaxResponseHeaderBytes = 32768;

/// Maximum size of a response body unless it is set.
constexpr std::uint64_t DefaultMaxResponseBytes = 4U << 20U;

/// All responses that are being received may take as much as this number of
/// the largest ones.
constexpr std::size_t MaxLargestResponses = 8;

/// Responses up to this size are not counted; they take little even if all
/// slots are in use.
constexpr std::size_t SmallResponseBytes = 16384;

/// Why a response was given up; see `fitsMemory()`.
constexpr char ResponsesTooLarge[] = "the responses take too much memory";

/// Maximum number of responses to earlier calls and of interim (1xx) responses
/// that are skipped before the response to one call.
constexpr int MaxStrayResponses = 3;
constexpr int MaxInterimResponses = 8;

/// Processing time that is assumed for a route without measurements: its
/// remaining latency objective divided by this.
constexpr int DefaultProcessingTimeDivisor = 3;

/// Maximum rate of log lines per second about successful calls; lines about
/// other calls are not limited.
constexpr double SuccessLogLinesPerSecond = 2;

/// Maximum rate of log lines per second about the beginning and the end of
/// shortages.
constexpr double ShortageLogLinesPerSecond = 0.5;

/// Time after which a call that was withdrawn may be offered again.
constexpr Millis WithdrawnDelay{20};

/// Maximum rate of log lines per second about unreadable loads, which come with
/// every response.
constexpr double BadLoadLogLinesPerSecond = 0.1;

/// Number of suspects of a crash that wait for the end of another one.
constexpr std::size_t MaxHeldSuspects = 16;

/// Smallest limit of the upstream in calls a second; messages between nodes use
/// 0 for no limit.
constexpr double MinLimit = 0.01;

/// Weight of one result in the moving average of the failure rate that is
/// reported to other nodes.
constexpr double FailureRateWeight = 0.05;

std::uint64_t fingerprintOf(const proto::CallRequest &Request) {
  return requestFingerprint(Request.method(), Request.target(), Request.body());
}

/// Returns the idle timeout in the Keep-Alive header of a response, if any.
std::optional<Millis> keepAliveTimeout(const HttpResponse &Response) {
  const std::string_view Text = Response[http::field::keep_alive];
  constexpr std::string_view Key = "timeout=";
  const std::size_t Position = Text.find(Key);
  if (Position == Text.npos)
    return std::nullopt;
  const std::string_view Digits = Text.substr(Position + Key.size());
  int Seconds = 0;
  if (!absl::SimpleAtoi(std::string(Digits.substr(0, Digits.find(','))),
                        &Seconds))
    return std::nullopt;
  return std::chrono::seconds(Seconds);
}

} // namespace internal

/// A call from its submission to its reply.
struct UpstreamGate::Call {
  Call(asio::io_context &Context) : Timer(Context) {}

  std::uint64_t Ticket = 0;
  proto::CallRequest Request;
  ReplyHandler OnReply;
  MonoTime ArrivalTime;
  MonoTime Deadline;
  MonoTime StartTime;
  bool IsRunning = false;
  /// Whether the call has been sent and the upstream that got it has not ended
  /// since, as far as is known.
  bool MayBeRunning = false;
  bool IsCancelled = false;
  /// Whether the response was given up; see `fitsMemory()`.
  bool IsTooLarge = false;
  std::shared_ptr<UpstreamConnection> Connection;
  /// Closes the connection when the call exceeds its time limit.
  asio::steady_timer Timer;

  /// Returns how long the call may still wait to be started.
  Micros remainingWait() const {
    const auto Waited =
        std::chrono::duration_cast<Micros>(monoNow() - this->ArrivalTime);
    return std::max(Millis(this->Request.max_wait_ms()) - Waited, Micros{0});
  }

  /// Returns what has to be known of the call to attribute a crash to it.
  SentCall sentCall() const {
    return {this->Request.request_id(), internal::fingerprintOf(this->Request),
            this->Deadline + internal::MaxOverrun};
  }

  /// Returns whether the connection was closed because the caller has left.
  bool isAborted() const {
    return this->IsCancelled && this->Request.idempotent();
  }
};

/// Result of one exchange with the upstream.
struct UpstreamGate::ExchangeResult {
  enum class EndState { Answered, NothingSent, Broken };
  EndState End = EndState::Broken;
  HttpResponse Response;
  std::string Error;
  /// Whether any bytes of a response have been received.
  bool ResponseStarted = false;
  /// Whether the end of the connection marked the end of the response.
  bool EndedWithConnection = false;
};

UpstreamGate::UpstreamGate(asio::io_context &IoContext,
                           HeaderNames UpstreamHeaders,
                           Tcp::endpoint UpstreamAddress, Metrics &NodeCounters,
                           CrashLedger &KnownCrashes)
    : Context(IoContext), Counters(NodeCounters),
      SuccessLogLimit(internal::SuccessLogLinesPerSecond,
                      internal::SuccessLogLinesPerSecond),
      ShortageLogLimit(internal::ShortageLogLinesPerSecond, 2),
      BadLoadLogLimit(internal::BadLoadLogLinesPerSecond, 1),
      Headers(std::move(UpstreamHeaders)), Address(UpstreamAddress),
      MaxResponseBytes(internal::DefaultMaxResponseBytes),
      Received(internal::MaxLargestResponses *
               internal::DefaultMaxResponseBytes),
      Crashes(KnownCrashes),
      Watch(IoContext, std::move(UpstreamAddress), this->Pool,
            UpstreamWatch::Callbacks{[this] { return this->awaitsResponse(); },
                                     [this] { this->recordConnected(); },
                                     [this] { this->recordCrash(); }}),
      ExpiryTimer(IoContext) {}

UpstreamGate::~UpstreamGate() = default;

std::optional<std::string>
UpstreamGate::departureReason(const proto::CallRequest &Request) const {
  if (!this->Upstream)
    return "no upstream is registered";
  if (this->Upstream->draining())
    return "the upstream drains";
  if (this->Upstream->service() != Request.service() ||
      this->Upstream->instance() != Request.instance())
    return "another upstream has taken the place";
  return std::nullopt;
}

std::optional<std::string>
UpstreamGate::unavailableReason(const proto::CallRequest &Request) const {
  if (this->Stopping ||
      this->mightBeCut(Request, monoNow() + Millis(Request.remaining_ms())))
    return std::string(StoppingReason);
  if (this->Evacuated)
    return std::string(EvacuatedReason);
  if (std::optional<std::string> Reason = this->departureReason(Request))
    return Reason;
  if (monoNow() < this->UnreachableUntil)
    return "the upstream can't be reached";
  return std::nullopt;
}

ProcessingTimeEstimate
UpstreamGate::expectedProcessingTime(const proto::CallRequest &Request) const {
  const auto Found = this->ProcessingTimes.find(Request.route());
  if (Found != this->ProcessingTimes.end())
    return Found->second;
  return ProcessingTimeEstimate(std::max<std::chrono::microseconds>(
      Millis(Request.objective_ms()) / internal::DefaultProcessingTimeDivisor,
      Millis(1)));
}

QueuedCall UpstreamGate::queuedCall(std::uint64_t Ticket,
                                    const proto::CallRequest &Request,
                                    MonoTime Arrival) const {
  const ProcessingTimeEstimate Expected = this->expectedProcessingTime(Request);
  return {Ticket,
          Request.priority(),
          Arrival + Millis(Request.objective_ms()),
          Arrival + Millis(Request.remaining_ms()),
          this->Speed.scale(Expected.mean(), monoNow()),
          this->Speed.scale(Expected.upper(), monoNow()),
          hashBytes(Request.route(), Request.priority()),
          this->Nested.isNested(hashBytes(Request.route()), Request.nested())};
}

proto::CallReply
UpstreamGate::checkAdmission(const proto::CallRequest &Request) const {
  proto::CallReply Reply;
  Reply.set_id(Request.id());
  Reply.set_outcome(proto::WOULD_TAKE);
  *Reply.mutable_load() = this->load();
  std::optional<std::string> Reason = this->unavailableReason(Request);
  const MonoTime Now = monoNow();
  const MonoTime ColdStartTime = this->ColdStart.startTime(
      this->ColdStart.callsAhead(this->Queue.waiting(), Request.nested(), Now),
      Now);
  if (!Reason && ColdStartTime > Now) {
    Reason = std::string(ColdReason);
    Reply.set_retry_after_ms(static_cast<std::uint32_t>(
        std::chrono::ceil<Millis>(ColdStartTime - Now).count()));
  } else if (!Reason) {
    const std::optional<RejectedCall> Rejection = this->Queue.whyRejected(
        this->queuedCall(0, Request, Now), Millis(Request.max_wait_ms()), Now);
    if (!Rejection)
      return Reply;
    Reason = std::string(Rejection->Reason);
    Reply.set_retry_after_ms(static_cast<std::uint32_t>(
        std::chrono::duration_cast<Millis>(Rejection->RetryAfter).count()));
  }
  Reply.set_outcome(proto::NOT_RUN);
  Reply.set_reason(*Reason);
  return Reply;
}

std::uint64_t UpstreamGate::submit(proto::CallRequest Request,
                                   ReplyHandler Handler) {
  const MonoTime Now = monoNow();
  auto NewCall = std::make_shared<Call>(this->Context);
  NewCall->Ticket = this->NextTicket++;
  NewCall->OnReply = std::move(Handler);
  NewCall->ArrivalTime = Now;
  NewCall->Deadline = Now + Millis(Request.remaining_ms());
  NewCall->Request = std::move(Request);
  const std::uint64_t Ticket = NewCall->Ticket;
  this->Calls[Ticket] = NewCall;
  this->Nested.record(hashBytes(NewCall->Request.route()),
                      NewCall->Request.nested());
  this->admit(NewCall, Millis(NewCall->Request.max_wait_ms()));
  return Ticket;
}

void UpstreamGate::admit(const std::shared_ptr<Call> &NewCall, Micros MaxWait) {
  const std::uint64_t Ticket = NewCall->Ticket;
  const MonoTime Now = monoNow();
  if (const std::optional<std::string> Reason =
          this->unavailableReason(NewCall->Request)) {
    this->reject({Ticket, *Reason, Micros{0}});
    return;
  }
  if (!this->HasReadLimit && NewCall->Request.known_limit_per_s() > 0)
    this->setLimit(NewCall->Request.known_limit_per_s());
  // Not queued: the calls that wait for a slot may all start.
  const bool IsNested = NewCall->Request.nested();
  if (IsNested)
    this->ColdStart.recordNestedOffer(Now);
  const std::size_t CallsAhead =
      this->ColdStart.callsAhead(this->Queue.waiting(), IsNested, Now);
  if (!this->ColdStart.mayStart(CallsAhead, Now)) {
    this->reject(
        {Ticket, ColdReason, this->ColdStart.scheduleReturn(CallsAhead, Now)});
    return;
  }
  if (!this->Crashes.empty() && !this->passesCrashCheck(NewCall, MaxWait))
    return;
  const Admission Result = this->Queue.offer(
      this->queuedCall(Ticket, NewCall->Request, NewCall->ArrivalTime), MaxWait,
      Now);
  this->rejectAll(Result.Displaced);
  if (Result.Verdict == AdmissionVerdict::Reject)
    this->reject(Result.Rejection);
  else if (Result.Verdict == AdmissionVerdict::Start)
    this->start(Ticket);
  else
    this->Counters.recordGateAction(GateAction::Waited);
  this->armExpiryTimer();
}

bool UpstreamGate::passesCrashCheck(const std::shared_ptr<Call> &NewCall,
                                    Micros MaxWait) {
  const CrashDecision Decision = this->Crashes.decide(
      internal::fingerprintOf(NewCall->Request), wallNow());
  if (Decision.Verdict == CrashVerdict::Run)
    return true;
  if (Decision.Verdict == CrashVerdict::Reject) {
    this->reject({NewCall->Ticket, CrashReason, Decision.RetryAfter});
    return false;
  }
  if (this->ActiveSuspect.value_or(NewCall->Ticket) == NewCall->Ticket) {
    this->ActiveSuspect = NewCall->Ticket;
    return true;
  }
  const Micros Wait =
      this->Speed.scale(this->expectedProcessingTime(NewCall->Request).mean(),
                        monoNow()) *
      static_cast<std::int64_t>(this->HeldSuspects.size() + 1);
  if (Wait > MaxWait ||
      this->HeldSuspects.size() >= internal::MaxHeldSuspects) {
    this->reject({NewCall->Ticket, BusyReason, Wait});
    return false;
  }
  this->HeldSuspects.push_back(NewCall->Ticket);
  this->Counters.recordGateAction(GateAction::Waited);
  return false;
}

bool UpstreamGate::mayStillStart(std::uint64_t Ticket) {
  const std::shared_ptr<Call> WaitingCall = this->Calls.at(Ticket);
  if (this->mightBeCut(WaitingCall->Request, WaitingCall->Deadline))
    this->reject({Ticket, StoppingReason, Micros{0}});
  else if (this->Crashes.empty() ||
           this->passesCrashCheck(WaitingCall, WaitingCall->remainingWait()))
    return true;
  this->Queue.finish(Ticket);
  return false;
}

void UpstreamGate::releaseSuspect(std::uint64_t Ticket) {
  if (this->ActiveSuspect != Ticket) {
    std::erase(this->HeldSuspects, Ticket);
    return;
  }
  this->ActiveSuspect.reset();
  while (!this->ActiveSuspect && !this->HeldSuspects.empty()) {
    const auto Next = this->Calls.find(this->HeldSuspects.front());
    this->HeldSuspects.pop_front();
    if (Next == this->Calls.end())
      continue;
    const std::shared_ptr<Call> Held = Next->second;
    this->admit(Held, Held->remainingWait());
  }
}

void UpstreamGate::cancel(std::uint64_t Ticket) {
  const auto Found = this->Calls.find(Ticket);
  if (Found == this->Calls.end())
    return;
  const std::shared_ptr<Call> ActiveCall = Found->second;
  ActiveCall->IsCancelled = true;
  this->Counters.recordGateAction(GateAction::Cancelled);
  logLine(LogLevel::Info, "call given up by its caller",
          {{"request", ActiveCall->Request.request_id()},
           {"state", ActiveCall->IsRunning ? "running" : "waiting"}});
  if (!ActiveCall->IsRunning) {
    this->Queue.cancel(Ticket);
    this->Calls.erase(Found);
    this->releaseSuspect(Ticket);
    return;
  }
  ErrorCode IgnoredError;
  if (ActiveCall->Request.idempotent() && ActiveCall->Connection)
    ActiveCall->Connection->Socket.close(IgnoredError);
}

void UpstreamGate::withdraw(std::uint64_t Ticket) {
  const auto Found = this->Calls.find(Ticket);
  if (Found == this->Calls.end() || Found->second->IsRunning)
    return;
  this->Queue.cancel(Ticket);
  this->reject({Ticket, WithdrawnReason, internal::WithdrawnDelay});
}

void UpstreamGate::setUpstream(std::optional<proto::UpstreamEntry> Entry) {
  const bool Replaced =
      Entry &&
      (!this->Upstream || this->Upstream->instance() != Entry->instance() ||
       this->Upstream->started_unix_ms() != Entry->started_unix_ms());
  if (Replaced) {
    // An upstream that has started again without having announced that it
    // leaves has crashed. Its former calls are those without a connection.
    this->Unattended.expire(monoNow());
    if (!this->HasRecordedCrash)
      this->attributeCrash(this->Unattended.takeAll());
    this->HasRecordedCrash = false;
    this->Pool.closeAll();
    this->ProcessingTimes.clear();
    this->FailureRate = 0;
    this->IsUpstreamDown = false;
    this->HasReadLimit = false;
    this->Speed = HostSpeed();
    this->setLimit(std::nullopt);
  }
  this->Upstream = std::move(Entry);
  if (Replaced)
    this->assumeCold("another incarnation has registered");
  this->UnreachableUntil = MonoTime{};
  if (!this->Upstream || this->Upstream->draining())
    this->rejectWaiting("the upstream drains");
  else
    this->Queue.resize(this->Upstream->slots());
  this->startQueuedCalls();
}

void UpstreamGate::setColdLimits(Millis Duration, double CallsPerSecond) {
  const MonoTime Now = monoNow();
  const bool WasCold = this->ColdStart.isCold(Now);
  this->ColdStart.setLimits(Duration, CallsPerSecond, Now);
  if (!WasCold && this->ColdStart.isCold(Now))
    this->rejectForCold();
}

void UpstreamGate::assumeCold(std::string_view Cause) {
  const MonoTime Now = monoNow();
  const bool WasCold = this->ColdStart.isCold(Now);
  const bool WasAssumed = this->ColdStart.isAssumed(Now);
  this->ColdStart.assumeCold(Now);
  if (!this->ColdStart.isCold(Now))
    return;
  if (!WasAssumed)
    logLine(
        LogLevel::Info, "upstream taken to be cold",
        {{"instance", this->Upstream ? this->Upstream->instance() : ""},
         {"cause", std::string(Cause)},
         {"cold_ms", std::to_string(this->ColdStart.remaining(Now).count())}});
  if (!WasCold)
    this->rejectForCold();
}

void UpstreamGate::recordColdRemaining(Millis Remaining,
                                       std::string_view Source) {
  const MonoTime Now = monoNow();
  const bool WasCold = this->ColdStart.isCold(Now);
  const bool WasAssumed = this->ColdStart.isAssumed(Now);
  this->ColdStart.recordRemaining(Remaining, Now);
  const bool IsCold = this->ColdStart.isCold(Now);
  if (IsCold != WasCold || WasAssumed)
    logLine(
        LogLevel::Info,
        IsCold ? "upstream says it is cold" : "upstream says it is warm",
        {{"instance", this->Upstream ? this->Upstream->instance() : ""},
         {"source", std::string(Source)},
         {"assumed_before", WasAssumed ? "yes" : "no"},
         {"cold_ms", std::to_string(this->ColdStart.remaining(Now).count())}});
  if (IsCold && !WasCold)
    this->rejectForCold();
  else if (WasCold && !IsCold)
    this->startQueuedCalls();
}

void UpstreamGate::setEvacuated(bool Enabled) {
  if (std::exchange(this->Evacuated, Enabled) == Enabled)
    return;
  if (Enabled)
    this->rejectWaiting(EvacuatedReason);
  else
    this->assumeCold("the evacuation has ended");
}

void UpstreamGate::stopAdmitting() {
  this->Stopping = true;
  this->rejectWaiting(StoppingReason);
}

void UpstreamGate::rejectForCold() {
  const MonoTime Now = monoNow();
  for (RejectedCall &Rejection : this->Queue.clear(ColdReason)) {
    Rejection.RetryAfter = this->ColdStart.scheduleReturn(0, Now);
    this->reject(Rejection);
  }
}

void UpstreamGate::rejectWaiting(std::string_view Reason) {
  this->rejectAll(this->Queue.clear(Reason));
  for (const std::uint64_t Ticket : std::exchange(this->HeldSuspects, {}))
    this->reject({Ticket, Reason, Micros{0}});
}

bool UpstreamGate::hasRunningCallWithDeadline(MonoTime Deadline) const {
  for (const auto &[Ticket, ActiveCall] : this->Calls)
    if (ActiveCall->IsRunning &&
        std::chrono::abs(ActiveCall->Deadline - Deadline) <
            internal::DeadlineTolerance)
      return true;
  return false;
}

UpstreamActivity UpstreamGate::activity() const {
  const MonoTime Now = monoNow();
  const std::optional<MonoTime> UnattendedEnd = this->Unattended.lastEnd();
  if ((UnattendedEnd && Now < *UnattendedEnd) ||
      std::any_of(this->Calls.begin(), this->Calls.end(),
                  [](const auto &Item) { return Item.second->IsRunning; }))
    return UpstreamActivity::MayBeRunning;
  return this->LastCallEnd && Now < *this->LastCallEnd + internal::MaxOverrun
             ? UpstreamActivity::Unknown
             : UpstreamActivity::Idle;
}

proto::LoadReport UpstreamGate::load() const {
  proto::LoadReport Report;
  Report.set_running(static_cast<std::uint32_t>(this->Queue.running()));
  Report.set_waiting(static_cast<std::uint32_t>(this->Queue.waiting()));
  Report.set_slots(static_cast<std::uint32_t>(this->Queue.slots()));
  const MonoTime Now = monoNow();
  const Micros ColdWait = std::chrono::duration_cast<Micros>(
      this->ColdStart.startTime(this->Queue.waiting(), Now) - Now);
  Report.set_wait_us(static_cast<std::uint32_t>(std::min<std::int64_t>(
      std::max(this->Queue.predictedWait(Now), ColdWait).count(), UINT32_MAX)));
  Report.set_cold_ms(
      static_cast<std::uint32_t>(this->ColdStart.remaining(Now).count()));
  Report.set_failed_permille(
      static_cast<std::uint32_t>(std::lround(this->FailureRate * 1000)));
  Report.set_work_percent(this->Speed.percent(monoNow()));
  Report.set_limit_per_s(this->Queue.rateLimit().value_or(0));
  return Report;
}

void UpstreamGate::reject(const RejectedCall &Rejection) {
  const auto Found = this->Calls.find(Rejection.Id);
  if (Found == this->Calls.end())
    return;
  const std::shared_ptr<Call> ActiveCall = Found->second;
  this->Calls.erase(Found);
  this->Counters.recordGateAction(GateAction::Rejected);
  this->ColdRejections += Rejection.Reason == ColdReason;
  // Such a rejection only tells the router to try another upstream; the router
  // logs the outcome of the call.
  if (Rejection.Reason != BusyReason && Rejection.Reason != ColdReason)
    logLine(
        LogLevel::Info, "call rejected before the upstream",
        {{"request", ActiveCall->Request.request_id()},
         {"route", ActiveCall->Request.route()},
         {"reason", std::string(Rejection.Reason)},
         {"running", std::to_string(this->Queue.running())},
         {"waiting", std::to_string(this->Queue.waiting())},
         {"slots", std::to_string(this->Queue.slots())},
         {"remaining_ms", std::to_string(ActiveCall->Request.remaining_ms())}});
  proto::CallReply Reply;
  Reply.set_outcome(proto::NOT_RUN);
  Reply.set_reason(std::string(Rejection.Reason));
  // Rounded up: 0 means never.
  Reply.set_retry_after_ms(static_cast<std::uint32_t>(
      std::chrono::ceil<Millis>(Rejection.RetryAfter).count()));
  if (Rejection.Reason == CrashReason)
    this->addCrashes(*ActiveCall, Reply);
  this->reply(*ActiveCall, std::move(Reply));
  this->releaseSuspect(Rejection.Id);
}

void UpstreamGate::rejectStarted(std::uint64_t Ticket,
                                 std::string_view Reason) {
  this->Queue.finish(Ticket);
  this->reject({Ticket, Reason, Micros{0}});
  this->startQueuedCalls();
}

void UpstreamGate::addCrashes(const Call &ActiveCall,
                              proto::CallReply &Reply) const {
  for (const proto::CrashRecord &Record :
       this->Crashes.recordsOf(internal::fingerprintOf(ActiveCall.Request)))
    *Reply.add_crashes() = Record;
}

void UpstreamGate::rejectAll(const std::vector<RejectedCall> &Rejections) {
  for (const RejectedCall &Rejection : Rejections)
    this->reject(Rejection);
}

void UpstreamGate::reply(Call &ActiveCall, proto::CallReply Reply) {
  if (ActiveCall.IsCancelled)
    return;
  Reply.set_id(ActiveCall.Request.id());
  *Reply.mutable_load() = this->load();
  ActiveCall.OnReply(std::move(Reply));
}

void UpstreamGate::start(std::uint64_t Ticket) {
  const std::shared_ptr<Call> ActiveCall = this->Calls.at(Ticket);
  ActiveCall->IsRunning = true;
  ActiveCall->StartTime = monoNow();
  this->ColdStart.recordSend(ActiveCall->StartTime);
  this->Counters.recordGateAction(GateAction::Started);
  this->Counters.recordGateWait(std::chrono::duration_cast<Micros>(
      ActiveCall->StartTime - ActiveCall->ArrivalTime));
  asio::co_spawn(
      this->Context, [this, ActiveCall] { return this->run(ActiveCall); },
      asio::detached);
}

void UpstreamGate::startQueuedCalls() {
  const MonoTime Now = monoNow();
  this->rejectAll(this->Queue.expire(Now));
  while (this->ColdStart.mayStart(0, Now)) {
    const std::optional<std::uint64_t> Next = this->Queue.startNext(Now);
    if (!Next)
      break;
    if (this->mayStillStart(*Next))
      this->start(*Next);
  }
  this->armExpiryTimer();
}

void UpstreamGate::logShortage() {
  const ShortageTally &Tally = this->Queue.tally();
  const bool IsShortage = Tally.isShortage(monoNow());
  if (this->HasShortage == IsShortage ||
      !this->ShortageLogLimit.allow(monoNow()))
    return;
  this->HasShortage = IsShortage;
  logLine(
      LogLevel::Info,
      IsShortage ? "shortage at the upstream"
                 : "shortage at the upstream is over",
      {{"instance", this->Upstream ? this->Upstream->instance() : ""},
       {"turned_away", absl::StrFormat("%.2f", Tally.rejectedShare(monoNow()))},
       {"running", std::to_string(this->Queue.running())},
       {"waiting", std::to_string(this->Queue.waiting())},
       {"slots", std::to_string(this->Queue.slots())}});
}

void UpstreamGate::armExpiryTimer() {
  this->logShortage();
  std::optional<MonoTime> Next = this->Queue.nextExpiry();
  const MonoTime Now = monoNow();
  if (const std::optional<MonoTime> QueueStart = this->Queue.nextStart(Now)) {
    const MonoTime Start =
        std::max(*QueueStart, this->ColdStart.startTime(0, Now));
    Next = Next ? std::min(*Next, Start) : Start;
  }
  if (!Next) {
    this->ExpiryTimer.cancel();
    return;
  }
  this->ExpiryTimer.expires_at(*Next);
  this->ExpiryTimer.async_wait([this](const ErrorCode &Error) {
    if (!Error)
      this->startQueuedCalls();
  });
}

asio::awaitable<ErrorCode> UpstreamGate::connect(Call &ActiveCall) {
  const bool IsIdempotent = ActiveCall.Request.idempotent();
  ActiveCall.Connection =
      this->Pool.acquire(IsIdempotent ? internal::MaxIdleIdempotent
                                      : internal::MaxIdleNonIdempotent,
                         monoNow());
  if (ActiveCall.Connection)
    co_return ErrorCode();
  co_return co_await this->openConnection(ActiveCall);
}

asio::awaitable<ErrorCode> UpstreamGate::openConnection(Call &ActiveCall) {
  ActiveCall.Connection =
      std::make_shared<UpstreamConnection>(Tcp::socket(this->Context));
  const std::shared_ptr<UpstreamConnection> Connection = ActiveCall.Connection;
  const ConnectionTimer Timeout(ActiveCall.Timer,
                                monoNow() + UpstreamConnectTimeout, Connection);
  const auto [Error] =
      co_await Connection->Socket.async_connect(this->Address, NoThrow);
  if (Error)
    co_return Error;
  if (!Connection->Socket.is_open())
    co_return asio::error::operation_aborted;
  configureConnection(Connection->Socket, UpstreamTcpTimeout);
  this->recordConnected();
  co_return ErrorCode();
}

void UpstreamGate::recordConnected() {
  // It may have come back at any time since the last attempt.
  if (std::exchange(this->IsUpstreamDown, false))
    this->assumeCold("it can be reached again");
}

void UpstreamGate::recordUnattended(const Call &ActiveCall) {
  // An upstream that has announced that it leaves may end at any time.
  if (!this->Upstream || this->Upstream->draining() || !ActiveCall.MayBeRunning)
    return;
  this->Unattended.expire(monoNow());
  this->Unattended.add(ActiveCall.sentCall());
  if (const std::optional<MonoTime> End = this->Unattended.lastEnd())
    this->Watch.watchUntil(*End);
}

bool UpstreamGate::awaitsResponse() const {
  return std::any_of(
      this->Calls.begin(), this->Calls.end(),
      [](const auto &Item) { return Item.second->MayBeRunning; });
}

void UpstreamGate::recordCrash() {
  if (!this->Upstream || this->Upstream->draining())
    return;
  // As long as it is down, so that calls are limited when it is back.
  this->assumeCold("it refuses connections");
  if (this->IsUpstreamDown)
    return;
  this->IsUpstreamDown = true;
  this->HasRecordedCrash = true;
  this->UnreachableUntil = monoNow() + internal::UnreachableBackoff;
  std::vector<SentCall> Running;
  for (const auto &[Ticket, ActiveCall] : this->Calls)
    if (std::exchange(ActiveCall->MayBeRunning, false))
      Running.push_back(ActiveCall->sentCall());
  this->Unattended.expire(monoNow());
  for (SentCall &Call : this->Unattended.takeAll())
    Running.push_back(std::move(Call));
  this->attributeCrash(Running);
}

void UpstreamGate::attributeCrash(const std::vector<SentCall> &Running) {
  if (!this->Upstream || this->Upstream->draining() || Running.empty())
    return;
  const WallTime Now = wallNow();
  std::vector<std::uint64_t> Fingerprints;
  std::vector<std::string> CallNames;
  for (const SentCall &Call : Running) {
    Fingerprints.push_back(Call.Fingerprint);
    CallNames.push_back(
        absl::StrCat(Call.RequestId, "/", hashToHex(Call.Fingerprint)));
  }
  const std::uint64_t Crash = hashBytes(
      this->Upstream->instance(), static_cast<std::uint64_t>(unixMillis(Now)));
  const CrashLedger::Records Attributed =
      this->Crashes.recordCrash(Fingerprints, Crash, Now);
  this->Counters.recordUpstreamCrash();
  logLine(
      LogLevel::Warning, "upstream ended while it ran calls",
      {{"instance", this->Upstream->instance()},
       {"started_unix_ms", std::to_string(this->Upstream->started_unix_ms())},
       {"calls", absl::StrJoin(CallNames, ",")},
       {"attributed_to", std::to_string(Attributed.size())}});
  if (this->OnCrash && !Attributed.empty())
    this->OnCrash(Attributed);
}

HttpRequest UpstreamGate::upstreamRequest(const Call &ActiveCall) const {
  const proto::CallRequest &Request = ActiveCall.Request;
  HttpRequest Result;
  Result.version(11);
  Result.method_string(Request.method());
  Result.target(Request.target());
  for (const proto::HeaderField &Field : Request.headers())
    Result.insert(Field.name(), Field.value());
  const auto Remaining =
      std::chrono::duration_cast<Millis>(ActiveCall.Deadline - monoNow());
  Result.set(this->Headers.DeadlineRemaining,
             std::to_string(std::max<std::int64_t>(Remaining.count(), 1)));
  Result.set(this->Headers.CallingService, Request.calling_service());
  if (!Request.account().empty())
    Result.set(this->Headers.Account, Request.account());
  Result.set(this->Headers.ExpectedInstance, Request.instance());
  Result.body() = Request.body();
  if (!Request.body().empty() ||
      (Request.method() != "GET" && Request.method() != "HEAD"))
    Result.content_length(Request.body().size());
  return Result;
}

asio::awaitable<UpstreamGate::ExchangeResult>
UpstreamGate::exchange(Call &ActiveCall) {
  ExchangeResult Result;
  const std::shared_ptr<UpstreamConnection> Connection = ActiveCall.Connection;
  const ConnectionTimer Timeout(ActiveCall.Timer,
                                ActiveCall.Deadline + internal::ResponseGrace,
                                Connection);
  HttpRequest Request = this->upstreamRequest(ActiveCall);
  ActiveCall.MayBeRunning = true;
  const auto [WriteError, Written] =
      co_await http::async_write(Connection->Socket, Request, NoThrow);
  if (WriteError) {
    Result.Error = WriteError.message();
    co_return Result;
  }
  co_await this->readResponse(ActiveCall, Result);
  this->Received.remove(ActiveCall.Ticket);
  if (ActiveCall.IsTooLarge)
    Result.Error = internal::ResponsesTooLarge;
  co_return Result;
}

void UpstreamGate::setMaxResponseBytes(std::uint64_t Bytes) {
  this->MaxResponseBytes = Bytes;
  this->Received.setMaxBytes(internal::MaxLargestResponses * Bytes);
}

bool UpstreamGate::fitsMemory(const Call &ActiveCall) {
  const std::size_t Held = ActiveCall.Connection->Decoder.heldBytes();
  if (Held <= internal::SmallResponseBytes)
    return true;
  const std::optional<std::uint64_t> Largest =
      this->Received.update(ActiveCall.Ticket, Held);
  if (!Largest)
    return true;
  const std::shared_ptr<Call> &GivenUp = this->Calls.at(*Largest);
  GivenUp->IsTooLarge = true;
  ErrorCode IgnoredError;
  GivenUp->Connection->Socket.close(IgnoredError);
  return *Largest != ActiveCall.Ticket;
}

asio::awaitable<void> UpstreamGate::readResponse(const Call &ActiveCall,
                                                 ExchangeResult &Result) {
  UpstreamConnection &Connection = *ActiveCall.Connection;
  HttpDecoder<false> &Decoder = Connection.Decoder;
  const DecodeLimits Limits{internal::MaxResponseHeaderBytes,
                            this->MaxResponseBytes};
  Decoder.setWithoutBody(ActiveCall.Request.method() == "HEAD");
  int StrayCount = 0;
  int InterimCount = 0;
  while (true) {
    DecodeResult Step = Decoder.decode(Limits);
    if (Step == DecodeResult::Incomplete) {
      const auto [Error, Size] = co_await Connection.Socket.async_read_some(
          Decoder.prepare(), NoThrow);
      Decoder.commit(Size);
      Result.ResponseStarted = Result.ResponseStarted || Size > 0;
      if (!this->fitsMemory(ActiveCall))
        co_return;
      if (!Error)
        continue;
      // A response without a length ends with its connection, but not with a
      // reset of it.
      if (Error == asio::error::eof)
        Step = Decoder.decodeEnd();
      if (Step != DecodeResult::Complete) {
        Result.Error = Error.message();
        co_return;
      }
      Result.EndedWithConnection = true;
    }
    if (Step == DecodeResult::Failed) {
      Result.Error = Decoder.error().message();
      co_return;
    }
    Result.Response = Decoder.takeMessage();
    if (Result.Response.result_int() < 200) {
      if (++InterimCount <= internal::MaxInterimResponses)
        continue;
      Result.Error = "interim responses only";
      co_return;
    }
    const std::string_view Id = Result.Response[this->Headers.RequestId];
    // On a connection that has carried other calls, a response without an id
    // may be a second copy of an earlier one.
    const bool IsAmbiguous =
        Id.empty() && (Connection.HasCarriedCalls || StrayCount > 0);
    if (IsAmbiguous) {
      Result.Error = "response without a request id";
      co_return;
    }
    if (Id.empty() || Id == ActiveCall.Request.request_id()) {
      Result.End = ExchangeResult::EndState::Answered;
      co_return;
    }
    logLine(LogLevel::Info, "answer to another call skipped",
            {{"request", ActiveCall.Request.request_id()},
             {"answer_to", std::string(Id)}});
    if (++StrayCount > internal::MaxStrayResponses) {
      Result.Error = "answers to other calls only";
      co_return;
    }
  }
}

bool UpstreamGate::mayResend(const Call &ActiveCall) const {
  const MonoTime Now = monoNow();
  const bool MayCrashUpstream =
      !this->Crashes.empty() &&
      this->Crashes
              .decide(internal::fingerprintOf(ActiveCall.Request), wallNow())
              .Verdict != CrashVerdict::Run;
  return ActiveCall.Request.idempotent() && !ActiveCall.IsCancelled &&
         !this->Evacuated && !this->departureReason(ActiveCall.Request) &&
         Now < ActiveCall.Deadline && Now >= this->ResendPausedUntil &&
         !MayCrashUpstream && this->ColdStart.mayStart(0, Now);
}

asio::awaitable<void> UpstreamGate::run(std::shared_ptr<Call> ActiveCall) {
  proto::CallReply Reply;
  std::uint32_t Resent = 0;
  const ErrorCode ConnectError = co_await this->connect(*ActiveCall);
  if (ConnectError && !ActiveCall->isAborted()) {
    this->UnreachableUntil = monoNow() + internal::UnreachableBackoff;
    if (ConnectError == asio::error::connection_refused)
      this->recordCrash();
    Reply.set_outcome(proto::NOT_RUN);
    Reply.set_reason("the upstream can't be reached");
  }
  if (const std::optional<std::string> Reason =
          this->departureReason(ActiveCall->Request);
      Reason && !ConnectError && !ActiveCall->IsCancelled) {
    this->rejectStarted(ActiveCall->Ticket, *Reason);
    co_return;
  }
  while (!ConnectError && !ActiveCall->IsCancelled) {
    ExchangeResult Result = co_await this->exchange(*ActiveCall);
    const bool IsBroken = Result.End == ExchangeResult::EndState::Broken;
    const std::optional<Millis> IdleTime =
        ActiveCall->Connection->IdleBeforeUse;
    // The upstream may have closed the idle connection before it got the call.
    const bool MayNotHaveArrived = IsBroken && !Result.ResponseStarted &&
                                   IdleTime &&
                                   *IdleTime >= internal::MinIdleToResend;
    if (IsBroken && !Result.ResponseStarted && Resent > 0)
      this->ResendPausedUntil = monoNow() + internal::ResendBackoff;
    // Tells an upstream that has ended from one that has lost a connection. The
    // new connection replaces the broken one. One that leaves may end at any
    // time and gets no further call.
    const bool IsLeaving = !this->Upstream || this->Upstream->draining();
    bool IsReconnected = false;
    if (IsBroken && !IsLeaving && !ActiveCall->isAborted()) {
      IsReconnected = !co_await this->openConnection(*ActiveCall);
      if (!IsReconnected && !ActiveCall->isAborted())
        this->recordCrash();
    }
    if (IsBroken && (IsReconnected || ActiveCall->isAborted()))
      this->recordUnattended(*ActiveCall);
    if (MayNotHaveArrived && Resent == 0 && IsReconnected &&
        this->mayResend(*ActiveCall)) {
      ++Resent;
      this->Counters.recordGateAction(GateAction::Resent);
      logLine(LogLevel::Info, "call is sent again to the upstream",
              {{"request", ActiveCall->Request.request_id()},
               {"instance", ActiveCall->Request.instance()},
               {"reason", Result.Error}});
      this->Queue.recordResend(monoNow());
      this->ColdStart.recordSend(monoNow());
      continue;
    }
    Reply = this->evaluate(*ActiveCall, std::move(Result));
    if (IsBroken && !IsReconnected)
      this->addCrashes(*ActiveCall, Reply);
    // The first attempt may have run even if the upstream rejected the second.
    if (Resent > 0 && Reply.outcome() == proto::NOT_RUN)
      Reply.set_outcome(proto::UNKNOWN);
    if (IsReconnected && !ActiveCall->isAborted())
      this->Pool.release(ActiveCall->Connection, std::nullopt, monoNow());
    break;
  }
  Reply.set_resent(Resent);
  this->finish(ActiveCall, std::move(Reply));
}

proto::CallReply UpstreamGate::evaluate(const Call &ActiveCall,
                                        ExchangeResult Result) {
  proto::CallReply Reply;
  Reply.set_arrived(true);
  if (Result.End != ExchangeResult::EndState::Answered) {
    Reply.set_outcome(proto::UNKNOWN);
    Reply.set_reason(
        absl::StrCat("the upstream's answer was lost: ", Result.Error));
    return Reply;
  }
  HttpResponse &Response = Result.Response;
  const bool IsReusable = Response.keep_alive() &&
                          !Result.EndedWithConnection && !Response.need_eof() &&
                          !Response[this->Headers.RequestId].empty() &&
                          ActiveCall.Connection->Decoder.undecodedBytes() == 0;
  if (IsReusable) {
    ActiveCall.Connection->HasCarriedCalls = true;
    this->Pool.release(ActiveCall.Connection,
                       internal::keepAliveTimeout(Response), monoNow());
  }
  const unsigned Status = Response.result_int();
  // 421 comes from another upstream at the same address.
  if (Status != 421) {
    this->readLimit(Response);
    this->readLoad(Response);
    Reply.set_upstream_leaving(this->readLeaving(Response));
  }
  // The signature shows that this upstream itself has dealt with the call.
  const bool IsOfAnotherUpstream =
      Status == 421 && Response[this->Headers.ResponseSignature].empty();
  if (Response.find(this->Headers.NotExecuted) != Response.end() ||
      IsOfAnotherUpstream) {
    Reply.set_outcome(proto::NOT_RUN);
    Reply.set_reason(absl::StrCat("the upstream rejected it with ", Status));
    return Reply;
  }
  const bool Success = Status >= 200 && Status < 300;
  if ((Success && Response[this->Headers.ResponseSignature].empty()) ||
      Response.find(http::field::content_encoding) != Response.end()) {
    Reply.set_outcome(proto::UNKNOWN);
    Reply.set_reason("the answer is not the upstream's own");
    return Reply;
  }
  if (impliesNotRun(Status))
    this->Counters.recordUnstatedRefusal();
  Reply.set_outcome(proto::ANSWERED);
  Reply.set_status(Status);
  for (const auto &Field : Response) {
    if (isHopByHopHeader(Field.name_string()) ||
        Field.name_string() == this->Headers.ServerLoad)
      continue;
    proto::HeaderField *Copy = Reply.add_headers();
    Copy->set_name(std::string(Field.name_string()));
    Copy->set_value(std::string(Field.value()));
  }
  Reply.set_body(std::move(Response.body()));
  return Reply;
}

void UpstreamGate::readLimit(const HttpResponse &Response) {
  this->HasReadLimit = true;
  const auto Field = Response.find(this->Headers.ServerLimit);
  if (Field == Response.end()) {
    this->setLimit(std::nullopt);
    return;
  }
  double CallsPerSecond = 0;
  if (absl::SimpleAtod(std::string(Field->value()), &CallsPerSecond) &&
      std::isfinite(CallsPerSecond) && CallsPerSecond >= 0) {
    this->setLimit(std::max(CallsPerSecond, internal::MinLimit));
    return;
  }
  logLine(LogLevel::Warning, "limit of the upstream can't be read",
          {{"instance", this->Upstream ? this->Upstream->instance() : ""},
           {"limit", std::string(Field->value())}});
}

void UpstreamGate::readLoad(const HttpResponse &Response) {
  const auto Field = Response.find(this->Headers.ServerLoad);
  if (Field == Response.end())
    return;
  if (const std::optional<UpstreamLoad> Load =
          parseUpstreamLoad(std::string_view(Field->value())))
    this->Speed.record(Load->WorkPercent, monoNow());
  else if (this->BadLoadLogLimit.allow(monoNow()))
    logLine(LogLevel::Warning, "load of the upstream can't be read",
            {{"instance", this->Upstream ? this->Upstream->instance() : ""},
             {"load",
              std::string(Field->value().substr(0, MaxUpstreamLoadLength))}});
}

bool UpstreamGate::readLeaving(const HttpResponse &Response) {
  if (Response[this->Headers.ServerLeaving] != "1")
    return false;
  if (this->OnLeaving && this->Upstream && !this->Upstream->draining())
    this->OnLeaving(proto::UpstreamEntry(*this->Upstream));
  return true;
}

void UpstreamGate::setLimit(std::optional<double> CallsPerSecond) {
  if (CallsPerSecond == this->Queue.rateLimit())
    return;
  logLine(LogLevel::Info, "limit of the upstream changed",
          {{"instance", this->Upstream ? this->Upstream->instance() : ""},
           {"calls_per_s", CallsPerSecond ? absl::StrCat(*CallsPerSecond)
                                          : std::string("none")},
           {"source", this->HasReadLimit ? "upstream" : "caller's node"}});
  this->Queue.setRateLimit(CallsPerSecond, monoNow());
}

void UpstreamGate::recordResult(const Call &ActiveCall,
                                const proto::CallReply &Reply) {
  if (!Reply.arrived() || ActiveCall.IsCancelled)
    return;
  const auto ProcessingTime =
      std::chrono::duration_cast<std::chrono::microseconds>(
          monoNow() - ActiveCall.StartTime);
  const bool Failed = Reply.outcome() == proto::UNKNOWN ||
                      (Reply.outcome() == proto::ANSWERED &&
                       isUpstreamFailure(Reply.status())) ||
                      Reply.outcome() == proto::NOT_RUN;
  this->FailureRate +=
      internal::FailureRateWeight * ((Failed ? 1.0 : 0.0) - this->FailureRate);
  if (!Failed) {
    const Micros UsualTime =
        this->Speed.atUsualSpeed(ProcessingTime, monoNow());
    this->ProcessingTimes.try_emplace(ActiveCall.Request.route(), UsualTime)
        .first->second.add(UsualTime);
  }
  if (this->OnResult)
    this->OnResult({ActiveCall.Request.route(), Failed,
                    Reply.outcome() == proto::NOT_RUN, ProcessingTime});
}

void UpstreamGate::logEnd(const Call &ActiveCall,
                          const proto::CallReply &Reply) {
  const bool IsSuccess =
      Reply.outcome() == proto::ANSWERED && !isUpstreamFailure(Reply.status());
  if (IsSuccess && !this->SuccessLogLimit.allow(monoNow()))
    return;
  const auto WaitTime = std::chrono::duration_cast<Millis>(
      ActiveCall.StartTime - ActiveCall.ArrivalTime);
  const auto ProcessingTime =
      std::chrono::duration_cast<Millis>(monoNow() - ActiveCall.StartTime);
  logLine(LogLevel::Info, "call ended at the upstream",
          {{"request", ActiveCall.Request.request_id()},
           {"route", ActiveCall.Request.route()},
           {"instance", ActiveCall.Request.instance()},
           {"outcome", proto::CallOutcome_Name(Reply.outcome())},
           {"status", std::to_string(Reply.status())},
           {"reason", Reply.reason()},
           {"waited_ms", std::to_string(WaitTime.count())},
           {"worked_ms", std::to_string(ProcessingTime.count())}});
}

void UpstreamGate::finish(const std::shared_ptr<Call> &ActiveCall,
                          proto::CallReply Reply) {
  this->Queue.finish(ActiveCall->Ticket);
  this->Calls.erase(ActiveCall->Ticket);
  this->LastCallEnd = monoNow();
  this->releaseSuspect(ActiveCall->Ticket);
  if (Reply.outcome() == proto::ANSWERED && !this->Unattended.empty())
    this->Unattended.removeAnswered(
        internal::fingerprintOf(ActiveCall->Request));
  this->recordResult(*ActiveCall, Reply);
  this->logEnd(*ActiveCall, Reply);
  Reply.set_work_us(static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          monoNow() - ActiveCall->StartTime)
          .count()));
  this->startQueuedCalls();
  this->reply(*ActiveCall, std::move(Reply));
  this->Pool.prune(monoNow());
}

} // namespace persimmonquay
