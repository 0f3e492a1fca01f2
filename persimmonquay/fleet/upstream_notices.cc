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

UpstreamNotices::Notice &
UpstreamNotices::noticeOf(const proto::UpstreamEntry &Upstream) {
  const std::uint64_t Id = incarnationId(Upstream);
  if (this->Notices.size() >= internal::MaxNotices &&
      !this->Notices.contains(Id))
    this->Notices.erase(
        std::min_element(this->Notices.begin(), this->Notices.end(),
                         [](const auto &Left, const auto &Right) {
                           return Left.second.HeardAt < Right.second.HeardAt;
                         }));
  return this->Notices[Id];
}

void UpstreamNotices::recordLimit(const proto::UpstreamEntry &Upstream,
                                  double CallsPerSecond, MonoTime Now) {
  if (CallsPerSecond <= 0) {
    this->Notices.erase(incarnationId(Upstream));
    return;
  }
  Notice &Known = this->noticeOf(Upstream);
  Known.Limit = CallsPerSecond;
  Known.HeardAt = Now;
}

double UpstreamNotices::limit(const proto::UpstreamEntry &Upstream,
                              MonoTime Now) const {
  const auto Found = this->Notices.find(incarnationId(Upstream));
  if (Found == this->Notices.end() ||
      Now - Found->second.HeardAt > internal::MaxNoticeAge)
    return 0;
  return Found->second.Limit;
}

} // namespace persimmonquay
