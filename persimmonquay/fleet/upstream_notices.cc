#include "persimmonquay/fleet/upstream_notices.h"

#include "persimmonquay/base/hashing.h"
#include <algorithm>

namespace persimmonquay {
namespace internal {

/// Bounds memory. Only few upstreams are limited or leave at the same time.
constexpr std::size_t MaxNotices = 1024;

/// Time after which a notice is out of date unless it is repeated.
constexpr Millis MaxNoticeAge = std::chrono::minutes(10);

} // namespace internal

std::uint64_t incarnationId(const proto::UpstreamEntry &Upstream) {
  return hashBytes(Upstream.instance(), Upstream.started_unix_ms());
}

UpstreamNotices::Notice &UpstreamNotices::noticeOf(std::uint64_t Incarnation) {
  if (this->Notices.size() >= internal::MaxNotices &&
      !this->Notices.contains(Incarnation))
    this->Notices.erase(
        std::min_element(this->Notices.begin(), this->Notices.end(),
                         [](const auto &Left, const auto &Right) {
                           return Left.second.HeardAt < Right.second.HeardAt;
                         }));
  return this->Notices[Incarnation];
}

const UpstreamNotices::Notice *UpstreamNotices::find(std::uint64_t Incarnation,
                                                     MonoTime Now) const {
  const auto Found = this->Notices.find(Incarnation);
  return Found == this->Notices.end() ||
                 Now - Found->second.HeardAt > internal::MaxNoticeAge
             ? nullptr
             : &Found->second;
}

void UpstreamNotices::recordLimit(std::uint64_t Incarnation,
                                  double CallsPerSecond, MonoTime Now) {
  if (CallsPerSecond <= 0 && !this->Notices.contains(Incarnation))
    return;
  Notice &Known = this->noticeOf(Incarnation);
  Known.Limit = CallsPerSecond;
  Known.HeardAt = Now;
  if (CallsPerSecond <= 0 && !Known.IsLeaving)
    this->Notices.erase(Incarnation);
}

void UpstreamNotices::recordLeaving(std::uint64_t Incarnation, MonoTime Now) {
  Notice &Known = this->noticeOf(Incarnation);
  Known.IsLeaving = true;
  Known.HeardAt = Now;
}

double UpstreamNotices::limit(std::uint64_t Incarnation, MonoTime Now) const {
  const Notice *Known = this->find(Incarnation, Now);
  return Known == nullptr ? 0 : Known->Limit;
}

bool UpstreamNotices::isLeaving(std::uint64_t Incarnation, MonoTime Now) const {
  const Notice *Known = this->find(Incarnation, Now);
  return Known != nullptr && Known->IsLeaving;
}

} // namespace persimmonquay
