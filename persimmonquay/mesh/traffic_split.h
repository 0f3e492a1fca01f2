// Divides calls among weighted parts without drawing lots.
#ifndef PERSIMMONQUAY_MESH_TRAFFIC_SPLIT_H
#define PERSIMMONQUAY_MESH_TRAFFIC_SPLIT_H

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace persimmonquay {

/// Chooses parts in the ratio of their weights, as evenly spread as whole calls
/// allow: after any number of choices each part is within one call of its due
/// share. Many nodes, each with few calls, so stay nearer to the weights than
/// with random choices. Not thread-safe.
///
/// Example:
///   TrafficSplit Split({90, 10});
///   std::size_t Part = Split.next();
class TrafficSplit {
public:
  /// `Phase` (0 to 1) moves the point at which the sequence starts, so that
  /// nodes that start together do not all begin with the same part.
  explicit TrafficSplit(std::vector<std::uint32_t> PartWeights,
                        double Phase = 0)
      : Weights(std::move(PartWeights)), Credit(this->Weights.size(), 0) {
    for (const std::uint32_t Weight : this->Weights)
      this->Total += Weight;
    const auto Skipped =
        static_cast<std::int64_t>(Phase * static_cast<double>(this->Total));
    for (std::int64_t I = 0; I < Skipped % MaxSkipped; ++I)
      this->next();
  }

  /// Returns the index of the part that takes the next call.
  std::size_t next() {
    std::size_t Best = 0;
    for (std::size_t I = 0; I < this->Weights.size(); ++I) {
      this->Credit[I] += this->Weights[I];
      if (this->Credit[I] > this->Credit[Best] ||
          (this->Weights[Best] == 0 && this->Weights[I] > 0))
        Best = I;
    }
    this->Credit[Best] -= this->Total;
    return Best;
  }

  const std::vector<std::uint32_t> &weights() const { return this->Weights; }

private:
  /// Bounds the work of the constructor for large weights.
  static constexpr std::int64_t MaxSkipped = 997;

  std::vector<std::uint32_t> Weights;
  std::vector<std::int64_t> Credit;
  std::int64_t Total = 0;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_MESH_TRAFFIC_SPLIT_H
