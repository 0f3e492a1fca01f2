#include "persimmonquay/traffic/shortage_tally.h"

#include <cmath>

namespace persimmonquay {
namespace internal {

/// Half-life of the counts that tell whether there is a shortage.
constexpr Millis ShortageHalfLife{1000};

/// Half-life of the counts by kind: long enough for several calls of a rare
/// kind.
constexpr Millis KindHalfLife{5000};

/// Part of the calls that is turned away in a shortage.
constexpr double MinRejectedShare = 0.1;

/// Number of recent calls that it takes to tell a shortage or a starved kind
/// from chance.
constexpr double MinRecentCalls = 4;

/// A kind is starved if its share of started calls is below the share of all
/// calls divided by this. About a quarter of the calls that callers make, since
/// a rejected caller that retries counts again.
constexpr double StarvedDivisor = 6;

/// Time without calls after which there is no shortage.
constexpr Millis MaxShortageAge{1000};

/// Maximum number of kinds that are counted; calls of further kinds count only
/// among all calls.
constexpr std::size_t MaxKinds = 256;

} // namespace internal

ShortageTally::Counts ShortageTally::Counts::at(MonoTime Now,
                                                Micros HalfLife) const {
  const double Factor =
      std::exp2(-std::chrono::duration<double>(Now - this->UpdatedAt) /
                std::chrono::duration<double>(HalfLife));
  return {this->Started * Factor, this->Rejected * Factor, Now};
}

void ShortageTally::record(std::uint64_t Kind, bool Started, MonoTime Now) {
  const auto Add = [Started, Now](Counts &To, Micros HalfLife) {
    To = To.at(Now, HalfLife);
    (Started ? To.Started : To.Rejected) += 1;
  };
  Add(this->Recent, internal::ShortageHalfLife);
  Add(this->All, internal::KindHalfLife);
  this->RejectedShare = this->Recent.total() < internal::MinRecentCalls
                            ? 0
                            : 1 - this->Recent.startedShare();
  if (!this->Kinds.contains(Kind) && this->Kinds.size() >= internal::MaxKinds) {
    std::erase_if(this->Kinds, [Now](const auto &Item) {
      return Item.second.at(Now, internal::KindHalfLife).total() < 1;
    });
    if (this->Kinds.size() >= internal::MaxKinds)
      return;
  }
  Counts &OfKind = this->Kinds[Kind];
  Add(OfKind, internal::KindHalfLife);
  OfKind.IsStarved = OfKind.total() >= internal::MinRecentCalls &&
                     OfKind.startedShare() * internal::StarvedDivisor <
                         this->All.startedShare();
}

void ShortageTally::recordStart(std::uint64_t Kind, MonoTime Now) {
  this->record(Kind, true, Now);
}

void ShortageTally::recordRejection(std::uint64_t Kind, MonoTime Now) {
  this->record(Kind, false, Now);
}

double ShortageTally::rejectedShare(MonoTime Now) const {
  return Now - this->Recent.UpdatedAt < internal::MaxShortageAge
             ? this->RejectedShare
             : 0;
}

bool ShortageTally::isShortage(MonoTime Now) const {
  return this->rejectedShare(Now) >= internal::MinRejectedShare;
}

bool ShortageTally::isStarved(std::uint64_t Kind) const {
  const auto Found = this->Kinds.find(Kind);
  return Found != this->Kinds.end() && Found->second.IsStarved;
}

} // namespace persimmonquay
