#include "persimmonquay/rollout/reference_health.h"

#include <algorithm>
#include <cstddef>
#include <optional>

namespace persimmonquay {
namespace internal {

/// Calls before the order from which on their failure rate is used.
constexpr double MinCallsBeforeOrder = 50;

/// Calls of a window whose failure rate counts as that of the best time.
constexpr double UsualWindowCalls = 200;

/// Calls of the window in which trouble is noticed: few, so that it is noticed
/// and over within a few spans.
constexpr double TroubleWindowCalls = 40;

/// Failure rate from which on the versions are in trouble: this multiple of
/// their usual rate, and this much more.
constexpr double TroubleRatio = 2;
constexpr double TroubleMargin = 0.1;

/// Returns, for each span, the failure rate of the other versions in the newest
/// spans up to it that hold at least `MinCalls` of their calls; none if there
/// have been fewer.
std::vector<std::optional<double>>
windowErrorRates(const std::vector<SpanCounts> &Spans, double MinCalls) {
  std::vector<std::optional<double>> Result;
  Result.reserve(Spans.size());
  double Calls = 0;
  double Errors = 0;
  std::size_t First = 0;
  for (const SpanCounts &Span : Spans) {
    Calls += Span.Old.Calls;
    Errors += Span.Old.Errors;
    while (Calls - Spans[First].Old.Calls >= MinCalls) {
      Calls -= Spans[First].Old.Calls;
      Errors -= Spans[First].Old.Errors;
      ++First;
    }
    Result.push_back(Calls < MinCalls ? std::nullopt
                                      : std::optional<double>(Errors / Calls));
  }
  return Result;
}

std::optional<double> usualErrorRate(const std::vector<SpanCounts> &Spans,
                                     const VersionCounts &BeforeOrder) {
  std::optional<double> Result;
  if (BeforeOrder.Calls >= MinCallsBeforeOrder)
    Result = BeforeOrder.Errors / BeforeOrder.Calls;
  for (const std::optional<double> &Rate :
       windowErrorRates(Spans, UsualWindowCalls))
    if (Rate)
      Result = std::min(Result.value_or(*Rate), *Rate);
  return Result;
}

} // namespace internal

ReferenceHealth::ReferenceHealth(const std::vector<SpanCounts> &Spans,
                                 const VersionCounts &BeforeOrder)
    : UsualErrorRate(internal::usualErrorRate(Spans, BeforeOrder)) {
  const double TroubleRate =
      internal::TroubleRatio * this->UsualErrorRate.value_or(0) +
      internal::TroubleMargin;
  const std::vector<std::optional<double>> Rates =
      internal::windowErrorRates(Spans, internal::TroubleWindowCalls);
  for (std::size_t I = 0; I < Spans.size(); ++I) {
    this->States.push_back(!Rates[I]                 ? SpanState::Unknown
                           : *Rates[I] > TroubleRate ? SpanState::Troubled
                                                     : SpanState::Sound);
    if (this->States.back() != SpanState::Troubled)
      this->SoundSpans.push_back(Spans[I]);
  }
}

bool ReferenceHealth::isInTrouble() const {
  return !this->States.empty() && this->States.back() == SpanState::Troubled;
}

bool ReferenceHealth::isShownSound(std::size_t SpanCount) const {
  return this->States.size() >= SpanCount &&
         std::all_of(this->States.end() -
                         static_cast<std::ptrdiff_t>(SpanCount),
                     this->States.end(),
                     [](SpanState Each) { return Each == SpanState::Sound; });
}

} // namespace persimmonquay
