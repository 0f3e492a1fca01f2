// Splits calls among weighted parts deterministically.
#ifndef PERSIMMONQUAY_MESH_TRAFFIC_SPLIT_H
#define PERSIMMONQUAY_MESH_TRAFFIC_SPLIT_H

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace persimmonquay {

/// Chooses parts in proportion to their weights by smooth weighted round-robin:
/// after any number of choices each part is within one call of its exact share.
/// With many nodes that make few calls each, the overall split therefore stays
/// closer to the weights than with random choices. Not thread-safe.
///
/// Example:
///   TrafficSplit Split({90, 10});
///   std::size_t Part = Split.next();
class TrafficSplit {
public:
  /// `Phase` (0 to 1) sets the point at which the sequence starts, so that
  /// nodes started at the same time do not all begin with the same part.
  explicit TrafficSplit(std::vector<std::uint32_t> PartWeights,
                        double Phase = 0)
      : Weights(std::move(PartWeights)), Credits(this->Weights.size(), 0) {
    for (const std::uint32_t Weight : this->Weights)
      this->TotalWeight += Weight;
    const auto SkippedChoices = static_cast<std::int64_t>(
        Phase * static_cast<double>(this->TotalWeight));
    for (std::int64_t I = 0; I < SkippedChoices % MaxSkippedChoices; ++I)
      this->next();
  }

  /// Returns the index of the part that takes the next call.
  std::size_t next() {
    std::size_t Chosen = 0;
    for (std::size_t I = 0; I < this->Weights.size(); ++I) {
      this->Credits[I] += this->Weights[I];
      if (this->Credits[I] > this->Credits[Chosen] ||
          (this->Weights[Chosen] == 0 && this->Weights[I] > 0))
        Chosen = I;
    }
    this->Credits[Chosen] -= this->TotalWeight;
    return Chosen;
  }

  const std::vector<std::uint32_t> &weights() const { return this->Weights; }

private:
  /// Bounds the constructor's work when the weights are large.
  static constexpr std::int64_t MaxSkippedChoices = 997;

  std::vector<std::uint32_t> Weights;
  std::vector<std::int64_t> Credits;
  std::int64_t TotalWeight = 0;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_MESH_TRAFFIC_SPLIT_H
