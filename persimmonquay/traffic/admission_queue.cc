#include "persimmonquay/traffic/admission_queue.h"

#include <algorithm>

namespace persimmonquay {
namespace internal {

/// Calls that may wait at one upstream, whatever their deadlines; bounds the
/// memory that their bodies hold.
constexpr std::size_t MaxWaitingCalls = 256;

/// Part of a call's latency objective for which it may wait when it can only
/// be answered late; a longer wait costs the caller more than an early refusal.
constexpr int LateWaitDivisor = 8;

/// A call that takes at most this part of the other calls' mean time is short:
/// it delays another call by less than their spread does.
constexpr int ShortWorkDivisor = 3;

/// Shortest time that a rejected caller is told to wait: a round trip and the
/// work of a few calls.
constexpr Micros MinRetryAfter{20000};

/// Shortest time between two looks at a waiting call.
constexpr Micros MinCheckInterval{5000};

/// Returns when a call that was just accepted with `Wait` ahead is looked at
/// again: when it turns late, or, if it is late already, when it should have
/// started.
MonoTime nextCheck(const QueuedCall &Call, Micros Wait, MonoTime Now) {
  const MonoTime TurnsLate = Call.Objective - Call.UpperServiceTime;
  if (TurnsLate > Now)
    return TurnsLate;
  return Now + std::max(Wait, MinCheckInterval);
}

} // namespace internal

bool AdmissionQueue::isShort(const QueuedCall &Call) const {
  Micros Sum{0};
  std::int64_t Others = 0;
  for (const RunningCall &Each : this->Running) {
    Sum += Each.Work;
    ++Others;
  }
  for (const WaitingCall &Each : this->Waiting) {
    if (Each.Call.Id == Call.Id)
      continue;
    Sum += Each.Call.Work;
    ++Others;
  }
  return Others > 0 && Call.Work * internal::ShortWorkDivisor * Others <= Sum;
}

bool AdmissionQueue::isLate(const QueuedCall &Call, MonoTime Now) const {
  return Now + Call.UpperServiceTime > Call.Objective && !this->isShort(Call);
}

bool AdmissionQueue::goesBefore(const WaitingCall &Left,
                                const WaitingCall &Right, MonoTime Now) const {
  if (Left.Call.Priority != Right.Call.Priority)
    return Left.Call.Priority < Right.Call.Priority;
  const bool LeftLate = this->isLate(Left.Call, Now);
  const bool RightLate = this->isLate(Right.Call, Now);
  if (LeftLate != RightLate)
    return RightLate;
  if (Left.Call.Objective != Right.Call.Objective)
    return Left.Call.Objective < Right.Call.Objective;
  return Left.Sequence < Right.Sequence;
}

std::vector<MonoTime> AdmissionQueue::slotTimes(MonoTime Now) const {
  std::vector<MonoTime> Times;
  Times.reserve(std::max(this->Slots, this->Running.size()));
  for (const RunningCall &Call : this->Running) {
    // A call that has outlived its expected time ends at any moment; a quarter
    // of that time stands for the long tail.
    const Micros Left = std::max<Micros>(
        std::chrono::duration_cast<Micros>(Call.Start + Call.Work - Now),
        Call.Work / 4);
    Times.push_back(Now + Left);
  }
  while (Times.size() < this->Slots)
    Times.push_back(Now);
  std::sort(Times.begin(), Times.end());
  // Running calls beyond the slots (after a shrink) must end first.
  if (Times.size() > this->Slots && this->Slots > 0)
    Times.erase(Times.begin(), Times.begin() + static_cast<std::ptrdiff_t>(
                                                   Times.size() - this->Slots));
  return Times;
}

MonoTime AdmissionQueue::predictedStart(const WaitingCall &Asked,
                                        MonoTime Now) const {
  if (this->Slots == 0)
    return Asked.Call.Deadline;
  std::vector<MonoTime> Times = this->slotTimes(Now);
  std::vector<const WaitingCall *> Ahead;
  for (const WaitingCall &Call : this->Waiting)
    if (Call.Call.Id != Asked.Call.Id && this->goesBefore(Call, Asked, Now))
      Ahead.push_back(&Call);
  std::sort(Ahead.begin(), Ahead.end(),
            [this, Now](const WaitingCall *Left, const WaitingCall *Right) {
              return this->goesBefore(*Left, *Right, Now);
            });
  for (const WaitingCall *Call : Ahead) {
    auto Earliest = std::min_element(Times.begin(), Times.end());
    *Earliest = std::max(*Earliest, Now) + Call->Call.Work;
  }
  return std::max(Now, *std::min_element(Times.begin(), Times.end()));
}

Micros AdmissionQueue::predictedWait(const QueuedCall &Call,
                                     MonoTime Now) const {
  if (this->Running.size() < this->Slots && this->Waiting.empty())
    return Micros{0};
  const WaitingCall Asked{Call, Now, this->NextSequence, Now};
  return std::chrono::duration_cast<Micros>(this->predictedStart(Asked, Now) -
                                            Now);
}

Micros AdmissionQueue::predictedWait(MonoTime Now) const {
  QueuedCall Ordinary;
  // Any on-time call of the lowest priority, behind all others.
  Ordinary.Priority = UINT32_MAX;
  Ordinary.Objective = Now + std::chrono::hours(1);
  Ordinary.Deadline = Ordinary.Objective;
  return this->predictedWait(Ordinary, Now);
}

std::optional<std::string_view>
AdmissionQueue::whyHopeless(const QueuedCall &Call, Micros Wait,
                            MonoTime Now) const {
  if (Now + Wait + Call.Work > Call.Deadline)
    return "the wait would outlast the deadline";
  if (Now + Wait + Call.UpperServiceTime <= Call.Objective ||
      Wait == Micros{0} || this->isShort(Call))
    return std::nullopt;
  // Late in any case: worth a short wait only.
  const Micros Allowed =
      std::max<Micros>(std::chrono::duration_cast<Micros>(Call.Deadline - Now) /
                           (2 * internal::LateWaitDivisor),
                       Micros{0});
  if (Wait > Allowed)
    return "the wait would outlast the latency objective";
  return std::nullopt;
}

Micros AdmissionQueue::timeToRoom(const QueuedCall &Call, Micros Wait,
                                  MonoTime Now) const {
  // A call that returns after this time finds a queue that has drained far
  // enough for it to end on time, if nobody else arrives.
  const Micros Fits = std::chrono::duration_cast<Micros>(Call.Objective - Now) -
                      Call.UpperServiceTime;
  return std::max(internal::MinRetryAfter,
                  Wait - std::max(Fits / 2, Micros{0}));
}

std::optional<RejectedCall> AdmissionQueue::whyRejected(const QueuedCall &Call,
                                                        Micros MaxWait,
                                                        MonoTime Now) const {
  if (this->hasRoom()) {
    if (Now < Call.Deadline)
      return std::nullopt;
    return RejectedCall{Call.Id, "the deadline has passed",
                        internal::MinRetryAfter};
  }
  const Micros Wait = this->predictedWait(Call, Now);
  std::optional<std::string_view> Why = this->whyHopeless(Call, Wait, Now);
  if (!Why && Wait > MaxWait)
    Why = BusyReason;
  if (!Why && this->Waiting.size() >= internal::MaxWaitingCalls)
    Why = "the queue is full";
  if (!Why)
    return std::nullopt;
  return RejectedCall{Call.Id, *Why, this->timeToRoom(Call, Wait, Now)};
}

Admission AdmissionQueue::offer(const QueuedCall &Call, Micros MaxWait,
                                MonoTime Now) {
  Admission Result;
  if (const std::optional<RejectedCall> Rejected =
          this->whyRejected(Call, MaxWait, Now)) {
    Result.Verdict = AdmissionVerdict::Reject;
    Result.Rejection = *Rejected;
    return Result;
  }
  if (this->hasRoom()) {
    this->Running.push_back({Call.Id, Now, Call.Work});
    return Result;
  }
  const Micros Wait = this->predictedWait(Call, Now);
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
  if (this->Waiting.empty() || this->Running.size() >= this->Slots)
    return std::nullopt;
  const auto Best = std::min_element(
      this->Waiting.begin(), this->Waiting.end(),
      [this, Now](const WaitingCall &Left, const WaitingCall &Right) {
        return this->goesBefore(Left, Right, Now);
      });
  const std::uint64_t Id = Best->Call.Id;
  this->Running.push_back({Id, Now, Best->Call.Work});
  this->Waiting.erase(Best);
  return Id;
}

bool AdmissionQueue::cancel(std::uint64_t Id) {
  return std::erase_if(this->Waiting, [Id](const WaitingCall &Call) {
           return Call.Call.Id == Id;
         }) > 0;
}

std::vector<RejectedCall> AdmissionQueue::expire(MonoTime Now) {
  std::vector<RejectedCall> Result;
  for (WaitingCall &Call : this->Waiting) {
    if (Now < Call.NextCheck)
      continue;
    const Micros Wait = std::chrono::duration_cast<Micros>(
        this->predictedStart(Call, Now) - Now);
    if (const std::optional<std::string_view> Why =
            this->whyHopeless(Call.Call, Wait, Now))
      Result.push_back(
          {Call.Call.Id, *Why, this->timeToRoom(Call.Call, Wait, Now)});
    else
      Call.NextCheck = Now + std::max(Wait, internal::MinCheckInterval);
  }
  for (const RejectedCall &Rejected : Result)
    this->cancel(Rejected.Id);
  return Result;
}

std::vector<RejectedCall> AdmissionQueue::clear(std::string_view Reason) {
  std::vector<RejectedCall> Result;
  Result.reserve(this->Waiting.size());
  for (const WaitingCall &Call : this->Waiting)
    Result.push_back({Call.Call.Id, Reason, internal::MinRetryAfter});
  this->Waiting.clear();
  return Result;
}

std::optional<MonoTime> AdmissionQueue::nextExpiry() const {
  std::optional<MonoTime> Next;
  for (const WaitingCall &Call : this->Waiting)
    if (!Next || Call.NextCheck < *Next)
      Next = Call.NextCheck;
  return Next;
}

} // namespace persimmonquay
