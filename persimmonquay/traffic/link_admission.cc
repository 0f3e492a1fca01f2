#include "persimmonquay/traffic/link_admission.h"

#include "persimmonquay/traffic/admission_queue.h"
#include "persimmonquay/traffic/link_schedule.h"
#include <algorithm>
#include <cmath>
#include <utility>

namespace persimmonquay {
namespace internal {

/// Number of answers over which their size is effectively averaged.
constexpr std::int64_t MaxSizeSamples = 20;

/// A call may wait for the link for at most the time that it can spare until
/// its latency objective divided by this. A longer backlog doesn't serve more
/// calls, since the link is in use anyway, but an error of the prediction makes
/// many answers late.
constexpr int LinkSlackDivisor = 2;

/// A call that can only be answered late may wait for the link for at most the
/// time until its deadline divided by this.
constexpr int LateLinkWaitDivisor = 16;

/// The link decides about a call if the answer takes at least its processing
/// time divided by this to leave.
constexpr int LinkShareDivisor = 4;

/// Minimum retry delay: about the time of one large answer.
constexpr Micros MinLinkRetryAfter{20000};

} // namespace internal

void LinkAdmission::recordAnswer(const std::string &Route, std::size_t Bytes,
                                 Micros ProcessingTime) {
  AnswerEstimate &Estimate = this->Estimates[Route];
  Estimate.Count = std::min(Estimate.Count + 1, internal::MaxSizeSamples);
  const auto Weight = 1.0 / static_cast<double>(Estimate.Count);
  const double Difference = static_cast<double>(Bytes) - Estimate.MeanBytes;
  Estimate.MeanBytes += Weight * Difference;
  // The first answer differs from nothing.
  if (Estimate.Count > 1)
    Estimate.Deviation += Weight * (std::abs(Difference) - Estimate.Deviation);
  Estimate.ProcessingTime.add(ProcessingTime);
}

void LinkAdmission::add(std::uint64_t Id, const LinkCall &Call) {
  const auto Found = this->Estimates.find(Call.Route);
  if (Found != this->Estimates.end())
    this->Expected[Id] = {static_cast<std::size_t>(Found->second.MeanBytes),
                          Call.Priority, Call.Deadline};
}

std::optional<LinkRejection> LinkAdmission::whyRejected(const LinkCall &Call,
                                                        Micros MaxWait,
                                                        MonoTime Now) const {
  const auto Found = this->Estimates.find(Call.Route);
  if (!this->Schedule.isLimited() || Found == this->Estimates.end() ||
      Found->second.upperBytes() <= MaxSmallAnswerBytes)
    return std::nullopt;
  const AnswerEstimate &Estimate = Found->second;
  std::size_t ExpectedBytes = 0;
  std::size_t BytesAhead = 0;
  for (const auto &[Id, Answer] : this->Expected) {
    ExpectedBytes += Answer.Bytes;
    if (Answer.Bytes <= MaxSmallAnswerBytes ||
        std::pair(Answer.Priority, Answer.Deadline) <=
            std::pair(Call.Priority, Call.Deadline))
      BytesAhead += Answer.Bytes;
  }
  const Micros Ahead =
      this->Schedule.timeAhead(Call.Priority, Call.Deadline, Now) +
      this->Schedule.transferTime(BytesAhead);
  const Micros Work = Estimate.ProcessingTime.mean();
  const Micros Wait = std::max(Ahead - Work, Micros{0});
  const auto Reject = [](std::string_view Reason, Micros RetryAfter) {
    return LinkRejection{Reason,
                         std::max(RetryAfter, internal::MinLinkRetryAfter)};
  };
  const auto TimeLeft = std::chrono::duration_cast<Micros>(Call.Deadline - Now);
  const Micros Transfer =
      this->Schedule.transferTime(static_cast<std::size_t>(Estimate.MeanBytes));
  const Micros SpareTime = TimeLeft - Work - Transfer;
  if (Wait > SpareTime && Wait + Transfer > Work / internal::LinkShareDivisor)
    return Reject("the answer could not leave before the deadline",
                  std::max(Wait - SpareTime / 2, Micros{0}));
  if (Wait == Micros{0})
    return std::nullopt;
  if (this->Schedule.waitingBytes() + ExpectedBytes + Estimate.upperBytes() >
      this->MaxBytes)
    return Reject("the answers that wait take too much memory",
                  this->backlog(Now) / 2);
  const Micros Slack =
      std::chrono::duration_cast<Micros>(Call.Objective - Now) -
      Estimate.ProcessingTime.upper() -
      this->Schedule.transferTime(Estimate.upperBytes());
  if (Wait > Slack / internal::LinkSlackDivisor &&
      Wait > TimeLeft / internal::LateLinkWaitDivisor)
    // The time that the call can spare shrinks while its caller waits.
    return Reject(
        "the answer would leave after the latency objective",
        std::min(Wait, std::max(Wait * internal::LinkSlackDivisor - Slack,
                                Micros{0})));
  if (Wait > MaxWait)
    return Reject(BusyReason, Wait - MaxWait);
  return std::nullopt;
}

Micros LinkAdmission::backlog(MonoTime Now) const {
  std::size_t Bytes = 0;
  for (const auto &[Id, Answer] : this->Expected)
    Bytes += Answer.Bytes;
  return this->Schedule.backlog(Now) + this->Schedule.transferTime(Bytes);
}

} // namespace persimmonquay
