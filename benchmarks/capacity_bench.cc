// Measures how the resource usage of a node grows with the numbers of members,
// services, evidence cells, nodes and data centres. docs/CAPACITY.md uses the
// results. Prints one JSON line per data point.
//
// Usage: capacity_bench
#include "benchmarks/measuring.h"
#include "persimmonquay/config/config_store.h"
#include "persimmonquay/config/state_machine.h"
#include "persimmonquay/membership/fact_table.h"
#include "persimmonquay/membership/member_table.h"
#include "persimmonquay/move/evidence_table.h"
#include "persimmonquay/move/move_policy.h"
#include "persimmonquay/routing/endpoint_table.h"
#include <absl/strings/str_cat.h>
#include <iostream>
#include <malloc.h>
#include <random>
#include <thread>

namespace persimmonquay::testing {
namespace {

constexpr WallTime MoveStartTime{Millis(1'700'000'000'000)};

/// Returns the mean duration of `Operation` in microseconds over several runs.
template <typename F> double meanMicros(int RunCount, F &&Operation) {
  const MonoTime StartTime = monoNow();
  for (int I = 0; I < RunCount; ++I)
    Operation();
  return std::chrono::duration<double, std::micro>(monoNow() - StartTime)
             .count() /
         RunCount;
}

/// Returns the bytes that are allocated on the heap.
double heapBytes() { return static_cast<double>(mallinfo2().uordblks); }

proto::Member makeMember(int Index) {
  proto::Member Member;
  Member.set_node(absl::StrCat("host-", Index, "-of-many"));
  Member.set_data_centre(absl::StrCat("data-centre-", Index % 19));
  Member.set_address(
      absl::StrCat("10.", Index % 19, ".", Index / 250, ".", Index % 250));
  Member.set_peer_port(7004);
  Member.set_ingress_port(7002);
  Member.set_incarnation(1'700'000'000'000 + Index);
  Member.set_service(absl::StrCat("service-", Index % 1800));
  Member.set_version("v1");
  Member.set_slots(9);
  Member.set_announced_unix_ms(1'700'000'000'000);
  return Member;
}

void measureMembers(int MemberCount) {
  const double BytesBefore = heapBytes();
  MemberTable Table(makeMember(0));
  for (int I = 1; I < MemberCount; ++I)
    Table.merge(makeMember(I), MonoTime());
  JsonLine Line;
  Line["slope"] = "members";
  Line["members"] = MemberCount;
  Line["table_bytes"] = heapBytes() - BytesBefore;
  const double BytesBeforeEndpoints = heapBytes();
  auto Endpoints = EndpointTable::build(Table.all(), nullptr);
  Line["endpoint_table_bytes"] = heapBytes() - BytesBeforeEndpoints;
  Line["rebuild_us"] = meanMicros(20, [&] {
    Endpoints = EndpointTable::build(Table.all(), Endpoints.get());
  });
  Line["merge_us"] = meanMicros(2000, [&, NextIndex = 0]() mutable {
    proto::Member UpdatedMember =
        makeMember(1 + NextIndex++ % (MemberCount - 1));
    UpdatedMember.set_incarnation(UpdatedMember.incarnation() + 100000 +
                                  static_cast<std::uint64_t>(NextIndex));
    Table.merge(UpdatedMember, MonoTime());
  });
  Line["duty_us"] = meanMicros(
      200, [&] { Table.hasRole("log-reader", 2, Table.self().node()); });
  Line["hash_us"] = meanMicros(200, [&] { Table.hash(); });
  Line["update_bytes"] = makeMember(1).ByteSizeLong();
  std::cout << Line.dump() << std::endl;
}

proto::Change makeChange(int Index) {
  proto::Change Change;
  Change.set_id(absl::StrCat("change-", Index));
  Change.set_author("operator");
  proto::Service *Service =
      Change.add_writes()->mutable_resource()->mutable_service();
  Service->set_name(absl::StrCat("service-", Index));
  Service->set_active_version("v1");
  proto::Route *Route =
      Change.add_writes()->mutable_resource()->mutable_route();
  Route->set_name(absl::StrCat("route-", Index));
  Route->set_path_prefix(absl::StrCat("/service-", Index));
  Route->set_service(Service->name());
  Route->set_priority(proto::NORMAL);
  Route->set_deadline_ms(1000);
  return Change;
}

void measureServices(int ServiceCount) {
  proto::ConfigurationState State;
  const double BytesBefore = heapBytes();
  for (int I = 0; I < ServiceCount; ++I) {
    proto::LogRecord Record;
    *Record.mutable_change() = makeChange(I);
    applyRecord(State.next_offset(), Record, &State);
  }
  JsonLine Line;
  Line["slope"] = "services";
  Line["services"] = ServiceCount;
  Line["state_bytes"] = heapBytes() - BytesBefore;
  Line["snapshot_bytes"] = encodeState(State).size();
  Line["record_bytes"] = makeChange(1).ByteSizeLong();
  Line["fold_us"] = meanMicros(20, [&, NextIndex = ServiceCount]() mutable {
    proto::LogRecord Record;
    *Record.mutable_change() = makeChange(NextIndex++);
    applyRecord(State.next_offset(), Record, &State);
  });
  Line["compile_us"] =
      meanMicros(20, [&] { ServingConfiguration::compile(State); });
  Line["encode_us"] = meanMicros(20, [&] { encodeState(State); });
  const auto Configuration = ServingConfiguration::compile(State);
  Line["lookup_us"] = meanMicros(100000, [&] {
    Configuration->findRoute("/service-17/some/longer/path");
  });
  std::cout << Line.dump() << std::endl;
}

void measureMove(int SpanCount, int RouteCount) {
  proto::Move Move;
  Move.set_name("m");
  Move.set_start_unix_ms(unixMillis(MoveStartTime));
  Move.set_due_unix_ms(
      unixMillis(MoveStartTime + SpanCount * EvidenceSpanLength));
  const MovePolicy Policy = MovePolicy::Builder(Move).build();
  const double BytesBefore = heapBytes();
  EvidenceTable Evidence("m", "a", 1);
  for (int Node = 0; Node < 6; ++Node) {
    EvidenceTable PeerEvidence("m", absl::StrCat("node-", Node), 1);
    for (int Span = 0; Span < SpanCount; ++Span)
      for (int Route = 0; Route < RouteCount; ++Route)
        for (int Call = 0; Call < 40; ++Call) {
          CallResult Result;
          Result.Route = absl::StrCat("route-", Route);
          Result.ToNewVersion = Call % 4 == 0;
          Result.Latency = std::chrono::milliseconds(5 + Call);
          PeerEvidence.count(Result, MoveStartTime + Span * EvidenceSpanLength);
        }
    for (const proto::EvidenceCell &Cell : PeerEvidence.ownCells(
             MoveStartTime + SpanCount * EvidenceSpanLength, SpanCount + 1))
      Evidence.merge(Cell, MoveStartTime + SpanCount * EvidenceSpanLength / 2);
  }
  MoveProgress Progress;
  Progress.StepEnteredAt = MoveStartTime;
  JsonLine Line;
  Line["slope"] = "move";
  Line["spans"] = SpanCount;
  Line["routes"] = RouteCount;
  Line["evidence_bytes"] = heapBytes() - BytesBefore;
  Line["decide_us"] = meanMicros(20, [&] {
    Policy.decide(Evidence, Progress, {36, 36},
                  MoveStartTime + SpanCount * EvidenceSpanLength);
  });
  std::cout << Line.dump() << std::endl;
}

/// Measures idle nodes in one or more data centres.
void measureFleet(std::size_t DataCentreCount, std::size_t NodeCount) {
  TestFleet Fleet(DataCentreCount);
  for (std::size_t I = 0; I < NodeCount; ++I)
    Fleet.addHost({I % DataCentreCount, ""});
  Fleet.startAll();
  Fleet.publish(Fleet.host(0),
                R"({"services": [{"name": "s", "active_version": "v1"}]})");
  Fleet.waitForVersion(1, Millis(30000));
  std::this_thread::sleep_for(Millis(5000));
  NodeUsage Usage(Fleet);
  std::this_thread::sleep_for(Millis(15000));
  Usage.finish();
  JsonLine Line;
  Line["slope"] = "nodes at rest";
  Line["data_centres"] = DataCentreCount;
  Line["nodes"] = NodeCount;
  Usage.addTo(&Line);
  std::cout << Line.dump() << std::endl;
}

} // namespace
} // namespace persimmonquay::testing

int main() {
  using namespace persimmonquay::testing;
  for (int MemberCount : {500, 1000, 2000, 4000, 11000})
    measureMembers(MemberCount);
  for (int ServiceCount : {100, 450, 900, 1800})
    measureServices(ServiceCount);
  for (int SpanCount : {60, 120, 240, 480})
    for (int RouteCount : {1, 4})
      measureMove(SpanCount, RouteCount);
  for (std::size_t NodeCount : {12, 24, 48, 96})
    measureFleet(1, NodeCount);
  for (std::size_t DataCentreCount : {2, 3})
    measureFleet(DataCentreCount, 48);
  return 0;
}
