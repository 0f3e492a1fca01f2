// Position of a record in a log that may come back from an older copy of itself
// and then gives out the same offsets again.
#ifndef PERSIMMONQUAY_BASE_RECORD_POSITION_H
#define PERSIMMONQUAY_BASE_RECORD_POSITION_H

#include <compare>
#include <cstdint>

namespace persimmonquay {

/// Identifies a record by the era of the log in which it was read, which rises
/// with each copy that the log comes back from, and by its offset in that era.
///
/// Example:
///   const std::uint64_t Number = RecordPosition{Era, Offset}.number();
struct RecordPosition {
  std::uint64_t Era = 0;
  std::uint64_t Offset = 0;

  friend auto operator<=>(const RecordPosition &,
                          const RecordPosition &) = default;

  /// Returns a number that is unique and rises with the position. Never 0.
  constexpr std::uint64_t number() const {
    return (this->Era << OffsetBits) | ((this->Offset + 1) & MaxOffsetNumber);
  }

  /// Inverse of `number()`.
  static constexpr RecordPosition fromNumber(std::uint64_t Number) {
    return {Number >> OffsetBits, (Number & MaxOffsetNumber) - 1};
  }

private:
  static constexpr unsigned OffsetBits = 40;
  static constexpr std::uint64_t MaxOffsetNumber =
      (std::uint64_t{1} << OffsetBits) - 1;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_BASE_RECORD_POSITION_H
