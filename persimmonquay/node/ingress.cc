#include "persimmonquay/node/ingress.h"

#include "persimmonquay/base/hashing.h"
#include "persimmonquay/base/logging.h"
#include "persimmonquay/node/http_pool.h"
#include "persimmonquay/node/move_driver.h"
#include "persimmonquay/node/routing_view.h"
#include "persimmonquay/peer/cluster.h"
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <utility>
#include <vector>

namespace persimmonquay {
namespace internal {

constexpr std::size_t DefaultQueueLimit = 64;
constexpr Millis ProbeTimeout{200};
constexpr Millis BlameLifetime = std::chrono::hours(1);
constexpr int ServerError = 500;
constexpr std::uint32_t MaxSlots = 10000;

/// Gives the slot back at the end of a scope.
struct SlotReleaser {
  AdmissionGate *Gate;
  ~SlotReleaser() { this->Gate->release(); }
};

absl::Status check(const Announcement &Heard) {
  if (Heard.Service.empty() || Heard.Version.empty())
    return absl::InvalidArgumentError(
        "the announcement lacks \"service\" or \"version\"");
  if (Heard.Address.empty() || Heard.Port == 0)
    return absl::InvalidArgumentError(
        "the announcement lacks \"address\" or \"port\"");
  if (Heard.Slots == 0 || Heard.Slots > MaxSlots)
    return absl::InvalidArgumentError(absl::StrCat(
        "\"slots\" is ", Heard.Slots, ", not between 1 and ", MaxSlots));
  return absl::OkStatus();
}

bool saysTheSame(const Announcement &One, const Announcement &Other) {
  return One.Service == Other.Service && One.Version == Other.Version &&
         One.Slots == Other.Slots && One.Draining == Other.Draining;
}

bool saysNotRun(const CallReply &Reply) {
  return Reply.Status >= ServerError &&
         findHeader(Reply.Headers, OutcomeHeader) ==
             outcomeName(Outcome::NotRun);
}

} // namespace internal

Ingress::Ingress(Cluster *Group, const RoutingViewHolder *Views, HttpPool *Pool,
                 MoveDriver *Moves, Millis AnnouncementLease)
    : Group(Group), Views(Views), Pool(Pool), Moves(Moves),
      Lease(AnnouncementLease), Gate(0, 0),
      Current(std::make_unique<const std::shared_ptr<const Upstream>>()) {}

std::shared_ptr<const Ingress::Upstream> Ingress::known() const {
  return this->Current.read(
      [](const std::shared_ptr<const Upstream> &Known) { return Known; });
}

void Ingress::replaceLocked(std::shared_ptr<const Upstream> Next) {
  this->Current.replace(
      std::make_unique<const std::shared_ptr<const Upstream>>(std::move(Next)));
}

absl::Status Ingress::announce(const Announcement &Heard) {
  absl::Status Valid = internal::check(Heard);
  if (!Valid.ok())
    return Valid;
  const auto Before = this->known();
  if (Before != nullptr && Before->Last.Boot != Heard.Boot) {
    if (!Before->Last.Draining)
      this->countDeath(*Before);
    this->upstreamDied(Before->Last.Boot);
  }
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Known = this->known();
  const bool SameRun = Known != nullptr && Known->Last.Boot == Heard.Boot;
  auto Next = std::make_shared<Upstream>();
  Next->Last = Heard;
  Next->HeardAt = monoNow();
  Next->AnnouncedAt = SameRun ? Known->AnnouncedAt : wallNow();
  this->replaceLocked(std::move(Next));
  this->Gate.resize(Heard.Slots, this->queueLimitOf(Heard.Service));
  if (SameRun && internal::saysTheSame(Known->Last, Heard))
    return absl::OkStatus();
  this->Gate.setDraining(Heard.Draining || this->NodeDraining);
  this->tellPeersLocked();
  logLine(LogLevel::Info, "upstream announced",
          {{"service", Heard.Service},
           {"version", Heard.Version},
           {"draining", Heard.Draining ? "true" : "false"}});
  return absl::OkStatus();
}

std::size_t Ingress::queueLimitOf(const std::string &Service) const {
  const auto View = this->Views->current();
  const proto::Service *Known =
      View->Config == nullptr ? nullptr : View->Config->findService(Service);
  const bool Set = Known != nullptr && Known->queue_limit() > 0;
  return Set ? Known->queue_limit() : internal::DefaultQueueLimit;
}

void Ingress::tellPeersLocked() {
  proto::Member Facts;
  if (const auto Known = this->known()) {
    Facts.set_service(Known->Last.Service);
    Facts.set_version(Known->Last.Version);
    Facts.set_slots(Known->Last.Slots);
    Facts.set_announced_unix_ms(unixMillis(Known->AnnouncedAt));
    Facts.set_draining(Known->Last.Draining || this->NodeDraining);
  }
  this->Group->updateSelf(Facts);
}

void Ingress::checkLease(MonoTime Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Known = this->known();
  if (Known == nullptr || Now - Known->HeardAt < this->Lease)
    return;
  logLine(LogLevel::Warning, "upstream has stopped announcing itself",
          {{"service", Known->Last.Service}});
  this->replaceLocked(nullptr);
  this->tellPeersLocked();
}

void Ingress::drain() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->NodeDraining = true;
  this->Gate.setDraining(true);
  this->tellPeersLocked();
}

bool Ingress::waitUntilIdle(Millis Timeout) const {
  return this->Gate.waitUntilIdle(Timeout);
}

std::uint32_t Ingress::load() const {
  return static_cast<std::uint32_t>(this->Gate.running() +
                                    this->Gate.waiting());
}

IngressReply Ingress::refuse(const std::string &Detail) const {
  IngressReply Reply;
  Reply.End = AttemptResult::RefusedByNode;
  Reply.Detail = Detail;
  Reply.Load = this->load();
  return Reply;
}

std::unique_ptr<IngressReply> Ingress::refusal(const IngressCall &Call,
                                               const Upstream &Known) const {
  const auto Refuse = [&](const std::string &Detail) {
    return std::make_unique<IngressReply>(this->refuse(Detail));
  };
  if (Known.Last.Service != Call.Service)
    return Refuse(absl::StrCat("this node's upstream serves \"",
                               Known.Last.Service, "\", not \"", Call.Service,
                               "\""));
  const MoveView *Move = this->Views->current()->moveOf(Call.Service);
  if (Move != nullptr && Move->Progress.RolledBack &&
      Move->Move->to_version() == Known.Last.Version)
    return Refuse(
        absl::StrCat("version \"", Known.Last.Version, "\" was taken back"));
  return nullptr;
}

IngressReply Ingress::run(const IngressCall &Call) {
  const auto Known = this->known();
  if (Known == nullptr)
    return this->refuse("no upstream has announced itself");
  if (auto Refused = this->refusal(Call, *Known))
    return *Refused;
  const MonoTime Deadline = monoNow() + Call.Remaining;
  const AdmissionResult Admission =
      this->Gate.acquire(AdmissionRequest{Call.Priority, Deadline});
  IngressReply Reply;
  switch (Admission) {
  case AdmissionResult::Admitted: {
    const internal::SlotReleaser Releaser{&this->Gate};
    // The version may have been taken back while the call waited.
    auto Refused = this->refusal(Call, *Known);
    Reply = Refused != nullptr ? *Refused : this->runUnderBlame(Call, *Known);
    break;
  }
  case AdmissionResult::Shed:
    Reply = this->refuse("the queue is full of more important calls");
    break;
  case AdmissionResult::DeadlineExceeded:
    Reply = this->refuse("no slot came free before the deadline");
    break;
  case AdmissionResult::Draining:
    Reply = this->refuse("the upstream is draining");
    break;
  }
  return Reply;
}

IngressReply Ingress::runUnderBlame(const IngressCall &Call,
                                    const Upstream &Known) {
  std::string Detail;
  if (!this->startUnderBlame(Call, monoNow() + Call.Remaining, &Detail))
    return this->refuse(Detail);
  IngressReply Reply = this->runAdmitted(Call, Known);
  this->Blame.end(Call.Fingerprint);
  return Reply;
}

bool Ingress::startUnderBlame(const IngressCall &Call, MonoTime Deadline,
                              std::string *Detail) {
  const std::string Key = hashToHex(Call.Fingerprint) + "/";
  while (true) {
    const std::uint64_t Deaths = std::max<std::uint64_t>(
        Call.Deaths, this->Group->factCount(proto::REQUEST_BLAME, Key));
    switch (this->Blame.start(Call.Fingerprint, Deaths)) {
    case CrashSuspectTracker::StartResult::Started:
      return true;
    case CrashSuspectTracker::StartResult::Refused:
      *Detail = absl::StrCat("this request has ended ", Deaths,
                             " upstreams and is not run again");
      return false;
    case CrashSuspectTracker::StartResult::MustWait:
      if (monoNow() >= Deadline) {
        *Detail = "no turn came free for a request under suspicion";
        return false;
      }
      this->Blame.waitForChange(Deadline);
    }
  }
}

IngressReply Ingress::runAdmitted(const IngressCall &Call,
                                  const Upstream &Known) {
  const MonoTime StartedAt = monoNow();
  this->noteRoute(Call);
  CallRequest Forwarded = Call.Request;
  Forwarded.Headers = endToEndHeaders(Call.Request.Headers);
  Forwarded.Headers.push_back(
      HeaderField{DeadlineHeader, absl::StrCat(Call.Remaining.count())});
  ExchangeResult Result = this->Pool->exchange(
      Known.Last.Address, Known.Last.Port, Forwarded, Call.Remaining);
  IngressReply Reply;
  Reply.Load = this->load();
  Reply.Detail = Result.Detail;
  switch (Result.Status) {
  case ExchangeResult::Code::NothingSent:
    Reply.End = AttemptResult::NothingSent;
    if (this->runsAs(Known.Last.Boot))
      this->countDeath(Known);
    this->upstreamDied(Known.Last.Boot);
    return Reply;
  case ExchangeResult::Code::Answered: {
    const bool Refused = internal::saysNotRun(Result.Reply);
    Reply.End =
        Refused ? AttemptResult::RefusedByUpstream : AttemptResult::Answered;
    this->countEvidence(Call.Route, Known,
                        Result.Reply.Status >= internal::ServerError,
                        StartedAt);
    Reply.Reply = std::move(Result.Reply);
    return Reply;
  }
  case ExchangeResult::Code::AnswerLost:
    break;
  }
  Reply.End = AttemptResult::AnswerLost;
  const bool Died = !Result.TimedOut &&
                    !HttpPool::canConnect(Known.Last.Address, Known.Last.Port,
                                          internal::ProbeTimeout);
  // One death is one failure, however many calls ran; the first one counts it.
  const bool AlreadyReported = !this->runsAs(Known.Last.Boot);
  if (!Died || !AlreadyReported)
    this->countEvidence(Call.Route, Known, true, StartedAt);
  Reply.UpstreamDied = Died;
  if (Died)
    this->upstreamDied(Known.Last.Boot);
  return Reply;
}

bool Ingress::runsAs(const std::string &Boot) const {
  const auto Now = this->known();
  return Now != nullptr && Now->Last.Boot == Boot;
}

void Ingress::upstreamDied(const std::string &Boot) {
  std::vector<std::uint64_t> Blamed;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    const auto Known = this->known();
    if (Known == nullptr || Known->Last.Boot != Boot)
      return;
    logLine(
        LogLevel::Warning, "upstream died",
        {{"service", Known->Last.Service}, {"version", Known->Last.Version}});
    // Under the lock, so that no other call of this death ends before.
    Blamed = this->Blame.onUpstreamCrash();
    this->replaceLocked(nullptr);
    this->tellPeersLocked();
  }
  for (std::uint64_t Fingerprint : Blamed) {
    proto::Fact Fact;
    Fact.set_kind(proto::REQUEST_BLAME);
    Fact.set_key(absl::StrCat(hashToHex(Fingerprint), "/", Boot));
    Fact.set_level(1);
    Fact.set_expires_unix_ms(unixMillis(wallNow() + internal::BlameLifetime));
    logLine(LogLevel::Warning, "request blamed for the death of an upstream",
            {{"fingerprint", hashToHex(Fingerprint)}});
    this->Group->publishFact(Fact);
  }
}

void Ingress::noteRoute(const IngressCall &Call) {
  if (this->Views->current()->moveOf(Call.Service) == nullptr)
    return;
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->NewestRoute = Call.Route;
}

void Ingress::countDeath(const Upstream &Known) {
  std::string Route;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    Route = this->NewestRoute;
  }
  if (!Route.empty())
    this->countEvidence(Route, Known, true, monoNow());
}

void Ingress::countEvidence(const std::string &Route, const Upstream &Known,
                            bool Failed, MonoTime StartedAt) {
  const auto View = this->Views->current();
  const MoveView *Move = View->moveOf(Known.Last.Service);
  if (Move == nullptr)
    return;
  CallResult Result;
  Result.Route = Route;
  Result.ToNewVersion = Known.Last.Version == Move->Move->to_version();
  if (!Result.ToNewVersion && Known.Last.Version != Move->Move->from_version())
    return;
  Result.Failed = Failed;
  Result.Latency = std::chrono::duration_cast<std::chrono::microseconds>(
      monoNow() - StartedAt);
  const auto *Target = View->Config->findService(Known.Last.Service);
  const Millis ColdStart(Target == nullptr ? 0 : Target->cold_start_ms());
  Result.IncludeLatency = wallNow() - Known.AnnouncedAt >= ColdStart;
  this->Moves->count(Move->Move->name(), Result);
}

} // namespace persimmonquay
