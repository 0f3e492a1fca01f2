#include "persimmonquay/routing/endpoint_table.h"

#include "persimmonquay/base/hashing.h"
#include <algorithm>
#include <set>

namespace persimmonquay {
namespace internal {

/// Consecutive failures at which an endpoint is ejected.
constexpr std::uint32_t FailuresToEject = 2;
/// Duration of the first ejection; each further failure doubles it, at most
/// MaxEjectionDoublings times.
constexpr Millis BaseEjectionTime{500};
constexpr std::uint32_t MaxEjectionDoublings = 5;

/// Fraction of its full share that an upstream gets at the beginning of its
/// cold start.
constexpr double MinColdStartWeight = 0.1;

using List = EndpointTable::List;

bool isEjected(const Endpoint &Candidate, WallTime Now) {
  return Candidate.EjectedUntilUnixMs.load(std::memory_order_relaxed) >
         unixMillis(Now);
}

bool wasTried(const Endpoint &Candidate, const EndpointCriteria &Criteria) {
  return std::find(Criteria.TriedNodes.begin(), Criteria.TriedNodes.end(),
                   Candidate.Node) != Criteria.TriedNodes.end();
}

/// Returns the candidates that were not tried, without the ejected ones unless
/// only those are left.
List usableEndpoints(const List &Candidates, const EndpointCriteria &Criteria) {
  List Untried;
  List Preferred;
  for (const auto &Candidate : Candidates) {
    if (wasTried(*Candidate, Criteria))
      continue;
    Untried.push_back(Candidate);
    if (!isEjected(*Candidate, Criteria.Now))
      Preferred.push_back(Candidate);
  }
  return Preferred.empty() ? Untried : Preferred;
}

/// Returns the endpoints in the subset of `Criteria`, at least one in each data
/// centre. By rendezvous hashing, all nodes choose the same subset, and a
/// larger subset contains each smaller one.
List subsetOf(const List &Endpoints, const EndpointCriteria &Criteria) {
  if (Criteria.SubsetPermille >= 1000)
    return Endpoints;
  std::map<std::string, List> ByDataCentre;
  for (const auto &Candidate : Endpoints)
    ByDataCentre[Candidate->DataCentre].push_back(Candidate);
  List Result;
  for (auto &[DataCentre, Group] : ByDataCentre) {
    std::sort(Group.begin(), Group.end(),
              [&](const auto &Left, const auto &Right) {
                return rendezvousWeight(Criteria.SubsetKey, Left->Node) >
                       rendezvousWeight(Criteria.SubsetKey, Right->Node);
              });
    const std::size_t Count =
        (Group.size() * Criteria.SubsetPermille + 999) / 1000;
    Group.resize(std::clamp<std::size_t>(Count, 1, Group.size()));
    Result.insert(Result.end(), Group.begin(), Group.end());
  }
  return Result;
}

/// Returns the load relative to the number of slots, after one more call. The
/// slots of an upstream in its cold start count only in part.
double relativeLoad(const Endpoint &Candidate,
                    const EndpointCriteria &Criteria) {
  const std::uint32_t Load =
      std::max(Candidate.InFlight.load(std::memory_order_relaxed),
               Candidate.ReportedLoad.load(std::memory_order_relaxed));
  double ColdStartWeight = 1.0;
  const Millis Age = Criteria.Now - Candidate.AnnouncedAt;
  if (Age < Criteria.ColdStartDuration &&
      Criteria.ColdStartDuration > Millis(0))
    ColdStartWeight =
        std::max(MinColdStartWeight,
                 static_cast<double>(Age.count()) /
                     static_cast<double>(Criteria.ColdStartDuration.count()));
  return (Load + 1.0) / (ColdStartWeight * std::max(1U, Candidate.Slots));
}

std::shared_ptr<Endpoint> lessLoadedOfTwo(const List &Candidates,
                                          const EndpointCriteria &Criteria,
                                          std::mt19937_64 &Random) {
  if (Candidates.empty())
    return nullptr;
  std::uniform_int_distribution<std::size_t> RandomIndex(0,
                                                         Candidates.size() - 1);
  const auto &First = Candidates[RandomIndex(Random)];
  const auto &Second = Candidates[RandomIndex(Random)];
  return relativeLoad(*First, Criteria) <= relativeLoad(*Second, Criteria)
             ? First
             : Second;
}

} // namespace internal

void Endpoint::recordFailure(WallTime Now) {
  const std::uint32_t FailureCount =
      this->ConsecutiveFailures.fetch_add(1, std::memory_order_relaxed) + 1;
  if (FailureCount < internal::FailuresToEject)
    return;
  const std::uint32_t Doublings = std::min(
      FailureCount - internal::FailuresToEject, internal::MaxEjectionDoublings);
  const Millis EjectionTime = internal::BaseEjectionTime * (1U << Doublings);
  this->EjectedUntilUnixMs.store(unixMillis(Now + EjectionTime),
                                 std::memory_order_relaxed);
}

void Endpoint::recordResponse(std::uint32_t Load) {
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
    std::shared_ptr<Endpoint> Entry;
    if (Previous != nullptr) {
      const auto Existing = Previous->ByNode.find(Member.node());
      if (Existing != Previous->ByNode.end() &&
          Existing->second->Version == Member.version() &&
          Existing->second->Address == Member.address() &&
          Existing->second->IngressPort == Member.ingress_port() &&
          Existing->second->Slots == Member.slots() &&
          unixMillis(Existing->second->AnnouncedAt) ==
              Member.announced_unix_ms())
        Entry = Existing->second;
    }
    if (Entry == nullptr) {
      Entry = std::make_shared<Endpoint>();
      Entry->Node = Member.node();
      Entry->DataCentre = Member.data_centre();
      Entry->Address = Member.address();
      Entry->IngressPort = static_cast<std::uint16_t>(Member.ingress_port());
      Entry->Version = Member.version();
      Entry->Slots = Member.slots();
      Entry->AnnouncedAt = wallTimeFromUnixMillis(Member.announced_unix_ms());
    }
    Result->ByService[Member.service()].push_back(Entry);
    Result->ByNode[Member.node()] = std::move(Entry);
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
                                         const EndpointCriteria &Criteria,
                                         std::mt19937_64 &Random) {
  EndpointTable::List VersionEndpoints;
  for (const auto &Candidate : Endpoints)
    if (Candidate->Version == Criteria.Version)
      VersionEndpoints.push_back(Candidate);
  EndpointTable::List LocalCandidates;
  EndpointTable::List RemoteCandidates;
  for (const auto &Candidate : internal::usableEndpoints(
           internal::subsetOf(VersionEndpoints, Criteria), Criteria)) {
    const bool IsLocal = Candidate->DataCentre == Criteria.LocalDataCentre;
    (IsLocal ? LocalCandidates : RemoteCandidates).push_back(Candidate);
  }
  auto Local = internal::lessLoadedOfTwo(LocalCandidates, Criteria, Random);
  if (Local != nullptr && internal::relativeLoad(*Local, Criteria) <= 1.0)
    return Local;
  auto Remote = internal::lessLoadedOfTwo(RemoteCandidates, Criteria, Random);
  if (Local == nullptr)
    return Remote;
  const bool RemoteHasRoom =
      Remote != nullptr && internal::relativeLoad(*Remote, Criteria) <= 1.0;
  return RemoteHasRoom ? Remote : Local;
}

} // namespace persimmonquay
