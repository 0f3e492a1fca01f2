// Measures the request path: added latency against direct calls, goodput of the
// first priority at twice the capacity, and the price of bookings.
// Usage: requests_bench
#include "benchmarks/measuring.h"
#include "persimmonquay/node/http_pool.h"
#include "testing/fleet/load.h"
#include <absl/strings/str_cat.h>
#include <atomic>
#include <iostream>
#include <mutex>
#include <thread>

namespace persimmonquay::testing {
namespace {

constexpr std::size_t DataCentreCount = 3;
constexpr Millis PhaseTime{8000};
constexpr Millis Patience{30000};

std::string resources(const std::string &StockPriority) {
  return absl::StrCat(
      R"({"services": [{"name": "gallery", "active_version": "v1"}],
          "routes": [
            {"name": "catalogue", "path_prefix": "/catalogue",
             "service": "gallery", "priority": "CRITICAL",
             "deadline_ms": 250},
            {"name": "book", "path_prefix": "/book", "service": "gallery",
             "priority": "NORMAL", "deadline_ms": 5000},
            {"name": "stock", "path_prefix": "/stock", "service": "gallery",
             "priority": ")",
      StockPriority, R"(", "deadline_ms": 250}]})");
}

/// A fleet with one upstream of one service in each data centre.
class GalleryFleet : public Fleet {
public:
  GalleryFleet(const std::string &Slots, const std::string &WorkMs,
               const std::string &StockPriority)
      : Fleet(DataCentreCount) {
    for (std::size_t I = 0; I < DataCentreCount; ++I)
      this->addHost(
          {I, "gallery", "v1", {{"slots", Slots}, {"work_ms", WorkMs}}});
    this->startAll();
    this->publish(this->host(0), resources(StockPriority));
    this->waitForVersion(1, Patience);
  }

  double processorSeconds() const {
    double Sum = 0;
    for (const auto &Each : this->hosts())
      Sum += Each->Node->processorTime().count();
    return Sum;
  }
};

double timeOf(HttpPool *Pool, const Place &To, const CallRequest &Request,
              bool *Good) {
  const MonoTime Start = monoNow();
  const ExchangeResult Result =
      Pool->exchange(To.Address, To.Port, Request, Millis(5000));
  *Good = Result.Ended == ExchangeResult::End::Answered &&
          Result.Reply.Status == 200;
  return std::chrono::duration<double, std::micro>(monoNow() - Start).count();
}

/// Each caller sends, in turn, one call to the upstream itself, one through the
/// node beside it, and one through a node of the same data centre's sister.
void measureLatency(std::size_t Callers) {
  GalleryFleet Running("200", "0", "BACKGROUND");
  struct Samples {
    std::vector<double> Direct;
    std::vector<double> OneNode;
    std::vector<double> TwoNodes;
    std::uint64_t Failed = 0;
  };
  std::vector<Samples> All(Callers);
  std::atomic<bool> Stopping = false;
  std::vector<std::thread> Threads;
  // A node without an upstream, so that its calls cross a second node.
  Host &Bare = Running.addHost({0, ""});
  eventually(Patience, [&] {
    return request(Bare.caller(), "GET", "/catalogue/a").Reply.Status == 200;
  });
  const double ProcessorBefore = Running.processorSeconds();
  const MonoTime Start = monoNow();
  for (std::size_t I = 0; I < Callers; ++I)
    Threads.emplace_back([&, I] {
      HttpPool Pool;
      Samples &Own = All[I];
      const CallRequest Request{"GET", "/catalogue/a", {}, ""};
      while (!Stopping) {
        bool Good = true;
        Own.Direct.push_back(
            timeOf(&Pool, Running.host(0).upstream(), Request, &Good));
        Own.Failed += Good ? 0 : 1;
        Own.OneNode.push_back(
            timeOf(&Pool, Running.host(0).caller(), Request, &Good));
        Own.Failed += Good ? 0 : 1;
        Own.TwoNodes.push_back(timeOf(&Pool, Bare.caller(), Request, &Good));
        Own.Failed += Good ? 0 : 1;
      }
    });
  std::this_thread::sleep_for(PhaseTime);
  Stopping = true;
  for (std::thread &Thread : Threads)
    Thread.join();
  const double Seconds =
      std::chrono::duration<double>(monoNow() - Start).count();
  Samples Total;
  for (const Samples &Own : All) {
    Total.Direct.insert(Total.Direct.end(), Own.Direct.begin(),
                        Own.Direct.end());
    Total.OneNode.insert(Total.OneNode.end(), Own.OneNode.begin(),
                         Own.OneNode.end());
    Total.TwoNodes.insert(Total.TwoNodes.end(), Own.TwoNodes.begin(),
                          Own.TwoNodes.end());
    Total.Failed += Own.Failed;
  }
  const auto NodeCalls =
      static_cast<double>(Total.OneNode.size() + Total.TwoNodes.size());
  JsonLine Line;
  Line["measure"] = "added latency";
  Line["callers"] = Callers;
  Line["failed"] = Total.Failed;
  for (const auto &[Name, Fraction] :
       {std::pair<std::string, double>("p50", 0.5),
        {"p99", 0.99},
        {"p999", 0.999}}) {
    const double Direct = quantileOf(Total.Direct, Fraction);
    Line["direct_us_" + Name] = Direct;
    Line["added_by_one_node_us_" + Name] =
        quantileOf(Total.OneNode, Fraction) - Direct;
    Line["added_by_two_nodes_us_" + Name] =
        quantileOf(Total.TwoNodes, Fraction) - Direct;
  }
  Line["calls_per_s_through_nodes"] = NodeCalls / Seconds;
  Line["processor_us_per_call"] =
      1e6 * (Running.processorSeconds() - ProcessorBefore) / NodeCalls;
  std::cout << Line.dump() << std::endl;
}

/// Offers twice the capacity, half of it catalogue calls, half stock checks.
void measureOverload(const std::string &Name,
                     const std::string &StockPriority) {
  GalleryFleet Running("9", "20", StockPriority);
  std::vector<Place> Nodes;
  for (const auto &Each : Running.hosts())
    Nodes.push_back(Each->caller());
  // 27 slots of 20 ms give 1350 calls a second. Each caller waits so long that
  // together they offer twice that, however slow the answers are.
  constexpr std::size_t CallersOfEach = 140;
  constexpr double OfferedPerSecond = 1350;
  const std::chrono::duration<double> Interval(
      static_cast<double>(CallersOfEach) / OfferedPerSecond);
  std::atomic<bool> Stopping = false;
  std::mutex Mutex;
  LoadReport Reports[2];
  std::vector<std::thread> Threads;
  for (std::size_t I = 0; I < 2 * CallersOfEach; ++I)
    Threads.emplace_back([&, I] {
      HttpPool Pool;
      LoadReport Own;
      const std::string Target = I % 2 == 0 ? "/catalogue/a" : "/stock/b";
      MonoTime Next = monoNow();
      for (std::size_t Call = I; !Stopping; ++Call) {
        Load::callOnce(&Pool, Nodes[Call / 2 % Nodes.size()], "GET", Target, {},
                       &Own);
        Next += std::chrono::duration_cast<MonoTime::duration>(Interval);
        std::this_thread::sleep_until(Next);
      }
      std::lock_guard<std::mutex> Lock(Mutex);
      Reports[I % 2].add(Own);
    });
  std::this_thread::sleep_for(PhaseTime);
  Stopping = true;
  for (std::thread &Thread : Threads)
    Thread.join();
  JsonLine Line;
  Line["measure"] = "overload at twice the capacity";
  Line["policy"] = Name;
  for (int I = 0; I < 2; ++I) {
    const std::string Kind = I == 0 ? "catalogue" : "stock";
    Line[Kind + "_calls"] = Reports[I].Calls;
    Line[Kind + "_good"] = Reports[I].Good;
    Line[Kind + "_not_run"] = Reports[I].NotRun;
    Line[Kind + "_unknown"] = Reports[I].Unknown;
    Line[Kind + "_goodput"] = static_cast<double>(Reports[I].Good) /
                              static_cast<double>(Reports[I].Calls);
    Line[Kind + "_ms_p99"] =
        static_cast<double>(Reports[I].quantile(0.99).count()) / 1000;
  }
  std::cout << Line.dump() << std::endl;
}

double appendsOf(const Fleet &Running) {
  const auto Value = nlohmann::json::parse(
      request(Running.logFor(0), "POST", "/control").Reply.Body, nullptr,
      false);
  return Value.is_object() ? Value.value("appends", 0.0) : 0.0;
}

void measureBookings(std::size_t Callers) {
  GalleryFleet Running("200", "0", "BACKGROUND");
  const double AppendsBefore = appendsOf(Running);
  std::atomic<bool> Stopping = false;
  std::atomic<std::uint64_t> Failed = 0;
  std::vector<std::vector<double>> Keyed(Callers);
  std::vector<std::vector<double>> Plain(Callers);
  std::vector<std::thread> Threads;
  for (std::size_t I = 0; I < Callers; ++I)
    Threads.emplace_back([&, I] {
      HttpPool Pool;
      for (int Number = 0; !Stopping; ++Number) {
        CallRequest Request{"POST", "/book/a", {}, ""};
        bool Good = true;
        Plain[I].push_back(
            timeOf(&Pool, Running.host(0).caller(), Request, &Good));
        Request.Headers.push_back(
            {"Idempotency-Key",
             absl::StrCat(unixMillis(wallNow()), "-", I, "-", Number)});
        Keyed[I].push_back(
            timeOf(&Pool, Running.host(0).caller(), Request, &Good));
        Failed += Good ? 0 : 1;
      }
    });
  std::this_thread::sleep_for(PhaseTime);
  Stopping = true;
  for (std::thread &Thread : Threads)
    Thread.join();
  std::vector<double> AllKeyed;
  std::vector<double> AllPlain;
  for (std::size_t I = 0; I < Callers; ++I) {
    AllKeyed.insert(AllKeyed.end(), Keyed[I].begin(), Keyed[I].end());
    AllPlain.insert(AllPlain.end(), Plain[I].begin(), Plain[I].end());
  }
  JsonLine Line;
  Line["measure"] = "bookings";
  Line["callers"] = Callers;
  Line["bookings"] = AllKeyed.size();
  Line["failed"] = Failed.load();
  Line["claim_us_p50"] = quantileOf(AllKeyed, 0.5) - quantileOf(AllPlain, 0.5);
  Line["claim_us_p99"] =
      quantileOf(AllKeyed, 0.99) - quantileOf(AllPlain, 0.99);
  Line["appends_per_booking"] = (appendsOf(Running) - AppendsBefore) /
                                static_cast<double>(AllKeyed.size());
  std::cout << Line.dump() << std::endl;
}

} // namespace
} // namespace persimmonquay::testing

int main() {
  using namespace persimmonquay::testing;
  for (std::size_t Callers : {1, 8, 64})
    measureLatency(Callers);
  measureOverload("priorities", "BACKGROUND");
  measureOverload("no priorities", "CRITICAL");
  for (std::size_t Callers : {1, 16})
    measureBookings(Callers);
  return 0;
}
