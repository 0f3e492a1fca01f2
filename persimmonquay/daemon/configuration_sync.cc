#include "persimmonquay/daemon/configuration_sync.h"

#include "persimmonquay/base/logging.h"
#include "persimmonquay/daemon/peer_link.h"
#include "persimmonquay/mesh/configuration_delta.h"
#include "persimmonquay/mesh/route_table.h"
#include <random>
#include <utility>

namespace persimmonquay {
namespace internal {

/// Number of configurations that a node which serves its peers keeps to compute
/// deltas: enough for two seconds of changes in quick succession.
constexpr std::size_t HistoryLength = 10;

/// Interval at which a node that lacks a newer configuration checks whether a
/// request is due. Short compared with the time after which a request is
/// repeated.
constexpr Millis RequestCheckInterval{100};

/// Time after which a node that knows of a newer configuration, but can't get
/// it from other nodes, reads the store itself.
constexpr Millis StaleAfter{1200};

std::uint64_t randomSeed() {
  std::random_device Device;
  return std::uint64_t{Device()} << 32U | Device();
}

} // namespace internal

ConfigurationSync::ConfigurationSync(asio::io_context &IoContext,
                                     Callbacks NodeCallbacks)
    : Callback(std::move(NodeCallbacks)), KeyHashSeed(internal::randomSeed()),
      RequestTimer(IoContext) {}

std::uint64_t ConfigurationSync::version() const {
  return this->Current ? this->Current->version() : 0;
}

void ConfigurationSync::apply(proto::MeshConfiguration Next) {
  if (this->Current && this->version() >= Next.version())
    return;
  this->Current =
      std::make_shared<const RouteTable>(std::move(Next), this->KeyHashSeed);
  this->History.push_back(this->Current);
  const std::size_t MaxHistory =
      this->ServesPeers ? internal::HistoryLength : 1;
  while (this->History.size() > MaxHistory)
    this->History.pop_front();
  this->Deltas.clear();
  const bool FetchedRemotely = std::exchange(this->RequestedRemotely, false);
  setLoggedConfigVersion(this->version());
  logLine(LogLevel::Info, "configuration applied",
          {{"version", std::to_string(this->version())}});
  this->Callback.OnApplied(this->Current, FetchedRemotely);
  this->requestNewer();
}

void ConfigurationSync::handleFrame(proto::LinkFrame Frame) {
  if (Frame.has_configuration()) {
    this->apply(std::move(*Frame.mutable_configuration()));
    return;
  }
  if (!this->Current)
    return;
  absl::StatusOr<proto::MeshConfiguration> Next =
      applyDelta(this->Current->configuration(), Frame.delta());
  if (Next.ok())
    this->apply(*std::move(Next));
  else
    // A newer configuration was applied in the meantime; the next request names
    // its version.
    logLine(LogLevel::Debug, "delta not applied",
            {{"reason", std::string(Next.status().message())}});
}

std::optional<proto::LinkFrame>
ConfigurationSync::updateSince(std::uint64_t PeerVersion) {
  if (!this->Current || this->version() <= PeerVersion)
    return std::nullopt;
  const auto Cached = this->Deltas.find(PeerVersion);
  if (Cached != this->Deltas.end())
    return Cached->second;
  proto::LinkFrame Frame;
  for (const std::shared_ptr<const RouteTable> &Base : this->History)
    if (Base->version() == PeerVersion)
      *Frame.mutable_delta() =
          makeDelta(Base->configuration(), this->Current->configuration());
  if (!Frame.has_delta())
    *Frame.mutable_configuration() = this->Current->configuration();
  else
    this->Deltas[PeerVersion] = Frame;
  return Frame;
}

void ConfigurationSync::handlePeerVersion(const std::string &Node, bool IsLocal,
                                          std::uint64_t Version) {
  if (this->Stopped || Version <= this->version())
    return;
  this->Sources.recordVersion(Node, IsLocal, Version, monoNow());
  this->requestNewer();
}

void ConfigurationSync::requestNewer() {
  const auto Request = this->Sources.nextRequest(
      this->version(), monoNow(), [this](const std::string &Node) {
        const std::shared_ptr<PeerLink> Link = this->Callback.FindLink(Node);
        return Link && Link->isUp();
      });
  if (Request) {
    this->RequestedRemotely |= !Request->IsLocal;
    this->Callback.FindLink(Request->Node)
        ->requestConfiguration(this->version());
  }
  if (!this->Sources.behindSince() || this->Stopped)
    return;
  this->RequestTimer.expires_after(internal::RequestCheckInterval);
  this->RequestTimer.async_wait([this](const ErrorCode &Error) {
    if (!Error)
      this->requestNewer();
  });
}

void ConfigurationSync::stop() {
  this->Stopped = true;
  this->RequestTimer.cancel();
}

bool ConfigurationSync::isStale() const {
  const std::optional<MonoTime> Since = this->Sources.behindSince();
  return Since && monoNow() - *Since >= internal::StaleAfter;
}

} // namespace persimmonquay
