#include "persimmonquay/node/routing_view.h"

#include "persimmonquay/config/config_store.h"
#include "persimmonquay/peer/cluster.h"
#include <absl/strings/numbers.h>
#include <utility>
#include <vector>

namespace persimmonquay {
namespace internal {

MoveProgress progressOf(const proto::Move &Move,
                        const std::vector<proto::Fact> &Facts) {
  MoveProgress Progress;
  Progress.StepEnteredAt = wallTimeFromUnixMillis(Move.start_unix_ms());
  for (const proto::Fact &Fact : Facts) {
    if (Fact.key() != Move.name())
      continue;
    if (Fact.kind() == proto::MOVE_TAKEN_BACK)
      Progress.RolledBack = true;
    if (Fact.kind() == proto::MOVE_RETREAT)
      Progress.RetreatUntil =
          wallTimeFromUnixMillis(static_cast<std::int64_t>(Fact.level()));
    std::int64_t EnteredUnixMs = 0;
    if (Fact.kind() == proto::MOVE_STEP &&
        absl::SimpleAtoi(Fact.detail(), &EnteredUnixMs)) {
      Progress.Step = Fact.level();
      Progress.StepEnteredAt = wallTimeFromUnixMillis(EnteredUnixMs);
    }
  }
  return Progress;
}

} // namespace internal

const MoveView *RoutingView::findMove(const std::string &Service) const {
  const auto It = this->MovesByService.find(Service);
  return It == this->MovesByService.end() ? nullptr : &It->second;
}

RoutingViewHolder::RoutingViewHolder(const ConfigStore *Store)
    : Store(Store),
      View(std::make_unique<const std::shared_ptr<const RoutingView>>(
          std::make_shared<const RoutingView>())) {}

void RoutingViewHolder::rebuild(const Cluster &PeerCluster, Change Cause) {
  std::lock_guard<std::mutex> Lock(this->RebuildMutex);
  auto NewView = std::make_shared<RoutingView>();
  NewView->Config = this->Store->serving();
  NewView->Endpoints = this->current()->Endpoints;
  if (Cause == Change::Members || NewView->Endpoints == nullptr)
    NewView->Endpoints =
        EndpointTable::build(PeerCluster.members(), NewView->Endpoints.get());
  const std::vector<proto::Fact> Facts = PeerCluster.facts();
  if (NewView->Config != nullptr)
    for (const auto &Move : NewView->Config->moves())
      NewView->MovesByService.emplace(
          Move->service(), MoveView{Move, MovePolicy::Builder(*Move).build(),
                                    internal::progressOf(*Move, Facts)});
  this->View.replace(std::make_unique<const std::shared_ptr<const RoutingView>>(
      std::move(NewView)));
}

std::shared_ptr<const RoutingView> RoutingViewHolder::current() const {
  return this->View.read([](const std::shared_ptr<const RoutingView> &Current) {
    return Current;
  });
}

} // namespace persimmonquay
