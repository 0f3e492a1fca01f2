#include "persimmonquay/daemon/call_router.h"

#include "persimmonquay/base/hashing.h"
#include "persimmonquay/base/logging.h"
#include "persimmonquay/daemon/caller_server.h"
#include "persimmonquay/daemon/connection_headers.h"
#include "persimmonquay/daemon/metrics.h"
#include "persimmonquay/daemon/peer_link.h"
#include "persimmonquay/daemon/route_target.h"
#include "persimmonquay/daemon/routed_call.h"
#include "persimmonquay/daemon/upstream_gate.h"
#include "persimmonquay/rollout/rollout_table.h"
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <utility>

namespace persimmonquay {
namespace internal {

/// Offers to upstreams of the own data centre before the shortest known queue
/// is joined; with three, one in a thousand calls meets only full upstreams
/// while a tenth of all are full.
constexpr std::size_t MaxLocalOffers = 3;

/// Offers to upstreams of other data centres; each costs a transfer.
constexpr std::size_t MaxRemoteOffers = 2;

/// Part of the expected work that a call may wait at the first upstreams it is
/// offered to, before others are asked.
constexpr int FirstOfferWorkDivisor = 4;

/// Time for which a data centre that has rejected a call is not asked again
/// for the same service.
constexpr Millis RemoteBusyPause{100};

/// Time that an answer is awaited beyond the deadline, so that the upstream's
/// own word arrives; far less than callers notice.
constexpr Millis DeadlineGrace{60};

/// Work that is assumed of a route that was never measured.
constexpr Micros AssumedWork{50000};

/// Callers of one route differ in patience; what is below this part of the
/// longest patience seen is taken for time that has passed already.
constexpr double LeastPatience = 0.85;

/// Body from which another data centre is asked whether it would take a call
/// before the call is sent: several times the question and its answer.
constexpr std::size_t MinBodyToAsk = 1024;

/// Time for the answer to that question; several round trips.
constexpr Millis QuestionTimeout{250};

/// Part of a caller's patience for which a call is held while the node starts;
/// a rejected caller would return after about as long.
constexpr int HoldPartOfPatience = 8;

/// Interval at which a held call looks whether it can be placed by now.
constexpr Millis StartCheckInterval{10};

/// Patience that is assumed of a caller that states none.
constexpr Millis AssumedPatience{1000};

bool belongsToConnection(const HttpRequest &Message, std::string_view Name) {
  return isConnectionHeader(Name) ||
         http::token_list(Message[http::field::connection]).exists(Name);
}

} // namespace internal

/// What is kept for each service.
struct CallRouter::ServiceState {
  explicit ServiceState(RetryLimits Limits) : Budget(Limits) {}

  RetryBudget Budget;
  /// When data centres that were full may be asked again.
  std::map<std::string, MonoTime> RemoteBusyUntil;
};

CallRouter::CallRouter(CallRouterDependencies Given, LinkHandler Handler)
    : Parts(std::move(Given)),
      Random(hashBytes(this->Parts.OwnNode,
                       static_cast<std::uint64_t>(unixMillis(wallNow())))),
      Targets(this->Parts.Context, this->Parts.OwnNode, this->Parts.DataCentre,
              std::move(Handler)),
      Answers(this->Parts.Names, this->Random()) {}

CallRouter::~CallRouter() = default;

double CallRouter::random() {
  return std::uniform_real_distribution<double>(0, 1)(this->Random);
}

CallRouter::ServiceState &CallRouter::stateOf(const std::string &Service) {
  std::unique_ptr<ServiceState> &State = this->Services[Service];
  if (!State)
    State = std::make_unique<ServiceState>(this->Parts.Repeats);
  return *State;
}

void CallRouter::setRoutes(std::shared_ptr<const RouteTable> Table) {
  this->Routes = std::move(Table);
}

void CallRouter::updateNodes(const NodeDirectory &Nodes) {
  this->Targets.update(Nodes);
}

void CallRouter::stop() { this->Targets.stop(); }

std::shared_ptr<PeerLink> CallRouter::linkTo(const std::string &Node) const {
  return this->Targets.linkTo(Node);
}

LinkTraffic CallRouter::crossDataCentreTraffic() const {
  return this->Targets.crossDataCentreTraffic();
}

bool CallRouter::hasReachableUpstream() const {
  return this->Targets.hasReachableUpstream("");
}

bool CallRouter::canPlace(const HttpRequest &Message) const {
  if (!this->Routes)
    return false;
  const proto::MeshRoute *Route =
      this->Routes->find(std::string_view(Message[http::field::host]),
                         std::string_view(Message.target()));
  if (Route == nullptr)
    return true;
  return std::all_of(Route->parts().begin(), Route->parts().end(),
                     [this](const proto::TrafficPart &Part) {
                       return this->Targets.hasReachableUpstream(
                           Part.service());
                     });
}

asio::awaitable<void>
CallRouter::awaitStart(std::shared_ptr<CallerRequest> Request) {
  Millis Patience = internal::AssumedPatience;
  std::int64_t Stated = 0;
  if (absl::SimpleAtoi(
          std::string(Request->Message[this->Parts.Names.DeadlineRemaining]),
          &Stated))
    Patience = Millis(std::max<std::int64_t>(Stated, 0));
  const MonoTime Until =
      std::min(this->SettledAt,
               Request->Arrival + Patience / internal::HoldPartOfPatience);
  while (!this->canPlace(Request->Message) && !Request->CallerLeft &&
         monoNow() < Until) {
    Request->Wake.expires_after(internal::StartCheckInterval);
    co_await Request->Wake.async_wait(NoThrow);
  }
}

asio::awaitable<HttpResponse>
CallRouter::serve(std::shared_ptr<CallerRequest> Request) {
  if (Request->Arrival < this->SettledAt)
    co_await this->awaitStart(Request);
  auto Asked = std::make_shared<RoutedCall>();
  Asked->Request = std::move(Request);
  std::optional<HttpResponse> Answer = this->admit(*Asked);
  if (!Answer)
    Answer = co_await this->forward(Asked);
  if (Asked->Request->CallerLeft)
    Asked->End = RequestOutcome::CallerDisconnected;
  this->Parts.Counts.recordRequest(
      Asked->End,
      std::chrono::duration_cast<Micros>(monoNow() - Asked->Request->Arrival));
  co_return std::move(*Answer);
}

std::optional<HttpResponse> CallRouter::admit(RoutedCall &Asked) {
  const HttpRequest &Message = Asked.Request->Message;
  const MonoTime Now = Asked.Request->Arrival;
  Asked.RequestId = std::string(Message[this->Parts.Names.RequestId]);
  Asked.Routes = this->Routes;
  if (!Asked.Routes)
    return this->Answers.errorResponse(Asked, StatusUnavailable,
                                       "no configuration is known yet",
                                       DefaultRetryAfter);
  Asked.Route = Asked.Routes->find(std::string_view(Message[http::field::host]),
                                   std::string_view(Message.target()));
  if (Asked.Route == nullptr)
    return this->Answers.errorResponse(Asked, 404,
                                       "no route matches host and path", {});
  if (Asked.RequestId.empty())
    return this->Answers.errorResponse(
        Asked, 400,
        absl::StrCat("header \"", this->Parts.Names.RequestId, "\" is missing"),
        {});
  std::int64_t Remaining = 0;
  if (!absl::SimpleAtoi(
          std::string(Message[this->Parts.Names.DeadlineRemaining]),
          &Remaining) ||
      Remaining <= 0)
    Remaining = Asked.Route->timeout_ms();
  Asked.Patience = Millis(Remaining);
  Asked.Deadline =
      Now + std::min(Asked.Patience, Millis(Asked.Route->timeout_ms()));
  // A caller that returns after a rejection has less time left than at first;
  // its latency objective counts from its first attempt.
  Millis &Full = this->FullPatience[Asked.Route->name()];
  Full = std::max(Full, Asked.Patience);
  // What an upstream calls while it runs another call also has less time left.
  const bool IsNested = this->Parts.OwnGate.runsUntil(Now + Asked.Patience);
  const Millis Elapsed = IsNested
                             ? Millis{0}
                             : std::max(std::chrono::duration_cast<Millis>(
                                            Full * internal::LeastPatience) -
                                            Asked.Patience,
                                        Millis{0});
  Asked.Objective = Now + Millis(Asked.Route->latency_objective_ms()) - Elapsed;
  const auto Known = this->RouteWork.find(Asked.Route->name());
  const ServiceTimeEstimate Work =
      Known == this->RouteWork.end()
          ? ServiceTimeEstimate(internal::AssumedWork)
          : Known->second;
  Asked.Work = Work.mean();
  Asked.LikelyWork = Work.upper();
  std::vector<std::uint32_t> Weights;
  for (const proto::TrafficPart &Part : Asked.Route->parts())
    Weights.push_back(Part.weight());
  auto Split = this->Splits.find(Asked.Route->name());
  if (Split == this->Splits.end() || Split->second.weights() != Weights)
    Split = this->Splits
                .insert_or_assign(Asked.Route->name(),
                                  TrafficSplit(Weights, this->random()))
                .first;
  Asked.Service =
      Asked.Route->parts(static_cast<int>(Split->second.next())).service();
  Asked.Versions = this->Parts.Rollouts.chooseVersions(Asked.Service);
  this->stateOf(Asked.Service).Budget.recordCall(Now);
  return std::nullopt;
}

std::shared_ptr<RouteTarget> CallRouter::nextTarget(RoutedCall &Asked,
                                                    Micros *MaxWait) {
  const MonoTime Now = monoNow();
  std::vector<std::shared_ptr<RouteTarget>> All =
      this->Targets.candidates(Asked);
  if (All.empty() && Asked.Versions.Required) {
    // A share of a rollout's target that can't be served there goes to the
    // version that takes the rest.
    Asked.Versions = this->Parts.Rollouts.baselineVersions(Asked.Service);
    All = this->Targets.candidates(Asked);
  }
  // Where the own data centre has no upstream of the service, the others take
  // its place: there is nothing to be spared by waiting here.
  Asked.NoneHere = std::none_of(All.begin(), All.end(),
                                [](const std::shared_ptr<RouteTarget> &To) {
                                  return To->View.isLocal();
                                });
  std::erase_if(All, [&Asked](const std::shared_ptr<RouteTarget> &To) {
    return Asked.Busy.contains(To->Entry.node());
  });
  std::vector<const UpstreamView *> Views;
  std::vector<double> Tiebreak;
  for (const std::shared_ptr<RouteTarget> &To : All) {
    Views.push_back(&To->View);
    Tiebreak.push_back(this->random());
  }
  const std::vector<Candidate> Ranked = rankUpstreams(Views, Tiebreak, Now);
  const Micros Slack =
      std::chrono::duration_cast<Micros>(Asked.Objective - Now) -
      Asked.LikelyWork;
  ServiceState &State = this->stateOf(Asked.Service);
  for (const Candidate &Each : Ranked) {
    const std::shared_ptr<RouteTarget> &To = All[Each.Index];
    if (Each.Local || Asked.NoneHere) {
      if (Asked.LocalOffers >= internal::MaxLocalOffers)
        continue;
      // An offer far away costs a transfer: it may wait as long as is in time.
      const Micros Short = Asked.Work / internal::FirstOfferWorkDivisor;
      *MaxWait = Each.Local ? Short : std::max(Short, Slack);
      return To;
    }
    if (Asked.RemoteOffers >= internal::MaxRemoteOffers ||
        Now < State.RemoteBusyUntil[To->Entry.data_centre()])
      continue;
    // Crossing pays only if the queues here would make the call late.
    Micros ShortestHere = Micros::max();
    for (const auto &[Node, Wait] : Asked.Busy)
      ShortestHere = std::min(ShortestHere, Wait);
    if (!Asked.Busy.empty() && ShortestHere <= Slack && !Asked.JoinedQueue)
      break;
    if (Each.Wait > Slack && !Asked.Busy.empty())
      continue;
    *MaxWait = std::max(Slack, Micros{0});
    return To;
  }
  return this->bestKnown(Asked, MaxWait);
}

std::shared_ptr<RouteTarget> CallRouter::bestKnown(RoutedCall &Asked,
                                                   Micros *MaxWait) {
  if (Asked.JoinedQueue)
    return nullptr;
  Asked.JoinedQueue = true;
  std::shared_ptr<RouteTarget> Best;
  Micros Shortest = Micros::max();
  for (const std::shared_ptr<RouteTarget> &To :
       this->Targets.candidates(Asked)) {
    const auto Known = Asked.Busy.find(To->Entry.node());
    if (Known == Asked.Busy.end() || Known->second >= Shortest)
      continue;
    Best = To;
    Shortest = Known->second;
  }
  // The ingress decides whether waiting pays.
  *MaxWait =
      std::max(std::chrono::duration_cast<Micros>(Asked.Deadline - monoNow()),
               Micros{0});
  return Best;
}

proto::CallRequest CallRouter::question(const RoutedCall &Asked,
                                        const RouteTarget &To,
                                        Micros MaxWait) const {
  const MonoTime Now = monoNow();
  proto::CallRequest Result;
  Result.set_only_ask(true);
  Result.set_service(Asked.Service);
  Result.set_route(Asked.Route->name());
  Result.set_instance(To.Entry.upstream().instance());
  Result.set_remaining_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(
      std::chrono::duration_cast<Millis>(Asked.Deadline - Now).count(), 0)));
  Result.set_objective_ms(static_cast<std::int32_t>(
      std::chrono::duration_cast<Millis>(Asked.Objective - Now).count()));
  Result.set_priority(Asked.Route->priority());
  Result.set_max_wait_ms(static_cast<std::uint32_t>(
      std::chrono::duration_cast<Millis>(MaxWait).count()));
  return Result;
}

proto::CallRequest CallRouter::callRequest(const RoutedCall &Asked,
                                           const RouteTarget &To,
                                           Micros MaxWait) const {
  const HttpRequest &Message = Asked.Request->Message;
  proto::CallRequest Result = this->question(Asked, To, MaxWait);
  Result.clear_only_ask();
  Result.set_request_id(Asked.RequestId);
  Result.set_calling_service(this->Parts.OwnService);
  Result.set_method(std::string(Message.method_string()));
  Result.set_target(std::string(Message.target()));
  for (const auto &Field : Message) {
    if (internal::belongsToConnection(Message, Field.name_string()) ||
        boost::beast::iequals(Field.name_string(),
                              this->Parts.Names.DeadlineRemaining) ||
        boost::beast::iequals(Field.name_string(),
                              this->Parts.Names.CallingService) ||
        boost::beast::iequals(Field.name_string(),
                              this->Parts.Names.ExpectedInstance))
      continue;
    proto::HeaderField *Copy = Result.add_headers();
    Copy->set_name(std::string(Field.name_string()));
    Copy->set_value(std::string(Field.value()));
  }
  Result.set_body(Message.body());
  Result.set_idempotent(Asked.Route->idempotent());
  Result.set_configuration_version(Asked.Routes->version());
  return Result;
}

asio::awaitable<bool>
CallRouter::offer(const std::shared_ptr<RoutedCall> &Asked, RouteTarget &To,
                  Micros MaxWait) {
  const bool AskFirst =
      !To.View.isLocal() &&
      Asked->Request->Message.body().size() >= internal::MinBodyToAsk;
  if (AskFirst) {
    co_await this->exchange(Asked, To, this->question(*Asked, To, MaxWait),
                            monoNow() + internal::QuestionTimeout);
    if (Asked->Request->CallerLeft)
      co_return false;
    if (!Asked->Reply || Asked->Reply->outcome() != proto::WOULD_TAKE) {
      // Whatever became of the question, the call itself was not sent.
      proto::CallReply Refusal =
          std::move(Asked->Reply).value_or(proto::CallReply());
      Refusal.set_outcome(proto::NOT_RUN);
      Refusal.set_arrived(false);
      Asked->Reply = std::move(Refusal);
      co_return true;
    }
  }
  co_await this->exchange(Asked, To, this->callRequest(*Asked, To, MaxWait),
                          Asked->Deadline + internal::DeadlineGrace);
  if (Asked->Reply)
    co_return true;
  this->Parts.Counts.recordAttempt(To.View.isLocal(),
                                   AttemptOutcome::Abandoned);
  Asked->LastReason = "no reply from the node in time";
  Asked->MayHaveRun = true;
  co_return false;
}

asio::awaitable<void>
CallRouter::exchange(const std::shared_ptr<RoutedCall> &Asked, RouteTarget &To,
                     proto::CallRequest Request, MonoTime Until) {
  const std::uint64_t Attempt = ++Asked->Attempt;
  Asked->Reply.reset();
  auto Handler = [Asked, Attempt](proto::CallReply Reply) {
    if (Asked->Attempt != Attempt)
      return;
    Asked->Reply = std::move(Reply);
    Asked->Request->Wake.cancel();
  };
  To.View.recordSent();
  const std::shared_ptr<PeerLink> Link = To.Link;
  const std::uint64_t Ticket =
      Link ? Link->submit(std::move(Request), Handler)
           : this->Parts.OwnGate.submit(std::move(Request), Handler);
  while (!Asked->Reply && !Asked->Request->CallerLeft) {
    Asked->Request->Wake.expires_at(Until);
    const auto [Error] = co_await Asked->Request->Wake.async_wait(NoThrow);
    if (!Error)
      break;
  }
  To.View.recordEnded();
  if (Asked->Reply)
    co_return;
  ++Asked->Attempt;
  if (Link)
    Link->cancel(Ticket);
  else
    this->Parts.OwnGate.cancel(Ticket);
}

void CallRouter::noteReply(RoutedCall &Asked, RouteTarget &To,
                           const proto::CallReply &Reply) {
  const MonoTime Now = monoNow();
  const std::string &Node = To.Entry.node();
  if (Reply.has_load()) {
    To.View.recordLoad(Reply.load().running(), Reply.load().waiting(),
                       Reply.load().slots(),
                       std::chrono::microseconds(Reply.load().wait_us()), Now);
    To.View.recordFleetFailureRate(Reply.load().failed_permille() / 1000.0,
                                   Now);
  }
  Asked.LastReason = Reply.reason();
  this->Parts.Counts.recordAttempt(
      To.View.isLocal(),
      Reply.outcome() == proto::ANSWERED  ? AttemptOutcome::Answered
      : Reply.outcome() == proto::UNKNOWN ? AttemptOutcome::Lost
      : Reply.reason() == BusyReason      ? AttemptOutcome::Busy
                                          : AttemptOutcome::NotRun);
  if (Reply.resent() > 0)
    this->stateOf(Asked.Service).Budget.charge(Reply.resent(), Now);
  if (Reply.arrived()) {
    Asked.Arrived += 1 + Reply.resent();
    const bool Failed =
        Reply.outcome() != proto::ANSWERED || Reply.status() >= 500;
    To.View.recordResult(Failed, Micros(Reply.work_us()), Now);
    if (!Failed)
      this->RouteWork.try_emplace(Asked.Route->name(), Micros(Reply.work_us()))
          .first->second.add(Micros(Reply.work_us()));
  }
  switch (Reply.outcome()) {
  case proto::ANSWERED:
    ++Asked.Ran;
    if (Reply.status() >= 500)
      Asked.Failure = Reply;
    Asked.Excluded.insert(Node);
    return;
  case proto::UNKNOWN:
    ++Asked.Ran;
    Asked.MayHaveRun = true;
    Asked.Excluded.insert(Node);
    return;
  default:
    break;
  }
  Asked.RetryAfter =
      Asked.RetryAfter == Millis{0}
          ? Millis(Reply.retry_after_ms())
          : std::min(Asked.RetryAfter,
                     std::max(Millis(Reply.retry_after_ms()), Millis{1}));
  if (Reply.retry_after_ms() == 0) {
    Asked.Excluded.insert(Node);
    return;
  }
  Asked.Busy[Node] = Micros(Reply.load().wait_us());
  if (To.View.isLocal() || Asked.NoneHere) {
    ++Asked.LocalOffers;
  } else {
    ++Asked.RemoteOffers;
    this->stateOf(Asked.Service).RemoteBusyUntil[To.Entry.data_centre()] =
        Now + internal::RemoteBusyPause;
  }
}

bool CallRouter::mayRepeat(RoutedCall &Asked, const proto::CallReply &Reply) {
  if (!Reply.arrived())
    return true;
  const MonoTime Now = monoNow();
  if (Reply.outcome() != proto::NOT_RUN && !Asked.Route->idempotent())
    return false;
  if (Asked.Arrived >= std::max<std::uint32_t>(Asked.Route->max_attempts(), 1))
    return false;
  if (Now + Asked.Work / 2 > Asked.Deadline)
    return false;
  if (this->Targets.candidates(Asked).empty())
    return false;
  const bool Allowed =
      this->stateOf(Asked.Service).Budget.trySpend(this->Targets.size(), Now);
  this->Parts.Counts.recordRetry(Allowed);
  logLine(LogLevel::Info, Allowed ? "call is repeated" : "no budget to repeat",
          {{"request", Asked.RequestId},
           {"service", Asked.Service},
           {"reason", Reply.reason()},
           {"status", std::to_string(Reply.status())},
           {"arrivals", std::to_string(Asked.Arrived)}});
  if (!Allowed)
    return false;
  // The repeat may join any queue again.
  Asked.JoinedQueue = false;
  return true;
}

asio::awaitable<HttpResponse>
CallRouter::forward(std::shared_ptr<RoutedCall> Asked) {
  while (true) {
    Micros MaxWait{0};
    const std::shared_ptr<RouteTarget> To = this->nextTarget(*Asked, &MaxWait);
    if (!To || monoNow() >= Asked->Deadline)
      break;
    if (!co_await this->offer(Asked, *To, MaxWait))
      break;
    const proto::CallReply Reply = std::move(*Asked->Reply);
    this->noteReply(*Asked, *To, Reply);
    if (Reply.outcome() == proto::ANSWERED && Reply.status() < 500) {
      this->Answers.logAnswered(*Asked, Reply, *To);
      co_return this->Answers.upstreamResponse(Reply);
    }
    if (!this->mayRepeat(*Asked, Reply))
      break;
  }
  co_return this->Answers.failureResponse(*Asked);
}

} // namespace persimmonquay
