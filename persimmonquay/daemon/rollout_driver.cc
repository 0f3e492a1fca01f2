#include "persimmonquay/daemon/rollout_driver.h"

#include "persimmonquay/base/hashing.h"
#include "persimmonquay/base/logging.h"
#include "persimmonquay/daemon/gossip.h"
#include "persimmonquay/fleet/node_directory.h"
#include "persimmonquay/move/latency_buckets.h"
#include "persimmonquay/rollout/rollout_evidence.h"
#include "persimmonquay/rollout/rollout_table.h"
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace persimmonquay {
namespace internal {

/// Interval of decisions and counts: bad versions are found within a few.
constexpr Millis DecisionInterval{250};

/// Interval at which a driver tells how far a rollout is, changed or not.
constexpr Millis ReportInterval{500};

/// Silence of a rollout's driver after which the next node takes over, for
/// each node before it.
constexpr Millis TakeoverSilence{1200};

/// Pause before a status that could not be stored is tried again.
constexpr Millis StatusRetry{300};

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

struct RolloutDriver::Order {
  proto::RolloutOrder Ordered;
  MonoTime Begin;
  MonoTime Heard;
  MonoTime ShareSince;
  MonoTime Reported;
  std::uint32_t Fallbacks = 0;
  bool Writing = false;
  proto::RolloutState Written = proto::ROLLOUT_STATE_UNSPECIFIED;
  std::unique_ptr<RolloutEvidence> Evidence;
};

struct RolloutDriver::RouteTally {
  std::uint32_t Calls = 0;
  std::uint32_t Failures = 0;
  std::array<std::uint32_t, LatencyBucketCount> Latency{};
};

RolloutDriver::RolloutDriver(asio::io_context &Loop,
                             const NodeDirectory &Entries, RolloutTable &Book,
                             Gossip &Messages, UpstreamGate &OwnGate,
                             ExposureLimits Exposure, StatusWriter StoreWriter)
    : Context(Loop), Nodes(Entries), Rollouts(Book), Messenger(Messages),
      Gate(OwnGate), Limits(Exposure), Writer(std::move(StoreWriter)),
      Timer(Loop) {
  this->Gate.setResultHandler(
      [this](const UpstreamCallResult &Result) { this->noteResult(Result); });
}

RolloutDriver::~RolloutDriver() = default;

void RolloutDriver::start() {
  asio::co_spawn(
      this->Context, [this] { return this->loop(); }, asio::detached);
}

void RolloutDriver::stop() {
  this->Stopped = true;
  this->Timer.cancel();
}

const proto::RolloutProgress *
RolloutDriver::order(const proto::RolloutOrder &Ordered) {
  if (this->Orders.contains(Ordered.number()))
    return nullptr;
  logLine(LogLevel::Info, "rollout ordered",
          {{"service", Ordered.service()},
           {"target_version", Ordered.target_version()},
           {"duration_ms", std::to_string(Ordered.duration_ms())},
           {"order", std::to_string(Ordered.number())}});
  auto Known = std::make_unique<Order>();
  const MonoTime Now = monoNow();
  Known->Ordered = Ordered;
  Known->Begin = Now;
  Known->Heard = Now;
  Known->ShareSince = Now;
  Known->Evidence = std::make_unique<RolloutEvidence>(Ordered.target_version());
  this->Orders[Ordered.number()] = std::move(Known);
  // Until a driver says otherwise the target gets nothing.
  proto::RolloutProgress Progress;
  *Progress.mutable_order() = Ordered;
  Progress.set_state(proto::RUNNING);
  this->Rollouts.merge(Progress);
  return this->Rollouts.find(Ordered.service(), Ordered.number());
}

void RolloutDriver::learn(const proto::RolloutProgress &Progress) {
  this->order(Progress.order());
  Order &Known = *this->Orders.at(Progress.order().number());
  const MonoTime Now = monoNow();
  const proto::RolloutProgress *Before = this->Rollouts.find(
      Progress.order().service(), Progress.order().number());
  const std::uint32_t Share = Before == nullptr ? 0 : Before->share_permille();
  const proto::RolloutState State =
      Before == nullptr ? proto::RUNNING : Before->state();
  if (!this->Rollouts.merge(Progress))
    return;
  Known.Heard = Now;
  Known.Begin = std::min(Known.Begin, Now - Millis(Progress.elapsed_ms()));
  if (Share != Progress.share_permille())
    Known.ShareSince = Now;
  if (State != Progress.state() || Share != Progress.share_permille())
    logLine(LogLevel::Info, "rollout changed",
            {{"service", Progress.order().service()},
             {"target_version", Progress.order().target_version()},
             {"state", internal::stateName(Progress.state())},
             {"share_permille", std::to_string(Progress.share_permille())},
             {"driver", Progress.driver()}});
}

void RolloutDriver::count(const proto::RolloutTally &Tally) {
  for (auto &[Number, Known] : this->Orders)
    if (Known->Ordered.service() == Tally.service())
      Known->Evidence->merge(Tally);
}

void RolloutDriver::noteResult(const UpstreamCallResult &Result) {
  const std::optional<proto::UpstreamEntry> &Upstream = this->Gate.upstream();
  if (!Upstream)
    return;
  if (Upstream->instance() != this->TalliedInstance) {
    this->Tallies.clear();
    this->TalliedInstance = Upstream->instance();
  }
  RouteTally &Tally = this->Tallies[Result.Route];
  ++Tally.Calls;
  if (Result.Failed)
    ++Tally.Failures;
  else
    ++Tally.Latency[latencyBucket(Result.ProcessingTime)];
}

void RolloutDriver::sendOwnTallies() {
  const std::optional<proto::UpstreamEntry> &Upstream = this->Gate.upstream();
  if (!Upstream || Upstream->instance() != this->TalliedInstance)
    return;
  const std::vector<const proto::RolloutProgress *> Running =
      this->Rollouts.running(Upstream->service());
  if (Running.empty())
    return;
  std::vector<proto::RolloutTally> Result;
  for (const auto &[Route, Tally] : this->Tallies) {
    proto::RolloutTally Message;
    Message.set_service(Upstream->service());
    Message.set_node(absl::StrCat(this->Nodes.ownEntry().node(), "/",
                                  this->TalliedInstance));
    Message.set_boot(this->Nodes.ownEntry().boot());
    Message.set_version(Upstream->version());
    Message.set_route(Route);
    Message.set_calls(Tally.Calls);
    Message.set_failures(Tally.Failures);
    for (const std::uint32_t Count : Tally.Latency)
      Message.add_latency(Count);
    Result.push_back(std::move(Message));
  }
  for (const proto::RolloutTally &Tally : Result)
    this->count(Tally);
  std::string SentTo;
  for (const proto::RolloutProgress *Progress : Running)
    if (!Progress->driver().empty() && Progress->driver() != SentTo &&
        Progress->driver() != this->Nodes.ownEntry().node()) {
      SentTo = Progress->driver();
      this->Messenger.sendTallies(SentTo, Result);
    }
}

asio::awaitable<void> RolloutDriver::loop() {
  while (!this->Stopped) {
    this->Timer.expires_after(internal::DecisionInterval);
    co_await this->Timer.async_wait(NoThrow);
    if (this->Stopped)
      break;
    if (this->Orders.empty())
      continue;
    this->sendOwnTallies();
    for (auto &[Number, Known] : this->Orders)
      this->consider(*Known);
  }
}

bool RolloutDriver::isDriver(const Order &Known) const {
  const std::string Duty = absl::StrCat("rollout/", Known.Ordered.number());
  const std::string &Own = this->Nodes.ownEntry().node();
  const proto::RolloutProgress *Progress =
      this->Rollouts.find(Known.Ordered.service(), Known.Ordered.number());
  if (Progress != nullptr && Progress->driver() == Own)
    return true;
  std::size_t Before = 0;
  const std::uint64_t OwnWeight = rendezvousWeight(Duty, Own);
  for (const proto::NodeEntry *Entry : this->Nodes.activePeers())
    if (rendezvousWeight(Duty, Entry->node()) > OwnWeight)
      ++Before;
  const bool HasDriver = Progress != nullptr && !Progress->driver().empty();
  const auto Wait = internal::TakeoverSilence *
                    static_cast<std::int64_t>(HasDriver ? Before + 1 : Before);
  return monoNow() - Known.Heard >= Wait;
}

void RolloutDriver::consider(Order &Known) {
  const proto::RolloutProgress *Progress =
      this->Rollouts.find(Known.Ordered.service(), Known.Ordered.number());
  if (Progress == nullptr || Progress->stored() || !this->isDriver(Known))
    return;
  if (Progress->state() == proto::RUNNING) {
    this->decide(Known);
    Progress =
        this->Rollouts.find(Known.Ordered.service(), Known.Ordered.number());
  }
  if (Known.Written != Progress->state() && !Known.Writing) {
    Known.Writing = true;
    asio::co_spawn(
        this->Context,
        [this, Copy = *Progress] { return this->writeStatus(Copy); },
        asio::detached);
  }
}

RolloutSituation RolloutDriver::situation(const Order &Known) const {
  RolloutSituation Result;
  const MonoTime Now = monoNow();
  const proto::RolloutProgress *Progress =
      this->Rollouts.find(Known.Ordered.service(), Known.Ordered.number());
  Result.Elapsed = std::chrono::duration_cast<Millis>(Now - Known.Begin);
  Result.Duration = Millis(Known.Ordered.duration_ms());
  Result.SharePermille = Progress->share_permille();
  Result.TimeAtShare =
      std::chrono::duration_cast<Millis>(Now - Known.ShareSince);
  Result.Fallbacks = Known.Fallbacks;
  const VersionFilter Base =
      this->Rollouts.baselineVersions(Known.Ordered.service());
  for (const proto::NodeEntry *Entry : this->Nodes.entries()) {
    const proto::UpstreamEntry &Upstream = Entry->upstream();
    if (Entry->leaving() || Upstream.service() != Known.Ordered.service() ||
        Upstream.draining())
      continue;
    if (Upstream.version() == Known.Ordered.target_version())
      Result.TargetSlots += Upstream.slots();
    else if (Base.allows(Upstream.version()))
      Result.OtherSlots += Upstream.slots();
  }
  return Result;
}

void RolloutDriver::decide(Order &Known) {
  const MonoTime Now = monoNow();
  Known.Evidence->closeSpan();
  const RolloutDecision Decision = decideRollout(
      this->Limits, this->situation(Known), Known.Evidence->byRoute());
  proto::RolloutProgress Next =
      *this->Rollouts.find(Known.Ordered.service(), Known.Ordered.number());
  bool Changed = Next.driver() != this->Nodes.ownEntry().node();
  switch (Decision.Action) {
  case RolloutDecision::Kind::Hold:
    break;
  case RolloutDecision::Kind::SetShare:
    Known.Fallbacks += Decision.SharePermille < Next.share_permille() ? 1 : 0;
    Next.set_share_permille(Decision.SharePermille);
    Known.ShareSince = Now;
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
    logLine(LogLevel::Info, "rollout decided",
            {{"service", Known.Ordered.service()},
             {"target_version", Known.Ordered.target_version()},
             {"state", internal::stateName(Next.state())},
             {"share_permille", std::to_string(Next.share_permille())},
             {"reason", Decision.Reason},
             {"target_calls", std::to_string(Known.Evidence->targetCalls())},
             {"target_failures",
              std::to_string(Known.Evidence->targetFailures())}});
  if (Changed || Now - Known.Reported >= internal::ReportInterval)
    this->publish(Known, std::move(Next));
}

void RolloutDriver::publish(Order &Known, proto::RolloutProgress Progress) {
  const MonoTime Now = monoNow();
  Progress.set_driver(this->Nodes.ownEntry().node());
  Progress.set_sequence(Progress.sequence() + 1);
  Progress.set_elapsed_ms(static_cast<std::uint32_t>(
      std::chrono::duration_cast<Millis>(Now - Known.Begin).count()));
  Known.Heard = Now;
  Known.Reported = Now;
  this->Rollouts.merge(Progress);
  this->Messenger.spread(Progress);
}

asio::awaitable<void>
RolloutDriver::writeStatus(proto::RolloutProgress Progress) {
  const std::uint64_t Number = Progress.order().number();
  const absl::StatusOr<proto::RolloutState> Stored =
      co_await this->Writer(Progress);
  Order &Known = *this->Orders.at(Number);
  Known.Writing = false;
  if (!Stored.ok()) {
    logLine(LogLevel::Warning, "rollout's state could not be stored",
            {{"service", Progress.order().service()},
             {"error", std::string(Stored.status().message())}});
    Known.Writing = true;
    asio::steady_timer Pause(this->Context, internal::StatusRetry);
    co_await Pause.async_wait(NoThrow);
    Known.Writing = false;
    co_return;
  }
  Known.Written = *Stored;
  if (*Stored == proto::RUNNING)
    co_return;
  proto::RolloutProgress Final =
      *this->Rollouts.find(Progress.order().service(), Number);
  Final.set_state(*Stored);
  Final.set_stored(true);
  if (*Stored == proto::ROLLED_BACK)
    Final.set_share_permille(0);
  this->publish(Known, std::move(Final));
}

} // namespace persimmonquay
