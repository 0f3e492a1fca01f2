#include "persimmonquay/daemon/configuration_sync.h"

#include "persimmonquay/base/logging.h"
#include "persimmonquay/daemon/peer_link.h"
#include "persimmonquay/mesh/configuration_delta.h"
#include "persimmonquay/mesh/route_table.h"
#include <utility>

namespace persimmonquay {
namespace internal {

/// Configurations that a node which serves others keeps to tell what has
/// changed since: two seconds of changes in quick succession.
constexpr std::size_t KeptConfigurations = 10;

/// Interval of looks at what is still missing; short beside the time after
/// which a question is repeated.
constexpr Millis MissingCheckInterval{100};

/// Time after which a node that hears of a newer configuration and can't get it
/// from others turns to the store itself.
constexpr Millis StaleAfter{1200};

} // namespace internal

ConfigurationSync::ConfigurationSync(asio::io_context &Loop, Events Handlers)
    : On(std::move(Handlers)), AskTimer(Loop) {}

std::uint64_t ConfigurationSync::version() const {
  return this->Current ? this->Current->version() : 0;
}

void ConfigurationSync::apply(proto::MeshConfiguration Next) {
  if (this->Current && this->version() >= Next.version())
    return;
  this->Current = std::make_shared<const RouteTable>(std::move(Next));
  this->History.push_back(this->Current);
  const std::size_t Kept =
      this->ServesOthers ? internal::KeptConfigurations : 1;
  while (this->History.size() > Kept)
    this->History.pop_front();
  this->Deltas.clear();
  const bool Fetched = std::exchange(this->AskedFar, false);
  setLoggedConfigVersion(this->version());
  logLine(LogLevel::Info, "configuration applied",
          {{"version", std::to_string(this->version())}});
  this->On.OnApplied(this->Current, Fetched);
  this->askNext();
}

void ConfigurationSync::take(proto::LinkFrame Frame) {
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
    // A newer one has come meanwhile; the next question names it.
    logLine(LogLevel::Debug, "delta not applied",
            {{"reason", std::string(Next.status().message())}});
}

std::optional<proto::LinkFrame> ConfigurationSync::since(std::uint64_t Have) {
  if (!this->Current || this->version() <= Have)
    return std::nullopt;
  const auto Known = this->Deltas.find(Have);
  if (Known != this->Deltas.end())
    return Known->second;
  proto::LinkFrame Frame;
  for (const std::shared_ptr<const RouteTable> &Base : this->History)
    if (Base->version() == Have)
      *Frame.mutable_delta() =
          makeDelta(Base->configuration(), this->Current->configuration());
  if (!Frame.has_delta())
    *Frame.mutable_configuration() = this->Current->configuration();
  else
    this->Deltas[Have] = Frame;
  return Frame;
}

void ConfigurationSync::told(const std::string &Node, bool IsNear,
                             std::uint64_t Version) {
  if (this->Stopped || Version <= this->version())
    return;
  this->Sources.recordVersion(Node, IsNear, Version, monoNow());
  this->askNext();
}

void ConfigurationSync::askNext() {
  const auto Question = this->Sources.nextRequest(
      this->version(), monoNow(), [this](const std::string &Node) {
        const std::shared_ptr<PeerLink> Link = this->On.LinkTo(Node);
        return Link && Link->isUp();
      });
  if (Question) {
    this->AskedFar |= !Question->IsLocal;
    this->On.LinkTo(Question->Node)->requestConfiguration(this->version());
  }
  if (!this->Sources.behindSince() || this->Stopped)
    return;
  this->AskTimer.expires_after(internal::MissingCheckInterval);
  this->AskTimer.async_wait([this](const ErrorCode &Error) {
    if (!Error)
      this->askNext();
  });
}

void ConfigurationSync::stop() {
  this->Stopped = true;
  this->AskTimer.cancel();
}

bool ConfigurationSync::isStale() const {
  const std::optional<MonoTime> Since = this->Sources.behindSince();
  return Since && monoNow() - *Since >= internal::StaleAfter;
}

} // namespace persimmonquay
