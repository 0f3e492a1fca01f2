#include "testing/model/mesh_model.h"

#include "persimmonquay/traffic/admission_queue.h"
#include "persimmonquay/traffic/call_placement.h"
#include "persimmonquay/traffic/cold_start_limiter.h"
#include "persimmonquay/traffic/processing_time_estimate.h"
#include "persimmonquay/traffic/upstream_ranking.h"
#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <numbers>
#include <queue>
#include <random>
#include <set>

namespace persimmonquay::testing {
namespace {

constexpr Micros LocalDelay{200};
constexpr Micros RemoteDelay{900};
constexpr Millis RemoteBusyBackoff{100};

/// Range of the random factor of Retry-After, as in `CallerResponses`.
constexpr double MinRetryAfterFactor = 0.75;
constexpr double MaxRetryAfterFactor = 1.75;
constexpr int MaxRetryAfterDivisor = 3;

/// A cold upstream ends if it gets more calls in one second than this factor of
/// its rate and this number, and is back after a while.
constexpr double MaxColdFactor = 1.5;
constexpr double MaxColdExtra = 8;
constexpr Millis CrashDuration{2000};

/// The decision whether to spend a retry is taken elsewhere.
constexpr int MaxArrivals = 2;

double seconds(std::chrono::steady_clock::duration Time) {
  return std::chrono::duration<double>(Time).count();
}

Micros microsOf(double Seconds) {
  return Micros(static_cast<std::int64_t>(Seconds * 1e6));
}

/// Runs actions in the order of their times.
class EventQueue {
public:
  void at(MonoTime Time, std::function<void()> Action) {
    this->Events.push({Time, this->NextSequence++, std::move(Action)});
  }
  bool runNext(MonoTime *Now) {
    if (this->Events.empty())
      return false;
    const Event Next = this->Events.top();
    this->Events.pop();
    *Now = Next.Time;
    Next.Action();
    return true;
  }

private:
  struct Event {
    MonoTime Time;
    std::uint64_t Sequence;
    std::function<void()> Action;
    bool operator<(const Event &Other) const {
      return std::pair(this->Time, this->Sequence) >
             std::pair(Other.Time, Other.Sequence);
    }
  };
  std::priority_queue<Event> Events;
  std::uint64_t NextSequence = 0;
};

enum class Outcome { Answered, Failed, Rejected };

/// One attempt of a caller, or one nested call.
struct ModelCall {
  const ModelKind *Kind = nullptr;
  std::size_t DataCentre = 0;
  /// Index of the caller's node.
  std::size_t Node = 0;
  MonoTime Objective;
  MonoTime Deadline;
  /// Processing time at an upstream of slowness 1.
  Micros Work{0};
  CallPlacement Placement;
  std::set<std::size_t> Excluded;
  int Arrivals = 0;
  bool MayHaveRun = false;
  Micros RetryAfter{0};
  std::function<void(Outcome, ModelCall &)> OnEnd;
};

using CallPointer = std::shared_ptr<ModelCall>;

/// The node of a data centre's callers, with its view of all upstreams.
struct CallerNode {
  std::size_t DataCentre = 0;
  std::vector<UpstreamView> Views = {};
  std::map<std::string, ProcessingTimeEstimate> ProcessingTimes = {};
  std::map<std::pair<std::string, std::size_t>, MonoTime> BusyUntil = {};
  std::map<std::string, ColdReturns> Returns = {};
};

/// The gate next to an upstream.
struct Gate {
  AdmissionQueue Queue{0};
  HostSpeed Speed;
  ColdStartLimiter ColdStart;
  std::map<std::string, ProcessingTimeEstimate> ProcessingTimes;
  std::map<std::uint64_t, std::pair<CallPointer, std::function<void(bool)>>>
      Calls;
};

/// Whether an upstream is cold or down.
struct UpstreamState {
  MonoTime ColdUntil;
  MonoTime DownUntil;
  MonoTime CrashedAt;
  /// Calls that have arrived in the last second, while it was cold.
  std::deque<MonoTime> ColdArrivals;
};

class Simulation {
public:
  Simulation(const ModelSite &ModelledSite, ModelPlacement PlacementRule,
             std::uint64_t Seed)
      : Site(ModelledSite), Rule(PlacementRule), ArrivalRandom(Seed),
        NestedRandom(Seed + 1), ChoiceRandom(Seed + 2) {
    this->Result.ByDataCentre.resize(Site.DataCentres);
    for (std::size_t I = 0; I < Site.DataCentres * Site.NodesPerDataCentre;
         ++I) {
      this->Nodes.push_back({.DataCentre = I / Site.NodesPerDataCentre});
      for (const ModelUpstream &Upstream : Site.Upstreams)
        this->Nodes.back().Views.emplace_back(
            Upstream.DataCentre == this->Nodes.back().DataCentre,
            static_cast<std::uint32_t>(Upstream.Slots));
    }
    this->scheduleSlowSpells(Seed + 3);
    this->Gates.resize(Site.Upstreams.size());
    this->States.resize(Site.Upstreams.size());
    for (std::size_t I = 0; I < Site.Upstreams.size(); ++I) {
      this->States[I].ColdUntil = this->Start + Site.ColdDuration;
      this->Gates[I].ColdStart.setLimits(
          Site.ColdDuration, Site.LimitsColdUpstreams ? Site.ColdRate : 0,
          this->Start);
      this->Gates[I].ColdStart.assumeCold(this->Start);
    }
    for (std::size_t I = 0; I < Site.Upstreams.size(); ++I) {
      this->Gates[I].Queue.resize(Site.Upstreams[I].Slots);
      this->NodeNames.push_back("node-" + std::to_string(I));
    }
    for (std::size_t I = 0; I < Site.DataCentres; ++I)
      this->DataCentreNames.push_back(std::to_string(I));
  }

  ModelResult run() {
    for (const ModelKind &Kind : this->Site.Kinds)
      for (std::size_t DataCentre = 0; DataCentre < Kind.Rates.size();
           ++DataCentre)
        this->scheduleArrival(Kind, DataCentre, Micros{0});
    std::size_t IdleSlots = 0;
    for (MonoTime Previous = this->Now; this->Events.runNext(&this->Now);
         Previous = this->Now) {
      this->Result.IdleSlotSeconds +=
          static_cast<double>(IdleSlots) * seconds(this->Now - Previous);
      IdleSlots = this->idleSlots();
    }
    return std::move(this->Result);
  }

private:
  void scheduleSlowSpells(std::uint64_t Seed) {
    this->SlowSpells.resize(this->Site.Upstreams.size());
    if (this->Site.SlowSpellShare <= 0)
      return;
    std::mt19937_64 Random(Seed);
    std::exponential_distribution<double> Gap(
        this->Site.SlowSpellShare / (1 - this->Site.SlowSpellShare) /
        seconds(this->Site.SlowSpellTime));
    for (std::vector<MonoTime> &Spells : this->SlowSpells)
      for (MonoTime Time = this->Start + microsOf(Gap(Random));
           Time < this->Start + this->Site.Duration;
           Time += this->Site.SlowSpellTime + microsOf(Gap(Random)))
        Spells.push_back(Time);
  }

  /// Returns how many times as long as usual work takes at an upstream.
  double speedFactor(std::size_t Target, MonoTime Time) const {
    const std::vector<MonoTime> &Spells = this->SlowSpells[Target];
    const auto Next = std::upper_bound(Spells.begin(), Spells.end(), Time);
    return Next != Spells.begin() &&
                   Time < *std::prev(Next) + this->Site.SlowSpellTime
               ? this->Site.SlowSpellFactor
               : 1;
  }

  /// Returns when work that starts now ends.
  MonoTime workEnd(std::size_t Target, Micros Work) const {
    MonoTime Time = this->Now;
    for (auto Left = Work; Left > Micros{0};) {
      const double Factor = this->speedFactor(Target, Time);
      const Micros Step = std::min<Micros>(Left, Millis(5));
      Time += microsOf(seconds(Step) * Factor);
      Left -= Step;
    }
    return Time;
  }

  /// Returns how many slots are free while calls wait in the same data centre.
  std::size_t idleSlots() const {
    std::map<std::pair<std::string_view, std::size_t>,
             std::pair<std::size_t, std::size_t>>
        FreeAndWaiting;
    for (std::size_t I = 0; I < this->Gates.size(); ++I) {
      const AdmissionQueue &Queue = this->Gates[I].Queue;
      auto &[Free, Waiting] = FreeAndWaiting[{
          this->Site.Upstreams[I].Service, this->Site.Upstreams[I].DataCentre}];
      Free += Queue.slots() - std::min(Queue.slots(), Queue.running());
      Waiting += Queue.waiting();
    }
    std::size_t Result = 0;
    for (const auto &[Key, Counts] : FreeAndWaiting)
      Result += std::min(Counts.first, Counts.second);
    return Result;
  }

  void scheduleArrival(const ModelKind &Kind, std::size_t DataCentre,
                       Micros After) {
    const bool IsBurst =
        After >= this->Site.BurstFrom && After < this->Site.BurstUntil;
    const double Phase = seconds(After) / seconds(this->Site.WavePeriod) +
                         static_cast<double>(DataCentre) /
                             static_cast<double>(this->Site.DataCentres);
    const double Rate =
        Kind.Rates[DataCentre] * (IsBurst ? this->Site.BurstFactor : 1) *
        (1 + this->Site.WaveHeight * std::sin(2 * std::numbers::pi * Phase));
    const Micros Next = After + microsOf(std::exponential_distribution<double>(
                                    Rate)(this->ArrivalRandom));
    if (Next > this->Site.Duration)
      return;
    // Drawn now, so that every rule sees the same arrivals.
    const Micros Work = this->drawWork(Kind, this->ArrivalRandom);
    this->Events.at(this->Start + Next, [this, &Kind, DataCentre, Next, Work] {
      this->scheduleArrival(Kind, DataCentre, Next);
      this->startRequest(Kind, DataCentre, Work);
    });
  }

  Micros drawWork(const ModelKind &Kind, std::mt19937_64 &Random) {
    std::lognormal_distribution<double> Factor(-Kind.Spread * Kind.Spread / 2,
                                               Kind.Spread);
    const bool IsTail =
        Kind.TailShare > 0 &&
        std::uniform_real_distribution<double>(0, 1)(Random) < Kind.TailShare;
    return microsOf(seconds(Kind.ProcessingTime) * Factor(Random) *
                    (IsTail ? Kind.TailFactor : 1));
  }

  void startRequest(const ModelKind &Kind, std::size_t DataCentre,
                    Micros Work) {
    ++this->Result.ByKind[Kind.Name].Offered;
    ++this->Result.ByDataCentre[DataCentre].Offered;
    ++this->Result.BySecond[this->secondOf(this->Now)].Offered;
    this->Result.Demand.push_back({&Kind, seconds(Work)});
    const std::size_t Node =
        DataCentre * this->Site.NodesPerDataCentre +
        this->Result.Demand.size() % this->Site.NodesPerDataCentre;
    this->attempt(Kind, Node, Work, this->Now, Kind.CallerRetries);
  }

  std::int64_t secondOf(MonoTime Time) const {
    return std::chrono::duration_cast<std::chrono::seconds>(Time - this->Start)
        .count();
  }

  void attempt(const ModelKind &Kind, std::size_t Node, Micros Work,
               MonoTime FirstSent, int RetriesLeft) {
    const std::size_t DataCentre = this->Nodes[Node].DataCentre;
    auto Call = std::make_shared<ModelCall>();
    Call->Kind = &Kind;
    Call->DataCentre = DataCentre;
    Call->Node = Node;
    Call->Objective = FirstSent + Kind.Objective;
    Call->Deadline = FirstSent + Kind.Deadline;
    Call->Work = Work;
    Call->OnEnd = [this, &Kind, Node, DataCentre, Work, FirstSent,
                   RetriesLeft](Outcome End, ModelCall &Ended) {
      if (End == Outcome::Rejected && RetriesLeft > 0) {
        const double Factor = std::uniform_real_distribution<double>(
            MinRetryAfterFactor, MaxRetryAfterFactor)(this->ChoiceRandom);
        const Micros Remaining =
            std::chrono::duration_cast<Micros>(Ended.Deadline - this->Now);
        const Micros Delay =
            std::min(microsOf(seconds(Ended.RetryAfter) * Factor),
                     Remaining / MaxRetryAfterDivisor);
        this->Events.at(this->Now + Delay, [=, this, &Kind] {
          this->attempt(Kind, Node, Work, FirstSent, RetriesLeft - 1);
        });
        return;
      }
      if (End == Outcome::Answered)
        ++this->Result
              .AnsweredInSecond[std::chrono::floor<std::chrono::seconds>(
                                    this->Now - this->Start)
                                    .count()];
      for (ModelCounts *Counts :
           {&this->Result.ByKind[Kind.Name],
            &this->Result.ByDataCentre[DataCentre],
            &this->Result.BySecond[this->secondOf(FirstSent)]}) {
        if (End == Outcome::Answered && this->Now <= Ended.Objective) {
          ++Counts->OnTime;
          Counts->Worth += Kind.Worth;
        } else if (End == Outcome::Answered && this->Now <= Ended.Deadline) {
          ++Counts->Late;
          Counts->Worth += Kind.LateWorth;
        } else if (End == Outcome::Rejected)
          ++Counts->Rejected;
        else
          ++Counts->Failed;
        if (End == Outcome::Rejected && RetriesLeft < Kind.CallerRetries)
          ++Counts->RejectedAgain;
      }
    };
    this->offerNext(Call);
  }

  PlacementGoal goalOf(const ModelCall &Call) {
    CallerNode &Node = this->Nodes[Call.Node];
    const ProcessingTimeEstimate Estimate =
        Node.ProcessingTimes
            .try_emplace(Call.Kind->Name, ProcessingTimeEstimate(Millis(50)))
            .first->second;
    PlacementGoal Goal;
    Goal.Objective = Call.Objective;
    Goal.Deadline = Call.Deadline;
    Goal.MeanProcessingTime = Estimate.mean();
    Goal.ProcessingTimeDeviation = Estimate.upper() - Estimate.mean();
    Goal.TransferBytes = Call.Kind->TransferBytes;
    return Goal;
  }

  bool isDown(std::size_t Index) const {
    const ModelUpstream &Upstream = this->Site.Upstreams[Index];
    const auto Elapsed = this->Now - this->Start;
    return (Elapsed >= Upstream.DownFrom && Elapsed < Upstream.DownUntil) ||
           this->Now < this->States[Index].DownUntil;
  }

  std::optional<PlacementOffer>
  choose(ModelCall &Call, const std::vector<std::size_t> &Candidates) {
    CallerNode &Node = this->Nodes[Call.Node];
    const auto Random = [this] {
      return std::uniform_real_distribution<double>(0, 1)(this->ChoiceRandom);
    };
    if (Candidates.empty())
      return std::nullopt;
    if (this->Rule == ModelPlacement::Expected) {
      std::vector<PlacementTarget> Targets;
      Targets.reserve(Candidates.size());
      for (const std::size_t I : Candidates)
        Targets.push_back(
            {this->NodeNames[I],
             this->DataCentreNames[this->Site.Upstreams[I].DataCentre],
             Node.Views[I]});
      return Call.Placement.nextOffer(
          this->goalOf(Call), Targets,
          [&](const std::string &DataCentre) {
            const auto Found = Node.BusyUntil.find(
                {Call.Kind->Service, std::stoul(DataCentre)});
            return Found != Node.BusyUntil.end() && this->Now < Found->second;
          },
          Random, this->Now);
    }
    // The other rules offer a call once and let it wait.
    if (Call.Placement.busyCount() > 0)
      return std::nullopt;
    const Micros MaxWait =
        std::chrono::duration_cast<Micros>(Call.Deadline - this->Now);
    std::size_t Best = static_cast<std::size_t>(
        Random() * static_cast<double>(Candidates.size()));
    if (this->Rule == ModelPlacement::LocalLeastLoaded)
      for (std::size_t I = 0; I < Candidates.size(); ++I) {
        const UpstreamView &View = Node.Views[Candidates[I]];
        const UpstreamView &BestView = Node.Views[Candidates[Best]];
        if (std::pair(!View.isLocal(), View.inFlight()) <
            std::pair(!BestView.isLocal(), BestView.inFlight()))
          Best = I;
      }
    return PlacementOffer{Best, MaxWait};
  }

  /// As in `CallRouter`.
  void removeClosed(ModelCall &Call, std::vector<std::size_t> &Candidates) {
    const std::vector<UpstreamView> &Views = this->Nodes[Call.Node].Views;
    const auto FirstClosed = std::stable_partition(
        Candidates.begin(), Candidates.end(),
        [&](std::size_t I) { return Views[I].closed().OpensAt <= this->Now; });
    if (FirstClosed == Candidates.begin() && !Candidates.empty()) {
      std::vector<ClosedUpstream> Closed;
      Closed.reserve(Candidates.size());
      for (const std::size_t I : Candidates)
        Closed.push_back(Views[I].closed());
      const double Random =
          std::uniform_real_distribution<double>(0, 1)(this->ChoiceRandom);
      Call.RetryAfter =
          this->Nodes[Call.Node].Returns[Call.Kind->Service].schedule(
              Closed, Random, this->Now);
    }
    Candidates.erase(FirstClosed, Candidates.end());
  }

  void offerNext(const CallPointer &Call) {
    std::vector<std::size_t> Candidates;
    for (std::size_t I = 0; I < this->Site.Upstreams.size(); ++I)
      if (this->Site.Upstreams[I].Service == Call->Kind->Service &&
          !Call->Excluded.contains(I) && !this->isDown(I))
        Candidates.push_back(I);
    this->removeClosed(*Call, Candidates);
    const std::optional<PlacementOffer> Offer =
        this->Now < Call->Deadline ? this->choose(*Call, Candidates)
                                   : std::nullopt;
    if (!Offer) {
      Call->OnEnd(Call->MayHaveRun ? Outcome::Failed : Outcome::Rejected,
                  *Call);
      return;
    }
    const std::size_t Target = Candidates[Offer->Index];
    const bool IsLocal =
        this->Site.Upstreams[Target].DataCentre == Call->DataCentre;
    const Micros Delay = IsLocal ? LocalDelay : RemoteDelay;
    this->Nodes[Call->Node].Views[Target].recordSent();
    this->Events.at(this->Now + Delay, [this, Call, Target, Delay, IsLocal,
                                        MaxWait = Offer->MaxWait] {
      this->arrive(Call, Target, Delay, IsLocal, MaxWait);
    });
  }

  ProcessingTimeEstimate &gateEstimate(Gate &At, const ModelKind &Kind) {
    return At.ProcessingTimes
        .try_emplace(Kind.Name, ProcessingTimeEstimate(Kind.Objective / 3))
        .first->second;
  }

  void arrive(const CallPointer &Call, std::size_t Target, Micros Delay,
              bool IsLocal, Micros MaxWait) {
    Gate &At = this->Gates[Target];
    const ProcessingTimeEstimate &Estimate =
        this->gateEstimate(At, *Call->Kind);
    QueuedCall Queued;
    Queued.Id = this->NextId++;
    Queued.Priority = Call->Kind->Priority;
    Queued.Objective = Call->Objective;
    Queued.Deadline = Call->Deadline;
    Queued.ProcessingTime = At.Speed.scale(Estimate.mean(), this->Now);
    Queued.UpperProcessingTime = At.Speed.scale(Estimate.upper(), this->Now);
    Queued.Kind = std::hash<std::string>()(Call->Kind->Name);
    Queued.Nested = Call->Kind->IsNested;
    At.Calls[Queued.Id] = {Call,
                           [this, Call, Target, Delay, IsLocal](bool Failed) {
                             this->reply(Call, Target, Delay, IsLocal, Failed);
                           }};
    if (!At.ColdStart.mayStart(At.Queue.waiting(), this->Now)) {
      this->reject(Target, {Queued.Id, ColdReason,
                            At.ColdStart.scheduleReturn(0, this->Now)});
      return;
    }
    const Admission Decision = At.Queue.offer(Queued, MaxWait, this->Now);
    for (const RejectedCall &Displaced : Decision.Displaced)
      this->reject(Target, Displaced);
    if (Decision.Verdict == AdmissionVerdict::Reject)
      this->reject(Target, Decision.Rejection);
    else if (Decision.Verdict == AdmissionVerdict::Start)
      this->startWork(Target, Queued.Id);
    this->scheduleExpiry(Target);
  }

  void scheduleExpiry(std::size_t Target) {
    if (const std::optional<MonoTime> Next =
            this->Gates[Target].Queue.nextExpiry())
      this->Events.at(std::max(*Next, this->Now),
                      [this, Target] { this->expire(Target); });
  }

  void expire(std::size_t Target) {
    for (const RejectedCall &Expired :
         this->Gates[Target].Queue.expire(this->Now))
      this->reject(Target, Expired);
    this->startQueued(Target);
  }

  void startQueued(std::size_t Target) {
    while (const std::optional<std::uint64_t> Id =
               this->Gates[Target].Queue.startNext(this->Now))
      this->startWork(Target, *Id);
  }

  void startWork(std::size_t Target, std::uint64_t Id) {
    const CallPointer Call = this->Gates[Target].Calls.at(Id).first;
    const ModelUpstream &Upstream = this->Site.Upstreams[Target];
    const Micros Work = microsOf(seconds(Call->Work) * Upstream.Slowness);
    ++Call->Arrivals;
    this->Gates[Target].ColdStart.recordSend(this->Now);
    this->recordArrival(Target);
    const MonoTime StartedAt = this->Now;
    const ModelKind *Nested = this->nestedKind(*Call);
    this->Events.at(this->workEnd(Target, Work), [this, Call, Target, Id,
                                                  StartedAt, Nested] {
      if (Nested == nullptr) {
        this->endWork(Target, Id, StartedAt, false);
        return;
      }
      auto Failures = std::make_shared<int>(0);
      auto Pending = std::make_shared<int>(Call->Kind->NestedCalls);
      for (int I = 0; I < Call->Kind->NestedCalls; ++I) {
        auto Child = std::make_shared<ModelCall>();
        Child->Kind = Nested;
        Child->DataCentre = this->Site.Upstreams[Target].DataCentre;
        Child->Node = Child->DataCentre * this->Site.NodesPerDataCentre +
                      Target % this->Site.NodesPerDataCentre;
        Child->Objective = this->Now + Nested->Objective;
        Child->Deadline =
            std::min(this->Now + Nested->Deadline, Call->Deadline);
        Child->Work = this->drawWork(*Nested, this->NestedRandom);
        Child->OnEnd = [this, Target, Id, StartedAt, Failures,
                        Pending](Outcome End, ModelCall &) {
          *Failures += End == Outcome::Answered ? 0 : 1;
          if (--*Pending == 0)
            this->endWork(Target, Id, StartedAt, *Failures > 0);
        };
        this->offerNext(Child);
      }
    });
  }

  /// Ends a cold upstream if it has got too many calls.
  void recordArrival(std::size_t Target) {
    UpstreamState &State = this->States[Target];
    if (this->Site.ColdRate <= 0 || this->Now >= State.ColdUntil)
      return;
    std::deque<MonoTime> &Arrivals = State.ColdArrivals;
    Arrivals.push_back(this->Now);
    while (this->Now - Arrivals.front() >= std::chrono::seconds(1))
      Arrivals.pop_front();
    if (this->Now < State.DownUntil ||
        static_cast<double>(Arrivals.size()) <=
            MaxColdFactor * this->Site.ColdRate + MaxColdExtra)
      return;
    ++this->Result.Crashes;
    Arrivals.clear();
    State.CrashedAt = this->Now;
    State.DownUntil = this->Now + CrashDuration;
    State.ColdUntil = State.DownUntil + this->Site.ColdDuration;
    this->Events.at(State.DownUntil, [this, Target] {
      this->Gates[Target].ColdStart.assumeCold(this->Now);
    });
  }

  const ModelKind *nestedKind(const ModelCall &Call) {
    if (Call.Kind->NestedKind.empty() ||
        std::uniform_real_distribution<double>(0, 1)(this->NestedRandom) >=
            Call.Kind->NestedProbability)
      return nullptr;
    const auto Found =
        std::find_if(this->Site.Kinds.begin(), this->Site.Kinds.end(),
                     [&Call](const ModelKind &Kind) {
                       return Kind.Name == Call.Kind->NestedKind;
                     });
    return Found == this->Site.Kinds.end() ? nullptr : &*Found;
  }

  void endWork(std::size_t Target, std::uint64_t Id, MonoTime StartedAt,
               bool NestedFailed) {
    Gate &At = this->Gates[Target];
    const auto [Call, Reply] = At.Calls.at(Id);
    const Micros Taken =
        std::chrono::duration_cast<Micros>(this->Now - StartedAt);
    const bool Failed =
        NestedFailed || this->Now > Call->Deadline ||
        StartedAt <= this->States[Target].CrashedAt ||
        std::uniform_real_distribution<double>(0, 1)(this->ChoiceRandom) <
            this->Site.Upstreams[Target].FailureRate;
    if (this->Site.ReportsSpeed)
      At.Speed.record(static_cast<std::uint32_t>(
                          100 * this->speedFactor(Target, this->Now)),
                      this->Now);
    if (Failed)
      this->Result.WastedSeconds += seconds(Taken);
    else
      this->gateEstimate(At, *Call->Kind)
          .add(At.Speed.atUsualSpeed(Taken, this->Now));
    At.Queue.finish(Id);
    At.Calls.erase(Id);
    CallerNode &Node = this->Nodes[Call->Node];
    const auto Typical = Node.ProcessingTimes.find(Call->Kind->Name);
    Node.Views[Target].recordResult(Failed, Taken, this->Now,
                                    Typical == Node.ProcessingTimes.end()
                                        ? Micros{0}
                                        : Typical->second.mean());
    if (!Failed)
      Node.ProcessingTimes
          .try_emplace(Call->Kind->Name, ProcessingTimeEstimate(Taken))
          .first->second.add(Taken);
    this->expire(Target);
    this->scheduleExpiry(Target);
    Reply(Failed);
  }

  void reject(std::size_t Target, const RejectedCall &Rejection) {
    Gate &At = this->Gates[Target];
    const auto Found = At.Calls.find(Rejection.Id);
    if (Found == At.Calls.end())
      return;
    const CallPointer Call = Found->second.first;
    At.Calls.erase(Found);
    Call->RetryAfter = Call->RetryAfter == Micros{0}
                           ? Rejection.RetryAfter
                           : std::min(Call->RetryAfter, Rejection.RetryAfter);
    const std::size_t DataCentre = this->Site.Upstreams[Target].DataCentre;
    const bool IsLocal = DataCentre == Call->DataCentre;
    const Micros Wait = At.Queue.predictedWait(this->Now);
    const bool IsCold = Rejection.Reason == ColdReason;
    this->Events.at(
        this->Now + (IsLocal ? LocalDelay : RemoteDelay),
        [this, Call, Target, DataCentre, IsLocal, Wait, IsCold,
         Delay = Rejection.RetryAfter,
         ColdTime = At.ColdStart.remaining(this->Now)] {
          CallerNode &Node = this->Nodes[Call->Node];
          if (IsCold)
            Node.Views[Target].recordClosed(
                {this->Now + Delay, this->Now + ColdTime});
          this->recordLoad(Node, Target);
          Node.Views[Target].recordEnded();
          if (!IsLocal && !IsCold) {
            Node.BusyUntil[{Call->Kind->Service, DataCentre}] =
                this->Now + RemoteBusyBackoff;
            this->Result.RemoteBytes += 500;
          }
          Call->Placement.recordBusy(
              {this->NodeNames[Target], this->DataCentreNames[DataCentre],
               Node.Views[Target]},
              Wait + Node.Views[Target].speed().extraTime(
                         this->goalOf(*Call).MeanProcessingTime, this->Now));
          this->offerNext(Call);
        });
  }

  void recordLoad(CallerNode &Node, std::size_t Target) {
    const AdmissionQueue &Queue = this->Gates[Target].Queue;
    Node.Views[Target].recordLoad(static_cast<std::uint32_t>(Queue.running()),
                                  static_cast<std::uint32_t>(Queue.waiting()),
                                  static_cast<std::uint32_t>(Queue.slots()),
                                  Queue.predictedWait(this->Now), this->Now,
                                  this->Gates[Target].Speed.percent(this->Now));
  }

  void reply(const CallPointer &Call, std::size_t Target, Micros Delay,
             bool IsLocal, bool Failed) {
    this->Events.at(this->Now + Delay, [this, Call, Target, IsLocal, Failed] {
      CallerNode &Node = this->Nodes[Call->Node];
      this->recordLoad(Node, Target);
      Node.Views[Target].recordEnded();
      if (!IsLocal)
        this->Result.RemoteBytes += Call->Kind->TransferBytes;
      if (!Failed) {
        Call->OnEnd(Outcome::Answered, *Call);
        return;
      }
      Call->MayHaveRun = true;
      Call->Excluded.insert(Target);
      if (!Call->Kind->IsIdempotent || Call->Arrivals >= MaxArrivals ||
          this->Now >= Call->Deadline) {
        Call->OnEnd(Outcome::Failed, *Call);
        return;
      }
      Call->Placement.allowQueueing();
      this->offerNext(Call);
    });
  }

  const ModelSite &Site;
  ModelPlacement Rule;
  std::mt19937_64 ArrivalRandom;
  std::mt19937_64 NestedRandom;
  std::mt19937_64 ChoiceRandom;
  EventQueue Events;
  const MonoTime Start = MonoTime() + std::chrono::hours(1);
  MonoTime Now = Start;
  /// Starts of the times in which each upstream's host is slow.
  std::vector<std::vector<MonoTime>> SlowSpells;
  std::vector<CallerNode> Nodes;
  std::vector<Gate> Gates;
  std::vector<UpstreamState> States;
  std::vector<std::string> NodeNames;
  std::vector<std::string> DataCentreNames;
  std::uint64_t NextId = 1;
  ModelResult Result;
};

} // namespace

ModelCounts &ModelCounts::operator+=(const ModelCounts &Other) {
  this->Offered += Other.Offered;
  this->OnTime += Other.OnTime;
  this->Late += Other.Late;
  this->Rejected += Other.Rejected;
  this->Failed += Other.Failed;
  this->RejectedAgain += Other.RejectedAgain;
  this->Worth += Other.Worth;
  return *this;
}

ModelCounts ModelResult::total() const {
  ModelCounts Sum;
  for (const ModelCounts &Counts : this->ByDataCentre)
    Sum += Counts;
  return Sum;
}

double ModelResult::offeredWorth() const {
  double Sum = 0;
  for (const ModelDemand &Request : this->Demand)
    Sum += Request.Kind->Worth;
  return Sum;
}

double worthBound(const ModelSite &Site, const ModelResult &Result) {
  std::map<std::string, double> Capacity;
  Millis Longest{0};
  for (const ModelKind &Kind : Site.Kinds)
    Longest = std::max(Longest, Kind.Deadline);
  for (const ModelUpstream &Upstream : Site.Upstreams)
    Capacity[Upstream.Service] +=
        static_cast<double>(Upstream.Slots) * seconds(Site.Duration + Longest) /
        Upstream.Slowness *
        (1 - Site.SlowSpellShare * (1 - 1 / Site.SlowSpellFactor));
  const auto FindNested = [&Site](const ModelKind &Kind) {
    return std::find_if(Site.Kinds.begin(), Site.Kinds.end(),
                        [&Kind](const ModelKind &Other) {
                          return Other.Name == Kind.NestedKind;
                        });
  };
  // Any non-negative prices of a second at each service give an upper bound;
  // the lowest one is sought along one service after the other.
  std::map<std::string, double> Prices;
  const auto Bound = [&] {
    double Sum = 0;
    for (const auto &[Service, Seconds] : Capacity)
      Sum += Prices[Service] * Seconds;
    for (const ModelDemand &Request : Result.Demand) {
      const ModelKind &Kind = *Request.Kind;
      double Cost = Prices[Kind.Service] * Request.Work;
      if (const auto Nested = FindNested(Kind); Nested != Site.Kinds.end()) {
        const double NestedWork =
            Kind.NestedProbability * seconds(Nested->ProcessingTime);
        Cost += Prices[Kind.Service] * NestedWork +
                Prices[Nested->Service] * NestedWork * Kind.NestedCalls;
      }
      Sum += std::max(Kind.Worth - Cost, 0.0);
    }
    return Sum;
  };
  constexpr int Rounds = 4;
  constexpr int Steps = 30;
  constexpr double MaxPrice = 100;
  for (int Round = 0; Round < Rounds; ++Round)
    for (const auto &[Service, Seconds] : Capacity) {
      double Low = 0;
      double High = MaxPrice;
      for (int Step = 0; Step < Steps; ++Step) {
        const double Third = (High - Low) / 3;
        Prices[Service] = Low + Third;
        const double LeftBound = Bound();
        Prices[Service] = High - Third;
        if (LeftBound < Bound())
          High -= Third;
        else
          Low += Third;
      }
      Prices[Service] = (Low + High) / 2;
    }
  return Bound() / Result.offeredWorth();
}

ModelResult simulate(const ModelSite &Site, ModelPlacement Rule,
                     std::uint64_t Seed) {
  return Simulation(Site, Rule, Seed).run();
}

} // namespace persimmonquay::testing
