// Routes callers' requests to upstreams, with retries.
#ifndef PERSIMMONQUAY_NODE_EGRESS_H
#define PERSIMMONQUAY_NODE_EGRESS_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/config/serving_configuration.h"
#include "persimmonquay/node/call.h"
#include "persimmonquay/node/ingress.h"
#include "persimmonquay/routing/outcome.h"
#include "persimmonquay/routing/retry_token_bucket.h"
#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace persimmonquay {

class AddressTranslator;
class ClaimStore;
class HttpPool;
class RoutingViewHolder;
struct Endpoint;
struct RoutingView;

/// The response to a caller and the outcome that is reported with it.
struct EgressResult {
  Outcome FinalOutcome = Outcome::NotRun;
  CallResponse Response;
};

/// Counters of calls since the node started, for metrics.
struct EgressCounts {
  std::atomic<std::uint64_t> Answered = 0;
  std::atomic<std::uint64_t> NotRun = 0;
  std::atomic<std::uint64_t> Unknown = 0;
  std::atomic<std::uint64_t> Retries = 0;
  std::atomic<std::uint64_t> NewVersionAttempts = 0;
};

/// Serves callers' requests. Uses no locks of its own.
///
/// Thread-safe.
///
/// Example:
///   EgressResult Result = CallerEgress.serve(Request);
class Egress {
public:
  /// Every object pointed to must outlive the Egress.
  struct Dependencies {
    const RoutingViewHolder *Views = nullptr;
    const AddressTranslator *Addresses = nullptr;
    HttpPool *Pool = nullptr;
    Ingress *LocalIngress = nullptr;
    ClaimStore *Claims = nullptr;
    std::string Node;
    std::string LocalDataCentre;
  };

  explicit Egress(Dependencies Deps);

  /// Routes the request and attempts it at upstreams until its deadline, within
  /// the retry budget. Returns the upstream's complete response, or an error
  /// response that states the outcome.
  EgressResult serve(const CallRequest &Request);

  const EgressCounts &counts() const { return this->Counts; }

private:
  /// State of one call across its attempts.
  struct CallContext {
    const CallRequest *Request = nullptr;
    std::shared_ptr<const RoutingView> View;
    const ServingConfiguration::ResolvedRoute *MatchedRoute = nullptr;
    MonoTime Deadline;
    std::uint64_t Fingerprint = 0;
    RetrySafety Safety = RetrySafety::NonIdempotent;
    std::vector<std::string> TriedNodes;
    /// Set after an attempt at the new version, so that retries use the old
    /// one.
    bool OldVersionOnly = false;
    /// Number of upstreams that crashed while they ran the call.
    std::uint64_t CrashCount = 0;
    /// Set after an attempt got no response, since the same fault may affect
    /// idle connections.
    bool UseNewConnection = false;
  };

  EgressResult serveKeyed(CallContext *Call, const std::string &Key);
  EgressResult callWithRetries(CallContext *Call);
  std::shared_ptr<Endpoint> selectEndpoint(CallContext *Call,
                                           bool *UsesNewVersion);
  IngressReply runAttempt(const CallContext &Call, Endpoint *Destination,
                          Millis Timeout);
  IngressReply forwardToNode(const CallContext &Call,
                             const Endpoint &Destination, Millis Timeout);
  EgressResult refuse(Outcome FinalOutcome, int Status,
                      const std::string &Detail);

  const Dependencies Deps;
  RetryTokenBucket Budget;
  EgressCounts Counts;
};

/// Headers that nodes add when they forward a call to each other.
inline constexpr char RouteHeader[] = "x-pq-route";
inline constexpr char ServiceHeader[] = "x-pq-service";
inline constexpr char PriorityHeader[] = "x-pq-priority";
inline constexpr char FingerprintHeader[] = "x-pq-fingerprint";
/// In a request, how many upstreams crashed while they ran the call. In a
/// response, 1 if the upstream crashed during this attempt, else 0.
inline constexpr char CrashCountHeader[] = "x-pq-deaths";
inline constexpr char CallIdHeader[] = "x-pq-call";
inline constexpr char LoadHeader[] = "x-pq-load";
inline constexpr char AttemptResultHeader[] = "x-pq-try";
inline constexpr char DetailHeader[] = "x-pq-detail";

/// Converts to and from the value of AttemptResultHeader. Unknown text is
/// parsed as ResponseLost.
std::string attemptResultName(AttemptResult Result);
AttemptResult parseAttemptResult(const std::string &Text);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_NODE_EGRESS_H
