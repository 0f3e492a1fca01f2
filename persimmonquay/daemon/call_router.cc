#include "persimmonquay/daemon/call_router.h"

#include "persimmonquay/accounts/caller_access.h"
#include "persimmonquay/base/hashing.h"
#include "persimmonquay/base/http_status.h"
#include "persimmonquay/base/logging.h"
#include "persimmonquay/daemon/caller_server.h"
#include "persimmonquay/daemon/hop_by_hop_headers.h"
#include "persimmonquay/daemon/metrics.h"
#include "persimmonquay/daemon/peer_link.h"
#include "persimmonquay/daemon/quota_service.h"
#include "persimmonquay/daemon/route_target.h"
#include "persimmonquay/daemon/routed_call.h"
#include "persimmonquay/daemon/upstream_gate.h"
#include "persimmonquay/rollout/rollout_table.h"
#include "persimmonquay/traffic/cold_returns.h"
#include "persimmonquay/traffic/cold_start_limiter.h"
#include "persimmonquay/traffic/request_fingerprint.h"
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <utility>

namespace persimmonquay {
namespace internal {

/// Time for which no call to a service is offered to a data centre that has
/// just rejected one for the same service.
constexpr Millis RemoteBusyBackoff{100};

/// Extra time to wait for a reply after the deadline, so that the upstream's
/// own response to a timed-out call still arrives. Far less than callers
/// notice.
constexpr Millis DeadlineGrace{60};

/// A reply that has begun to arrive is awaited past that time until nothing of
/// it has arrived for this long: replies of more important calls may pass it.
constexpr Millis ReplyStallTimeout{1000};

/// Time to wait for the reply to a withdrawal; several round trips.
constexpr Millis WithdrawalTimeout{100};

/// Processing time that is assumed for a route without measurements.
constexpr Micros DefaultProcessingTime{50000};

/// A stated timeout below this fraction of the longest timeout seen on the
/// route is taken to belong to a caller's retry that has already used up part
/// of its time. Timeouts above it count as the normal difference between
/// callers.
constexpr double MinInitialTimeoutRatio = 0.85;

/// Request body size, in bytes, from which an upstream in another data centre
/// is asked whether it would admit the call before the call is sent: several
/// times the size of that request and its reply.
constexpr std::size_t MinBodyForAdmissionCheck = 1024;

/// Timeout of that admission check; several round trips.
constexpr Millis AdmissionCheckTimeout{250};

/// A call is held during startup for at most the caller's timeout divided by
/// this. A rejected caller would retry after about as long.
constexpr int HoldTimeDivisor = 8;

/// Interval at which a held call checks whether it can be routed.
constexpr Millis StartupCheckInterval{10};

/// Size of the frames of a call and its reply without their bodies.
constexpr std::size_t FrameOverheadBytes = 700;

/// Weight of one response in the moving average of the sizes of a route's
/// responses.
constexpr double ResponseBytesWeight = 0.05;

/// Time after the startup phase by which the calls have ended that the upstream
/// was running when this node started.
constexpr Millis EarlierCallsTime{3000};

/// A call whose key is not known is held at most for this long while other
/// nodes are asked for a newer configuration: time to ask several of them.
constexpr Millis MaxKeyWait{300};

/// Interval at which such a call checks whether there is an answer: about a
/// round trip within a data centre.
constexpr Millis KeyCheckInterval{4};

/// Timeout that is assumed for a caller that states none.
constexpr Millis DefaultCallerTimeout{1000};

std::uint64_t fingerprintOf(const RoutedCall &Call) {
  const HttpRequest &Message = Call.Request->Message;
  return requestFingerprint(std::string_view(Message.method_string()),
                            std::string_view(Message.target()), Message.body());
}

/// Returns the key in the headers of `Message`, which must outlive it.
CallerKey callerKeyOf(const HttpRequest &Message) {
  std::vector<std::string_view> Values;
  const auto [First, Last] = Message.equal_range(http::field::authorization);
  for (auto Field = First; Field != Last; ++Field)
    Values.push_back(Field->value());
  return readCallerKey(Values);
}

/// Also covers headers that the Connection header of `Message` names.
bool isHopByHop(const HttpRequest &Message, std::string_view Name) {
  return isHopByHopHeader(Name) ||
         http::token_list(Message[http::field::connection]).exists(Name);
}

} // namespace internal

/// State that is kept for each service.
struct CallRouter::ServiceState {
  explicit ServiceState(RetryLimits Limits) : Budget(Limits) {}

  RetryBudget Budget;
  /// Time until which a busy data centre is not offered calls, by data centre.
  std::map<std::string, MonoTime> RemoteBusyUntil;
  ColdReturns Returns;
};

CallRouter::CallRouter(CallRouterDependencies RouterDependencies,
                       ConfigurationHandler OnConfiguration)
    : Dependencies(std::move(RouterDependencies)),
      Random(hashBytes(this->Dependencies.LocalNode,
                       static_cast<std::uint64_t>(unixMillis(wallNow())))),
      Targets(this->Dependencies.IoContext, this->Dependencies.LocalNode,
              this->Dependencies.LocalDataCentre, this->Dependencies.LinkLimits,
              std::move(OnConfiguration)),
      Responses(this->Dependencies.Headers, this->Random()) {}

CallRouter::~CallRouter() = default;

double CallRouter::random() {
  return std::uniform_real_distribution<double>(0, 1)(this->Random);
}

CallRouter::ServiceState &CallRouter::serviceState(const std::string &Service) {
  std::unique_ptr<ServiceState> &State = this->ServiceStates[Service];
  if (!State)
    State = std::make_unique<ServiceState>(this->Dependencies.BudgetLimits);
  return *State;
}

void CallRouter::setRoutes(std::shared_ptr<const RouteTable> Table) {
  this->Routes = std::move(Table);
  std::size_t Withdrawn = 0;
  for (const std::shared_ptr<RoutedCall> &Call : this->KeyedCalls) {
    const proto::ClientAccount *Account =
        this->Routes->accounts().find(Call->Key);
    const bool IsValid =
        !this->Routes->accounts().requiresKeys() ||
        Call->Route->public_access() ||
        (Account != nullptr && Account->name() == Call->Account->name());
    if (IsValid || std::exchange(Call->IsKeyWithdrawn, true))
      continue;
    ++Withdrawn;
    if (Call->WithdrawOffer)
      Call->WithdrawOffer();
  }
  if (Withdrawn > 0)
    logLine(LogLevel::Info, "keys of calls in progress withdrawn",
            {{"version", std::to_string(this->Routes->version())},
             {"calls", std::to_string(Withdrawn)},
             {"calls_with_key", std::to_string(this->KeyedCalls.size())}});
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

const proto::MeshRoute *
CallRouter::findRoute(const HttpRequest &Message) const {
  return this->Routes
             ? this->Routes->find(std::string_view(Message[http::field::host]),
                                  std::string_view(Message.target()))
             : nullptr;
}

bool CallRouter::isIdempotent(const HttpRequest &Message) const {
  const proto::MeshRoute *Route = this->findRoute(Message);
  return Route != nullptr && Route->idempotent();
}

bool CallRouter::canRoute(const HttpRequest &Message) const {
  if (!this->Routes)
    return false;
  const proto::MeshRoute *Route = this->findRoute(Message);
  if (Route == nullptr)
    return true;
  return std::all_of(Route->parts().begin(), Route->parts().end(),
                     [this](const proto::TrafficPart &Part) {
                       return this->Targets.hasReachableUpstream(
                           Part.service());
                     });
}

asio::awaitable<void>
CallRouter::awaitStartup(std::shared_ptr<CallerRequest> Request) {
  const MonoTime HoldEnd = std::min(this->StartupEnd, this->holdEnd(*Request));
  while (!this->canRoute(Request->Message) && !Request->CallerDisconnected &&
         monoNow() < HoldEnd) {
    Request->WakeTimer.expires_after(internal::StartupCheckInterval);
    co_await Request->WakeTimer.async_wait(NoThrow);
  }
}

MonoTime CallRouter::holdEnd(const CallerRequest &Request) const {
  Millis CallerTimeout = internal::DefaultCallerTimeout;
  std::int64_t RemainingMs = 0;
  if (absl::SimpleAtoi(
          std::string(
              Request.Message[this->Dependencies.Headers.DeadlineRemaining]),
          &RemainingMs))
    CallerTimeout = Millis(std::max<std::int64_t>(RemainingMs, 0));
  return Request.Arrival + CallerTimeout / internal::HoldTimeDivisor;
}

bool CallRouter::hasUnknownKey(const HttpRequest &Message) const {
  if (!this->Routes || !this->Routes->accounts().requiresKeys())
    return false;
  const CallerKey Key = internal::callerKeyOf(Message);
  if (Key.Presented != CallerKey::Kind::Readable ||
      this->Routes->accounts().find(Key.Text) != nullptr)
    return false;
  const proto::MeshRoute *Route = this->findRoute(Message);
  return Route != nullptr && !Route->public_access();
}

asio::awaitable<void>
CallRouter::awaitKnownKey(std::shared_ptr<CallerRequest> Request) {
  const MonoTime HoldEnd = std::min(this->holdEnd(*Request),
                                    Request->Arrival + internal::MaxKeyWait);
  while (this->hasUnknownKey(Request->Message) &&
         !this->Dependencies.ConfirmNewest(Request->Arrival) &&
         !Request->CallerDisconnected && monoNow() < HoldEnd) {
    Request->WakeTimer.expires_after(internal::KeyCheckInterval);
    co_await Request->WakeTimer.async_wait(NoThrow);
  }
}

asio::awaitable<HttpResponse>
CallRouter::serve(std::shared_ptr<CallerRequest> Request) {
  if (Request->Arrival < this->StartupEnd)
    co_await this->awaitStartup(Request);
  if (this->hasUnknownKey(Request->Message))
    co_await this->awaitKnownKey(Request);
  auto Call = std::make_shared<RoutedCall>();
  Call->Request = std::move(Request);
  std::optional<HttpResponse> Response = this->prepareCall(*Call);
  if (!Response && Call->Account != nullptr) {
    this->KeyedCalls.insert(Call);
    if (Call->Account->rate_per_s() > 0)
      Response = co_await this->spendQuota(Call);
  }
  if (!Response) {
    this->serviceState(Call->Service).Budget.recordCall(monoNow());
    Response = co_await this->forward(Call);
  }
  this->KeyedCalls.erase(Call);
  if (Call->Charge && Call->RunCount == 0 && !Call->MayHaveRun)
    this->Dependencies.Quotas.giveBack(*Call->Charge);
  if (Call->Request->CallerDisconnected)
    Call->End = RequestOutcome::CallerDisconnected;
  this->Dependencies.Counters.recordRequest(
      Call->End,
      std::chrono::duration_cast<Micros>(monoNow() - Call->Request->Arrival));
  co_return std::move(*Response);
}

std::optional<HttpResponse> CallRouter::prepareCall(RoutedCall &Call) {
  const HttpRequest &Message = Call.Request->Message;
  const MonoTime Now = Call.Request->Arrival;
  Call.RequestId = std::string(Message[this->Dependencies.Headers.RequestId]);
  Call.Routes = this->Routes;
  if (!Call.Routes)
    return this->Responses.errorResponse(Call, StatusUnavailable,
                                         "no configuration is known yet",
                                         DefaultRetryAfter);
  Call.Route = Call.Routes->find(std::string_view(Message[http::field::host]),
                                 std::string_view(Message.target()));
  if (Call.Route == nullptr)
    return this->Responses.errorResponse(Call, 404,
                                         "no route matches host and path", {});
  if (std::optional<HttpResponse> Rejection = this->checkAccess(Call))
    return Rejection;
  if (!Call.Route->idempotent() && Call.Request->RequestsAhead > 0)
    return this->Responses.errorResponse(
        Call, StatusUnavailable,
        "the route has become non-idempotent since the request was read",
        DefaultRetryAfter);
  if (Call.RequestId.empty())
    return this->Responses.errorResponse(
        Call, 400,
        absl::StrCat("header \"", this->Dependencies.Headers.RequestId,
                     "\" is missing"),
        {});
  std::int64_t RemainingMs = 0;
  if (!absl::SimpleAtoi(
          std::string(Message[this->Dependencies.Headers.DeadlineRemaining]),
          &RemainingMs) ||
      RemainingMs <= 0)
    RemainingMs = Call.Route->timeout_ms();
  Call.CallerTimeout = Millis(RemainingMs);
  if (std::optional<HttpResponse> Rejection = this->rejectCrashing(Call))
    return Rejection;
  Call.Deadline =
      Now + std::min(Call.CallerTimeout, Millis(Call.Route->timeout_ms()));
  if (Call.Deadline > this->ShutdownEnd)
    return this->Responses.errorResponse(Call, StatusUnavailable,
                                         std::string(StoppingReason),
                                         DefaultRetryAfter);
  // A caller that retries after a rejection states a shorter timeout than at
  // first, but its latency objective counts from its first attempt. The time
  // that has elapsed since then is estimated from the difference.
  Millis &MaxTimeout = this->MaxCallerTimeouts[Call.Route->name()];
  MaxTimeout = std::max(MaxTimeout, Call.CallerTimeout);
  // Calls that an upstream makes while it runs another call state a shorter
  // timeout as well, without being retries.
  if (Call.Account == nullptr)
    Call.IsNested |= this->Dependencies.LocalGate.hasRunningCallWithDeadline(
        Now + Call.CallerTimeout);
  const Millis Elapsed =
      Call.IsNested
          ? Millis{0}
          : std::max(std::chrono::duration_cast<Millis>(
                         MaxTimeout * internal::MinInitialTimeoutRatio) -
                         Call.CallerTimeout,
                     Millis{0});
  Call.Objective = Now + Millis(Call.Route->latency_objective_ms()) - Elapsed;
  const auto Found = this->ProcessingTimes.find(Call.Route->name());
  const ProcessingTimeEstimate Estimate =
      Found == this->ProcessingTimes.end()
          ? ProcessingTimeEstimate(internal::DefaultProcessingTime)
          : Found->second;
  Call.MeanProcessingTime = Estimate.mean();
  Call.UpperProcessingTime = Estimate.upper();
  std::vector<std::uint32_t> Weights;
  for (const proto::TrafficPart &Part : Call.Route->parts())
    Weights.push_back(Part.weight());
  auto Split = this->TrafficSplits.find(Call.Route->name());
  if (Split == this->TrafficSplits.end() || Split->second.weights() != Weights)
    Split = this->TrafficSplits
                .insert_or_assign(Call.Route->name(),
                                  TrafficSplit(Weights, this->random()))
                .first;
  Call.Service =
      Call.Route->parts(static_cast<int>(Split->second.next())).service();
  Call.Versions = this->Dependencies.Rollouts.chooseVersions(Call.Service);
  return std::nullopt;
}

std::optional<HttpResponse> CallRouter::checkAccess(RoutedCall &Call) {
  HttpRequest &Message = Call.Request->Message;
  const AccountTable &Accounts = Call.Routes->accounts();
  if (!Accounts.requiresKeys())
    return std::nullopt;
  const CallerKey Key = internal::callerKeyOf(Message);
  UpstreamActivity Activity = UpstreamActivity::Idle;
  if (Key.Presented == CallerKey::Kind::Missing)
    Activity = this->Dependencies.LocalGate.activity();
  if (Activity == UpstreamActivity::Idle &&
      monoNow() < this->StartupEnd + internal::EarlierCallsTime)
    Activity = UpstreamActivity::Unknown;
  const CallerAccess Access =
      decideCallerAccess(Accounts, Key, Call.Route->public_access(), Activity);
  if (Access.Account != nullptr)
    Call.Key = std::string(Key.Text);
  Message.erase(http::field::authorization);
  Message.erase(this->Dependencies.Headers.Account);
  Call.Account = Access.Account;
  Call.IsNested = Access.Decision == CallerAccess::Verdict::AdmittedAsNested;
  if (Access.isAdmitted())
    return std::nullopt;
  if (Access.Decision == CallerAccess::Verdict::Undecided)
    return this->Responses.errorResponse(
        Call, StatusUnavailable,
        "calls of the upstream can't be recognized right now",
        DefaultRetryAfter);
  if (Access.Decision == CallerAccess::Verdict::UnknownKey &&
      !this->Dependencies.ConfirmNewest(Call.Request->Arrival))
    return this->Responses.errorResponse(
        Call, StatusUnavailable,
        "the caller's key is not known, and a newer configuration may hold it",
        DefaultRetryAfter);
  return this->Responses.errorResponse(Call, StatusUnauthorized,
                                       Access.Decision ==
                                               CallerAccess::Verdict::UnknownKey
                                           ? "no account has the caller's key"
                                           : "the call has no valid key",
                                       {});
}

asio::awaitable<std::optional<HttpResponse>>
CallRouter::spendQuota(std::shared_ptr<RoutedCall> Call) {
  const QuotaDecision Decision =
      co_await this->Dependencies.Quotas.admit(*Call->Account, Call->Request);
  switch (Decision.Verdict) {
  case QuotaDecision::Kind::Admitted:
    Call->Charge = Decision.Charge;
    co_return std::nullopt;
  case QuotaDecision::Kind::Refused:
    co_return this->Responses.errorResponse(*Call, StatusTooManyRequests,
                                            "the account is beyond its quota",
                                            Decision.RetryAfter);
  default:
    co_return this->Responses.errorResponse(
        *Call, StatusUnavailable, "the account's quota can't be checked",
        Decision.RetryAfter);
  }
}

CrashDecision CallRouter::crashDecision(const RoutedCall &Call) const {
  if (this->Dependencies.Crashes.empty())
    return {};
  return this->Dependencies.Crashes.decide(internal::fingerprintOf(Call),
                                           wallNow());
}

std::optional<HttpResponse> CallRouter::rejectCrashing(RoutedCall &Call) {
  const CrashDecision Decision = this->crashDecision(Call);
  if (Decision.Verdict != CrashVerdict::Reject)
    return std::nullopt;
  return this->Responses.errorResponse(
      Call, StatusUnavailable, std::string(CrashReason), Decision.RetryAfter);
}

void CallRouter::recordCrashes(const RoutedCall &Call,
                               const proto::CallReply &Reply) {
  CrashLedger &Crashes = this->Dependencies.Crashes;
  Crashes.merge(Reply.crashes(), wallNow());
  if (Reply.outcome() == proto::ANSWERED && !Crashes.empty())
    Crashes.recordAnswer(internal::fingerprintOf(Call));
}

std::shared_ptr<RouteTarget> CallRouter::nextTarget(RoutedCall &Call,
                                                    Micros *MaxWait) {
  const MonoTime Now = monoNow();
  std::vector<std::shared_ptr<RouteTarget>> Available =
      this->Targets.candidates(Call);
  if (Available.empty() && Call.Versions.Required) {
    // If no upstream of the rollout's target version is available, its share of
    // calls goes to the version that serves the rest.
    Call.Versions = this->Dependencies.Rollouts.baselineVersions(Call.Service);
    Available = this->Targets.candidates(Call);
  }
  this->removeClosed(Available, Call);
  std::vector<PlacementTarget> PlacementTargets;
  PlacementTargets.reserve(Available.size());
  for (const std::shared_ptr<RouteTarget> &Target : Available)
    PlacementTargets.push_back(
        {Target->Entry.node(), Target->Entry.data_centre(), Target->View});
  const ServiceState &State = this->serviceState(Call.Service);
  const std::optional<PlacementOffer> Offer = Call.Placement.nextOffer(
      this->placementGoal(Call), PlacementTargets,
      [&State, Now](const std::string &DataCentre) {
        const auto Found = State.RemoteBusyUntil.find(DataCentre);
        return Found != State.RemoteBusyUntil.end() && Now < Found->second;
      },
      [this] { return this->random(); }, Now);
  if (!Offer)
    return nullptr;
  *MaxWait = Offer->MaxWait;
  return Available[Offer->Index];
}

void CallRouter::removeClosed(
    std::vector<std::shared_ptr<RouteTarget>> &Available, RoutedCall &Call) {
  const MonoTime Now = monoNow();
  const auto FirstClosed =
      std::partition(Available.begin(), Available.end(),
                     [Now](const std::shared_ptr<RouteTarget> &Target) {
                       return Target->View.closed().OpensAt <= Now;
                     });
  if (FirstClosed == Available.begin() && !Available.empty()) {
    std::vector<ClosedUpstream> Closed;
    Closed.reserve(Available.size());
    for (const std::shared_ptr<RouteTarget> &Target : Available)
      Closed.push_back(Target->View.closed());
    Call.RetryAfter = std::chrono::ceil<Millis>(
        this->serviceState(Call.Service)
            .Returns.schedule(Closed, this->random(), Now));
    Call.LastReason = std::string(ColdReason);
  }
  Available.erase(FirstClosed, Available.end());
}

std::size_t CallRouter::expectedResponseBytes(const RoutedCall &Call) const {
  const auto Found = this->ResponseBytes.find(Call.Route->name());
  return Found == this->ResponseBytes.end()
             ? 0
             : static_cast<std::size_t>(Found->second);
}

PlacementGoal CallRouter::placementGoal(const RoutedCall &Call) const {
  PlacementGoal Goal;
  Goal.Objective = Call.Objective;
  Goal.Deadline = Call.Deadline;
  Goal.MeanProcessingTime = Call.MeanProcessingTime;
  Goal.ProcessingTimeDeviation =
      Call.UpperProcessingTime - Call.MeanProcessingTime;
  Goal.AnswerBytes = this->expectedResponseBytes(Call);
  Goal.TransferBytes = internal::FrameOverheadBytes +
                       Call.Request->Message.body().size() + Goal.AnswerBytes;
  return Goal;
}

proto::CallRequest CallRouter::admissionCheckRequest(const RoutedCall &Call,
                                                     const RouteTarget &Target,
                                                     Micros MaxWait) const {
  const MonoTime Now = monoNow();
  proto::CallRequest Result;
  Result.set_only_ask(true);
  Result.set_service(Call.Service);
  Result.set_route(Call.Route->name());
  Result.set_instance(Target.Entry.upstream().instance());
  Result.set_remaining_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(
      std::chrono::duration_cast<Millis>(Call.Deadline - Now).count(), 0)));
  Result.set_objective_ms(static_cast<std::int32_t>(
      std::chrono::duration_cast<Millis>(Call.Objective - Now).count()));
  Result.set_priority(Call.Account != nullptr && Call.Account->has_priority()
                          ? Call.Account->priority()
                          : Call.Route->priority());
  if (Call.Account != nullptr)
    Result.set_account(Call.Account->name());
  Result.set_nested(Call.IsNested);
  Result.set_max_wait_ms(static_cast<std::uint32_t>(
      std::chrono::duration_cast<Millis>(MaxWait).count()));
  return Result;
}

proto::CallRequest CallRouter::callRequest(const RoutedCall &Call,
                                           const RouteTarget &Target,
                                           Micros MaxWait) const {
  const HttpRequest &Message = Call.Request->Message;
  proto::CallRequest Result =
      this->admissionCheckRequest(Call, Target, MaxWait);
  Result.clear_only_ask();
  Result.set_request_id(Call.RequestId);
  Result.set_calling_service(this->Dependencies.LocalService);
  Result.set_method(std::string(Message.method_string()));
  Result.set_target(std::string(Message.target()));
  for (const auto &Field : Message) {
    if (internal::isHopByHop(Message, Field.name_string()) ||
        boost::beast::iequals(Field.name_string(),
                              this->Dependencies.Headers.DeadlineRemaining) ||
        boost::beast::iequals(Field.name_string(),
                              this->Dependencies.Headers.CallingService) ||
        boost::beast::iequals(Field.name_string(),
                              this->Dependencies.Headers.ExpectedInstance))
      continue;
    proto::HeaderField *Copy = Result.add_headers();
    Copy->set_name(std::string(Field.name_string()));
    Copy->set_value(std::string(Field.value()));
  }
  Result.set_body(Message.body());
  Result.set_idempotent(Call.Route->idempotent());
  Result.set_configuration_version(Call.Routes->version());
  Result.set_known_limit_per_s(
      this->Targets.notices().limit(Target.Incarnation, monoNow()));
  return Result;
}

asio::awaitable<bool> CallRouter::offer(const std::shared_ptr<RoutedCall> &Call,
                                        RouteTarget &Target, Micros MaxWait) {
  const bool CheckFirst =
      !Target.View.isLocal() && Call->Request->Message.body().size() >=
                                    internal::MinBodyForAdmissionCheck;
  if (CheckFirst) {
    co_await this->exchange(Call, Target,
                            this->admissionCheckRequest(*Call, Target, MaxWait),
                            monoNow() + internal::AdmissionCheckTimeout);
    if (Call->Request->CallerDisconnected)
      co_return false;
    if (!Call->Reply || Call->Reply->outcome() != proto::WOULD_TAKE ||
        Call->IsKeyWithdrawn) {
      // Whether or not a reply came, the call itself has not been sent.
      proto::CallReply Rejection =
          std::move(Call->Reply).value_or(proto::CallReply());
      Rejection.set_outcome(proto::NOT_RUN);
      Rejection.set_arrived(false);
      Call->Reply = std::move(Rejection);
      co_return true;
    }
  }
  co_await this->exchange(Call, Target,
                          this->callRequest(*Call, Target, MaxWait),
                          Call->Deadline + internal::DeadlineGrace);
  if (Call->Reply)
    co_return true;
  this->Dependencies.Counters.recordAttempt(Target.View.isLocal(),
                                            AttemptOutcome::Abandoned);
  Call->LastReason = "no reply from the node in time";
  Call->MayHaveRun = true;
  co_return false;
}

asio::awaitable<void>
CallRouter::exchange(const std::shared_ptr<RoutedCall> &Call,
                     RouteTarget &Target, proto::CallRequest Request,
                     MonoTime Expiry) {
  const std::uint64_t ExchangeId = ++Call->ExchangeId;
  Call->Reply.reset();
  auto Handler = [Call, ExchangeId](proto::CallReply Reply) {
    if (Call->ExchangeId != ExchangeId)
      return;
    Call->Reply = std::move(Reply);
    Call->Request->WakeTimer.cancel();
  };
  // The caller of an idempotent call may repeat it in any case.
  const bool MayWithdraw = !Request.idempotent() && !Request.only_ask();
  Target.View.recordSent();
  const std::shared_ptr<PeerLink> Link = Target.Link;
  const std::uint64_t Ticket =
      Link ? Link->submit(std::move(Request), Handler)
           : this->Dependencies.LocalGate.submit(std::move(Request), Handler);
  if (!Call->Key.empty())
    Call->WithdrawOffer = [this, Link, Ticket] {
      if (Link)
        Link->withdraw(Ticket);
      else
        this->Dependencies.LocalGate.withdraw(Ticket);
    };
  while (!Call->Reply && !Call->Request->CallerDisconnected) {
    Call->Request->WakeTimer.expires_at(Expiry);
    const auto [Error] = co_await Call->Request->WakeTimer.async_wait(NoThrow);
    if (Error)
      continue;
    const std::optional<MonoTime> Progress =
        Link ? Link->lastReplyProgress(Ticket) : std::nullopt;
    if (!Progress || monoNow() - *Progress >= internal::ReplyStallTimeout)
      break;
    Expiry = *Progress + internal::ReplyStallTimeout;
  }
  Call->WithdrawOffer = nullptr;
  // A node that stops has no time for it.
  if (MayWithdraw && !Call->Reply && !Call->Request->CallerDisconnected &&
      this->ShutdownEnd == MonoTime::max())
    co_await this->withdraw(Call, Target, Ticket);
  Target.View.recordEnded();
  if (Call->Reply)
    co_return;
  ++Call->ExchangeId;
  if (Link)
    Link->cancel(Ticket);
  else
    this->Dependencies.LocalGate.cancel(Ticket);
}

asio::awaitable<void>
CallRouter::withdraw(const std::shared_ptr<RoutedCall> &Call,
                     RouteTarget &Target, std::uint64_t Ticket) {
  if (Target.Link)
    Target.Link->withdraw(Ticket);
  else
    this->Dependencies.LocalGate.withdraw(Ticket);
  const MonoTime End = monoNow() + internal::WithdrawalTimeout;
  while (!Call->Reply && !Call->Request->CallerDisconnected) {
    Call->Request->WakeTimer.expires_at(End);
    const auto [Error] = co_await Call->Request->WakeTimer.async_wait(NoThrow);
    if (!Error)
      break;
  }
}

void CallRouter::recordReply(RoutedCall &Call, RouteTarget &Target,
                             const proto::CallReply &Reply) {
  const MonoTime Now = monoNow();
  const std::string &Node = Target.Entry.node();
  if (Reply.has_load()) {
    Target.View.recordLoad(Reply.load().running(), Reply.load().waiting(),
                           Reply.load().slots(),
                           std::chrono::microseconds(Reply.load().wait_us()),
                           Now, Reply.load().work_percent());
    Target.View.recordLinkBacklog(Micros(Reply.load().link_wait_us()), Now);
    Target.View.recordFleetFailureRate(Reply.load().failed_permille() / 1000.0,
                                       Now);
    // A node that has restarted doesn't know the limit until a call has
    // arrived at the upstream.
    if (Reply.arrived() || Reply.load().limit_per_s() > 0)
      this->Targets.notices().recordLimit(Target.Incarnation,
                                          Reply.load().limit_per_s(), Now);
  }
  if (Reply.upstream_leaving())
    this->Targets.notices().recordLeaving(Target.Incarnation, Now);
  Call.LastReason = Reply.reason();
  this->recordCrashes(Call, Reply);
  this->Dependencies.Counters.recordAttempt(
      Target.View.isLocal(),
      Reply.outcome() == proto::ANSWERED  ? AttemptOutcome::Answered
      : Reply.outcome() == proto::UNKNOWN ? AttemptOutcome::Lost
      : Reply.reason() == BusyReason || Reply.reason() == ColdReason
          ? AttemptOutcome::Busy
          : AttemptOutcome::NotRun);
  if (Reply.resent() > 0)
    this->serviceState(Call.Service).Budget.charge(Reply.resent(), Now);
  if (Reply.arrived()) {
    Call.Arrivals += 1 + Reply.resent();
    const bool Failed =
        Reply.outcome() != proto::ANSWERED || isUpstreamFailure(Reply.status());
    Target.View.recordResult(Failed, Micros(Reply.work_us()), Now,
                             Call.MeanProcessingTime);
    if (!Failed)
      this->recordSuccess(Call, Reply);
  }
  switch (Reply.outcome()) {
  case proto::ANSWERED:
    ++Call.RunCount;
    if (isUpstreamFailure(Reply.status()))
      Call.UpstreamFailure = Reply;
    Call.ExcludedNodes.insert(Node);
    return;
  case proto::UNKNOWN:
    ++Call.RunCount;
    Call.MayHaveRun = true;
    Call.ExcludedNodes.insert(Node);
    return;
  default:
    break;
  }
  Call.RetryAfter =
      Call.RetryAfter == Millis{0}
          ? Millis(Reply.retry_after_ms())
          : std::min(Call.RetryAfter,
                     std::max(Millis(Reply.retry_after_ms()), Millis{1}));
  if (Reply.reason() == CrashReason) {
    Call.ExcludedNodes.insert(Node);
    return;
  }
  if (Reply.retry_after_ms() == 0) {
    Call.ExcludedNodes.insert(Node);
    Target.View.recordUnavailable(Now);
    return;
  }
  if (Reply.reason() == ColdReason)
    Target.View.recordClosed({Now + Millis(Reply.retry_after_ms()),
                              Now + Millis(Reply.load().cold_ms())});
  Call.Placement.recordBusy(
      {Target.Entry.node(), Target.Entry.data_centre(), Target.View},
      Micros(Reply.load().wait_us()) +
          Target.View.speed().extraTime(Call.MeanProcessingTime, Now) +
          Target.View.linkDelay(
              {this->expectedResponseBytes(Call), Call.MeanProcessingTime},
              Now));
  // The other upstreams of the data centre may be warm, and a link that is full
  // for large answers takes small ones.
  const bool IsLinkBusy =
      Reply.load().link_wait_us() > 0 && Reply.load().wait_us() == 0;
  if (!Target.View.isLocal() && Reply.reason() != ColdReason && !IsLinkBusy)
    this->serviceState(Call.Service)
        .RemoteBusyUntil[Target.Entry.data_centre()] =
        Now + internal::RemoteBusyBackoff;
}

void CallRouter::recordSuccess(const RoutedCall &Call,
                               const proto::CallReply &Reply) {
  const std::string &Route = Call.Route->name();
  this->ProcessingTimes.try_emplace(Route, Micros(Reply.work_us()))
      .first->second.add(Micros(Reply.work_us()));
  const auto Bytes = static_cast<double>(Reply.body().size());
  double &Mean = this->ResponseBytes.try_emplace(Route, Bytes).first->second;
  Mean += internal::ResponseBytesWeight * (Bytes - Mean);
}

bool CallRouter::mayRetry(RoutedCall &Call, const proto::CallReply &Reply) {
  if (this->crashDecision(Call).Verdict == CrashVerdict::Reject)
    return false;
  if (!Reply.arrived())
    return true;
  const MonoTime Now = monoNow();
  if (Reply.outcome() != proto::NOT_RUN && !Call.Route->idempotent())
    return false;
  if (Call.Arrivals >= std::max<std::uint32_t>(Call.Route->max_attempts(), 1))
    return false;
  if (Now + Call.MeanProcessingTime / 2 > Call.Deadline)
    return false;
  if (this->Targets.candidates(Call).empty())
    return false;
  const bool IsAllowed = this->serviceState(Call.Service)
                             .Budget.trySpend(this->Targets.size(), Now);
  this->Dependencies.Counters.recordRetry(IsAllowed);
  logLine(LogLevel::Info,
          IsAllowed ? "call is repeated" : "no budget to repeat",
          {{"request", Call.RequestId},
           {"service", Call.Service},
           {"reason", Reply.reason()},
           {"status", std::to_string(Reply.status())},
           {"arrivals", std::to_string(Call.Arrivals)}});
  if (!IsAllowed)
    return false;
  Call.Placement.allowQueueing();
  return true;
}

asio::awaitable<HttpResponse>
CallRouter::forward(std::shared_ptr<RoutedCall> Call) {
  while (!Call->IsKeyWithdrawn) {
    Micros MaxWait{0};
    const std::shared_ptr<RouteTarget> Target =
        this->nextTarget(*Call, &MaxWait);
    if (!Target || monoNow() >= Call->Deadline)
      break;
    if (!co_await this->offer(Call, *Target, MaxWait))
      break;
    const proto::CallReply Reply = std::move(*Call->Reply);
    if (Call->IsKeyWithdrawn && !Reply.arrived())
      break;
    this->recordReply(*Call, *Target, Reply);
    if (Reply.outcome() == proto::ANSWERED &&
        !isUpstreamFailure(Reply.status())) {
      this->Responses.logAnswered(*Call, Reply, *Target);
      co_return this->Responses.upstreamResponse(Reply);
    }
    if (!this->mayRetry(*Call, Reply))
      break;
  }
  if (Call->IsKeyWithdrawn && !Call->MayHaveRun && !Call->UpstreamFailure)
    co_return this->Responses.errorResponse(
        *Call, StatusUnauthorized, "the caller's key has been withdrawn", {});
  co_return this->Responses.failureResponse(*Call);
}

} // namespace persimmonquay
