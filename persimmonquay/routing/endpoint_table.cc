#include "persimmonquay/routing/endpoint_table.h"

#include "persimmonquay/base/hashing.h"
#include <algorithm>
#include <set>

namespace persimmonquay {
namespace internal {

constexpr std::uint32_t FailuresBeforeAvoiding = 2;
constexpr Millis FirstAvoidance{500};
constexpr std::uint32_t MaxDoublings = 5;

/// Smallest part of its share that an upstream in its cold start gets.
constexpr double ColdStartFloor = 0.1;

using List = EndpointTable::List;

bool isAvoided(const Endpoint &Candidate, WallTime Now) {
  return Candidate.EjectedUntilUnixMs.load(std::memory_order_relaxed) >
         unixMillis(Now);
}

bool wasTried(const Endpoint &Candidate, const EndpointCriteria &Wish) {
  return std::find(Wish.TriedNodes.begin(), Wish.TriedNodes.end(),
                   Candidate.Node) != Wish.TriedNodes.end();
}

/// Leaves out what was tried, and what is avoided unless nothing else is left.
List usable(const List &Candidates, const EndpointCriteria &Wish) {
  List Untried;
  List Preferred;
  for (const auto &Candidate : Candidates) {
    if (wasTried(*Candidate, Wish))
      continue;
    Untried.push_back(Candidate);
    if (!isAvoided(*Candidate, Wish.Now))
      Preferred.push_back(Candidate);
  }
  return Preferred.empty() ? Untried : Preferred;
}

/// Keeps only the endpoints of the version that take part at this share.
List participants(const List &Version, const EndpointCriteria &Wish) {
  if (Wish.SubsetPermille >= 1000)
    return Version;
  std::map<std::string, List> ByDataCentre;
  for (const auto &Candidate : Version)
    ByDataCentre[Candidate->DataCentre].push_back(Candidate);
  List Result;
  for (auto &[DataCentre, Members] : ByDataCentre) {
    std::sort(Members.begin(), Members.end(),
              [&](const auto &Left, const auto &Right) {
                return rendezvousWeight(Wish.SubsetKey, Left->Node) >
                       rendezvousWeight(Wish.SubsetKey, Right->Node);
              });
    const std::size_t Count =
        (Members.size() * Wish.SubsetPermille + 999) / 1000;
    Members.resize(std::clamp<std::size_t>(Count, 1, Members.size()));
    Result.insert(Result.end(), Members.begin(), Members.end());
  }
  return Result;
}

/// Returns the load relative to the slots; a cold upstream looks fuller.
double relativeLoad(const Endpoint &Candidate, const EndpointCriteria &Wish) {
  const std::uint32_t Load =
      std::max(Candidate.InFlight.load(std::memory_order_relaxed),
               Candidate.ReportedLoad.load(std::memory_order_relaxed));
  double Warmth = 1.0;
  const Millis Age = Wish.Now - Candidate.AnnouncedAt;
  if (Age < Wish.ColdStartDuration && Wish.ColdStartDuration > Millis(0))
    Warmth = std::max(ColdStartFloor,
                      static_cast<double>(Age.count()) /
                          static_cast<double>(Wish.ColdStartDuration.count()));
  return (Load + 1.0) / (Warmth * std::max(1U, Candidate.Slots));
}

std::shared_ptr<Endpoint> lessLoadedOfTwo(const List &Candidates,
                                          const EndpointCriteria &Wish,
                                          std::mt19937_64 &Random) {
  if (Candidates.empty())
    return nullptr;
  std::uniform_int_distribution<std::size_t> Any(0, Candidates.size() - 1);
  const auto &First = Candidates[Any(Random)];
  const auto &Second = Candidates[Any(Random)];
  return relativeLoad(*First, Wish) <= relativeLoad(*Second, Wish) ? First
                                                                   : Second;
}

} // namespace internal

void Endpoint::recordFailure(WallTime Now) {
  const std::uint32_t Failures =
      this->ConsecutiveFailures.fetch_add(1, std::memory_order_relaxed) + 1;
  if (Failures < internal::FailuresBeforeAvoiding)
    return;
  const std::uint32_t Doublings = std::min(
      Failures - internal::FailuresBeforeAvoiding, internal::MaxDoublings);
  const Millis Avoidance = internal::FirstAvoidance * (1U << Doublings);
  this->EjectedUntilUnixMs.store(unixMillis(Now + Avoidance),
                                 std::memory_order_relaxed);
}

void Endpoint::recordAnswer(std::uint32_t Load) {
  this->ReportedLoad.store(Load, std::memory_order_relaxed);
  this->ConsecutiveFailures.store(0, std::memory_order_relaxed);
  this->EjectedUntilUnixMs.store(0, std::memory_order_relaxed);
}

std::shared_ptr<const EndpointTable>
EndpointTable::build(const std::vector<proto::Member> &Members,
                     const EndpointTable *Previous) {
  auto Result = std::make_shared<EndpointTable>();
  for (const proto::Member &Member : Members) {
    const bool Live =
        Member.state() == proto::ALIVE || Member.state() == proto::SUSPECT;
    if (!Live || Member.draining() || Member.service().empty())
      continue;
    std::shared_ptr<Endpoint> Added;
    if (Previous != nullptr) {
      const auto Known = Previous->ByNode.find(Member.node());
      if (Known != Previous->ByNode.end() &&
          Known->second->Version == Member.version() &&
          Known->second->Address == Member.address() &&
          Known->second->IngressPort == Member.ingress_port() &&
          Known->second->Slots == Member.slots() &&
          unixMillis(Known->second->AnnouncedAt) == Member.announced_unix_ms())
        Added = Known->second;
    }
    if (Added == nullptr) {
      Added = std::make_shared<Endpoint>();
      Added->Node = Member.node();
      Added->DataCentre = Member.data_centre();
      Added->Address = Member.address();
      Added->IngressPort = static_cast<std::uint16_t>(Member.ingress_port());
      Added->Version = Member.version();
      Added->Slots = Member.slots();
      Added->AnnouncedAt = wallTimeFromUnixMillis(Member.announced_unix_ms());
    }
    Result->ByService[Member.service()].push_back(Added);
    Result->ByNode[Member.node()] = std::move(Added);
  }
  return Result;
}

const EndpointTable::List &
EndpointTable::endpointsOf(const std::string &Service) const {
  static const List Empty;
  const auto Found = this->ByService.find(Service);
  return Found == this->ByService.end() ? Empty : Found->second;
}

std::shared_ptr<Endpoint> chooseEndpoint(const EndpointTable::List &Endpoints,
                                         const EndpointCriteria &Wish,
                                         std::mt19937_64 &Random) {
  EndpointTable::List Version;
  for (const auto &Candidate : Endpoints)
    if (Candidate->Version == Wish.Version)
      Version.push_back(Candidate);
  EndpointTable::List Near;
  EndpointTable::List Far;
  for (const auto &Candidate :
       internal::usable(internal::participants(Version, Wish), Wish)) {
    const bool IsNear = Candidate->DataCentre == Wish.DataCentre;
    (IsNear ? Near : Far).push_back(Candidate);
  }
  auto Local = internal::lessLoadedOfTwo(Near, Wish, Random);
  if (Local != nullptr && internal::relativeLoad(*Local, Wish) <= 1.0)
    return Local;
  auto Remote = internal::lessLoadedOfTwo(Far, Wish, Random);
  if (Local == nullptr)
    return Remote;
  const bool RemoteHasRoom =
      Remote != nullptr && internal::relativeLoad(*Remote, Wish) <= 1.0;
  return RemoteHasRoom ? Remote : Local;
}

} // namespace persimmonquay
