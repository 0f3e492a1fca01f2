// Probing of the members of one data centre, after the SWIM protocol (Das,
// Gupta and Motivala, 2002): direct probe, indirect probes, suspicion.
#ifndef PERSIMMONQUAY_MEMBERSHIP_FAILURE_DETECTOR_H
#define PERSIMMONQUAY_MEMBERSHIP_FAILURE_DETECTOR_H

#include "persimmonquay/base/time.h"
#include "proto/peer.pb.h"
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace persimmonquay {

class MemberTable;

/// Sends a ping to `Node`.
struct SendPing {
  std::string Node;
  std::uint64_t Sequence;
};

/// Asks `Helper` to probe `Target`.
struct SendPingRequest {
  std::string Helper;
  std::string Target;
  std::uint64_t Sequence;
};

/// The state of `Node` changed in the table and is to be spread.
struct BroadcastState {
  std::string Node;
};

using DetectorAction = std::variant<SendPing, SendPingRequest, BroadcastState>;

/// Decides whom to probe and when a member is suspect or dead. One member is
/// probed in every interval, in a random order that visits each member once a
/// round. The detector itself sends nothing.
///
/// Not thread-safe; time and randomness are passed in.
///
/// Example:
///   auto Detector = FailureDetector::Builder()
///                       .probeInterval(Millis(1000)).build();
///   for (const DetectorAction &Action : Detector.tick(Now, Random, &Table))
///     perform(Action);
class FailureDetector {
public:
  class Builder {
  public:
    Builder &probeInterval(Millis Value);
    /// Time from suspicion to death, during which a member may refute.
    Builder &suspicionTimeout(Millis Value);
    /// Members asked to probe a silent one.
    Builder &indirectProbes(std::size_t Value);
    FailureDetector build() const;

  private:
    Millis ProbeInterval{1000};
    Millis SuspicionTimeout{3000};
    std::size_t IndirectProbes = 3;
  };

  // Commands.

  /// Advances to `Now`. Marks silent members in `Table` and returns what is to
  /// be sent and spread.
  std::vector<DetectorAction> tick(MonoTime Now, std::mt19937_64 &Random,
                                   MemberTable *Table);

  /// Takes note of an acknowledgement.
  void onAck(std::uint64_t Sequence);

private:
  FailureDetector(Millis ProbeInterval, Millis SuspicionTimeout,
                  std::size_t IndirectProbes);

  struct Probe {
    std::string Node;
    std::uint64_t Sequence;
    MonoTime StartedAt;
    bool Indirect = false;
    bool Acked = false;
  };

  void finishProbe(MonoTime Now, MemberTable *Table,
                   std::vector<DetectorAction> *Actions);
  void startIndirect(std::mt19937_64 &Random, const MemberTable &Table,
                     std::vector<DetectorAction> *Actions);
  void startProbe(MonoTime Now, std::mt19937_64 &Random,
                  const MemberTable &Table,
                  std::vector<DetectorAction> *Actions);
  void expireSuspects(MonoTime Now, MemberTable *Table,
                      std::vector<DetectorAction> *Actions);
  std::string nextTarget(std::mt19937_64 &Random, const MemberTable &Table);

  Millis ProbeInterval;
  Millis SuspicionTimeout;
  std::size_t IndirectProbes;
  std::uint64_t NextSequence = 1;
  std::optional<Probe> Current;
  std::vector<std::string> Round;
  std::map<std::string, MonoTime> SuspectSince;
  MonoTime LastTick{};
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_MEMBERSHIP_FAILURE_DETECTOR_H
