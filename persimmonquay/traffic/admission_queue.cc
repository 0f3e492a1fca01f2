#include "persimmonquay/traffic/admission_queue.h"

#include <algorithm>

namespace persimmonquay {
namespace internal {

/// Maximum number of waiting calls at one upstream, whatever their deadlines.
/// Bounds the memory held by request bodies.
constexpr std::size_t MaxWaitingCalls = 256;

/// A call that can only be answered late may wait for at most its latency
/// objective divided by this; a longer wait costs the caller more than an early
/// rejection. Half of the time to the deadline stands in for the objective.
constexpr int LateWaitDivisor = 8;

/// Under sustained load, a call may wait for at most the time that it can spare
/// until its latency objective divided by this. A longer queue doesn't serve
/// more calls then, since the slots are in use anyway, but an error of the
/// prediction makes many calls late.
constexpr int SustainedSlackDivisor = 2;

/// Load is sustained if calls have been waiting for this long without a break.
/// A shorter burst is worth a queue that takes up all the time that calls can
/// spare, since the slots become free after it.
constexpr Millis SustainedLoadTime{500};

/// A call is short if its processing time is at most the mean of the other
/// calls' divided by this: it delays another call by less than the spread of
/// their processing times.
constexpr int ShortCallDivisor = 3;

/// In a shortage, a call that takes longer by some time goes behind calls whose
/// objective is later by up to this many times that time. A queue that runs
/// short calls first serves more of them; the objective still counts, so that a
/// long call isn't passed for ever.
constexpr int ShortageWorkFactor = 2;

/// Minimum retry delay for rejected callers: a round trip plus the processing
/// time of a few calls.
constexpr Micros MinRetryAfter{20000};

/// Minimum time between two checks of a waiting call.
constexpr Micros MinCheckInterval{5000};

/// Returns when to check a call again that was just accepted with a predicted
/// wait of `Wait`: when it can no longer end on time or before its deadline, or
/// when it should have started if that has passed already.
MonoTime nextCheck(const QueuedCall &Call, Micros Wait, MonoTime Now) {
  const MonoTime LatestStart =
      std::min(Call.Objective - Call.UpperProcessingTime,
               Call.Deadline - Call.ProcessingTime);
  if (LatestStart > Now)
    return LatestStart;
  return Now + std::max(Wait, MinCheckInterval);
}

} // namespace internal

bool AdmissionQueue::isShort(const QueuedCall &Call) const {
  if (Call.Nested)
    return true;
  Micros OtherProcessingTime{0};
  std::int64_t OtherCount = 0;
  for (const RunningCall &Other : this->Running) {
    OtherProcessingTime += Other.ProcessingTime;
    ++OtherCount;
  }
  for (const WaitingCall &Other : this->Waiting) {
    if (Other.Call.Id == Call.Id)
      continue;
    OtherProcessingTime += Other.Call.ProcessingTime;
    ++OtherCount;
  }
  return OtherCount > 0 &&
         Call.ProcessingTime * internal::ShortCallDivisor * OtherCount <=
             OtherProcessingTime;
}

bool AdmissionQueue::isLate(const QueuedCall &Call, MonoTime Now) const {
  return Now + Call.UpperProcessingTime > Call.Objective &&
         !this->isShort(Call);
}

bool AdmissionQueue::precedes(const WaitingCall &Left, const WaitingCall &Right,
                              MonoTime Now) const {
  const bool IsShortage = this->Tally.isShortage(Now);
  if (IsShortage && Left.Call.Nested != Right.Call.Nested)
    return Left.Call.Nested;
  if (IsShortage) {
    const bool LeftStarved = this->Tally.isStarved(Left.Call.Kind);
    if (LeftStarved != this->Tally.isStarved(Right.Call.Kind))
      return LeftStarved;
  }
  if (Left.Call.Priority != Right.Call.Priority)
    return Left.Call.Priority < Right.Call.Priority;
  const bool LeftLate = this->isLate(Left.Call, Now);
  const bool RightLate = this->isLate(Right.Call, Now);
  if (LeftLate != RightLate)
    return RightLate;
  const int WorkFactor = IsShortage ? internal::ShortageWorkFactor : 0;
  const MonoTime LeftTime =
      Left.Call.Objective + Left.Call.ProcessingTime * WorkFactor;
  const MonoTime RightTime =
      Right.Call.Objective + Right.Call.ProcessingTime * WorkFactor;
  if (LeftTime != RightTime)
    return LeftTime < RightTime;
  return Left.Sequence < Right.Sequence;
}

std::vector<MonoTime> AdmissionQueue::slotFreeTimes(MonoTime Now) const {
  std::vector<MonoTime> FreeTimes;
  // More free slots than calls make no difference.
  const std::size_t SlotCount =
      std::min(this->Slots, this->Running.size() + this->Waiting.size() + 1);
  FreeTimes.reserve(std::max(SlotCount, this->Running.size()));
  for (const RunningCall &Call : this->Running) {
    // A call that has exceeded its expected processing time may end at any
    // moment; a quarter of that time accounts for the long tail.
    const Micros Remaining =
        std::max<Micros>(std::chrono::duration_cast<Micros>(
                             Call.Start + Call.ProcessingTime - Now),
                         Call.ProcessingTime / 4);
    FreeTimes.push_back(Now + Remaining);
  }
  while (FreeTimes.size() < SlotCount)
    FreeTimes.push_back(Now);
  std::sort(FreeTimes.begin(), FreeTimes.end());
  // After a resize to fewer slots, the surplus running calls must end first.
  if (FreeTimes.size() > this->Slots && this->Slots > 0)
    FreeTimes.erase(FreeTimes.begin(),
                    FreeTimes.begin() + static_cast<std::ptrdiff_t>(
                                            FreeTimes.size() - this->Slots));
  return FreeTimes;
}

MonoTime AdmissionQueue::predictedStart(const WaitingCall &Waiter,
                                        MonoTime Now) const {
  if (this->Slots == 0)
    return Waiter.Call.Deadline;
  std::vector<MonoTime> FreeTimes = this->slotFreeTimes(Now);
  std::vector<const WaitingCall *> Ahead;
  for (const WaitingCall &Other : this->Waiting)
    if (Other.Call.Id != Waiter.Call.Id && this->precedes(Other, Waiter, Now))
      Ahead.push_back(&Other);
  std::sort(Ahead.begin(), Ahead.end(),
            [this, Now](const WaitingCall *Left, const WaitingCall *Right) {
              return this->precedes(*Left, *Right, Now);
            });
  for (const WaitingCall *Other : Ahead) {
    auto Earliest = std::min_element(FreeTimes.begin(), FreeTimes.end());
    *Earliest = std::max(*Earliest, Now) + Other->Call.ProcessingTime;
  }
  return std::max(this->Pacer.startTime(Ahead.size(), Now),
                  *std::min_element(FreeTimes.begin(), FreeTimes.end()));
}

Micros AdmissionQueue::predictedWait(const QueuedCall &Call,
                                     MonoTime Now) const {
  if (this->canStartNow(Now))
    return Micros{0};
  const WaitingCall Arriving{Call, Now, this->NextSequence, Now};
  return std::chrono::duration_cast<Micros>(
      this->predictedStart(Arriving, Now) - Now);
}

Micros AdmissionQueue::predictedWait(MonoTime Now) const {
  QueuedCall Probe;
  // An on-time call of the lowest priority, which ranks behind all others.
  Probe.Priority = UINT32_MAX;
  Probe.Objective = Now + std::chrono::hours(1);
  Probe.Deadline = Probe.Objective;
  return this->predictedWait(Probe, Now);
}

std::optional<std::string_view>
AdmissionQueue::whyTooLate(const QueuedCall &Call, Micros Wait,
                           MonoTime Now) const {
  if (Now + Wait + Call.ProcessingTime > Call.Deadline)
    return "the wait would outlast the deadline";
  const auto Slack = std::chrono::duration_cast<Micros>(Call.Objective - Now) -
                     Call.UpperProcessingTime;
  if (Wait <= Slack / this->slackDivisor(Now) || Wait == Micros{0} ||
      this->isShort(Call))
    return std::nullopt;
  // The call will be late in any case, so that only a short wait is worthwhile.
  const Micros MaxLateWait =
      std::max<Micros>(std::chrono::duration_cast<Micros>(Call.Deadline - Now) /
                           (2 * internal::LateWaitDivisor),
                       Micros{0});
  if (Wait > MaxLateWait)
    return "the wait would outlast the latency objective";
  return std::nullopt;
}

int AdmissionQueue::slackDivisor(MonoTime Now) const {
  return !this->Waiting.empty() &&
                 Now - this->WaitingSince >= internal::SustainedLoadTime
             ? internal::SustainedSlackDivisor
             : 1;
}

Micros AdmissionQueue::retryDelay(const QueuedCall &Call, Micros Wait,
                                  MonoTime Now) const {
  // After this delay, the queue has drained far enough for the call, if no
  // other calls arrive. The call can spare less time then.
  const auto Slack =
      std::max(std::chrono::duration_cast<Micros>(Call.Objective - Now) -
                   Call.UpperProcessingTime,
               Micros{0});
  const int Divisor = this->slackDivisor(Now);
  const Micros Delay = Divisor == 1 ? Wait - Slack / 2
                                    : (Wait * Divisor - Slack) / (Divisor - 1);
  return std::max(internal::MinRetryAfter, std::min(Delay, Wait));
}

std::optional<RejectedCall> AdmissionQueue::whyRejected(const QueuedCall &Call,
                                                        Micros MaxWait,
                                                        MonoTime Now) const {
  if (this->canStartNow(Now)) {
    if (Now < Call.Deadline)
      return std::nullopt;
    return RejectedCall{Call.Id, "the deadline has passed",
                        internal::MinRetryAfter};
  }
  const Micros Wait = this->predictedWait(Call, Now);
  std::optional<std::string_view> Reason = this->whyTooLate(Call, Wait, Now);
  if (!Reason && Wait > MaxWait)
    Reason = BusyReason;
  if (!Reason && this->Waiting.size() >= internal::MaxWaitingCalls)
    Reason = "the queue is full";
  if (!Reason)
    return std::nullopt;
  return RejectedCall{Call.Id, *Reason, this->retryDelay(Call, Wait, Now)};
}

Admission AdmissionQueue::offer(const QueuedCall &Call, Micros MaxWait,
                                MonoTime Now) {
  Admission Result;
  if (const std::optional<RejectedCall> Rejected =
          this->whyRejected(Call, MaxWait, Now)) {
    Result.Verdict = AdmissionVerdict::Reject;
    Result.Rejection = *Rejected;
    // The caller offers a call that is rejected as busy elsewhere.
    if (Rejected->Reason != BusyReason)
      this->Tally.recordRejection(Call.Kind, Now);
    return Result;
  }
  if (this->canStartNow(Now)) {
    this->Pacer.recordSend(Now);
    this->Tally.recordStart(Call.Kind, Now);
    this->Running.push_back({Call.Id, Now, Call.ProcessingTime});
    return Result;
  }
  const Micros Wait = this->predictedWait(Call, Now);
  if (this->Waiting.empty())
    this->WaitingSince = Now;
  this->Waiting.push_back(
      {Call, Now, this->NextSequence++, internal::nextCheck(Call, Wait, Now)});
  Result.Verdict = AdmissionVerdict::Wait;
  Result.Displaced = this->expire(Now);
  return Result;
}

void AdmissionQueue::finish(std::uint64_t Id) {
  std::erase_if(this->Running,
                [Id](const RunningCall &Call) { return Call.Id == Id; });
}

std::optional<std::uint64_t> AdmissionQueue::startNext(MonoTime Now) {
  if (this->Waiting.empty() || this->Running.size() >= this->Slots ||
      this->Pacer.startTime(0, Now) > Now)
    return std::nullopt;
  const auto Best = std::min_element(
      this->Waiting.begin(), this->Waiting.end(),
      [this, Now](const WaitingCall &Left, const WaitingCall &Right) {
        return this->precedes(Left, Right, Now);
      });
  const std::uint64_t Id = Best->Call.Id;
  this->Pacer.recordSend(Now);
  this->Tally.recordStart(Best->Call.Kind, Now);
  this->Running.push_back({Id, Now, Best->Call.ProcessingTime});
  this->Waiting.erase(Best);
  return Id;
}

bool AdmissionQueue::cancel(std::uint64_t Id) {
  return std::erase_if(this->Waiting, [Id](const WaitingCall &Waiter) {
           return Waiter.Call.Id == Id;
         }) > 0;
}

std::vector<RejectedCall> AdmissionQueue::expire(MonoTime Now) {
  std::vector<RejectedCall> Result;
  for (WaitingCall &Waiter : this->Waiting) {
    if (Now < Waiter.NextCheck)
      continue;
    const Micros Wait = std::chrono::duration_cast<Micros>(
        this->predictedStart(Waiter, Now) - Now);
    if (const std::optional<std::string_view> Reason =
            this->whyTooLate(Waiter.Call, Wait, Now))
      Result.push_back(
          {Waiter.Call.Id, *Reason, this->retryDelay(Waiter.Call, Wait, Now)});
    else
      Waiter.NextCheck = Now + std::max(Wait, internal::MinCheckInterval);
  }
  for (const RejectedCall &Rejected : Result) {
    const auto Expired =
        std::find_if(this->Waiting.begin(), this->Waiting.end(),
                     [&Rejected](const WaitingCall &Waiter) {
                       return Waiter.Call.Id == Rejected.Id;
                     });
    this->Tally.recordRejection(Expired->Call.Kind, Now);
    this->Waiting.erase(Expired);
  }
  return Result;
}

std::vector<RejectedCall> AdmissionQueue::clear(std::string_view Reason) {
  std::vector<RejectedCall> Result;
  Result.reserve(this->Waiting.size());
  for (const WaitingCall &Waiter : this->Waiting)
    Result.push_back({Waiter.Call.Id, Reason, internal::MinRetryAfter});
  this->Waiting.clear();
  return Result;
}

std::optional<MonoTime> AdmissionQueue::nextStart(MonoTime Now) const {
  if (this->Waiting.empty() || this->Running.size() >= this->Slots)
    return std::nullopt;
  return this->Pacer.startTime(0, Now);
}

std::optional<MonoTime> AdmissionQueue::nextExpiry() const {
  std::optional<MonoTime> Next;
  for (const WaitingCall &Waiter : this->Waiting)
    if (!Next || Waiter.NextCheck < *Next)
      Next = Waiter.NextCheck;
  return Next;
}

} // namespace persimmonquay
