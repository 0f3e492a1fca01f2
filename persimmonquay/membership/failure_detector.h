// Failure detection among the members of one data centre with the SWIM protocol
// (Das, Gupta and Motivala, 2002): direct probes, indirect probes, suspicion.
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

/// Action: send a ping to `Node`.
struct SendPing {
  std::string Node;
  std::uint64_t Sequence;
};

/// Action: ask `Helper` to probe `Target`.
struct SendPingRequest {
  std::string Helper;
  std::string Target;
  std::uint64_t Sequence;
};

/// Action: broadcast the state of `Node`, which changed in the table.
struct BroadcastState {
  std::string Node;
};

using DetectorAction = std::variant<SendPing, SendPingRequest, BroadcastState>;

/// Decides which member to probe and when a member is suspect or dead. Probes
/// one member per interval, in a random order that visits each member once per
/// round. Sends nothing itself: the caller performs the returned actions.
///
/// Does no I/O and reads no clock. Not thread-safe.
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
    Builder &probeInterval(Millis Interval);
    /// Time after which a suspect is declared dead unless it refutes the
    /// suspicion.
    Builder &suspicionTimeout(Millis Timeout);
    /// Number of members that are asked to probe an unresponsive one.
    Builder &indirectProbes(std::size_t Count);
    FailureDetector build() const;

  private:
    Millis ProbeInterval{1000};
    Millis SuspicionTimeout{3000};
    std::size_t IndirectProbes = 3;
  };

  // Commands.

  /// Advances to `Now`. Marks unresponsive members as suspect or dead in
  /// `Table` and returns the actions to perform.
  std::vector<DetectorAction> tick(MonoTime Now, std::mt19937_64 &Random,
                                   MemberTable *Table);

  /// Records an acknowledgement, direct or through a helper.
  void onAck(std::uint64_t Sequence);

private:
  FailureDetector(Millis ProbeInterval, Millis SuspicionTimeout,
                  std::size_t IndirectProbes);

  struct Probe {
    std::string Node;
    std::uint64_t Sequence;
    MonoTime StartedAt;
    bool SentIndirect = false;
    bool Acked = false;
  };

  void finishProbe(MonoTime Now, MemberTable *Table,
                   std::vector<DetectorAction> *Actions);
  void startIndirectProbes(std::mt19937_64 &Random, const MemberTable &Table,
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
  std::optional<Probe> CurrentProbe;
  /// Members that are not yet probed in this round.
  std::vector<std::string> RoundTargets;
  std::map<std::string, MonoTime> SuspectedSince;
  MonoTime LastTick{};
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_MEMBERSHIP_FAILURE_DETECTOR_H
