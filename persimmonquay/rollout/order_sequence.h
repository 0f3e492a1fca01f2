// Which of the rollout orders that were read from a log are the same order.
//
// Handles orders that are written or read more than once: by an operator who
// got no confirmation, and after the log has come back from an older copy,
// which still has some orders and gives their offsets to others.
#ifndef PERSIMMONQUAY_ROLLOUT_ORDER_SEQUENCE_H
#define PERSIMMONQUAY_ROLLOUT_ORDER_SEQUENCE_H

#include <cstdint>
#include <map>
#include <string>

namespace persimmonquay {

/// Number of no order.
inline constexpr std::uint64_t SupersededOrder = 0;

/// Returns, for each order of one service, the number of the order that it
/// repeats, or its own. `TargetVersions` holds the target version of each order
/// by the number of its record; see `RecordPosition`. A pure function, so that
/// nodes which know the same orders agree.
///
/// - An order for the same version as the one before repeats that order, also
/// if
///   it has ended.
/// - A record with the same offset and target as one of an earlier era is that
///   record, which the copy still had.
/// - A record that the copy still had, but nobody has read before, gets
///   `SupersededOrder` once a newer order that was lost has been written again.
std::map<std::uint64_t, std::uint64_t>
originalOrders(const std::map<std::uint64_t, std::string> &TargetVersions);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_ROLLOUT_ORDER_SEQUENCE_H
