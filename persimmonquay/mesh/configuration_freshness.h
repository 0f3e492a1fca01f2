// Tells until when this node's configuration is known to have been the newest.
//
// Load pattern handled: many callers present keys that this node's
// configuration doesn't hold, withdrawn ones as well as some that a newer
// configuration may hold. The refusal of a key is final, so it needs the word
// of a node that follows the operator's records. All callers share one inquiry,
// which is repeated to another node if there is no reply, and a confirmation is
// valid for a short time.
#ifndef PERSIMMONQUAY_MESH_CONFIGURATION_FRESHNESS_H
#define PERSIMMONQUAY_MESH_CONFIGURATION_FRESHNESS_H

#include "persimmonquay/base/time.h"
#include <cstdint>
#include <optional>

namespace persimmonquay {

/// The last inquiry for a newer configuration and its confirmation. Does no I/O
/// and reads no clock. Not thread-safe.
///
/// Example:
///   if (!Freshness.isConfirmed(Arrival))
///     if (const auto Inquiry = Freshness.nextInquiry(Arrival, Now))
///       ask(nextNode(), *Inquiry);
class ConfigurationFreshness {
public:
  // Commands.

  /// Returns the number of the inquiry that is to be sent to one more node now,
  /// and records it as sent. Returns nothing while a reply that covers `Since`
  /// is expected or known.
  std::optional<std::uint64_t> nextInquiry(MonoTime Since, MonoTime Now);

  /// Records that a node has confirmed the configuration in reply to an
  /// inquiry. Replies to earlier inquiries are ignored.
  void recordConfirmation(std::uint64_t Inquiry);

  // Queries.

  /// Returns whether a confirmation covers a call that arrived at `Since`.
  bool isConfirmed(MonoTime Since) const;

private:
  /// 0 before the first inquiry.
  std::uint64_t LastInquiry = 0;
  MonoTime StartedAt;
  MonoTime SentAt;
  /// Start of the inquiry that was confirmed last.
  std::optional<MonoTime> ConfirmedAt;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_MESH_CONFIGURATION_FRESHNESS_H
