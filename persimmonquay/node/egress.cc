#include "persimmonquay/node/egress.h"

#include "persimmonquay/base/hashing.h"
#include "persimmonquay/node/claim_store.h"
#include "persimmonquay/node/http_pool.h"
#include "persimmonquay/node/routing_view.h"
#include "persimmonquay/peer/address_translator.h"
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>
#include <random>
#include <utility>

namespace persimmonquay {
namespace internal {

constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int Conflict = 409;
constexpr int Unprocessable = 422;
constexpr int ServerError = 500;
constexpr int BadGateway = 502;
constexpr int Unavailable = 503;

constexpr std::size_t MaxAttempts = 4;
/// Largest response body that is stored for callers that repeat a request with
/// the same idempotency key.
constexpr std::size_t MaxStoredBodyBytes = 64 << 10;
constexpr std::array<std::string_view, 6> IdempotentMethods = {
    "GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"};

std::mt19937_64 &threadRandom() {
  thread_local std::mt19937_64 Random(std::random_device{}());
  return Random;
}

Millis remainingTime(MonoTime Deadline) {
  return std::chrono::duration_cast<Millis>(Deadline - monoNow());
}

bool isIdempotent(const std::string &Method, const proto::Route &Route) {
  return Route.idempotent() ||
         std::find(IdempotentMethods.begin(), IdempotentMethods.end(),
                   Method) != IdempotentMethods.end();
}

/// Returns the timeout that the caller requests, limited by the route's.
Millis requestTimeout(const CallRequest &Request, const proto::Route &Route) {
  std::int64_t RequestedMs = 0;
  const Millis RouteTimeout(Route.deadline_ms());
  const bool HasTimeout = absl::SimpleAtoi(
      findHeader(Request.Headers, DeadlineHeader), &RequestedMs);
  return HasTimeout && RequestedMs >= 0
             ? std::min(RouteTimeout, Millis(RequestedMs))
             : RouteTimeout;
}

EgressResult resultFromClaim(const proto::ClaimEvent &StoredResult) {
  EgressResult Result;
  Result.FinalOutcome = Outcome::Answered;
  Result.Response.Status = static_cast<int>(StoredResult.status());
  Result.Response.Body = StoredResult.body();
  if (!StoredResult.content_type().empty())
    Result.Response.Headers.push_back(
        HeaderField{"Content-Type", StoredResult.content_type()});
  return Result;
}

proto::ClaimEvent claimEvent(proto::ClaimEvent::Kind Kind,
                             const std::string &Key,
                             const std::string &Attempt) {
  proto::ClaimEvent Event;
  Event.set_kind(Kind);
  Event.set_key(Key);
  Event.set_attempt(Attempt);
  return Event;
}

/// Counts a call as in flight at an upstream for the duration of a scope.
struct InFlightGuard {
  Endpoint *Upstream;
  explicit InFlightGuard(Endpoint *Upstream) : Upstream(Upstream) {
    this->Upstream->InFlight.fetch_add(1, std::memory_order_relaxed);
  }
  InFlightGuard(const InFlightGuard &) = delete;
  InFlightGuard &operator=(const InFlightGuard &) = delete;
  ~InFlightGuard() {
    this->Upstream->InFlight.fetch_sub(1, std::memory_order_relaxed);
  }
};

} // namespace internal

std::string attemptResultName(AttemptResult Result) {
  switch (Result) {
  case AttemptResult::Answered:
    return "answered";
  case AttemptResult::NothingSent:
    return "nothing-sent";
  case AttemptResult::RefusedByNode:
    return "refused-by-node";
  case AttemptResult::RefusedByUpstream:
    return "refused-by-upstream";
  case AttemptResult::ResponseLost:
    break;
  }
  return "answer-lost";
}

AttemptResult parseAttemptResult(const std::string &Text) {
  for (AttemptResult Result :
       {AttemptResult::Answered, AttemptResult::NothingSent,
        AttemptResult::RefusedByNode, AttemptResult::RefusedByUpstream})
    if (Text == attemptResultName(Result))
      return Result;
  return AttemptResult::ResponseLost;
}

Egress::Egress(Dependencies Deps) : Deps(std::move(Deps)) {}

EgressResult Egress::refuse(Outcome FinalOutcome, int Status,
                            const std::string &Detail) {
  EgressResult Result;
  Result.FinalOutcome = FinalOutcome;
  Result.Response.Status = Status;
  Result.Response.Body = Detail + "\n";
  Result.Response.Headers.push_back(HeaderField{"Content-Type", "text/plain"});
  return Result;
}

EgressResult Egress::serve(const CallRequest &Request) {
  CallContext Call;
  Call.Request = &Request;
  Call.View = this->Deps.Views->current();
  EgressResult Result;
  if (Call.View->Config == nullptr) {
    Result = this->refuse(Outcome::NotRun, internal::Unavailable,
                          "this node has no configuration yet");
  } else {
    Call.MatchedRoute = Call.View->Config->findRoute(pathOf(Request));
    if (Call.MatchedRoute == nullptr) {
      Result = this->refuse(Outcome::NotRun, internal::NotFound,
                            absl::StrCat("no route matches \"",
                                         std::string(pathOf(Request)), "\""));
    } else {
      Call.Deadline = monoNow() + internal::requestTimeout(
                                      Request, Call.MatchedRoute->Route);
      Call.Fingerprint = fingerprintOf(Request);
      const std::string Key = findHeader(Request.Headers, IdempotencyKeyHeader);
      if (internal::isIdempotent(Request.Method, Call.MatchedRoute->Route))
        Call.Safety = RetrySafety::Idempotent;
      else if (!Key.empty())
        Call.Safety = RetrySafety::Keyed;
      Result = Call.Safety == RetrySafety::Keyed ? this->serveKeyed(&Call, Key)
                                                 : this->callWithRetries(&Call);
    }
  }
  switch (Result.FinalOutcome) {
  case Outcome::Answered:
    ++this->Counts.Answered;
    break;
  case Outcome::NotRun:
    ++this->Counts.NotRun;
    break;
  case Outcome::Unknown:
    ++this->Counts.Unknown;
    break;
  }
  return Result;
}

EgressResult Egress::serveKeyed(CallContext *Call, const std::string &Key) {
  std::string Attempt;
  const auto Claim = this->Deps.Claims->claim(Key, Call->Fingerprint,
                                              Call->Deadline, &Attempt);
  if (!Claim.ok())
    return this->refuse(Outcome::NotRun, internal::BadRequest,
                        std::string(Claim.status().message()));
  using Code = ClaimResult::Code;
  const bool AlreadyClaimed =
      Claim->Status == Code::Completed || Claim->Status == Code::HeldByOther;
  if (AlreadyClaimed && Claim->HolderFingerprint != Call->Fingerprint)
    return this->refuse(Outcome::NotRun, internal::Unprocessable,
                        absl::StrCat("idempotency key \"", Key,
                                     "\" was used for another request"));
  switch (Claim->Status) {
  case Code::Unavailable:
    return this->refuse(Outcome::NotRun, internal::Unavailable, Claim->Detail);
  case Code::HeldByOther:
    return this->refuse(Outcome::Unknown, internal::Conflict,
                        "the request was started before and its result is "
                        "not known");
  case Code::Completed:
    return internal::resultFromClaim(Claim->StoredResult);
  case Code::Granted:
    break;
  }
  EgressResult Result = this->callWithRetries(Call);
  if (Result.FinalOutcome == Outcome::NotRun) {
    this->Deps.Claims->enqueue(
        internal::claimEvent(proto::ClaimEvent::RELEASE, Key, Attempt));
  } else if (Result.FinalOutcome == Outcome::Answered &&
             Result.Response.Body.size() <= internal::MaxStoredBodyBytes) {
    proto::ClaimEvent Event =
        internal::claimEvent(proto::ClaimEvent::RESULT, Key, Attempt);
    Event.set_status(static_cast<std::uint32_t>(Result.Response.Status));
    Event.set_content_type(findHeader(Result.Response.Headers, "Content-Type"));
    Event.set_body(Result.Response.Body);
    this->Deps.Claims->enqueue(Event);
  }
  return Result;
}

std::shared_ptr<Endpoint> Egress::selectEndpoint(CallContext *Call,
                                                 bool *UsesNewVersion) {
  const proto::Service &Service = Call->MatchedRoute->Service;
  EndpointCriteria Criteria;
  Criteria.LocalDataCentre = this->Deps.LocalDataCentre;
  Criteria.Now = wallNow();
  Criteria.TriedNodes = Call->TriedNodes;
  Criteria.ColdStartDuration = Millis(Service.cold_start_ms());
  const auto &Endpoints = Call->View->Endpoints->endpointsOf(Service.name());
  const MoveView *Move = Call->View->findMove(Service.name());
  *UsesNewVersion = false;
  if (Move != nullptr && !Call->OldVersionOnly) {
    const std::uint32_t SharePermille =
        Move->Policy.share(Move->Progress, Criteria.Now);
    std::uniform_int_distribution<std::uint32_t> Permille(0, 999);
    if (Permille(internal::threadRandom()) < SharePermille) {
      Criteria.Version = Move->Move->to_version();
      Criteria.SubsetPermille = SharePermille;
      Criteria.SubsetKey = Move->Move->name();
      auto Destination =
          chooseEndpoint(Endpoints, Criteria, internal::threadRandom());
      *UsesNewVersion = Destination != nullptr;
      if (Destination != nullptr)
        return Destination;
    }
  }
  Criteria.SubsetPermille = 1000;
  Criteria.Version = Service.active_version();
  return chooseEndpoint(Endpoints, Criteria, internal::threadRandom());
}

EgressResult Egress::callWithRetries(CallContext *Call) {
  this->Budget.deposit();
  std::string Detail =
      absl::StrCat("no upstream of service \"",
                   Call->MatchedRoute->Service.name(), "\" can be reached");
  Outcome FinalOutcome = Outcome::NotRun;
  for (std::size_t AttemptIndex = 0; AttemptIndex < internal::MaxAttempts;
       ++AttemptIndex) {
    const Millis Remaining = internal::remainingTime(Call->Deadline);
    if (Remaining <= Millis(0)) {
      Detail = absl::StrCat("the deadline has passed; ", Detail);
      break;
    }
    bool UsesNewVersion = false;
    const auto Destination = this->selectEndpoint(Call, &UsesNewVersion);
    if (Destination == nullptr ||
        (AttemptIndex > 0 && !this->Budget.tryWithdraw()))
      break;
    this->Counts.Retries += AttemptIndex > 0 ? 1 : 0;
    this->Counts.NewVersionAttempts += UsesNewVersion ? 1 : 0;
    // A connection to another node may be dead without an error. An idempotent
    // call therefore keeps a third of its time for a retry.
    const bool IsIdempotent = Call->Safety == RetrySafety::Idempotent;
    const bool ReservesRetryTime = IsIdempotent && AttemptIndex == 0 &&
                                   Destination->Node != this->Deps.Node;
    const Millis AttemptTimeout =
        ReservesRetryTime ? Remaining * 2 / 3 : Remaining;
    IngressReply Reply = this->runAttempt(*Call, Destination.get(),
                                          std::max(AttemptTimeout, Millis(1)));
    const bool NewVersionFailed =
        UsesNewVersion && IsIdempotent &&
        Reply.Result == AttemptResult::Answered &&
        Reply.Response.Status >= internal::ServerError;
    Call->TriedNodes.push_back(Destination->Node);
    Call->OldVersionOnly |= UsesNewVersion;
    Call->CrashCount += Reply.UpstreamCrashed ? 1 : 0;
    Call->UseNewConnection |= Reply.Result == AttemptResult::ResponseLost;
    if (Reply.Result == AttemptResult::Answered &&
        !(NewVersionFailed && AttemptIndex == 0))
      return EgressResult{Outcome::Answered, std::move(Reply.Response)};
    Detail = NewVersionFailed ? "the new version failed" : Reply.Detail;
    // Once an attempt may have run, the outcome stays unknown whatever later
    // attempts report.
    const Outcome AttemptOutcome =
        NewVersionFailed ? Outcome::Unknown : outcomeOf(Reply.Result);
    if (FinalOutcome != Outcome::Unknown)
      FinalOutcome = AttemptOutcome;
    if (!NewVersionFailed && !mayRetry(Reply.Result, Call->Safety))
      break;
  }
  const int Status = FinalOutcome == Outcome::NotRun ? internal::Unavailable
                                                     : internal::BadGateway;
  return this->refuse(FinalOutcome, Status, Detail);
}

IngressReply Egress::runAttempt(const CallContext &Call, Endpoint *Destination,
                                Millis Timeout) {
  const internal::InFlightGuard Guard(Destination);
  IngressReply Reply;
  if (Destination->Node == this->Deps.Node) {
    IngressCall LocalCall;
    LocalCall.Request = *Call.Request;
    LocalCall.Service = Call.MatchedRoute->Service.name();
    LocalCall.Route = Call.MatchedRoute->Route.name();
    LocalCall.Priority = Call.MatchedRoute->Route.priority();
    LocalCall.Timeout = Timeout;
    LocalCall.Fingerprint = Call.Fingerprint;
    LocalCall.CrashCount = Call.CrashCount;
    Reply = this->Deps.LocalIngress->run(LocalCall);
  } else {
    Reply = this->forwardToNode(Call, *Destination, Timeout);
  }
  if (Reply.Result == AttemptResult::NothingSent ||
      Reply.Result == AttemptResult::ResponseLost)
    Destination->recordFailure(wallNow());
  else
    Destination->recordResponse(Reply.Load);
  return Reply;
}

IngressReply Egress::forwardToNode(const CallContext &Call,
                                   const Endpoint &Destination,
                                   Millis Timeout) {
  CallRequest ForwardedRequest = *Call.Request;
  ForwardedRequest.Headers = endToEndHeaders(Call.Request->Headers);
  const std::string CallId = absl::StrCat(internal::threadRandom()());
  for (const auto &[Name, Value] :
       {std::pair<std::string, std::string>(RouteHeader,
                                            Call.MatchedRoute->Route.name()),
        {ServiceHeader, Call.MatchedRoute->Service.name()},
        {PriorityHeader,
         absl::StrCat(static_cast<int>(Call.MatchedRoute->Route.priority()))},
        {DeadlineHeader, absl::StrCat(Timeout.count())},
        {FingerprintHeader, hashToHex(Call.Fingerprint)},
        {CrashCountHeader, absl::StrCat(Call.CrashCount)},
        {CallIdHeader, CallId}})
    ForwardedRequest.Headers.push_back(HeaderField{Name, Value});
  // Waits slightly longer than the other node may take, so that its refusal at
  // the deadline arrives and isn't mistaken for a lost response.
  constexpr Millis ReplyGrace{50};
  ExchangeResult Exchange = this->Deps.Pool->exchange(
      this->Deps.Addresses->translate(Destination.DataCentre,
                                      Destination.Address),
      Destination.IngressPort, ForwardedRequest, Timeout + ReplyGrace,
      Call.UseNewConnection ? HttpPool::ConnectionPolicy::AlwaysNew
                            : HttpPool::ConnectionPolicy::ReuseIdle);
  IngressReply Reply;
  Reply.Detail = Exchange.Detail;
  if (Exchange.Status == ExchangeResult::Code::NothingSent) {
    Reply.Result = AttemptResult::NothingSent;
    return Reply;
  }
  const auto &Headers = Exchange.Response.Headers;
  const bool IsComplete = Exchange.Status == ExchangeResult::Code::Answered &&
                          findHeader(Headers, CallIdHeader) == CallId;
  if (!IsComplete) {
    Reply.Result = AttemptResult::ResponseLost;
    return Reply;
  }
  Reply.Result = parseAttemptResult(findHeader(Headers, AttemptResultHeader));
  Reply.UpstreamCrashed = findHeader(Headers, CrashCountHeader) == "1";
  if (Reply.Result != AttemptResult::Answered)
    Reply.Detail = findHeader(Headers, DetailHeader);
  (void)absl::SimpleAtoi(findHeader(Headers, LoadHeader), &Reply.Load);
  Reply.Response = std::move(Exchange.Response);
  return Reply;
}

} // namespace persimmonquay
