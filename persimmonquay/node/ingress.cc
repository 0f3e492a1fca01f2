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
constexpr Millis CrashProbeTimeout{200};
/// How long a connection to an upstream that lost a response must stay open to
/// show that the process is alive. An exiting process closes its sockets within
/// a millisecond unless its host is overloaded.
constexpr Millis CrashConfirmTime{50};
constexpr Millis CrashSuspectLifetime = std::chrono::hours(1);
constexpr int ServerError = 500;
constexpr std::uint32_t MaxSlots = 10000;

/// Releases an admission slot at the end of a scope.
struct SlotReleaser {
  AdmissionGate *Gate;
  ~SlotReleaser() { this->Gate->release(); }
};

absl::Status validate(const Announcement &NewAnnouncement) {
  if (NewAnnouncement.Service.empty() || NewAnnouncement.Version.empty())
    return absl::InvalidArgumentError(
        "the announcement lacks \"service\" or \"version\"");
  if (NewAnnouncement.Address.empty() || NewAnnouncement.Port == 0)
    return absl::InvalidArgumentError(
        "the announcement lacks \"address\" or \"port\"");
  if (NewAnnouncement.Slots == 0 || NewAnnouncement.Slots > MaxSlots)
    return absl::InvalidArgumentError(
        absl::StrCat("\"slots\" is ", NewAnnouncement.Slots,
                     ", not between 1 and ", MaxSlots));
  return absl::OkStatus();
}

/// Returns whether peers would be told the same for both announcements.
bool isSameForPeers(const Announcement &First, const Announcement &Second) {
  return First.Service == Second.Service && First.Version == Second.Version &&
         First.Slots == Second.Slots && First.Draining == Second.Draining;
}

/// Returns whether the upstream itself responded that it did not run the call.
bool reportsNotRun(const CallResponse &Response) {
  return Response.Status >= ServerError &&
         findHeader(Response.Headers, OutcomeHeader) ==
             outcomeName(Outcome::NotRun);
}

} // namespace internal

Ingress::Ingress(Cluster *PeerCluster, const RoutingViewHolder *Views,
                 HttpPool *Pool, MoveDriver *Moves, Millis AnnouncementLease)
    : PeerCluster(PeerCluster), Views(Views), Pool(Pool), Moves(Moves),
      Lease(AnnouncementLease), Gate(0, 0),
      Current(std::make_unique<const std::shared_ptr<const Registration>>()) {}

std::shared_ptr<const Ingress::Registration> Ingress::registration() const {
  return this->Current.read(
      [](const std::shared_ptr<const Registration> &Upstream) {
        return Upstream;
      });
}

void Ingress::replaceLocked(
    std::shared_ptr<const Registration> NewRegistration) {
  this->Current.replace(
      std::make_unique<const std::shared_ptr<const Registration>>(
          std::move(NewRegistration)));
}

absl::Status Ingress::announce(const Announcement &NewAnnouncement) {
  absl::Status Status = internal::validate(NewAnnouncement);
  if (!Status.ok())
    return Status;
  const auto Previous = this->registration();
  if (Previous != nullptr &&
      Previous->LastAnnouncement.Boot != NewAnnouncement.Boot) {
    if (!Previous->LastAnnouncement.Draining)
      this->countCrash(*Previous);
    this->handleUpstreamExit(Previous->LastAnnouncement.Boot);
  }
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Upstream = this->registration();
  const bool SameBoot = Upstream != nullptr &&
                        Upstream->LastAnnouncement.Boot == NewAnnouncement.Boot;
  auto NewRegistration = std::make_shared<Registration>();
  NewRegistration->LastAnnouncement = NewAnnouncement;
  NewRegistration->LastAnnouncedAt = monoNow();
  NewRegistration->FirstAnnouncedAt =
      SameBoot ? Upstream->FirstAnnouncedAt : wallNow();
  this->replaceLocked(std::move(NewRegistration));
  this->Gate.resize(NewAnnouncement.Slots,
                    this->queueLimitOf(NewAnnouncement.Service));
  if (SameBoot &&
      internal::isSameForPeers(Upstream->LastAnnouncement, NewAnnouncement))
    return absl::OkStatus();
  this->Gate.setDraining(NewAnnouncement.Draining || this->NodeDraining);
  this->publishSelfLocked();
  logLine(LogLevel::Info, "upstream announced",
          {{"service", NewAnnouncement.Service},
           {"version", NewAnnouncement.Version},
           {"draining", NewAnnouncement.Draining ? "true" : "false"}});
  return absl::OkStatus();
}

std::size_t Ingress::queueLimitOf(const std::string &Service) const {
  const auto View = this->Views->current();
  const proto::Service *ServiceConfig =
      View->Config == nullptr ? nullptr : View->Config->findService(Service);
  const bool IsConfigured =
      ServiceConfig != nullptr && ServiceConfig->queue_limit() > 0;
  return IsConfigured ? ServiceConfig->queue_limit()
                      : internal::DefaultQueueLimit;
}

void Ingress::publishSelfLocked() {
  proto::Member Self;
  if (const auto Upstream = this->registration()) {
    Self.set_service(Upstream->LastAnnouncement.Service);
    Self.set_version(Upstream->LastAnnouncement.Version);
    Self.set_slots(Upstream->LastAnnouncement.Slots);
    Self.set_announced_unix_ms(unixMillis(Upstream->FirstAnnouncedAt));
    Self.set_draining(Upstream->LastAnnouncement.Draining ||
                      this->NodeDraining);
  }
  this->PeerCluster->updateSelf(Self);
}

void Ingress::checkLease(MonoTime Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Upstream = this->registration();
  if (Upstream == nullptr || Now - Upstream->LastAnnouncedAt < this->Lease)
    return;
  logLine(LogLevel::Warning, "upstream's announcement lease expired",
          {{"service", Upstream->LastAnnouncement.Service}});
  this->replaceLocked(nullptr);
  this->publishSelfLocked();
}

void Ingress::drain() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->NodeDraining = true;
  this->Gate.setDraining(true);
  this->publishSelfLocked();
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
  Reply.Result = AttemptResult::RefusedByNode;
  Reply.Detail = Detail;
  Reply.Load = this->load();
  return Reply;
}

std::unique_ptr<IngressReply>
Ingress::refusal(const IngressCall &Call, const Registration &Upstream) const {
  const auto Refuse = [&](const std::string &Detail) {
    return std::make_unique<IngressReply>(this->refuse(Detail));
  };
  if (Upstream.LastAnnouncement.Service != Call.Service)
    return Refuse(absl::StrCat("this node's upstream serves \"",
                               Upstream.LastAnnouncement.Service, "\", not \"",
                               Call.Service, "\""));
  const MoveView *Move = this->Views->current()->findMove(Call.Service);
  if (Move != nullptr && Move->Progress.RolledBack &&
      Move->Move->to_version() == Upstream.LastAnnouncement.Version)
    return Refuse(absl::StrCat("version \"", Upstream.LastAnnouncement.Version,
                               "\" was taken back"));
  return nullptr;
}

IngressReply Ingress::run(const IngressCall &Call) {
  const auto Upstream = this->registration();
  if (Upstream == nullptr)
    return this->refuse("no upstream has announced itself");
  if (auto Refusal = this->refusal(Call, *Upstream))
    return *Refusal;
  const MonoTime Deadline = monoNow() + Call.Timeout;
  const AdmissionResult Admission =
      this->Gate.acquire(AdmissionRequest{Call.Priority, Deadline});
  IngressReply Reply;
  switch (Admission) {
  case AdmissionResult::Admitted: {
    const internal::SlotReleaser Releaser{&this->Gate};
    // The version may have been rolled back while the call waited for a slot.
    auto Refusal = this->refusal(Call, *Upstream);
    Reply = Refusal != nullptr ? *Refusal
                               : this->runTrackingCrashes(Call, *Upstream);
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

IngressReply Ingress::runTrackingCrashes(const IngressCall &Call,
                                         const Registration &Upstream) {
  std::string Detail;
  if (!this->startCrashTracking(Call, monoNow() + Call.Timeout, &Detail))
    return this->refuse(Detail);
  IngressReply Reply = this->forwardToUpstream(Call, Upstream);
  this->CrashSuspects.end(Call.Fingerprint);
  return Reply;
}

bool Ingress::startCrashTracking(const IngressCall &Call, MonoTime Deadline,
                                 std::string *Detail) {
  const std::string Key = hashToHex(Call.Fingerprint) + "/";
  while (true) {
    const std::uint64_t CrashCount = std::max<std::uint64_t>(
        Call.CrashCount,
        this->PeerCluster->factCount(proto::REQUEST_BLAME, Key));
    switch (this->CrashSuspects.start(Call.Fingerprint, CrashCount)) {
    case CrashSuspectTracker::StartResult::Started:
      return true;
    case CrashSuspectTracker::StartResult::Refused:
      *Detail = absl::StrCat("this request has ended ", CrashCount,
                             " upstreams and is not run again");
      return false;
    case CrashSuspectTracker::StartResult::MustWait:
      if (monoNow() >= Deadline) {
        *Detail = "no turn came free for a request under suspicion";
        return false;
      }
      this->CrashSuspects.waitForChange(Deadline);
    }
  }
}

IngressReply Ingress::forwardToUpstream(const IngressCall &Call,
                                        const Registration &Upstream) {
  const MonoTime StartedAt = monoNow();
  this->recordRoute(Call);
  CallRequest ForwardedRequest = Call.Request;
  ForwardedRequest.Headers = endToEndHeaders(Call.Request.Headers);
  ForwardedRequest.Headers.push_back(
      HeaderField{DeadlineHeader, absl::StrCat(Call.Timeout.count())});
  ExchangeResult Exchange = this->Pool->exchange(
      Upstream.LastAnnouncement.Address, Upstream.LastAnnouncement.Port,
      ForwardedRequest, Call.Timeout);
  IngressReply Reply;
  Reply.Load = this->load();
  Reply.Detail = Exchange.Detail;
  switch (Exchange.Status) {
  case ExchangeResult::Code::NothingSent:
    Reply.Result = AttemptResult::NothingSent;
    if (this->isCurrentBoot(Upstream.LastAnnouncement.Boot))
      this->countCrash(Upstream);
    this->handleUpstreamExit(Upstream.LastAnnouncement.Boot);
    return Reply;
  case ExchangeResult::Code::Answered: {
    const bool NotRun = internal::reportsNotRun(Exchange.Response);
    Reply.Result =
        NotRun ? AttemptResult::RefusedByUpstream : AttemptResult::Answered;
    this->countEvidence(Call.Route, Upstream,
                        Exchange.Response.Status >= internal::ServerError,
                        StartedAt);
    Reply.Response = std::move(Exchange.Response);
    return Reply;
  }
  case ExchangeResult::Code::ResponseLost:
    break;
  }
  Reply.Result = AttemptResult::ResponseLost;
  const bool Crashed = !Exchange.TimedOut &&
                       !HttpPool::isListening(Upstream.LastAnnouncement.Address,
                                              Upstream.LastAnnouncement.Port,
                                              internal::CrashProbeTimeout,
                                              internal::CrashConfirmTime);
  // A crash counts as one failure however many calls were running; the first
  // call to detect it counts it.
  const bool AlreadyReported =
      !this->isCurrentBoot(Upstream.LastAnnouncement.Boot);
  if (!Crashed || !AlreadyReported)
    this->countEvidence(Call.Route, Upstream, true, StartedAt);
  Reply.UpstreamCrashed = Crashed;
  if (Crashed)
    this->handleUpstreamExit(Upstream.LastAnnouncement.Boot);
  return Reply;
}

bool Ingress::isCurrentBoot(const std::string &Boot) const {
  const auto Upstream = this->registration();
  return Upstream != nullptr && Upstream->LastAnnouncement.Boot == Boot;
}

void Ingress::handleUpstreamExit(const std::string &Boot) {
  std::vector<std::uint64_t> Suspects;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    const auto Upstream = this->registration();
    if (Upstream == nullptr || Upstream->LastAnnouncement.Boot != Boot)
      return;
    logLine(LogLevel::Warning, "upstream process exited",
            {{"service", Upstream->LastAnnouncement.Service},
             {"version", Upstream->LastAnnouncement.Version}});
    // While holding the lock, so that no other call that this crash interrupted
    // ends before the suspects are determined.
    Suspects = this->CrashSuspects.onUpstreamCrash();
    this->replaceLocked(nullptr);
    this->publishSelfLocked();
  }
  for (std::uint64_t Fingerprint : Suspects) {
    proto::Fact Fact;
    Fact.set_kind(proto::REQUEST_BLAME);
    Fact.set_key(absl::StrCat(hashToHex(Fingerprint), "/", Boot));
    Fact.set_level(1);
    Fact.set_expires_unix_ms(
        unixMillis(wallNow() + internal::CrashSuspectLifetime));
    logLine(LogLevel::Warning, "request blamed for the death of an upstream",
            {{"fingerprint", hashToHex(Fingerprint)}});
    this->PeerCluster->publishFact(Fact);
  }
}

void Ingress::recordRoute(const IngressCall &Call) {
  if (this->Views->current()->findMove(Call.Service) == nullptr)
    return;
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->NewestRoute = Call.Route;
}

void Ingress::countCrash(const Registration &Upstream) {
  std::string Route;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    Route = this->NewestRoute;
  }
  if (!Route.empty())
    this->countEvidence(Route, Upstream, true, monoNow());
}

void Ingress::countEvidence(const std::string &Route,
                            const Registration &Upstream, bool Failed,
                            MonoTime StartedAt) {
  const auto View = this->Views->current();
  const MoveView *Move = View->findMove(Upstream.LastAnnouncement.Service);
  if (Move == nullptr)
    return;
  CallResult Result;
  Result.Route = Route;
  Result.ToNewVersion =
      Upstream.LastAnnouncement.Version == Move->Move->to_version();
  if (!Result.ToNewVersion &&
      Upstream.LastAnnouncement.Version != Move->Move->from_version())
    return;
  Result.Failed = Failed;
  Result.Latency = std::chrono::duration_cast<std::chrono::microseconds>(
      monoNow() - StartedAt);
  const auto *ServiceConfig =
      View->Config->findService(Upstream.LastAnnouncement.Service);
  const Millis ColdStart(
      ServiceConfig == nullptr ? 0 : ServiceConfig->cold_start_ms());
  Result.IncludeLatency = wallNow() - Upstream.FirstAnnouncedAt >= ColdStart;
  this->Moves->recordCall(Move->Move->name(), Result);
}

} // namespace persimmonquay
