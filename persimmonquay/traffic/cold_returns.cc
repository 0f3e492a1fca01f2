#include "persimmonquay/traffic/cold_returns.h"

#include <algorithm>
#include <cstddef>

namespace persimmonquay {
namespace internal {

/// Callers multiply the time by a random factor of at least 0.75; after that,
/// the upstreams have to be warm.
constexpr double WarmDelayFactor = 1 / 0.75;

} // namespace internal

Micros ColdReturns::schedule(const std::vector<ClosedUpstream> &Closed,
                             double Random, MonoTime Now) {
  std::erase_if(this->Promised,
                [Now](const MonoTime &Time) { return Time <= Now; });
  const auto &Chosen = Closed[std::min(
      static_cast<std::size_t>(Random * static_cast<double>(Closed.size())),
      Closed.size() - 1)];
  // Each opening is good for one call.
  if (this->Promised.size() < Closed.size()) {
    this->Promised.push_back(Chosen.OpensAt);
    return std::chrono::duration_cast<Micros>(Chosen.OpensAt - Now);
  }
  return std::chrono::duration_cast<Micros>((Chosen.ColdUntil - Now) *
                                            internal::WarmDelayFactor);
}

} // namespace persimmonquay
