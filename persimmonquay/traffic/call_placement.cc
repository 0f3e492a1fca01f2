#include "persimmonquay/traffic/call_placement.h"

#include "persimmonquay/traffic/upstream_ranking.h"
#include <algorithm>
#include <cmath>

namespace persimmonquay {
namespace internal {

/// Maximum number of offers to upstreams of the local data centre before the
/// call joins the shortest known queue. If a tenth of the upstreams are full,
/// three offers all meet full upstreams for one call in a thousand.
constexpr std::size_t MaxLocalOffers = 3;

/// Upstreams with few slots are full more often at the same load, so that a
/// call is offered to more of them: until they have this many slots together.
constexpr std::size_t MinOfferedSlots = 20;
constexpr std::size_t MaxLocalOffersToSmall = 6;

/// Maximum number of offers to upstreams of other data centres; each costs a
/// transfer between data centres.
constexpr std::size_t MaxRemoteOffers = 2;

/// The longest wait allowed at the upstreams that a call is offered to first is
/// the mean processing time divided by this; after that, other upstreams are
/// tried.
constexpr int FirstOfferWaitDivisor = 4;

/// Part of a call's value that is lost if its response is late.
constexpr double LateLoss = 0.7;

/// Bytes between data centres that are worth as much as one call.
constexpr double TransferBytesPerCall = 32768;

/// Bound on what a transfer counts, so that a large call still crosses rather
/// than fail.
constexpr double MaxTransferLoss = 0.5;

/// Loss that a call to another data centre must save in addition, so that
/// estimates that differ by chance don't move calls back and forth.
constexpr double MinCrossingGain = 0.1;

/// Ratio of the standard deviation to the mean deviation of processing times.
constexpr double StandardDeviationFactor = 1.25;

/// Uncertainty of a predicted wait, as a fraction of it.
constexpr double WaitUncertainty = 0.5;

/// Speed that is assumed of an upstream without measurements, compared with the
/// fastest one that has been measured. Below 1, so that it is tried.
constexpr double UnmeasuredSlowness = 0.8;

/// Steps in which the longest acceptable wait at another data centre is sought.
constexpr int WaitSteps = 8;

/// Returns the probability that a normally distributed time exceeds `Limit`.
double exceedProbability(double Limit, double Mean, double Deviation) {
  if (Deviation <= 0)
    return Mean > Limit ? 1 : 0;
  return 0.5 * std::erfc((Limit - Mean) / (Deviation * std::sqrt(2.0)));
}

double toSeconds(std::chrono::steady_clock::duration Time) {
  return std::chrono::duration<double>(Time).count();
}

/// Returns the slowness of each target; see `UpstreamView::slowness()`.
/// Upstreams of other data centres don't count as faster than usual: the lowest
/// of several noisy measurements would draw calls away from a data centre that
/// serves them as well.
std::vector<double> slownessOf(const std::vector<PlacementTarget> &Targets,
                               MonoTime Now) {
  std::optional<double> Fastest;
  for (const PlacementTarget &Target : Targets)
    if (const std::optional<double> Slowness = Target.View.slowness();
        Slowness && (!Fastest || *Slowness < *Fastest))
      Fastest = Slowness;
  std::vector<double> Result;
  Result.reserve(Targets.size());
  for (const PlacementTarget &Target : Targets) {
    const double Slowness = Target.View.slowness().value_or(
        std::min(Fastest.value_or(1.0), 1.0) * UnmeasuredSlowness);
    Result.push_back(
        (Target.View.isLocal() ? Slowness : std::max(Slowness, 1.0)) *
        Target.View.speed().factor(Now));
  }
  return Result;
}

} // namespace internal

double expectedLoss(const PlacementGoal &Goal, const UpstreamView &View,
                    double Slowness, Micros Wait, MonoTime Now) {
  const double Mean = internal::toSeconds(Wait) +
                      Slowness * internal::toSeconds(Goal.MeanProcessingTime);
  const double Deviation =
      internal::StandardDeviationFactor * Slowness *
          internal::toSeconds(Goal.ProcessingTimeDeviation) +
      internal::WaitUncertainty * internal::toSeconds(Wait);
  const double Late = internal::exceedProbability(
      internal::toSeconds(Goal.Objective - Now), Mean, Deviation);
  const double TooLate = internal::exceedProbability(
      internal::toSeconds(Goal.Deadline - Now), Mean, Deviation);
  const double Failed = View.failureRate(Now);
  return Failed + (1 - Failed) * (internal::LateLoss * Late +
                                  (1 - internal::LateLoss) * TooLate);
}

std::optional<PlacementOffer>
CallPlacement::nextOffer(const PlacementGoal &Goal,
                         const std::vector<PlacementTarget> &Targets,
                         const BusyCheck &IsDataCentreBusy,
                         const std::function<double()> &Random, MonoTime Now) {
  this->NoLocalUpstream = std::none_of(
      Targets.begin(), Targets.end(),
      [](const PlacementTarget &Target) { return Target.View.isLocal(); });
  const std::vector<double> Slowness = internal::slownessOf(Targets, Now);
  const auto LossAt = [&](std::size_t Index, Micros Wait) {
    return expectedLoss(Goal, Targets[Index].View, Slowness[Index], Wait, Now);
  };
  const Micros FirstOfferWait =
      Goal.MeanProcessingTime / internal::FirstOfferWaitDivisor;
  const Micros Slack =
      std::max(std::chrono::duration_cast<Micros>(Goal.Objective - Now) -
                   Goal.MeanProcessingTime - Goal.ProcessingTimeDeviation,
               Micros{0});

  // The upstreams that have not rejected the call, best first.
  std::vector<const UpstreamView *> Views;
  std::vector<double> Tiebreakers;
  std::vector<std::size_t> Indices;
  for (std::size_t I = 0; I < Targets.size(); ++I) {
    if (this->BusyNodes.contains(Targets[I].Node))
      continue;
    Views.push_back(&Targets[I].View);
    Tiebreakers.push_back(Random());
    Indices.push_back(I);
  }
  std::optional<std::size_t> Local;
  std::optional<std::size_t> Remote;
  double RemoteLoss = 2;
  const double TransferLoss = std::min(static_cast<double>(Goal.TransferBytes) /
                                           internal::TransferBytesPerCall,
                                       internal::MaxTransferLoss);
  const LinkNeed Need{Goal.AnswerBytes, Goal.MeanProcessingTime};
  for (const Candidate &Next : rankUpstreams(Views, Tiebreakers, Now, Need)) {
    const std::size_t Index = Indices[Next.Index];
    if (Next.Local || this->NoLocalUpstream) {
      if (!Local && this->mayOfferLocally())
        Local = Index;
      continue;
    }
    if (this->RemoteOffers >= internal::MaxRemoteOffers ||
        IsDataCentreBusy(Targets[Index].DataCentre))
      continue;
    const double Loss = LossAt(Index, Next.Wait) + TransferLoss;
    if (Loss < RemoteLoss) {
      Remote = Index;
      RemoteLoss = Loss;
    }
  }
  // The shortest queue among the upstreams that have rejected the call.
  std::optional<std::size_t> Queue;
  Micros QueueWait = Micros::max();
  for (std::size_t I = 0; I < Targets.size() && !this->JoinedQueue; ++I) {
    const auto Found = this->BusyNodes.find(Targets[I].Node);
    if (Found == this->BusyNodes.end() || Found->second >= QueueWait)
      continue;
    Queue = I;
    QueueWait = Found->second;
  }

  double OtherLoss = 1;
  if (Local)
    OtherLoss = LossAt(*Local, Targets[*Local].View.expectedWait(Now) +
                                   Targets[*Local].View.linkDelay(Need, Now));
  else if (Queue)
    OtherLoss = LossAt(*Queue, QueueWait);
  if (Remote && RemoteLoss + internal::MinCrossingGain < OtherLoss) {
    // As long as it stays better than the alternative: another rejection would
    // cost another transfer.
    Micros MaxWait{0};
    for (int Step = 1; Step <= internal::WaitSteps; ++Step) {
      const Micros Wait = Slack * Step / internal::WaitSteps;
      if (LossAt(*Remote, Wait) + TransferLoss < OtherLoss)
        MaxWait = Wait;
    }
    return PlacementOffer{*Remote, std::max(MaxWait, Micros{1000})};
  }
  if (Local)
    return PlacementOffer{*Local, this->NoLocalUpstream
                                      ? std::max(FirstOfferWait, Slack)
                                      : FirstOfferWait};
  if (!Queue)
    return std::nullopt;
  this->JoinedQueue = true;
  // The gate at the upstream decides whether the call can still be served in
  // time.
  return PlacementOffer{
      *Queue, std::max(std::chrono::duration_cast<Micros>(Goal.Deadline - Now),
                       Micros{0})};
}

void CallPlacement::recordBusy(const PlacementTarget &Target, Micros Wait) {
  this->BusyNodes[Target.Node] = Wait;
  if (Target.View.isLocal() || this->NoLocalUpstream) {
    ++this->LocalOffers;
    this->OfferedSlots += Target.View.slots();
  } else {
    ++this->RemoteOffers;
  }
}

bool CallPlacement::mayOfferLocally() const {
  return this->LocalOffers < internal::MaxLocalOffers ||
         (this->LocalOffers < internal::MaxLocalOffersToSmall &&
          this->OfferedSlots < internal::MinOfferedSlots);
}

} // namespace persimmonquay
