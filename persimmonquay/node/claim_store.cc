#include "persimmonquay/node/claim_store.h"

#include "persimmonquay/base/hashing.h"
#include <absl/strings/str_cat.h>
#include <random>
#include <utility>

namespace persimmonquay {
namespace internal {

constexpr Millis FlushTimeout{1000};
constexpr Millis DropInterval = std::chrono::minutes(1);

} // namespace internal

ClaimStore::ClaimStore(HttpLogClient *Log, std::string Node, Millis KeyLifetime)
    : Node(std::move(Node)), KeyLifetime(KeyLifetime),
      Boot(std::random_device{}() * std::uint64_t{0x100000000} +
           std::random_device{}()) {
  for (std::size_t I = 0; I < ClaimStreamCount; ++I)
    this->Streams.push_back(std::make_unique<ClaimStream<HttpLogClient>>(
        Log, absl::StrCat("claims-", I)));
}

ClaimStream<HttpLogClient> &ClaimStore::streamOf(const std::string &Key) {
  return *this->Streams[hashBytes(Key) % ClaimStreamCount];
}

absl::StatusOr<ClaimResult> ClaimStore::claim(const std::string &Key,
                                              std::uint64_t Fingerprint,
                                              MonoTime Deadline,
                                              std::string *Attempt) {
  WallTime CreatedAt;
  absl::Status KeyStatus = parseKeyCreationTime(Key, &CreatedAt);
  if (KeyStatus.ok())
    KeyStatus = checkKeyAge(CreatedAt, this->KeyLifetime, wallNow());
  if (!KeyStatus.ok())
    return KeyStatus;
  *Attempt = absl::StrCat(this->Node, "-", hashToHex(this->Boot), "-",
                          this->NextAttempt++);
  return this->streamOf(Key).claim(Key, *Attempt, Fingerprint, Deadline);
}

void ClaimStore::enqueue(const proto::ClaimEvent &Event) {
  this->streamOf(Event.key()).enqueue(Event);
}

void ClaimStore::flush(WallTime Now) {
  for (const auto &Stream : this->Streams)
    Stream->flush(internal::FlushTimeout);
  if (Now - this->LastDropAt < internal::DropInterval)
    return;
  this->LastDropAt = Now;
  // Keeps keys for twice their lifetime, so that clock skew between nodes never
  // drops a key that is still in use.
  for (const auto &Stream : this->Streams)
    Stream->dropCreatedBefore(Now - 2 * this->KeyLifetime);
}

} // namespace persimmonquay
