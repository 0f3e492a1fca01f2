// Tells whether an upstream has too little room, and which kinds of call get
// far less of it than the others.
//
// Handles this load pattern: for many seconds, more calls arrive than an
// upstream can run. By priority and work alone, the kind that ranks last would
// not be served at all.
#ifndef PERSIMMONQUAY_TRAFFIC_SHORTAGE_TALLY_H
#define PERSIMMONQUAY_TRAFFIC_SHORTAGE_TALLY_H

#include "persimmonquay/base/time.h"
#include <cstddef>
#include <cstdint>
#include <map>

namespace persimmonquay {

/// Counts the calls of each kind that were started and that were turned away
/// lately.
///
/// Does no I/O and reads no clock. Not thread-safe.
class ShortageTally {
public:
  // Commands.

  void recordStart(std::uint64_t Kind, MonoTime Now);
  /// Records a call that was turned away for lack of room.
  void recordRejection(std::uint64_t Kind, MonoTime Now);

  // Queries.

  /// Returns whether a considerable part of the calls was turned away lately.
  bool isShortage(MonoTime Now) const;

  /// Returns whether calls of this kind are started so much less often than all
  /// calls that the kind has to go first.
  bool isStarved(std::uint64_t Kind) const;

  /// Returns the part of all calls that was turned away lately, 0 to 1.
  double rejectedShare(MonoTime Now) const;

  std::size_t kinds() const { return this->Kinds.size(); }

private:
  /// Counts that lose weight as they age.
  struct Counts {
    double Started = 0;
    double Rejected = 0;
    MonoTime UpdatedAt;
    bool IsStarved = false;

    /// Returns the counts as they weigh later.
    Counts at(MonoTime Now, Micros HalfLife) const;
    double total() const { return this->Started + this->Rejected; }
    double startedShare() const { return this->Started / this->total(); }
  };

  void record(std::uint64_t Kind, bool Started, MonoTime Now);

  /// Of all kinds over a short and over a longer time.
  Counts Recent;
  /// As of the last change of `Recent`.
  double RejectedShare = 0;
  Counts All;
  std::map<std::uint64_t, Counts> Kinds;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_TRAFFIC_SHORTAGE_TALLY_H
