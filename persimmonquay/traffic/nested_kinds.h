// Tells which calls are nested: made by an upstream while it runs another one.
//
// Handles this load pattern: the nodes of upstreams recognize nested calls by
// their deadline, which is that of the call that the upstream runs. On a busy
// host, an ordinary call has the deadline of a running one by chance.
#ifndef PERSIMMONQUAY_TRAFFIC_NESTED_KINDS_H
#define PERSIMMONQUAY_TRAFFIC_NESTED_KINDS_H

#include <cstddef>
#include <cstdint>
#include <map>

namespace persimmonquay {

/// Share of the calls of each kind that are marked as nested. The marks of a
/// kind count only if it is marked often.
class NestedKinds {
public:
  // Commands.

  /// Records whether a call is marked as nested.
  void record(std::uint64_t Kind, bool IsMarked) {
    if (this->Shares.size() >= MaxKinds && !this->Shares.contains(Kind))
      return;
    const double Mark = IsMarked ? 1 : 0;
    double &Share = this->Shares.try_emplace(Kind, Mark).first->second;
    Share += Weight * (Mark - Share);
  }

  // Queries.

  /// Returns whether a call counts as nested.
  bool isNested(std::uint64_t Kind, bool IsMarked) const {
    const auto Found = this->Shares.find(Kind);
    return IsMarked && Found != this->Shares.end() &&
           Found->second >= MinMarkedShare;
  }

private:
  /// Well above the part of ordinary calls that have the deadline of a running
  /// call by chance, and low enough for a kind that callers use as well.
  static constexpr double MinMarkedShare = 0.4;
  /// Weight of one call in the share of its kind.
  static constexpr double Weight = 0.05;
  static constexpr std::size_t MaxKinds = 256;

  std::map<std::uint64_t, double> Shares;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_TRAFFIC_NESTED_KINDS_H
