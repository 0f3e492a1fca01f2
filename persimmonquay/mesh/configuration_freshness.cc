#include "persimmonquay/mesh/configuration_freshness.h"

namespace persimmonquay {
namespace internal {

/// Time after its start for which an inquiry covers calls: bounds the rate of
/// inquiries. Far shorter than the time within which a change must take effect.
constexpr Millis InquiryValidity{200};

/// Time without a reply after which another node is asked: several round trips
/// between data centres.
constexpr Millis InquiryRetryInterval{60};

} // namespace internal

std::optional<std::uint64_t> ConfigurationFreshness::nextInquiry(MonoTime Since,
                                                                 MonoTime Now) {
  const bool Covers = this->LastInquiry != 0 &&
                      Since < this->StartedAt + internal::InquiryValidity;
  if (!Covers) {
    this->StartedAt = Now;
    this->SentAt = Now;
    return ++this->LastInquiry;
  }
  if (this->ConfirmedAt == this->StartedAt ||
      Now - this->SentAt < internal::InquiryRetryInterval)
    return std::nullopt;
  this->SentAt = Now;
  return this->LastInquiry;
}

void ConfigurationFreshness::recordConfirmation(std::uint64_t Inquiry) {
  if (Inquiry == this->LastInquiry && Inquiry != 0)
    this->ConfirmedAt = this->StartedAt;
}

bool ConfigurationFreshness::isConfirmed(MonoTime Since) const {
  return this->ConfirmedAt &&
         Since < *this->ConfirmedAt + internal::InquiryValidity;
}

} // namespace persimmonquay
