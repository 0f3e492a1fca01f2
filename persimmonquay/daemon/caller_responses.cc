#include "persimmonquay/daemon/caller_responses.h"

#include "persimmonquay/base/logging.h"
#include "persimmonquay/daemon/route_target.h"
#include "persimmonquay/daemon/routed_call.h"
#include <absl/strings/str_format.h>
#include <algorithm>
#include <utility>

namespace persimmonquay {
namespace internal {

/// Range of Retry-After around the time at which there will be room, so that
/// rejected callers don't return together.
constexpr double RetrySpreadLow = 0.75;
constexpr double RetrySpreadHigh = 1.75;

/// Longest Retry-After, as part of the time that the caller has left; callers
/// ignore what is beyond a third.
constexpr int RetryPartOfPatience = 3;

/// Lines a second about requests that went well; those about others are not
/// limited.
constexpr double PlainLinesPerSecond = 4;

} // namespace internal

CallerResponses::CallerResponses(HeaderNames Words, std::uint64_t Seed)
    : Names(std::move(Words)), Random(Seed),
      PlainLines(internal::PlainLinesPerSecond, internal::PlainLinesPerSecond) {
}

HttpResponse
CallerResponses::upstreamResponse(const proto::CallReply &Reply) const {
  HttpResponse Result;
  Result.result(Reply.status());
  for (const proto::HeaderField &Field : Reply.headers())
    Result.insert(Field.name(), Field.value());
  Result.body() = Reply.body();
  return Result;
}

void CallerResponses::logAnswered(const RoutedCall &Asked,
                                  const proto::CallReply &Reply,
                                  const RouteTarget &From) {
  const MonoTime Now = monoNow();
  if (Asked.Arrived < 2 && Now < Asked.Objective &&
      !this->PlainLines.allow(Now))
    return;
  logLine(LogLevel::Info, "call answered",
          {{"request", Asked.RequestId},
           {"route", Asked.Route->name()},
           {"service", Asked.Service},
           {"member", From.Entry.node()},
           {"instance", From.Entry.upstream().instance()},
           {"status", std::to_string(Reply.status())},
           {"arrivals", std::to_string(Asked.Arrived)},
           {"busy_nodes", std::to_string(Asked.Busy.size())},
           {"late", Now < Asked.Objective ? "no" : "yes"},
           {"taken_ms", std::to_string(std::chrono::duration_cast<Millis>(
                                           Now - Asked.Request->Arrival)
                                           .count())}});
}

HttpResponse CallerResponses::failureResponse(RoutedCall &Asked) {
  if (Asked.Failure) {
    Asked.End = RequestOutcome::UpstreamFailed;
    logLine(LogLevel::Info, "upstream's failure passed on",
            {{"request", Asked.RequestId},
             {"route", Asked.Route->name()},
             {"service", Asked.Service},
             {"status", std::to_string(Asked.Failure->status())},
             {"arrivals", std::to_string(Asked.Arrived)}});
    return this->upstreamResponse(*Asked.Failure);
  }
  if (!Asked.MayHaveRun) {
    const Millis After =
        Asked.RetryAfter > Millis{0} ? Asked.RetryAfter : DefaultRetryAfter;
    return this->errorResponse(Asked, StatusUnavailable,
                               Asked.LastReason.empty()
                                   ? "no upstream can be reached"
                                   : Asked.LastReason,
                               After);
  }
  if (monoNow() >= Asked.Deadline)
    return this->errorResponse(Asked, StatusGatewayTimeout,
                               "no answer within the deadline", {});
  return this->errorResponse(Asked, StatusBadGateway, Asked.LastReason, {});
}

HttpResponse CallerResponses::errorResponse(RoutedCall &Asked, unsigned Status,
                                            const std::string &Reason,
                                            Millis RetryAfter) {
  Asked.End = Status == StatusUnavailable      ? RequestOutcome::Rejected
              : Status == StatusBadGateway     ? RequestOutcome::Unknown
              : Status == StatusGatewayTimeout ? RequestOutcome::TimedOut
              : Status == 404                  ? RequestOutcome::NoRoute
                                               : RequestOutcome::Malformed;
  HttpResponse Result;
  Result.result(Status);
  Result.set(http::field::content_type, "text/plain");
  if (!Asked.RequestId.empty())
    Result.set(this->Names.RequestId, Asked.RequestId);
  if (Status == StatusUnavailable) {
    const double Spread =
        internal::RetrySpreadLow +
        (internal::RetrySpreadHigh - internal::RetrySpreadLow) *
            std::uniform_real_distribution<double>(0, 1)(this->Random);
    double Seconds = std::chrono::duration<double>(RetryAfter).count() * Spread;
    if (Asked.Patience > Millis{0})
      Seconds = std::min(Seconds,
                         std::chrono::duration<double>(Asked.Patience).count() /
                             internal::RetryPartOfPatience);
    Result.set(http::field::retry_after, absl::StrFormat("%.3f", Seconds));
  }
  Result.body() = Reason;
  if (!Asked.Request->CallerLeft)
    logLine(LogLevel::Info, "call not answered by an upstream",
            {{"request", Asked.RequestId},
             {"route", Asked.Route == nullptr ? "" : Asked.Route->name()},
             {"service", Asked.Service},
             {"status", std::to_string(Status)},
             {"reason", Reason},
             {"arrivals", std::to_string(Asked.Arrived)},
             {"retry_after", std::string(Result[http::field::retry_after])}});
  return Result;
}

} // namespace persimmonquay
