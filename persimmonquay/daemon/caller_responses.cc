#include "persimmonquay/daemon/caller_responses.h"

#include "persimmonquay/base/http_status.h"
#include "persimmonquay/base/logging.h"
#include "persimmonquay/daemon/route_target.h"
#include "persimmonquay/daemon/routed_call.h"
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <utility>

namespace persimmonquay {
namespace internal {

/// Retry-After is the time until capacity is expected, multiplied by a
/// random factor in this range, so that rejected callers do not all retry at
/// the same time.
constexpr double MinRetryAfterFactor = 0.75;
constexpr double MaxRetryAfterFactor = 1.75;

/// Retry-After is at most the caller's remaining time divided by this;
/// callers ignore values beyond a third of it.
constexpr int MaxRetryAfterDivisor = 3;

/// Maximum rate of log lines per second about successful requests; lines about
/// other requests are not limited.
constexpr double SuccessLogLinesPerSecond = 4;

} // namespace internal

CallerResponses::CallerResponses(HeaderNames ResponseHeaders,
                                 std::uint64_t Seed)
    : Headers(std::move(ResponseHeaders)), Random(Seed),
      SuccessLogLimit(internal::SuccessLogLinesPerSecond,
                      internal::SuccessLogLinesPerSecond),
      QuotaLogLimit(internal::SuccessLogLinesPerSecond,
                    internal::SuccessLogLinesPerSecond) {}

HttpResponse
CallerResponses::upstreamResponse(const proto::CallReply &Reply) const {
  HttpResponse Result;
  Result.result(Reply.status());
  for (const proto::HeaderField &Field : Reply.headers())
    Result.insert(Field.name(), Field.value());
  Result.body() = Reply.body();
  return Result;
}

void CallerResponses::logAnswered(const RoutedCall &Call,
                                  const proto::CallReply &Reply,
                                  const RouteTarget &Target) {
  const MonoTime Now = monoNow();
  if (Call.Arrivals < 2 && Now < Call.Objective &&
      !this->SuccessLogLimit.allow(Now))
    return;
  logLine(LogLevel::Info, "call answered",
          {{"request", Call.RequestId},
           {"route", Call.Route->name()},
           {"service", Call.Service},
           {"member", Target.Entry.node()},
           {"instance", Target.Entry.upstream().instance()},
           {"status", std::to_string(Reply.status())},
           {"arrivals", std::to_string(Call.Arrivals)},
           {"busy_nodes", std::to_string(Call.Placement.busyCount())},
           {"requests_ahead", std::to_string(Call.Request->RequestsAhead)},
           {"late", Now < Call.Objective ? "no" : "yes"},
           {"taken_ms", std::to_string(std::chrono::duration_cast<Millis>(
                                           Now - Call.Request->Arrival)
                                           .count())}});
}

HttpResponse CallerResponses::failureResponse(RoutedCall &Call) {
  if (Call.UpstreamFailure && impliesNotRun(Call.UpstreamFailure->status())) {
    HttpResponse Result = this->errorResponse(
        Call, StatusBadGateway,
        absl::StrCat("the upstream ran the call and failed with status ",
                     Call.UpstreamFailure->status()),
        {});
    Call.End = RequestOutcome::UpstreamFailed;
    return Result;
  }
  if (Call.UpstreamFailure) {
    Call.End = RequestOutcome::UpstreamFailed;
    logLine(LogLevel::Info, "upstream's failure passed on",
            {{"request", Call.RequestId},
             {"route", Call.Route->name()},
             {"service", Call.Service},
             {"status", std::to_string(Call.UpstreamFailure->status())},
             {"arrivals", std::to_string(Call.Arrivals)}});
    return this->upstreamResponse(*Call.UpstreamFailure);
  }
  if (!Call.MayHaveRun) {
    const Millis RetryAfter =
        Call.RetryAfter > Millis{0} ? Call.RetryAfter : DefaultRetryAfter;
    return this->errorResponse(Call, StatusUnavailable,
                               Call.LastReason.empty()
                                   ? "no upstream can be reached"
                                   : Call.LastReason,
                               RetryAfter);
  }
  if (monoNow() >= Call.Deadline)
    return this->errorResponse(Call, StatusGatewayTimeout,
                               "no answer within the deadline", {});
  return this->errorResponse(Call, StatusBadGateway, Call.LastReason, {});
}

HttpResponse CallerResponses::errorResponse(RoutedCall &Call, unsigned Status,
                                            const std::string &Reason,
                                            Millis RetryAfter) {
  const bool IsBeyondQuota = Status == StatusTooManyRequests;
  Call.End = Status == StatusUnavailable      ? RequestOutcome::Rejected
             : IsBeyondQuota                  ? RequestOutcome::Rejected
             : Status == StatusBadGateway     ? RequestOutcome::Unknown
             : Status == StatusGatewayTimeout ? RequestOutcome::TimedOut
             : Status == 404                  ? RequestOutcome::NoRoute
             : Status == StatusUnauthorized   ? RequestOutcome::Unauthorized
                                              : RequestOutcome::Malformed;
  HttpResponse Result;
  Result.result(Status);
  Result.set(http::field::content_type, "text/plain");
  if (!Call.RequestId.empty())
    Result.set(this->Headers.RequestId, Call.RequestId);
  if (Status == StatusUnauthorized)
    Result.set(http::field::www_authenticate, "Bearer");
  if (Status == StatusUnavailable || IsBeyondQuota) {
    // Within a quota there is surely no room any earlier.
    const double MinFactor = IsBeyondQuota ? 1 : internal::MinRetryAfterFactor;
    const double Factor =
        MinFactor +
        (internal::MaxRetryAfterFactor - MinFactor) *
            std::uniform_real_distribution<double>(0, 1)(this->Random);
    double Seconds = std::chrono::duration<double>(RetryAfter).count() * Factor;
    if (Call.CallerTimeout > Millis{0})
      Seconds = std::min(
          Seconds, std::chrono::duration<double>(Call.CallerTimeout).count() /
                       internal::MaxRetryAfterDivisor);
    Result.set(http::field::retry_after, absl::StrFormat("%.3f", Seconds));
  }
  Result.body() = Reason;
  if (!Call.Request->CallerDisconnected &&
      (!IsBeyondQuota || this->QuotaLogLimit.allow(monoNow())))
    logLine(LogLevel::Info, "call not answered by an upstream",
            {{"request", Call.RequestId},
             {"route", Call.Route == nullptr ? "" : Call.Route->name()},
             {"service", Call.Service},
             {"status", std::to_string(Status)},
             {"reason", Reason},
             {"arrivals", std::to_string(Call.Arrivals)},
             {"retry_after", std::string(Result[http::field::retry_after])}});
  return Result;
}

} // namespace persimmonquay
