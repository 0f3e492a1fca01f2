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

constexpr std::size_t MaxTries = 4;
/// Largest answer that is kept for callers that repeat a keyed request.
constexpr std::size_t MaxKeptBody = 64 << 10;
constexpr std::array<std::string_view, 6> IdempotentMethods = {
    "GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"};

std::mt19937_64 &threadRandom() {
  thread_local std::mt19937_64 Random(std::random_device{}());
  return Random;
}

Millis timeLeft(MonoTime Deadline) {
  return std::chrono::duration_cast<Millis>(Deadline - monoNow());
}

bool isIdempotent(const std::string &Method, const proto::Route &Route) {
  return Route.idempotent() ||
         std::find(IdempotentMethods.begin(), IdempotentMethods.end(),
                   Method) != IdempotentMethods.end();
}

/// Returns the caller's own limit, or the route's if that is shorter.
Millis limitOf(const CallRequest &Request, const proto::Route &Route) {
  std::int64_t Asked = 0;
  const Millis Limit(Route.deadline_ms());
  const bool Given =
      absl::SimpleAtoi(findHeader(Request.Headers, DeadlineHeader), &Asked);
  return Given && Asked >= 0 ? std::min(Limit, Millis(Asked)) : Limit;
}

EgressReply repeated(const proto::ClaimEvent &Result) {
  EgressReply Reply;
  Reply.Result = Outcome::Answered;
  Reply.Reply.Status = static_cast<int>(Result.status());
  Reply.Reply.Body = Result.body();
  if (!Result.content_type().empty())
    Reply.Reply.Headers.push_back(
        HeaderField{"Content-Type", Result.content_type()});
  return Reply;
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

/// Counts a call as in flight during a scope.
struct InFlight {
  Endpoint *Counted;
  explicit InFlight(Endpoint *Counted) : Counted(Counted) {
    this->Counted->InFlight.fetch_add(1, std::memory_order_relaxed);
  }
  InFlight(const InFlight &) = delete;
  InFlight &operator=(const InFlight &) = delete;
  ~InFlight() {
    this->Counted->InFlight.fetch_sub(1, std::memory_order_relaxed);
  }
};

} // namespace internal

std::string tryEndName(AttemptResult End) {
  switch (End) {
  case AttemptResult::Answered:
    return "answered";
  case AttemptResult::NothingSent:
    return "nothing-sent";
  case AttemptResult::RefusedByNode:
    return "refused-by-node";
  case AttemptResult::RefusedByUpstream:
    return "refused-by-upstream";
  case AttemptResult::AnswerLost:
    break;
  }
  return "answer-lost";
}

AttemptResult parseTryEnd(const std::string &Text) {
  for (AttemptResult End :
       {AttemptResult::Answered, AttemptResult::NothingSent,
        AttemptResult::RefusedByNode, AttemptResult::RefusedByUpstream})
    if (Text == tryEndName(End))
      return End;
  return AttemptResult::AnswerLost;
}

Egress::Egress(Parts Needed) : Needed(std::move(Needed)) {}

EgressReply Egress::refuse(Outcome Result, int Status,
                           const std::string &Detail) {
  EgressReply Reply;
  Reply.Result = Result;
  Reply.Reply.Status = Status;
  Reply.Reply.Body = Detail + "\n";
  Reply.Reply.Headers.push_back(HeaderField{"Content-Type", "text/plain"});
  return Reply;
}

EgressReply Egress::serve(const CallRequest &Request) {
  Journey Call;
  Call.Request = &Request;
  Call.View = this->Needed.Views->current();
  EgressReply Reply;
  if (Call.View->Config == nullptr) {
    Reply = this->refuse(Outcome::NotRun, internal::Unavailable,
                         "this node has no configuration yet");
  } else {
    Call.Target = Call.View->Config->findRoute(pathOf(Request));
    if (Call.Target == nullptr) {
      Reply = this->refuse(Outcome::NotRun, internal::NotFound,
                           absl::StrCat("no route matches \"",
                                        std::string(pathOf(Request)), "\""));
    } else {
      Call.Deadline =
          monoNow() + internal::limitOf(Request, Call.Target->Route);
      Call.Fingerprint = fingerprintOf(Request);
      const std::string Key = findHeader(Request.Headers, IdempotencyKeyHeader);
      if (internal::isIdempotent(Request.Method, Call.Target->Route))
        Call.Kind = RetrySafety::Idempotent;
      else if (!Key.empty())
        Call.Kind = RetrySafety::Keyed;
      Reply = Call.Kind == RetrySafety::Keyed ? this->serveKeyed(&Call, Key)
                                              : this->tryUpstreams(&Call);
    }
  }
  switch (Reply.Result) {
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
  return Reply;
}

EgressReply Egress::serveKeyed(Journey *Call, const std::string &Key) {
  std::string Attempt;
  const auto Claimed = this->Needed.Claims->claim(Key, Call->Fingerprint,
                                                  Call->Deadline, &Attempt);
  if (!Claimed.ok())
    return this->refuse(Outcome::NotRun, internal::BadRequest,
                        std::string(Claimed.status().message()));
  using Code = ClaimResult::Code;
  const bool Known = Claimed->Status == Code::Completed ||
                     Claimed->Status == Code::HeldByOther;
  if (Known && Claimed->HolderFingerprint != Call->Fingerprint)
    return this->refuse(Outcome::NotRun, internal::Unprocessable,
                        absl::StrCat("idempotency key \"", Key,
                                     "\" was used for another request"));
  switch (Claimed->Status) {
  case Code::Unavailable:
    return this->refuse(Outcome::NotRun, internal::Unavailable,
                        Claimed->Detail);
  case Code::HeldByOther:
    return this->refuse(Outcome::Unknown, internal::Conflict,
                        "the request was started before and its result is "
                        "not known");
  case Code::Completed:
    return internal::repeated(Claimed->StoredResult);
  case Code::Granted:
    break;
  }
  EgressReply Reply = this->tryUpstreams(Call);
  if (Reply.Result == Outcome::NotRun) {
    this->Needed.Claims->recordLater(
        internal::claimEvent(proto::ClaimEvent::RELEASE, Key, Attempt));
  } else if (Reply.Result == Outcome::Answered &&
             Reply.Reply.Body.size() <= internal::MaxKeptBody) {
    proto::ClaimEvent Event =
        internal::claimEvent(proto::ClaimEvent::RESULT, Key, Attempt);
    Event.set_status(static_cast<std::uint32_t>(Reply.Reply.Status));
    Event.set_content_type(findHeader(Reply.Reply.Headers, "Content-Type"));
    Event.set_body(Reply.Reply.Body);
    this->Needed.Claims->recordLater(Event);
  }
  return Reply;
}

std::shared_ptr<Endpoint> Egress::choose(Journey *Call, bool *ToNewVersion) {
  const proto::Service &Service = Call->Target->Service;
  EndpointCriteria Wish;
  Wish.DataCentre = this->Needed.DataCentre;
  Wish.Now = wallNow();
  Wish.TriedNodes = Call->Tried;
  Wish.ColdStartDuration = Millis(Service.cold_start_ms());
  const auto &Endpoints = Call->View->Endpoints->endpointsOf(Service.name());
  const MoveView *Move = Call->View->moveOf(Service.name());
  *ToNewVersion = false;
  if (Move != nullptr && !Call->OldVersionOnly) {
    const std::uint32_t Share = Move->Policy.share(Move->Progress, Wish.Now);
    std::uniform_int_distribution<std::uint32_t> Permille(0, 999);
    if (Permille(internal::threadRandom()) < Share) {
      Wish.Version = Move->Move->to_version();
      Wish.SubsetPermille = Share;
      Wish.SubsetKey = Move->Move->name();
      auto Chosen = chooseEndpoint(Endpoints, Wish, internal::threadRandom());
      *ToNewVersion = Chosen != nullptr;
      if (Chosen != nullptr)
        return Chosen;
    }
  }
  Wish.SubsetPermille = 1000;
  Wish.Version = Service.active_version();
  return chooseEndpoint(Endpoints, Wish, internal::threadRandom());
}

EgressReply Egress::tryUpstreams(Journey *Call) {
  this->Budget.deposit();
  std::string Detail =
      absl::StrCat("no upstream of service \"", Call->Target->Service.name(),
                   "\" can be reached");
  Outcome Last = Outcome::NotRun;
  for (std::size_t Try = 0; Try < internal::MaxTries; ++Try) {
    const Millis Left = internal::timeLeft(Call->Deadline);
    if (Left <= Millis(0)) {
      Detail = absl::StrCat("the deadline has passed; ", Detail);
      break;
    }
    bool ToNewVersion = false;
    const auto Chosen = this->choose(Call, &ToNewVersion);
    if (Chosen == nullptr || (Try > 0 && !this->Budget.tryWithdraw()))
      break;
    this->Counts.Retries += Try > 0 ? 1 : 0;
    this->Counts.ToNewVersion += ToNewVersion ? 1 : 0;
    // A connection to another node may have gone silent, so that a call that
    // may be repeated leaves time for that.
    const bool Repeatable = Call->Kind == RetrySafety::Idempotent;
    const bool LeavesTime =
        Repeatable && Try == 0 && Chosen->Node != this->Needed.Node;
    const Millis Limit = LeavesTime ? Left * 2 / 3 : Left;
    IngressReply Reply =
        this->tryOnce(*Call, Chosen.get(), std::max(Limit, Millis(1)));
    const bool FailedAtNew = ToNewVersion && Repeatable &&
                             Reply.End == AttemptResult::Answered &&
                             Reply.Reply.Status >= internal::ServerError;
    Call->Tried.push_back(Chosen->Node);
    Call->OldVersionOnly |= ToNewVersion;
    Call->Deaths += Reply.UpstreamDied ? 1 : 0;
    Call->NewConnections |= Reply.End == AttemptResult::AnswerLost;
    if (Reply.End == AttemptResult::Answered && !(FailedAtNew && Try == 0))
      return EgressReply{Outcome::Answered, std::move(Reply.Reply)};
    Detail = FailedAtNew ? "the new version failed" : Reply.Detail;
    // A call that may have run in one try stays unknown in the end.
    const Outcome Now = FailedAtNew ? Outcome::Unknown : outcomeOf(Reply.End);
    if (Last != Outcome::Unknown)
      Last = Now;
    if (!FailedAtNew && !mayRetry(Reply.End, Call->Kind))
      break;
  }
  const int Status =
      Last == Outcome::NotRun ? internal::Unavailable : internal::BadGateway;
  return this->refuse(Last, Status, Detail);
}

IngressReply Egress::tryOnce(const Journey &Call, Endpoint *Chosen,
                             Millis Limit) {
  const internal::InFlight Counted(Chosen);
  IngressReply Reply;
  if (Chosen->Node == this->Needed.Node) {
    IngressCall Own;
    Own.Request = *Call.Request;
    Own.Service = Call.Target->Service.name();
    Own.Route = Call.Target->Route.name();
    Own.Priority = Call.Target->Route.priority();
    Own.Remaining = Limit;
    Own.Fingerprint = Call.Fingerprint;
    Own.Deaths = Call.Deaths;
    Reply = this->Needed.OwnIngress->run(Own);
  } else {
    Reply = this->forward(Call, *Chosen, Limit);
  }
  if (Reply.End == AttemptResult::NothingSent ||
      Reply.End == AttemptResult::AnswerLost)
    Chosen->recordFailure(wallNow());
  else
    Chosen->recordResponse(Reply.Load);
  return Reply;
}

IngressReply Egress::forward(const Journey &Call, const Endpoint &Chosen,
                             Millis Limit) {
  CallRequest Forwarded = *Call.Request;
  Forwarded.Headers = endToEndHeaders(Call.Request->Headers);
  const std::string CallId = absl::StrCat(internal::threadRandom()());
  for (const auto &[Name, Value] :
       {std::pair<std::string, std::string>(RouteHeader,
                                            Call.Target->Route.name()),
        {ServiceHeader, Call.Target->Service.name()},
        {PriorityHeader,
         absl::StrCat(static_cast<int>(Call.Target->Route.priority()))},
        {DeadlineHeader, absl::StrCat(Limit.count())},
        {FingerprintHeader, hashToHex(Call.Fingerprint)},
        {DeathsHeader, absl::StrCat(Call.Deaths)},
        {CallHeader, CallId}})
    Forwarded.Headers.push_back(HeaderField{Name, Value});
  // A little longer than the other node may take, so that its refusal for
  // lack of time arrives and is not mistaken for a lost answer.
  constexpr Millis Grace{50};
  ExchangeResult Result = this->Needed.Pool->exchange(
      this->Needed.Book->translate(Chosen.DataCentre, Chosen.Address),
      Chosen.IngressPort, Forwarded, Limit + Grace,
      Call.NewConnections ? HttpPool::Connection::New
                          : HttpPool::Connection::Any);
  IngressReply Reply;
  Reply.Detail = Result.Detail;
  if (Result.Status == ExchangeResult::Code::NothingSent) {
    Reply.End = AttemptResult::NothingSent;
    return Reply;
  }
  const auto &Headers = Result.Reply.Headers;
  const bool Whole = Result.Status == ExchangeResult::Code::Answered &&
                     findHeader(Headers, CallHeader) == CallId;
  if (!Whole) {
    Reply.End = AttemptResult::AnswerLost;
    return Reply;
  }
  Reply.End = parseTryEnd(findHeader(Headers, TryHeader));
  Reply.UpstreamDied = findHeader(Headers, DeathsHeader) == "1";
  if (Reply.End != AttemptResult::Answered)
    Reply.Detail = findHeader(Headers, DetailHeader);
  (void)absl::SimpleAtoi(findHeader(Headers, LoadHeader), &Reply.Load);
  Reply.Reply = std::move(Result.Reply);
  return Reply;
}

} // namespace persimmonquay
