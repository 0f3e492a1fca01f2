#include "persimmonquay/routing/claim_ledger.h"

#include <absl/strings/str_cat.h>
#include <charconv>

namespace persimmonquay {
namespace internal {

constexpr std::size_t MaxKeyBytes = 128;
/// Tolerated difference between the clock that dated the key and the local one.
constexpr Millis MaxClockSkew = std::chrono::minutes(1);

} // namespace internal

void ClaimLedger::apply(const proto::ClaimEvent &Event) {
  ClaimState &Claim = this->Claims[Event.key()];
  const bool IsHolder = Claim.Holder == Event.attempt();
  switch (Event.kind()) {
  case proto::ClaimEvent::CLAIM:
    if (!Claim.Holder.empty())
      return;
    Claim.Holder = Event.attempt();
    Claim.Fingerprint = Event.fingerprint();
    return;
  case proto::ClaimEvent::RELEASE:
    if (IsHolder && !Claim.Result)
      Claim.Holder.clear();
    return;
  case proto::ClaimEvent::RESULT:
    if (IsHolder && !Claim.Result)
      Claim.Result = Event;
    return;
  default:
    return;
  }
}

void ClaimLedger::dropCreatedBefore(WallTime Oldest) {
  for (auto It = this->Claims.begin(); It != this->Claims.end();) {
    WallTime CreatedAt;
    const bool Valid = parseKeyCreationTime(It->first, &CreatedAt).ok();
    It = !Valid || CreatedAt < Oldest ? this->Claims.erase(It) : std::next(It);
  }
}

const ClaimState *ClaimLedger::find(const std::string &Key) const {
  const auto Found = this->Claims.find(Key);
  return Found == this->Claims.end() ? nullptr : &Found->second;
}

absl::Status parseKeyCreationTime(std::string_view Key, WallTime *CreatedAt) {
  std::int64_t UnixMs = 0;
  const char *End = Key.data() + Key.size();
  const auto [Rest, Error] = std::from_chars(Key.data(), End, UnixMs);
  const bool Valid = Error == std::errc() && UnixMs > 0 && Rest + 1 < End &&
                     *Rest == '-' && Key.size() <= internal::MaxKeyBytes;
  if (!Valid)
    return absl::InvalidArgumentError(absl::StrCat(
        "idempotency key \"", std::string(Key.substr(0, internal::MaxKeyBytes)),
        "\" is not of the form <Unix milliseconds>-<unique text>, at most ",
        internal::MaxKeyBytes, " characters"));
  *CreatedAt = wallTimeFromUnixMillis(UnixMs);
  return absl::OkStatus();
}

absl::Status checkKeyAge(WallTime CreatedAt, Millis Lifetime, WallTime Now) {
  if (CreatedAt < Now - Lifetime)
    return absl::FailedPreconditionError(absl::StrCat(
        "the idempotency key is older than ",
        Lifetime / std::chrono::seconds(1), " s, for which claims are kept"));
  if (CreatedAt > Now + internal::MaxClockSkew)
    return absl::FailedPreconditionError(
        "the idempotency key was created in the future");
  return absl::OkStatus();
}

} // namespace persimmonquay
