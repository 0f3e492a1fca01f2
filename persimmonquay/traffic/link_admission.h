// Admission control for the network link of a host: rejects calls whose answers
// the link can't carry in time.
//
// Handles these load patterns:
//  - More downloads than the link carries. Those beyond it are rejected before
//    they run; each one that is started can be delivered in time, and what
//    waits for the link stays short.
//  - Important calls among them: answers of lower priority, which are sent
//    later, are no reason to reject them, and small answers hardly wait.
//  - Callers that retry after a rejection: a call that is already late only
//    uses the link while no on-time call needs it.
#ifndef PERSIMMONQUAY_TRAFFIC_LINK_ADMISSION_H
#define PERSIMMONQUAY_TRAFFIC_LINK_ADMISSION_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/traffic/processing_time_estimate.h"
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace persimmonquay {

class LinkSchedule;

/// Answers up to this size are sent as a whole and before larger ones.
inline constexpr std::size_t MaxSmallAnswerBytes = 8192;

/// A call whose answer will leave over the link.
struct LinkCall {
  std::string Route;
  /// Lower values are more important.
  std::uint32_t Priority = 0;
  /// Latency objective; a response after this time is late and worth less.
  MonoTime Objective;
  /// A response after this time is worth nothing.
  MonoTime Deadline;
};

/// Why a call can't be admitted.
struct LinkRejection {
  std::string_view Reason;
  /// Estimated time until a call like this one can be admitted.
  Micros RetryAfter{0};
};

/// Knows how large the answers of each route are and which calls are about to
/// answer, and predicts with the schedule of the link when another answer would
/// have left. Does no I/O and reads no clock. Not thread-safe.
class LinkAdmission {
public:
  /// `LinkTransfers` must outlive this object. At most `MemoryBytes` of answers
  /// may wait.
  LinkAdmission(const LinkSchedule &LinkTransfers, std::size_t MemoryBytes)
      : Schedule(LinkTransfers), MaxBytes(MemoryBytes) {}

  // Commands.

  /// Records the size of an answer and how long its call ran.
  void recordAnswer(const std::string &Route, std::size_t Bytes,
                    Micros ProcessingTime);

  /// Counts a call that has been admitted, until `remove()`: its answer has
  /// been passed to the schedule, or there will be none.
  void add(std::uint64_t Id, const LinkCall &Call);
  void remove(std::uint64_t Id) { this->Expected.erase(Id); }

  // Queries.

  /// Returns why the call should not be admitted, or none if the link can carry
  /// its answer in time and it waits for the link for `MaxWait` at most.
  std::optional<LinkRejection> whyRejected(const LinkCall &Call, Micros MaxWait,
                                           MonoTime Now) const;

  /// Returns when the link will have sent all that waits or is expected.
  Micros backlog(MonoTime Now) const;

private:
  struct AnswerEstimate {
    /// Moving averages of the size and of its deviation.
    double MeanBytes = 0;
    double Deviation = 0;
    std::int64_t Count = 0;
    ProcessingTimeEstimate ProcessingTime{Micros{0}};

    std::size_t upperBytes() const {
      return static_cast<std::size_t>(this->MeanBytes + this->Deviation);
    }
  };
  struct ExpectedAnswer {
    std::size_t Bytes = 0;
    std::uint32_t Priority = 0;
    MonoTime Deadline;
  };

  const LinkSchedule &Schedule;
  std::size_t MaxBytes;
  std::map<std::string, AnswerEstimate> Estimates;
  std::map<std::uint64_t, ExpectedAnswer> Expected;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_TRAFFIC_LINK_ADMISSION_H
