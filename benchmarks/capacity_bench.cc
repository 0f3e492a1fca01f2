// Measures the slopes behind docs/CAPACITY.md: what a node's work costs as the
// number of members, services, evidence and data centres grows. One JSON line
// for each point.
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

constexpr WallTime Start{Millis(1'700'000'000'000)};

/// Returns the microseconds that one run of `Work` takes, over several runs.
template <typename F> double microsOf(int Runs, F &&Work) {
  const MonoTime Before = monoNow();
  for (int I = 0; I < Runs; ++I)
    Work();
  return std::chrono::duration<double, std::micro>(monoNow() - Before).count() /
         Runs;
}

double heapBytes() { return static_cast<double>(mallinfo2().uordblks); }

proto::Member memberNumber(int Number) {
  proto::Member Member;
  Member.set_node(absl::StrCat("host-", Number, "-of-many"));
  Member.set_data_centre(absl::StrCat("data-centre-", Number % 19));
  Member.set_address(
      absl::StrCat("10.", Number % 19, ".", Number / 250, ".", Number % 250));
  Member.set_peer_port(7004);
  Member.set_ingress_port(7002);
  Member.set_incarnation(1'700'000'000'000 + Number);
  Member.set_service(absl::StrCat("service-", Number % 1800));
  Member.set_version("v1");
  Member.set_slots(9);
  Member.set_announced_unix_ms(1'700'000'000'000);
  return Member;
}

void measureMembers(int Members) {
  const double Before = heapBytes();
  MemberTable Table(memberNumber(0));
  for (int I = 1; I < Members; ++I)
    Table.merge(memberNumber(I), MonoTime());
  JsonLine Line;
  Line["slope"] = "members";
  Line["members"] = Members;
  Line["table_bytes"] = heapBytes() - Before;
  const double BeforeEndpoints = heapBytes();
  auto Endpoints = EndpointTable::build(Table.all(), nullptr);
  Line["endpoint_table_bytes"] = heapBytes() - BeforeEndpoints;
  Line["rebuild_us"] = microsOf(20, [&] {
    Endpoints = EndpointTable::build(Table.all(), Endpoints.get());
  });
  Line["merge_us"] = microsOf(2000, [&, Next = 0]() mutable {
    proto::Member Changed = memberNumber(1 + Next++ % (Members - 1));
    Changed.set_incarnation(Changed.incarnation() + 100000 +
                            static_cast<std::uint64_t>(Next));
    Table.merge(Changed, MonoTime());
  });
  Line["duty_us"] = microsOf(
      200, [&] { Table.hasRole("log-reader", 2, Table.self().node()); });
  Line["hash_us"] = microsOf(200, [&] { Table.hash(); });
  Line["update_bytes"] = memberNumber(1).ByteSizeLong();
  std::cout << Line.dump() << std::endl;
}

proto::Change changeNumber(int Number) {
  proto::Change Change;
  Change.set_id(absl::StrCat("change-", Number));
  Change.set_author("operator");
  proto::Service *Service =
      Change.add_writes()->mutable_resource()->mutable_service();
  Service->set_name(absl::StrCat("service-", Number));
  Service->set_active_version("v1");
  proto::Route *Route =
      Change.add_writes()->mutable_resource()->mutable_route();
  Route->set_name(absl::StrCat("route-", Number));
  Route->set_path_prefix(absl::StrCat("/service-", Number));
  Route->set_service(Service->name());
  Route->set_priority(proto::NORMAL);
  Route->set_deadline_ms(1000);
  return Change;
}

void measureServices(int Services) {
  proto::ConfigurationState State;
  const double Before = heapBytes();
  for (int I = 0; I < Services; ++I) {
    proto::LogRecord Record;
    *Record.mutable_change() = changeNumber(I);
    applyRecord(State.next_offset(), Record, &State);
  }
  JsonLine Line;
  Line["slope"] = "services";
  Line["services"] = Services;
  Line["state_bytes"] = heapBytes() - Before;
  Line["snapshot_bytes"] = encodeState(State).size();
  Line["record_bytes"] = changeNumber(1).ByteSizeLong();
  Line["fold_us"] = microsOf(20, [&, Next = Services]() mutable {
    proto::LogRecord Record;
    *Record.mutable_change() = changeNumber(Next++);
    applyRecord(State.next_offset(), Record, &State);
  });
  Line["compile_us"] =
      microsOf(20, [&] { ServingConfiguration::compile(State); });
  Line["encode_us"] = microsOf(20, [&] { encodeState(State); });
  const auto Serving = ServingConfiguration::compile(State);
  Line["lookup_us"] = microsOf(
      100000, [&] { Serving->findRoute("/service-17/some/longer/path"); });
  std::cout << Line.dump() << std::endl;
}

void measureMove(int Spans, int Routes) {
  proto::Move Move;
  Move.set_name("m");
  Move.set_start_unix_ms(unixMillis(Start));
  Move.set_due_unix_ms(unixMillis(Start + Spans * EvidenceSpanLength));
  const MovePolicy Policy = MovePolicy::Builder(Move).build();
  const double Before = heapBytes();
  EvidenceTable Evidence("m", "a", 1);
  for (int Node = 0; Node < 6; ++Node) {
    EvidenceTable Other("m", absl::StrCat("node-", Node), 1);
    for (int Span = 0; Span < Spans; ++Span)
      for (int Route = 0; Route < Routes; ++Route)
        for (int Call = 0; Call < 40; ++Call) {
          CallResult Result;
          Result.Route = absl::StrCat("route-", Route);
          Result.ToNewVersion = Call % 4 == 0;
          Result.Latency = std::chrono::milliseconds(5 + Call);
          Other.count(Result, Start + Span * EvidenceSpanLength);
        }
    for (const proto::EvidenceCell &Cell :
         Other.ownCells(Start + Spans * EvidenceSpanLength, Spans + 1))
      Evidence.merge(Cell, Start + Spans * EvidenceSpanLength / 2);
  }
  MoveProgress Progress;
  Progress.StepEnteredAt = Start;
  JsonLine Line;
  Line["slope"] = "move";
  Line["spans"] = Spans;
  Line["routes"] = Routes;
  Line["evidence_bytes"] = heapBytes() - Before;
  Line["decide_us"] = microsOf(20, [&] {
    Policy.decide(Evidence, Progress, {36, 36},
                  Start + Spans * EvidenceSpanLength);
  });
  std::cout << Line.dump() << std::endl;
}

/// Nodes at rest over one or more data centres.
void measureFleet(std::size_t DataCentres, std::size_t Nodes) {
  Fleet Running(DataCentres);
  for (std::size_t I = 0; I < Nodes; ++I)
    Running.addHost({I % DataCentres, ""});
  Running.startAll();
  Running.publish(Running.host(0),
                  R"({"services": [{"name": "s", "active_version": "v1"}]})");
  Running.waitForVersion(1, Millis(30000));
  std::this_thread::sleep_for(Millis(5000));
  NodeUsage Usage(Running);
  std::this_thread::sleep_for(Millis(15000));
  Usage.finish();
  JsonLine Line;
  Line["slope"] = "nodes at rest";
  Line["data_centres"] = DataCentres;
  Line["nodes"] = Nodes;
  Usage.addTo(&Line);
  std::cout << Line.dump() << std::endl;
}

} // namespace
} // namespace persimmonquay::testing

int main() {
  using namespace persimmonquay::testing;
  for (int Members : {500, 1000, 2000, 4000, 11000})
    measureMembers(Members);
  for (int Services : {100, 450, 900, 1800})
    measureServices(Services);
  for (int Spans : {60, 120, 240, 480})
    for (int Routes : {1, 4})
      measureMove(Spans, Routes);
  for (std::size_t Nodes : {12, 24, 48, 96})
    measureFleet(1, Nodes);
  for (std::size_t DataCentres : {2, 3})
    measureFleet(DataCentres, 48);
  return 0;
}
