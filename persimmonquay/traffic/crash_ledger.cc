#include "persimmonquay/traffic/crash_ledger.h"

#include "persimmonquay/base/hashing.h"
#include <algorithm>
#include <array>

namespace persimmonquay {
namespace internal {

/// Number of crashes from which on a request is rejected.
constexpr std::size_t RejectionThreshold = 2;

/// How long a request is rejected after its second crash. Two upstreams may
/// have ended under a harmless request by chance; it gets another try after
/// this time.
constexpr Millis FirstRejectionTime = std::chrono::seconds(30);

/// How long a request is rejected after the third and each further crash.
constexpr Millis RejectionTime = std::chrono::minutes(10);

/// Age from which on a record doesn't count.
constexpr Millis MaxAge = RejectionTime;

/// Bounds memory. An upstream ends under as many requests as it has slots, so
/// this covers some tens of crashes within `MaxAge`.
constexpr std::size_t MaxRecords = 256;

/// Number of requests to which one crash is attributed at most.
constexpr std::size_t MaxRequestsPerCrash = 16;

} // namespace internal

proto::CrashRecord CrashLedger::toRecord(const Key &RecordKey,
                                         const Entry &Value) {
  proto::CrashRecord Result;
  Result.set_fingerprint(RecordKey.first);
  Result.set_crash(RecordKey.second);
  Result.set_crashed_unix_ms(unixMillis(Value.CrashedAt));
  Result.set_cleared(Value.IsCleared);
  return Result;
}

CrashLedger::Suspicion
CrashLedger::suspicionOf(std::uint64_t Fingerprint) const {
  Suspicion Result;
  for (auto It = this->Entries.lower_bound({Fingerprint, 0});
       It != this->Entries.end() && It->first.first == Fingerprint; ++It) {
    if (It->second.IsCleared)
      continue;
    ++Result.Crashes;
    Result.LastCrash = std::max(Result.LastCrash, It->second.CrashedAt);
  }
  return Result;
}

CrashLedger::Records
CrashLedger::recordCrash(const std::vector<std::uint64_t> &Running,
                         std::uint64_t Crash, WallTime Now) {
  const bool HasSuspect =
      std::any_of(Running.begin(), Running.end(), [this](std::uint64_t Each) {
        return this->suspicionOf(Each).Crashes > 0;
      });
  Records Attributed;
  for (const std::uint64_t Fingerprint : Running) {
    if (HasSuspect && this->suspicionOf(Fingerprint).Crashes == 0)
      continue;
    if (Attributed.size() >= internal::MaxRequestsPerCrash)
      break;
    Attributed.push_back(toRecord({Fingerprint, Crash}, {Now, false}));
  }
  return this->merge(Attributed, Now);
}

CrashLedger::Records CrashLedger::recordAnswer(std::uint64_t Fingerprint) {
  Records Changed;
  for (auto It = this->Entries.lower_bound({Fingerprint, 0});
       It != this->Entries.end() && It->first.first == Fingerprint; ++It) {
    if (It->second.IsCleared)
      continue;
    It->second.IsCleared = true;
    Changed.push_back(toRecord(It->first, It->second));
  }
  return Changed;
}

bool CrashLedger::mergeRecord(const proto::CrashRecord &Record, WallTime Now) {
  const Key RecordKey{Record.fingerprint(), Record.crash()};
  // The sender's clock may be ahead.
  const WallTime CrashedAt =
      std::min(wallTimeFromUnixMillis(Record.crashed_unix_ms()), Now);
  if (Now - CrashedAt >= internal::MaxAge)
    return false;
  const auto Found = this->Entries.find(RecordKey);
  if (Found != this->Entries.end()) {
    const bool Changed = Record.cleared() && !Found->second.IsCleared;
    Found->second.IsCleared = Found->second.IsCleared || Record.cleared();
    return Changed;
  }
  if (this->Entries.size() >= internal::MaxRecords)
    this->evictOne();
  this->Entries[RecordKey] = {CrashedAt, Record.cleared()};
  return true;
}

void CrashLedger::evictOne() {
  const auto Rank = [this](const auto &Item) {
    const std::size_t Crashes =
        Item.second.IsCleared ? 0 : this->suspicionOf(Item.first.first).Crashes;
    return std::pair(Crashes, Item.second.CrashedAt);
  };
  const auto Least =
      std::min_element(this->Entries.begin(), this->Entries.end(),
                       [&Rank](const auto &Left, const auto &Right) {
                         return Rank(Left) < Rank(Right);
                       });
  if (Least != this->Entries.end())
    this->Entries.erase(Least);
}

void CrashLedger::expire(WallTime Now) {
  std::erase_if(this->Entries, [Now](const auto &Item) {
    return Now - Item.second.CrashedAt >= internal::MaxAge;
  });
}

CrashDecision CrashLedger::decide(std::uint64_t Fingerprint,
                                  WallTime Now) const {
  const Suspicion Suspected = this->suspicionOf(Fingerprint);
  if (Suspected.Crashes == 0)
    return {};
  if (Suspected.Crashes < internal::RejectionThreshold)
    return {CrashVerdict::RunAlone, Millis{0}};
  const Millis Duration = Suspected.Crashes == internal::RejectionThreshold
                              ? internal::FirstRejectionTime
                              : internal::RejectionTime;
  const Millis Remaining = Suspected.LastCrash + Duration - Now;
  if (Remaining <= Millis{0})
    return {CrashVerdict::RunAlone, Millis{0}};
  return {CrashVerdict::Reject, Remaining};
}

CrashLedger::Records CrashLedger::recordsOf(std::uint64_t Fingerprint) const {
  Records Result;
  for (auto It = this->Entries.lower_bound({Fingerprint, 0});
       It != this->Entries.end() && It->first.first == Fingerprint; ++It)
    Result.push_back(toRecord(It->first, It->second));
  return Result;
}

CrashLedger::Records CrashLedger::mostImportant(std::size_t MaxCount) const {
  std::vector<std::pair<std::pair<bool, WallTime>, proto::CrashRecord>> Ranked;
  for (const auto &[RecordKey, Value] : this->Entries)
    Ranked.push_back({{this->suspicionOf(RecordKey.first).Crashes >=
                           internal::RejectionThreshold,
                       Value.CrashedAt},
                      toRecord(RecordKey, Value)});
  std::sort(Ranked.begin(), Ranked.end(),
            [](const auto &Left, const auto &Right) {
              return Left.first > Right.first;
            });
  Records Result;
  for (const auto &[Rank, Record] : Ranked)
    if (Result.size() < MaxCount)
      Result.push_back(Record);
  return Result;
}

CrashLedger::Records CrashLedger::rejected(std::size_t MaxCount,
                                           WallTime Now) const {
  Records Result;
  for (const auto &[RecordKey, Value] : this->Entries)
    if (!Value.IsCleared && Result.size() < MaxCount &&
        this->decide(RecordKey.first, Now).Verdict == CrashVerdict::Reject)
      Result.push_back(toRecord(RecordKey, Value));
  return Result;
}

std::uint64_t CrashLedger::hash() const {
  std::uint64_t Result = 0;
  for (const auto &[RecordKey, Value] : this->Entries) {
    const std::array<std::uint64_t, 3> Words = {
        RecordKey.first, RecordKey.second, Value.IsCleared ? 1U : 0U};
    Result ^= hashBytes(
        {reinterpret_cast<const char *>(Words.data()), sizeof(Words)});
  }
  return Result;
}

} // namespace persimmonquay
