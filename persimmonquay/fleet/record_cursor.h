// Where a reader of a topic of the store goes on reading.
//
// Handles a store that comes back from an older copy of itself: its offsets go
// back and are given out again, so that a read from the next offset would skip
// records without an error.
#ifndef PERSIMMONQUAY_FLEET_RECORD_CURSOR_H
#define PERSIMMONQUAY_FLEET_RECORD_CURSOR_H

#include "persimmonquay/base/time.h"
#include <cstdint>

namespace persimmonquay {

/// Position up to which one reader has read a topic that keeps the newest
/// record of each key. Tells whether further records can be read or the newest
/// ones have to be listed first. Does no I/O and reads no clock. Not
/// thread-safe.
///
/// Example:
///   if (Cursor.mustList(monoNow()))
///     Cursor.recordList(List.Era, List.EndOffset, monoNow());
///   else if (!Cursor.recordRead(Batch.Era, Batch.EndOffset))
///     return; // The records are those of another era.
class RecordCursor {
public:
  /// Time after the first list of an era in which the authors of lost records
  /// write them again. Until then, a key may be missing because its record is
  /// lost.
  static constexpr Millis RewriteTime{30000};

  // Commands.

  /// Records a list of the newest records, which ends before `EndOffset`.
  /// `ListEra` is 0 if the store names none.
  void recordList(std::uint64_t ListEra, std::uint64_t EndOffset, MonoTime Now);

  /// Records a read from `nextOffset()` on. Returns false if its records must
  /// not be applied, since they are of another era; the newest ones have to be
  /// listed then.
  bool recordRead(std::uint64_t ReadEra, std::uint64_t EndOffset);

  /// Records that the records to read next can't be read, or aren't worth it.
  void requireList() { this->HasList = false; }

  // Queries.

  /// Returns whether the newest records have to be listed before the next read.
  /// A topic without records is listed until it has one.
  bool mustList(MonoTime Now) const;

  std::uint64_t nextOffset() const { return this->NextOffset; }
  std::uint64_t era() const { return this->Era; }

  /// Returns whether a key that is missing in a list has surely been removed,
  /// whatever record of it was known in an earlier era.
  bool isSettled(MonoTime Now) const { return Now >= this->SettledAt; }

private:
  /// Adopts the era of a response; returns whether it is another one.
  bool adoptEra(std::uint64_t ResponseEra);

  std::uint64_t Era = 0;
  std::uint64_t NextOffset = 0;
  bool HasList = false;
  /// When the first list of the era counts as complete.
  MonoTime SettledAt = MonoTime::max();
  /// Whether a list has been made since then.
  bool HasSettledList = false;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_FLEET_RECORD_CURSOR_H
