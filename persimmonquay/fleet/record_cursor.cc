#include "persimmonquay/fleet/record_cursor.h"

namespace persimmonquay {
namespace internal {

/// Era of a store that has never come back from a copy.
constexpr std::uint64_t FirstEra = 1;

} // namespace internal

bool RecordCursor::adoptEra(std::uint64_t ResponseEra) {
  if (ResponseEra == 0 || ResponseEra == this->Era)
    return false;
  this->Era = ResponseEra;
  this->SettledAt = MonoTime::max();
  this->HasSettledList = false;
  return true;
}

void RecordCursor::recordList(std::uint64_t ListEra, std::uint64_t EndOffset,
                              MonoTime Now) {
  this->adoptEra(ListEra);
  if (this->SettledAt == MonoTime::max())
    this->SettledAt = this->Era <= internal::FirstEra
                          ? MonoTime::min()
                          : Now + RecordCursor::RewriteTime;
  this->HasSettledList = this->isSettled(Now);
  this->NextOffset = EndOffset;
  this->HasList = EndOffset > 0;
}

bool RecordCursor::recordRead(std::uint64_t ReadEra, std::uint64_t EndOffset) {
  if (this->adoptEra(ReadEra)) {
    this->HasList = false;
    return false;
  }
  this->NextOffset = EndOffset;
  return true;
}

bool RecordCursor::mustList(MonoTime Now) const {
  return !this->HasList || (this->isSettled(Now) && !this->HasSettledList);
}

} // namespace persimmonquay
