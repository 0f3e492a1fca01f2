#include "persimmonquay/daemon/upstream_gate.h"

#include "persimmonquay/base/logging.h"
#include "persimmonquay/daemon/connection_headers.h"
#include "persimmonquay/daemon/connection_timer.h"
#include "persimmonquay/daemon/metrics.h"
#include "persimmonquay/daemon/sockets.h"
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cmath>
#include <utility>

namespace persimmonquay {
namespace internal {

/// Idle time up to which a kept connection is trusted with a call that must not
/// run twice: if the connection breaks, nobody knows whether the call ran.
constexpr Millis MaxIdleForOnce{100};
constexpr Millis MaxIdleForIdempotent{60000};

/// Rest after which a broken connection is taken to have been closed or
/// forgotten before the call came; no upstream closes sooner.
constexpr Millis MinRestToResend{100};

/// Time for which nothing is resent after a resent call broke off as well:
/// then not the rest but the upstream was at fault.
constexpr Millis ResendPause{10000};

/// Time for a connection to a process on the same host.
constexpr Millis ConnectTimeout{400};

/// Pause after the upstream could not be connected to.
constexpr Millis UnreachablePause{300};

/// Time beyond a call's deadline in which the upstream's own answer that it
/// has given up may still arrive.
constexpr Millis AnswerGrace{150};

/// Silence on the connection after which the kernel gives it up; on one host
/// every acknowledgement is immediate.
constexpr Millis UpstreamSilenceLimit{2000};

/// Difference of two deadlines that are the same, told in whole milliseconds
/// over two hops on one host.
constexpr Millis DeadlineTolerance{8};

/// Longest answer; protects the node's memory.
constexpr std::uint64_t MaxAnswerBytes = 64U << 20U;

/// Answers to earlier calls that may be skipped on one connection.
constexpr int MaxStrayAnswers = 3;

/// Work that is assumed of a route that was never measured, as part of its
/// latency objective.
constexpr int AssumedWorkDivisor = 3;

/// Lines a second about calls that went well; those about others are not
/// limited.
constexpr double PlainLinesPerSecond = 2;

/// Weight of one result in the failure rate that is reported to other nodes.
constexpr double FailureWeight = 0.05;

std::optional<Millis> statedIdleTime(const HttpResponse &Answer) {
  const std::string_view Text = Answer[http::field::keep_alive];
  constexpr std::string_view Key = "timeout=";
  const std::size_t At = Text.find(Key);
  if (At == Text.npos)
    return std::nullopt;
  const std::string_view Digits = Text.substr(At + Key.size());
  int Seconds = 0;
  if (!absl::SimpleAtoi(std::string(Digits.substr(0, Digits.find(','))),
                        &Seconds))
    return std::nullopt;
  return std::chrono::seconds(Seconds);
}

} // namespace internal

/// A call from its admission to its reply.
struct UpstreamGate::Call {
  Call(asio::io_context &Context) : Timer(Context) {}

  std::uint64_t Ticket = 0;
  proto::CallRequest Request;
  ReplyHandler Reply;
  MonoTime Arrival;
  MonoTime Deadline;
  MonoTime Started;
  bool Running = false;
  bool Cancelled = false;
  std::shared_ptr<UpstreamConnection> Connection;
  /// Closes the connection when the call has taken too long.
  asio::steady_timer Timer;
};

/// How one exchange with the upstream ended.
struct UpstreamGate::Exchange {
  enum class End { Answered, NothingSent, Broken };
  End Ending = End::Broken;
  HttpResponse Answer;
  std::string Error;
  /// Bytes of an answer have come in.
  bool AnswerBegun = false;
};

UpstreamGate::UpstreamGate(asio::io_context &Loop, HeaderNames HeaderWords,
                           Tcp::endpoint UpstreamAddress, Metrics &Counters)
    : Context(Loop), Counts(Counters),
      PlainLines(internal::PlainLinesPerSecond, internal::PlainLinesPerSecond),
      Names(std::move(HeaderWords)), Address(std::move(UpstreamAddress)),
      ExpiryTimer(Loop) {}

UpstreamGate::~UpstreamGate() = default;

std::optional<std::string>
UpstreamGate::whyUnavailable(const proto::CallRequest &Request) const {
  if (this->Stopping)
    return "the node stops";
  if (!this->Upstream)
    return "no upstream is registered";
  if (this->Upstream->draining())
    return "the upstream drains";
  if (this->Upstream->service() != Request.service() ||
      this->Upstream->instance() != Request.instance())
    return "another upstream has taken the place";
  if (monoNow() < this->UnreachableUntil)
    return "the upstream can't be reached";
  return std::nullopt;
}

ServiceTimeEstimate
UpstreamGate::expectedWork(const proto::CallRequest &Request) const {
  const auto Known = this->Work.find(Request.route());
  if (Known != this->Work.end())
    return Known->second;
  return ServiceTimeEstimate(std::max<std::chrono::microseconds>(
      Millis(Request.objective_ms()) / internal::AssumedWorkDivisor,
      Millis(1)));
}

QueuedCall UpstreamGate::queuedCall(std::uint64_t Ticket,
                                    const proto::CallRequest &Asked,
                                    MonoTime Now) const {
  const ServiceTimeEstimate Expected = this->expectedWork(Asked);
  return {Ticket,
          Asked.priority(),
          Now + Millis(Asked.objective_ms()),
          Now + Millis(Asked.remaining_ms()),
          Expected.mean(),
          Expected.upper()};
}

proto::CallReply
UpstreamGate::checkAdmission(const proto::CallRequest &Question) const {
  proto::CallReply Reply;
  Reply.set_id(Question.id());
  Reply.set_outcome(proto::WOULD_TAKE);
  *Reply.mutable_load() = this->load();
  std::optional<std::string> Why = this->whyUnavailable(Question);
  if (!Why) {
    const MonoTime Now = monoNow();
    const std::optional<RejectedCall> Rejected =
        this->Queue.whyRejected(this->queuedCall(0, Question, Now),
                                Millis(Question.max_wait_ms()), Now);
    if (!Rejected)
      return Reply;
    Why = std::string(Rejected->Reason);
    Reply.set_retry_after_ms(static_cast<std::uint32_t>(
        std::chrono::duration_cast<Millis>(Rejected->RetryAfter).count()));
  }
  Reply.set_outcome(proto::NOT_RUN);
  Reply.set_reason(*Why);
  return Reply;
}

std::uint64_t UpstreamGate::submit(proto::CallRequest Request,
                                   ReplyHandler Handler) {
  const MonoTime Now = monoNow();
  auto Offered = std::make_shared<Call>(this->Context);
  Offered->Ticket = this->NextTicket++;
  Offered->Reply = std::move(Handler);
  Offered->Arrival = Now;
  Offered->Deadline = Now + Millis(Request.remaining_ms());
  Offered->Request = std::move(Request);
  const std::uint64_t Ticket = Offered->Ticket;
  this->Calls[Ticket] = Offered;
  if (const std::optional<std::string> Why =
          this->whyUnavailable(Offered->Request)) {
    this->reject({Ticket, *Why, Micros{0}});
    return Ticket;
  }
  const proto::CallRequest &Asked = Offered->Request;
  const Admission Result = this->Queue.offer(
      this->queuedCall(Ticket, Asked, Now), Millis(Asked.max_wait_ms()), Now);
  this->rejectAll(Result.Displaced);
  if (Result.Verdict == AdmissionVerdict::Reject)
    this->reject(Result.Rejection);
  else if (Result.Verdict == AdmissionVerdict::Start)
    this->start(Ticket);
  else
    this->Counts.recordGateAction(GateAction::Waited);
  this->armExpiry();
  return Ticket;
}

void UpstreamGate::cancel(std::uint64_t Ticket) {
  const auto Found = this->Calls.find(Ticket);
  if (Found == this->Calls.end())
    return;
  const std::shared_ptr<Call> Given = Found->second;
  Given->Cancelled = true;
  this->Counts.recordGateAction(GateAction::Cancelled);
  logLine(LogLevel::Info, "call given up by its caller",
          {{"request", Given->Request.request_id()},
           {"state", Given->Running ? "running" : "waiting"}});
  if (!Given->Running) {
    this->Queue.cancel(Ticket);
    this->Calls.erase(Found);
    return;
  }
  ErrorCode Ignored;
  if (Given->Request.idempotent() && Given->Connection)
    Given->Connection->Socket.close(Ignored);
}

void UpstreamGate::setUpstream(std::optional<proto::UpstreamEntry> Registered) {
  const bool Replaced =
      Registered &&
      (!this->Upstream ||
       this->Upstream->instance() != Registered->instance() ||
       this->Upstream->started_unix_ms() != Registered->started_unix_ms());
  if (Replaced) {
    this->Pool.closeAll();
    this->Work.clear();
    this->FailureRate = 0;
  }
  this->Upstream = std::move(Registered);
  this->UnreachableUntil = MonoTime{};
  if (!this->Upstream || this->Upstream->draining())
    this->rejectAll(this->Queue.clear("the upstream drains"));
  else
    this->Queue.resize(this->Upstream->slots());
  this->startWaiting();
}

void UpstreamGate::stopAdmitting() {
  this->Stopping = true;
  this->rejectAll(this->Queue.clear("the node stops"));
}

bool UpstreamGate::runsUntil(MonoTime Deadline) const {
  for (const auto &[Ticket, Each] : this->Calls)
    if (Each->Running && std::chrono::abs(Each->Deadline - Deadline) <
                             internal::DeadlineTolerance)
      return true;
  return false;
}

proto::LoadReport UpstreamGate::load() const {
  proto::LoadReport Report;
  Report.set_running(static_cast<std::uint32_t>(this->Queue.running()));
  Report.set_waiting(static_cast<std::uint32_t>(this->Queue.waiting()));
  Report.set_slots(static_cast<std::uint32_t>(this->Queue.slots()));
  Report.set_wait_us(static_cast<std::uint32_t>(std::min<std::int64_t>(
      this->Queue.predictedWait(monoNow()).count(), UINT32_MAX)));
  Report.set_failed_permille(
      static_cast<std::uint32_t>(std::lround(this->FailureRate * 1000)));
  return Report;
}

void UpstreamGate::reject(const RejectedCall &Rejected) {
  const auto Found = this->Calls.find(Rejected.Id);
  if (Found == this->Calls.end())
    return;
  const std::shared_ptr<Call> Refused = Found->second;
  this->Calls.erase(Found);
  this->Counts.recordGateAction(GateAction::Rejected);
  // Busy is an answer to a question; the router says what it made of it.
  if (Rejected.Reason != BusyReason)
    logLine(
        LogLevel::Info, "call rejected before the upstream",
        {{"request", Refused->Request.request_id()},
         {"route", Refused->Request.route()},
         {"reason", std::string(Rejected.Reason)},
         {"running", std::to_string(this->Queue.running())},
         {"waiting", std::to_string(this->Queue.waiting())},
         {"slots", std::to_string(this->Queue.slots())},
         {"remaining_ms", std::to_string(Refused->Request.remaining_ms())}});
  proto::CallReply Reply;
  Reply.set_outcome(proto::NOT_RUN);
  Reply.set_reason(std::string(Rejected.Reason));
  Reply.set_retry_after_ms(static_cast<std::uint32_t>(
      std::chrono::duration_cast<Millis>(Rejected.RetryAfter).count()));
  this->reply(*Refused, std::move(Reply));
}

void UpstreamGate::rejectAll(const std::vector<RejectedCall> &Rejected) {
  for (const RejectedCall &Each : Rejected)
    this->reject(Each);
}

void UpstreamGate::reply(Call &Finished, proto::CallReply Reply) {
  if (Finished.Cancelled)
    return;
  Reply.set_id(Finished.Request.id());
  *Reply.mutable_load() = this->load();
  Finished.Reply(std::move(Reply));
}

void UpstreamGate::start(std::uint64_t Ticket) {
  const std::shared_ptr<Call> Starting = this->Calls.at(Ticket);
  Starting->Running = true;
  Starting->Started = monoNow();
  this->Counts.recordGateAction(GateAction::Started);
  this->Counts.recordGateWait(std::chrono::duration_cast<Micros>(
      Starting->Started - Starting->Arrival));
  asio::co_spawn(
      this->Context, [this, Starting] { return this->run(Starting); },
      asio::detached);
}

void UpstreamGate::startWaiting() {
  const MonoTime Now = monoNow();
  this->rejectAll(this->Queue.expire(Now));
  while (const std::optional<std::uint64_t> Next = this->Queue.startNext(Now))
    this->start(*Next);
  this->armExpiry();
}

void UpstreamGate::armExpiry() {
  const std::optional<MonoTime> Next = this->Queue.nextExpiry();
  if (!Next) {
    this->ExpiryTimer.cancel();
    return;
  }
  this->ExpiryTimer.expires_at(*Next);
  this->ExpiryTimer.async_wait([this](const ErrorCode &Error) {
    if (!Error)
      this->startWaiting();
  });
}

asio::awaitable<bool> UpstreamGate::connect(Call &Running) {
  const bool Idempotent = Running.Request.idempotent();
  Running.Connection = this->Pool.take(
      Idempotent ? internal::MaxIdleForIdempotent : internal::MaxIdleForOnce,
      monoNow());
  if (Running.Connection)
    co_return true;
  Running.Connection =
      std::make_shared<UpstreamConnection>(Tcp::socket(this->Context));
  const std::shared_ptr<UpstreamConnection> Opening = Running.Connection;
  const ConnectionTimer Limit(Running.Timer,
                              monoNow() + internal::ConnectTimeout, Opening);
  const auto [Error] =
      co_await Opening->Socket.async_connect(this->Address, NoThrow);
  if (Error || !Opening->Socket.is_open())
    co_return false;
  configureConnection(Opening->Socket, internal::UpstreamSilenceLimit);
  co_return true;
}

HttpRequest UpstreamGate::upstreamRequest(const Call &Running) const {
  const proto::CallRequest &Request = Running.Request;
  HttpRequest Result;
  Result.version(11);
  Result.method_string(Request.method());
  Result.target(Request.target());
  for (const proto::HeaderField &Field : Request.headers())
    Result.insert(Field.name(), Field.value());
  const auto Left =
      std::chrono::duration_cast<Millis>(Running.Deadline - monoNow());
  Result.set(this->Names.DeadlineRemaining,
             std::to_string(std::max<std::int64_t>(Left.count(), 1)));
  Result.set(this->Names.CallingService, Request.calling_service());
  Result.set(this->Names.ExpectedInstance, Request.instance());
  Result.body() = Request.body();
  if (!Request.body().empty() ||
      (Request.method() != "GET" && Request.method() != "HEAD"))
    Result.content_length(Request.body().size());
  return Result;
}

asio::awaitable<UpstreamGate::Exchange> UpstreamGate::exchange(Call &Running) {
  Exchange Result;
  const std::shared_ptr<UpstreamConnection> Connection = Running.Connection;
  const ConnectionTimer Limit(
      Running.Timer, Running.Deadline + internal::AnswerGrace, Connection);
  HttpRequest Request = this->upstreamRequest(Running);
  const auto [WriteError, Written] =
      co_await http::async_write(Connection->Socket, Request, NoThrow);
  if (WriteError) {
    Result.Error = WriteError.message();
    co_return Result;
  }
  for (int Stray = 0; Stray <= internal::MaxStrayAnswers; ++Stray) {
    http::response_parser<http::string_body> Parser;
    Parser.body_limit(internal::MaxAnswerBytes);
    if (Running.Request.method() == "HEAD")
      Parser.skip(true);
    const auto [Error, Size] = co_await http::async_read(
        Connection->Socket, Connection->Buffer, Parser, NoThrow);
    Result.AnswerBegun = Result.AnswerBegun || Size > 0;
    if (Error) {
      Result.Error = Error.message();
      co_return Result;
    }
    Result.Answer = Parser.release();
    const std::string_view Id = Result.Answer[this->Names.RequestId];
    if (Id.empty() || Id == Running.Request.request_id()) {
      Result.Ending = Exchange::End::Answered;
      co_return Result;
    }
    logLine(LogLevel::Info, "answer to another call skipped",
            {{"request", Running.Request.request_id()},
             {"answer_to", std::string(Id)}});
  }
  Result.Error = "answers to other calls only";
  co_return Result;
}

bool UpstreamGate::mayResend(const Call &Broken) const {
  const MonoTime Now = monoNow();
  const std::optional<Millis> Rested = Broken.Connection->Rested;
  return Rested && *Rested >= internal::MinRestToResend &&
         Broken.Request.idempotent() && !Broken.Cancelled &&
         Now < Broken.Deadline && Now >= this->ResendFrom;
}

asio::awaitable<void> UpstreamGate::run(std::shared_ptr<Call> Running) {
  proto::CallReply Reply;
  std::uint32_t Resent = 0;
  for (bool Again = true; Again;) {
    Again = false;
    if (!co_await this->connect(*Running)) {
      this->UnreachableUntil = monoNow() + internal::UnreachablePause;
      Reply.set_outcome(proto::NOT_RUN);
      Reply.set_reason("the upstream can't be reached");
      break;
    }
    if (Running->Cancelled)
      break;
    Exchange Done = co_await this->exchange(*Running);
    const bool Broken =
        Done.Ending == Exchange::End::Broken && !Done.AnswerBegun;
    Again = Broken && Resent == 0 && this->mayResend(*Running);
    if (Broken && Resent > 0)
      this->ResendFrom = monoNow() + internal::ResendPause;
    if (Again)
      ++Resent;
    else
      Reply = this->judge(*Running, std::move(Done));
  }
  Reply.set_resent(Resent);
  this->finish(Running, std::move(Reply));
}

proto::CallReply UpstreamGate::judge(const Call &Running, Exchange Done) {
  proto::CallReply Reply;
  Reply.set_arrived(true);
  if (Done.Ending != Exchange::End::Answered) {
    Reply.set_outcome(proto::UNKNOWN);
    Reply.set_reason(
        absl::StrCat("the upstream's answer was lost: ", Done.Error));
    return Reply;
  }
  HttpResponse &Answer = Done.Answer;
  const bool Keep = Answer.keep_alive() && !Answer.need_eof() &&
                    Running.Connection->Buffer.size() == 0;
  if (Keep)
    this->Pool.keep(Running.Connection, internal::statedIdleTime(Answer),
                    monoNow());
  const unsigned Status = Answer.result_int();
  if (Answer.find(this->Names.NotExecuted) != Answer.end() || Status == 421) {
    Reply.set_outcome(proto::NOT_RUN);
    Reply.set_reason(absl::StrCat("the upstream rejected it with ", Status));
    return Reply;
  }
  const bool Success = Status >= 200 && Status < 300;
  if ((Success && Answer[this->Names.ResponseSignature].empty()) ||
      Answer.find(http::field::content_encoding) != Answer.end()) {
    Reply.set_outcome(proto::UNKNOWN);
    Reply.set_reason("the answer is not the upstream's own");
    return Reply;
  }
  Reply.set_outcome(proto::ANSWERED);
  Reply.set_status(Status);
  for (const auto &Field : Answer) {
    if (isConnectionHeader(Field.name_string()) ||
        Field.name_string() == this->Names.ServerLoad)
      continue;
    proto::HeaderField *Copy = Reply.add_headers();
    Copy->set_name(std::string(Field.name_string()));
    Copy->set_value(std::string(Field.value()));
  }
  Reply.set_body(std::move(Answer.body()));
  return Reply;
}

void UpstreamGate::noteWork(const Call &Ended, const proto::CallReply &Reply) {
  if (!Reply.arrived() || Ended.Cancelled)
    return;
  const auto Taken = std::chrono::duration_cast<std::chrono::microseconds>(
      monoNow() - Ended.Started);
  const bool Failed =
      Reply.outcome() == proto::UNKNOWN ||
      (Reply.outcome() == proto::ANSWERED && Reply.status() >= 500) ||
      Reply.outcome() == proto::NOT_RUN;
  this->FailureRate +=
      internal::FailureWeight * ((Failed ? 1.0 : 0.0) - this->FailureRate);
  if (!Failed)
    this->Work.try_emplace(Ended.Request.route(), Taken)
        .first->second.add(Taken);
  if (this->Results)
    this->Results({Ended.Request.route(), Failed, Taken});
}

void UpstreamGate::logEnd(const Call &Ended, const proto::CallReply &Reply) {
  const bool Plain = Reply.outcome() == proto::ANSWERED && Reply.status() < 500;
  if (Plain && !this->PlainLines.allow(monoNow()))
    return;
  const auto Waited =
      std::chrono::duration_cast<Millis>(Ended.Started - Ended.Arrival);
  const auto Worked =
      std::chrono::duration_cast<Millis>(monoNow() - Ended.Started);
  logLine(LogLevel::Info, "call ended at the upstream",
          {{"request", Ended.Request.request_id()},
           {"route", Ended.Request.route()},
           {"instance", Ended.Request.instance()},
           {"outcome", proto::CallOutcome_Name(Reply.outcome())},
           {"status", std::to_string(Reply.status())},
           {"reason", Reply.reason()},
           {"waited_ms", std::to_string(Waited.count())},
           {"worked_ms", std::to_string(Worked.count())}});
}

void UpstreamGate::finish(const std::shared_ptr<Call> &Ended,
                          proto::CallReply Reply) {
  this->Queue.finish(Ended->Ticket);
  this->Calls.erase(Ended->Ticket);
  this->noteWork(*Ended, Reply);
  this->logEnd(*Ended, Reply);
  Reply.set_work_us(static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(monoNow() -
                                                            Ended->Started)
          .count()));
  this->startWaiting();
  this->reply(*Ended, std::move(Reply));
  this->Pool.prune(monoNow());
}

} // namespace persimmonquay
