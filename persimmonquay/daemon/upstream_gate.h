// Hands calls to the upstream on this host: the only gate to it.
#ifndef PERSIMMONQUAY_DAEMON_UPSTREAM_GATE_H
#define PERSIMMONQUAY_DAEMON_UPSTREAM_GATE_H

#include "persimmonquay/base/line_writer.h"
#include "persimmonquay/base/time.h"
#include "persimmonquay/daemon/asio.h"
#include "persimmonquay/daemon/header_names.h"
#include "persimmonquay/daemon/upstream_connection_pool.h"
#include "persimmonquay/traffic/admission_queue.h"
#include "persimmonquay/traffic/service_time_estimate.h"
#include "proto/link.pb.h"
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace persimmonquay {

class Metrics;

/// What an ingress tells of a call that reached the upstream.
struct UpstreamCallResult {
  std::string Route;
  bool Failed = false;
  std::chrono::microseconds ProcessingTime{0};
};

/// Admits calls to the upstream beside this node, runs them over kept
/// connections, checks the answers and replies. A reply NOT_RUN is a promise:
/// the call was not handed over and never will be, or the upstream itself says
/// that it did not run it.
///
/// Lives on one thread. Every submitted call gets exactly one reply unless it
/// is cancelled.
class UpstreamGate {
public:
  using ReplyHandler = std::function<void(proto::CallReply)>;
  using ResultHandler = std::function<void(const UpstreamCallResult &)>;

  UpstreamGate(asio::io_context &Loop, HeaderNames HeaderWords,
               Tcp::endpoint UpstreamAddress, Metrics &Counters);
  UpstreamGate(const UpstreamGate &) = delete;
  UpstreamGate &operator=(const UpstreamGate &) = delete;
  ~UpstreamGate();

  // Commands.

  /// Offers a call; `Handler` may be called before this returns. Returns a
  /// ticket for `cancel()`.
  std::uint64_t submit(proto::CallRequest Request, ReplyHandler Handler);

  /// Gives a call up. A call that waits will not run. One that runs is broken
  /// off if it is idempotent, and else runs on without a reply.
  void cancel(std::uint64_t Ticket);

  /// Sets the upstream that has registered itself, or none.
  void setUpstream(std::optional<proto::UpstreamEntry> Registered);

  /// Rejects all calls from now on: the node stops.
  void stopAdmitting();

  /// Called with each result of the upstream.
  void setResultHandler(ResultHandler Handler) {
    this->Results = std::move(Handler);
  }

  // Queries.

  /// Whether a call runs at the upstream whose deadline is about `Deadline`:
  /// what the upstream calls meanwhile has that deadline too.
  bool runsUntil(MonoTime Deadline) const;

  /// Answers the question whether a call would be taken now.
  proto::CallReply checkAdmission(const proto::CallRequest &Question) const;

  proto::LoadReport load() const;
  std::size_t callsInFlight() const { return this->Calls.size(); }
  const std::optional<proto::UpstreamEntry> &upstream() const {
    return this->Upstream;
  }

private:
  struct Call;
  struct Exchange;

  std::optional<std::string> whyUnavailable(const proto::CallRequest &) const;
  ServiceTimeEstimate expectedWork(const proto::CallRequest &) const;
  QueuedCall queuedCall(std::uint64_t Ticket, const proto::CallRequest &Asked,
                        MonoTime Now) const;
  void start(std::uint64_t Ticket);
  void startWaiting();
  void reject(const RejectedCall &Rejected);
  void rejectAll(const std::vector<RejectedCall> &Rejected);
  void reply(Call &Finished, proto::CallReply Reply);
  void armExpiry();
  asio::awaitable<void> run(std::shared_ptr<Call> Running);
  bool mayResend(const Call &Broken) const;
  asio::awaitable<bool> connect(Call &Running);
  asio::awaitable<Exchange> exchange(Call &Running);
  HttpRequest upstreamRequest(const Call &Running) const;
  proto::CallReply judge(const Call &Running, Exchange Done);
  void finish(const std::shared_ptr<Call> &Ended, proto::CallReply Reply);
  void logEnd(const Call &Ended, const proto::CallReply &Reply);
  void noteWork(const Call &Ended, const proto::CallReply &Reply);

  asio::io_context &Context;
  Metrics &Counts;
  RateLimiter PlainLines;
  HeaderNames Names;
  Tcp::endpoint Address;
  std::optional<proto::UpstreamEntry> Upstream;
  bool Stopping = false;
  MonoTime UnreachableUntil;
  MonoTime ResendFrom;
  AdmissionQueue Queue{0};
  UpstreamConnectionPool Pool;
  std::map<std::uint64_t, std::shared_ptr<Call>> Calls;
  std::map<std::string, ServiceTimeEstimate> Work;
  double FailureRate = 0;
  std::uint64_t NextTicket = 1;
  asio::steady_timer ExpiryTimer;
  ResultHandler Results;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_UPSTREAM_GATE_H
