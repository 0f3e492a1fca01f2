// The node's side towards callers: choosing an upstream, retrying, answering.
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

/// The answer to a caller and the outcome it tells.
struct EgressReply {
  Outcome Result = Outcome::NotRun;
  CallReply Reply;
};

/// Counts of calls since the start, for metrics.
struct EgressCounts {
  std::atomic<std::uint64_t> Answered = 0;
  std::atomic<std::uint64_t> NotRun = 0;
  std::atomic<std::uint64_t> Unknown = 0;
  std::atomic<std::uint64_t> Retries = 0;
  std::atomic<std::uint64_t> ToNewVersion = 0;
};

/// Serves callers' requests. Takes no lock of its own.
///
/// Thread-safe.
///
/// Example:
///   EgressReply Reply = Outer.serve(Request);
class Egress {
public:
  /// What the egress works with; all must outlive it.
  struct Parts {
    const RoutingViewHolder *Views = nullptr;
    const AddressTranslator *Book = nullptr;
    HttpPool *Pool = nullptr;
    Ingress *OwnIngress = nullptr;
    ClaimStore *Claims = nullptr;
    std::string Node;
    std::string DataCentre;
  };

  explicit Egress(Parts Needed);

  /// Routes the request, tries upstreams within its deadline and the retry
  /// budget, and returns the whole answer or a refusal that tells the outcome.
  EgressReply serve(const CallRequest &Request);

  const EgressCounts &counts() const { return this->Counts; }

private:
  /// One call on its way.
  struct Journey {
    const CallRequest *Request = nullptr;
    std::shared_ptr<const RoutingView> View;
    const ServingConfiguration::ResolvedRoute *Target = nullptr;
    MonoTime Deadline;
    std::uint64_t Fingerprint = 0;
    RetrySafety Kind = RetrySafety::NonIdempotent;
    std::vector<std::string> Tried;
    /// Set after a try at the new version failed.
    bool OldVersionOnly = false;
    /// Upstreams that died while they ran the call.
    std::uint64_t Deaths = 0;
    /// Set after a try got no answer: other kept connections may be silent too.
    bool NewConnections = false;
  };

  EgressReply serveKeyed(Journey *Call, const std::string &Key);
  EgressReply tryUpstreams(Journey *Call);
  std::shared_ptr<Endpoint> choose(Journey *Call, bool *ToNewVersion);
  IngressReply tryOnce(const Journey &Call, Endpoint *Chosen, Millis Limit);
  IngressReply forward(const Journey &Call, const Endpoint &Chosen,
                       Millis Limit);
  EgressReply refuse(Outcome Result, int Status, const std::string &Detail);

  const Parts Needed;
  RetryTokenBucket Budget;
  EgressCounts Counts;
};

/// Headers by which nodes pass a call on to each other.
inline constexpr char RouteHeader[] = "x-pq-route";
inline constexpr char ServiceHeader[] = "x-pq-service";
inline constexpr char PriorityHeader[] = "x-pq-priority";
inline constexpr char FingerprintHeader[] = "x-pq-fingerprint";
inline constexpr char DeathsHeader[] = "x-pq-deaths";
inline constexpr char CallHeader[] = "x-pq-call";
inline constexpr char LoadHeader[] = "x-pq-load";
inline constexpr char TryHeader[] = "x-pq-try";
inline constexpr char DetailHeader[] = "x-pq-detail";

/// Returns the value of TryHeader, and back. An unknown text is AnswerLost.
std::string tryEndName(AttemptResult End);
AttemptResult parseTryEnd(const std::string &Text);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_NODE_EGRESS_H
