#include "persimmonquay/daemon/rollout_driver.h"

#include "persimmonquay/base/hashing.h"
#include "persimmonquay/base/logging.h"
#include "persimmonquay/daemon/gossip.h"
#include "persimmonquay/fleet/node_directory.h"
#include "persimmonquay/move/latency_buckets.h"
#include "persimmonquay/rollout/failure_history.h"
#include "persimmonquay/rollout/rollout_evidence.h"
#include "persimmonquay/rollout/rollout_table.h"
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace persimmonquay {
namespace internal {

/// Interval at which counts are sent and decisions taken. A bad version is
/// found within a few intervals.
constexpr Millis DecisionInterval{250};

/// Interval at which a driver publishes the progress of a rollout even if it
/// has not changed.
constexpr Millis PublishInterval{500};

/// Time without news of a rollout after which another node takes over as
/// its driver, for each node that ranks above that one.
constexpr Millis TakeoverDelay{1200};

/// Delay before storing a rollout's state is tried again after a failure.
constexpr Millis StatusRetryDelay{300};

std::string stateName(proto::RolloutState State) {
  switch (State) {
  case proto::COMPLETED:
    return "completed";
  case proto::ROLLED_BACK:
    return "rolled back";
  default:
    return "running";
  }
}

} // namespace internal

struct RolloutDriver::RouteCounts {
  std::uint32_t Calls = 0;
  std::uint32_t Failures = 0;
  std::uint32_t Rejected = 0;
  std::array<std::uint32_t, LatencyBucketCount> Latency{};
  FailureHistory History;
};

struct RolloutDriver::OrderState {
  proto::RolloutOrder Order;
  MonoTime StartedAt;
  MonoTime LastProgressAt;
  MonoTime ShareChangedAt;
  MonoTime LastPublishedAt;
  /// Times that the share was lowered, but not to 0.
  std::uint32_t Fallbacks = 0;
  /// How often calls of this node's upstream usually failed when the node
  /// learned of the order, by route, and which instance that was.
  std::map<std::string, FailureHistory::UsualCounts> UsualAtOrder;
  std::string InstanceAtOrder;
  bool IsStoring = false;
  /// State that the store holds, as far as this node knows.
  proto::RolloutState StoredState = proto::ROLLOUT_STATE_UNSPECIFIED;
  std::unique_ptr<RolloutEvidence> Evidence;
};

RolloutDriver::RolloutDriver(asio::io_context &IoContext,
                             const NodeDirectory &KnownNodes,
                             RolloutTable &KnownRollouts, Gossip &OwnGossip,
                             UpstreamGate &OwnGate, ExposureLimits Exposure,
                             StatusWriter StoreWriter)
    : Context(IoContext), Directory(KnownNodes), Rollouts(KnownRollouts),
      NodeGossip(OwnGossip), Gate(OwnGate), Limits(Exposure),
      Writer(std::move(StoreWriter)), DecisionTimer(IoContext) {
  this->Gate.setResultHandler(
      [this](const UpstreamCallResult &Result) { this->recordResult(Result); });
}

RolloutDriver::~RolloutDriver() = default;

void RolloutDriver::start() {
  asio::co_spawn(
      this->Context, [this] { return this->decisionLoop(); }, asio::detached);
}

void RolloutDriver::stop() {
  this->Stopped = true;
  this->DecisionTimer.cancel();
}

const proto::RolloutProgress *
RolloutDriver::addOrder(const proto::RolloutOrder &NewOrder) {
  if (this->Orders.contains(NewOrder.number()))
    return nullptr;
  // Until a driver decides otherwise, the target version gets no calls.
  proto::RolloutProgress Progress;
  *Progress.mutable_order() = NewOrder;
  Progress.set_state(proto::RUNNING);
  this->Rollouts.merge(Progress);
  logLine(LogLevel::Info,
          this->Rollouts.isRepetition(NewOrder.service(), NewOrder.number())
              ? "rollout order repeats another one"
              : "rollout ordered",
          {{"service", NewOrder.service()},
           {"target_version", NewOrder.target_version()},
           {"duration_ms", std::to_string(NewOrder.duration_ms())},
           {"order", std::to_string(NewOrder.number())}});
  auto State = std::make_unique<OrderState>();
  const MonoTime Now = monoNow();
  State->Order = NewOrder;
  State->StartedAt = Now;
  State->LastProgressAt = Now;
  State->ShareChangedAt = Now;
  for (const auto &[Route, Counts] : this->CountsByRoute)
    State->UsualAtOrder[Route] = Counts.History.usual();
  State->InstanceAtOrder = this->CountedInstance;
  State->Evidence =
      std::make_unique<RolloutEvidence>(NewOrder.target_version());
  this->Orders[NewOrder.number()] = std::move(State);
  return this->Rollouts.find(NewOrder.service(), NewOrder.number());
}

void RolloutDriver::mergeProgress(const proto::RolloutProgress &Progress) {
  this->addOrder(Progress.order());
  OrderState &State = *this->Orders.at(Progress.order().number());
  const MonoTime Now = monoNow();
  const proto::RolloutProgress *Previous = this->Rollouts.find(
      Progress.order().service(), Progress.order().number());
  const std::uint32_t PreviousShare =
      Previous == nullptr ? 0 : Previous->share_permille();
  const proto::RolloutState PreviousState =
      Previous == nullptr ? proto::RUNNING : Previous->state();
  if (!this->Rollouts.merge(Progress))
    return;
  State.LastProgressAt = Now;
  State.StartedAt =
      std::min(State.StartedAt, Now - Millis(Progress.elapsed_ms()));
  if (PreviousShare != Progress.share_permille())
    State.ShareChangedAt = Now;
  if (PreviousState != Progress.state() ||
      PreviousShare != Progress.share_permille())
    logLine(LogLevel::Info, "rollout changed",
            {{"service", Progress.order().service()},
             {"target_version", Progress.order().target_version()},
             {"state", internal::stateName(Progress.state())},
             {"share_permille", std::to_string(Progress.share_permille())},
             {"driver", Progress.driver()}});
}

void RolloutDriver::mergeTally(const proto::RolloutTally &Tally) {
  for (auto &[Number, State] : this->Orders)
    if (State->Order.service() == Tally.service())
      State->Evidence->merge(Tally);
}

void RolloutDriver::recordResult(const UpstreamCallResult &Result) {
  const std::optional<proto::UpstreamEntry> &Upstream = this->Gate.upstream();
  if (!Upstream)
    return;
  if (Upstream->instance() != this->CountedInstance) {
    this->CountsByRoute.clear();
    this->CountedInstance = Upstream->instance();
  }
  RouteCounts &Counts = this->CountsByRoute[Result.Route];
  ++Counts.Calls;
  if (Result.Failed)
    ++Counts.Failures;
  if (Result.Rejected)
    ++Counts.Rejected;
  else
    Counts.History.record(Result.Failed);
  if (!Result.Failed)
    ++Counts.Latency[latencyBucket(Result.ProcessingTime)];
}

void RolloutDriver::sendOwnTallies() {
  const std::optional<proto::UpstreamEntry> &Upstream = this->Gate.upstream();
  if (!Upstream || Upstream->instance() != this->CountedInstance)
    return;
  const std::vector<const proto::RolloutProgress *> Running =
      this->Rollouts.running(Upstream->service());
  if (Running.empty())
    return;
  // The order that has run for longest.
  const OrderState &First = *this->Orders.at(Running.back()->order().number());
  std::vector<proto::RolloutTally> OwnTallies;
  for (const auto &[Route, Counts] : this->CountsByRoute) {
    proto::RolloutTally Tally;
    Tally.set_service(Upstream->service());
    Tally.set_node(absl::StrCat(this->Directory.ownEntry().node(), "/",
                                this->CountedInstance));
    Tally.set_boot(this->Directory.ownEntry().boot());
    Tally.set_version(Upstream->version());
    Tally.set_route(Route);
    Tally.set_calls(Counts.Calls);
    Tally.set_failures(Counts.Failures);
    Tally.set_rejected(Counts.Rejected);
    const auto Usual = First.UsualAtOrder.find(Route);
    if (First.InstanceAtOrder == this->CountedInstance &&
        Usual != First.UsualAtOrder.end()) {
      Tally.set_usual_calls_before_order(Usual->second.Calls);
      Tally.set_usual_failures_before_order(Usual->second.Failures);
    }
    for (const std::uint32_t Count : Counts.Latency)
      Tally.add_latency(Count);
    OwnTallies.push_back(std::move(Tally));
  }
  for (const proto::RolloutTally &Tally : OwnTallies)
    this->mergeTally(Tally);
  std::string LastRecipient;
  for (const proto::RolloutProgress *Progress : Running)
    if (!Progress->driver().empty() && Progress->driver() != LastRecipient &&
        Progress->driver() != this->Directory.ownEntry().node()) {
      LastRecipient = Progress->driver();
      this->NodeGossip.sendTallies(LastRecipient, OwnTallies);
    }
}

asio::awaitable<void> RolloutDriver::decisionLoop() {
  while (!this->Stopped) {
    this->DecisionTimer.expires_after(internal::DecisionInterval);
    co_await this->DecisionTimer.async_wait(NoThrow);
    if (this->Stopped)
      break;
    if (this->Orders.empty())
      continue;
    this->sendOwnTallies();
    for (auto &[Number, State] : this->Orders)
      this->processOrder(*State);
  }
}

bool RolloutDriver::isDriver(const OrderState &State) const {
  const std::string RendezvousKey =
      absl::StrCat("rollout/", State.Order.number());
  const std::string &OwnNode = this->Directory.ownEntry().node();
  const proto::RolloutProgress *Progress =
      this->Rollouts.find(State.Order.service(), State.Order.number());
  if (Progress != nullptr && Progress->driver() == OwnNode)
    return true;
  std::size_t HigherRanked = 0;
  const std::uint64_t OwnWeight = rendezvousWeight(RendezvousKey, OwnNode);
  for (const proto::NodeEntry *Entry : this->Directory.activePeers())
    if (rendezvousWeight(RendezvousKey, Entry->node()) > OwnWeight)
      ++HigherRanked;
  const bool HasDriver = Progress != nullptr && !Progress->driver().empty();
  const auto RequiredSilence =
      internal::TakeoverDelay *
      static_cast<std::int64_t>(HasDriver ? HigherRanked + 1 : HigherRanked);
  return monoNow() - State.LastProgressAt >= RequiredSilence;
}

void RolloutDriver::processOrder(OrderState &State) {
  const proto::RolloutProgress *Progress =
      this->Rollouts.find(State.Order.service(), State.Order.number());
  if (Progress == nullptr || Progress->stored() ||
      this->Rollouts.isRepetition(State.Order.service(),
                                  State.Order.number()) ||
      !this->isDriver(State))
    return;
  this->adoptEnd(State);
  if (Progress->state() == proto::RUNNING) {
    this->decide(State);
    Progress = this->Rollouts.find(State.Order.service(), State.Order.number());
  }
  if (State.StoredState != Progress->state() && !State.IsStoring) {
    State.IsStoring = true;
    asio::co_spawn(
        this->Context,
        [this, Copy = *Progress] { return this->writeStatus(Copy); },
        asio::detached);
  }
}

void RolloutDriver::adoptEnd(OrderState &State) {
  const std::string &Service = State.Order.service();
  const proto::RolloutProgress *Own =
      this->Rollouts.find(Service, State.Order.number());
  const proto::RolloutProgress *Ended =
      this->Rollouts.mostAdvanced(Service, State.Order.number());
  if (Ended->state() == Own->state())
    return;
  proto::RolloutProgress Next = *Own;
  Next.set_state(Ended->state());
  Next.set_share_permille(Ended->share_permille());
  this->publish(State, std::move(Next));
}

RolloutSituation RolloutDriver::makeSituation(const OrderState &State) const {
  RolloutSituation Result;
  const MonoTime Now = monoNow();
  const proto::RolloutProgress *Progress =
      this->Rollouts.find(State.Order.service(), State.Order.number());
  Result.Elapsed = std::chrono::duration_cast<Millis>(Now - State.StartedAt);
  Result.Duration = Millis(State.Order.duration_ms());
  Result.SharePermille = Progress->share_permille();
  Result.TimeAtShare =
      std::chrono::duration_cast<Millis>(Now - State.ShareChangedAt);
  Result.Fallbacks = State.Fallbacks;
  const RolloutEvidence::Totals &Target = State.Evidence->target();
  Result.IsPaused = Result.SharePermille == 0 && Target.Calls > 0;
  Result.AllCalls =
      static_cast<double>(Target.Calls + State.Evidence->others().Calls);
  Result.TargetCalls = static_cast<double>(Target.Calls);
  Result.TargetFailures =
      static_cast<double>(Target.Failures - Target.Rejected);
  Result.OthersBeforeOrder = State.Evidence->othersBeforeOrder();
  const VersionFilter Base =
      this->Rollouts.baselineVersions(State.Order.service());
  for (const proto::NodeEntry *Entry : this->Directory.entries()) {
    const proto::UpstreamEntry &Upstream = Entry->upstream();
    if (Entry->leaving() || Upstream.service() != State.Order.service() ||
        Upstream.draining())
      continue;
    if (Upstream.version() == State.Order.target_version())
      Result.TargetSlots += Upstream.slots();
    else if (Base.allows(Upstream.version()))
      Result.OtherSlots += Upstream.slots();
  }
  return Result;
}

void RolloutDriver::decide(OrderState &State) {
  const MonoTime Now = monoNow();
  State.Evidence->closeSpan();
  const RolloutDecision Decision = decideRollout(
      this->Limits, this->makeSituation(State), State.Evidence->byRoute());
  proto::RolloutProgress Next =
      *this->Rollouts.find(State.Order.service(), State.Order.number());
  bool Changed = Next.driver() != this->Directory.ownEntry().node();
  switch (Decision.Action) {
  case RolloutDecision::Kind::Hold:
    break;
  case RolloutDecision::Kind::SetShare:
    // Calls that end during a pause began before it.
    if (Decision.SharePermille == 0 || Next.share_permille() == 0)
      State.Evidence->restart();
    else if (Decision.SharePermille < Next.share_permille())
      ++State.Fallbacks;
    Next.set_share_permille(Decision.SharePermille);
    State.ShareChangedAt = Now;
    Changed = true;
    break;
  case RolloutDecision::Kind::Complete:
    Next.set_state(proto::COMPLETED);
    Changed = true;
    break;
  case RolloutDecision::Kind::RollBack:
    Next.set_state(proto::ROLLED_BACK);
    Next.set_share_permille(0);
    Changed = true;
    break;
  }
  if (Changed)
    logLine(
        LogLevel::Info, "rollout decided",
        {{"service", State.Order.service()},
         {"target_version", State.Order.target_version()},
         {"state", internal::stateName(Next.state())},
         {"share_permille", std::to_string(Next.share_permille())},
         {"reason", Decision.Reason},
         {"target_calls", std::to_string(State.Evidence->target().Calls)},
         {"target_failures", std::to_string(State.Evidence->target().Failures)},
         {"target_rejected", std::to_string(State.Evidence->target().Rejected)},
         {"other_calls", std::to_string(State.Evidence->others().Calls)},
         {"other_failures", std::to_string(State.Evidence->others().Failures)},
         {"other_rejected",
          std::to_string(State.Evidence->others().Rejected)}});
  if (Changed || Now - State.LastPublishedAt >= internal::PublishInterval)
    this->publish(State, std::move(Next));
}

void RolloutDriver::publish(OrderState &State,
                            proto::RolloutProgress Progress) {
  const MonoTime Now = monoNow();
  Progress.set_driver(this->Directory.ownEntry().node());
  Progress.set_sequence(Progress.sequence() + 1);
  Progress.set_elapsed_ms(static_cast<std::uint32_t>(
      std::chrono::duration_cast<Millis>(Now - State.StartedAt).count()));
  State.LastProgressAt = Now;
  State.LastPublishedAt = Now;
  this->Rollouts.merge(Progress);
  this->NodeGossip.broadcastProgress(Progress);
}

asio::awaitable<void>
RolloutDriver::writeStatus(proto::RolloutProgress Progress) {
  const std::uint64_t Number = Progress.order().number();
  const absl::StatusOr<proto::RolloutState> Stored =
      co_await this->Writer(Progress);
  OrderState &State = *this->Orders.at(Number);
  State.IsStoring = false;
  if (!Stored.ok()) {
    logLine(LogLevel::Warning, "rollout's state could not be stored",
            {{"service", Progress.order().service()},
             {"error", std::string(Stored.status().message())}});
    State.IsStoring = true;
    asio::steady_timer RetryTimer(this->Context, internal::StatusRetryDelay);
    co_await RetryTimer.async_wait(NoThrow);
    State.IsStoring = false;
    co_return;
  }
  State.StoredState = *Stored;
  if (*Stored == proto::RUNNING)
    co_return;
  proto::RolloutProgress Final =
      *this->Rollouts.find(Progress.order().service(), Number);
  Final.set_state(*Stored);
  Final.set_stored(true);
  if (*Stored == proto::ROLLED_BACK)
    Final.set_share_permille(0);
  this->publish(State, std::move(Final));
}

} // namespace persimmonquay
