// Measures the request path: the latency that nodes add to direct calls, the
// goodput of the highest priority at an offered load of twice the capacity, and
// the cost of claims for keyed requests (bookings).
//
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
constexpr Millis PhaseDuration{8000};
constexpr Millis ConvergenceTimeout{30000};

/// Returns a resource file with the routes /catalogue, /book and /stock.
std::string resourceFile(const std::string &StockPriority) {
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

/// A fleet with one upstream of the service "gallery" in each data centre.
class GalleryFleet : public TestFleet {
public:
  GalleryFleet(const std::string &Slots, const std::string &WorkMs,
               const std::string &StockPriority)
      : TestFleet(DataCentreCount) {
    for (std::size_t I = 0; I < DataCentreCount; ++I)
      this->addHost(
          {I, "gallery", "v1", {{"slots", Slots}, {"work_ms", WorkMs}}});
    this->startAll();
    this->publish(this->host(0), resourceFile(StockPriority));
    this->waitForVersion(1, ConvergenceTimeout);
  }

  /// Returns the processor time that all nodes have used so far.
  double processorSeconds() const {
    double Seconds = 0;
    for (const auto &TestHost : this->hosts())
      Seconds += TestHost->Node->cpuTime().count();
    return Seconds;
  }
};

/// Sends `Request` and returns the time in microseconds until the exchange has
/// ended. `Succeeded` is set to whether the response has status 200.
double exchangeMicros(HttpPool *Pool, const TcpEndpoint &Destination,
                      const CallRequest &Request, bool *Succeeded) {
  const MonoTime StartTime = monoNow();
  const ExchangeResult Result = Pool->exchange(
      Destination.Address, Destination.Port, Request, Millis(5000));
  *Succeeded = Result.Status == ExchangeResult::Code::Answered &&
               Result.Response.Status == 200;
  return std::chrono::duration<double, std::micro>(monoNow() - StartTime)
      .count();
}

/// Measures added latency. Each caller sends, in turn, one call directly to an
/// upstream, one through the node next to it, and one through a node of the
/// same data centre that has no upstream and so forwards the call to another
/// node.
void measureLatency(std::size_t CallerCount) {
  GalleryFleet Fleet("200", "0", "BACKGROUND");
  struct Samples {
    std::vector<double> DirectMicros;
    std::vector<double> OneNodeMicros;
    std::vector<double> TwoNodesMicros;
    std::uint64_t FailureCount = 0;
  };
  std::vector<Samples> SamplesByCaller(CallerCount);
  std::atomic<bool> Stopping = false;
  std::vector<std::thread> Threads;
  // All calls through this node pass through a second one.
  Host &HostWithoutUpstream = Fleet.addHost({0, ""});
  eventually(ConvergenceTimeout, [&] {
    return request(HostWithoutUpstream.callerEndpoint(), "GET", "/catalogue/a")
               .Response.Status == 200;
  });
  const double ProcessorBefore = Fleet.processorSeconds();
  const MonoTime StartTime = monoNow();
  for (std::size_t I = 0; I < CallerCount; ++I)
    Threads.emplace_back([&, I] {
      HttpPool Pool;
      Samples &OwnSamples = SamplesByCaller[I];
      const CallRequest Request{"GET", "/catalogue/a", {}, ""};
      while (!Stopping) {
        bool Succeeded = true;
        OwnSamples.DirectMicros.push_back(exchangeMicros(
            &Pool, Fleet.host(0).upstreamEndpoint(), Request, &Succeeded));
        OwnSamples.FailureCount += Succeeded ? 0 : 1;
        OwnSamples.OneNodeMicros.push_back(exchangeMicros(
            &Pool, Fleet.host(0).callerEndpoint(), Request, &Succeeded));
        OwnSamples.FailureCount += Succeeded ? 0 : 1;
        OwnSamples.TwoNodesMicros.push_back(exchangeMicros(
            &Pool, HostWithoutUpstream.callerEndpoint(), Request, &Succeeded));
        OwnSamples.FailureCount += Succeeded ? 0 : 1;
      }
    });
  std::this_thread::sleep_for(PhaseDuration);
  Stopping = true;
  for (std::thread &Thread : Threads)
    Thread.join();
  const double Seconds =
      std::chrono::duration<double>(monoNow() - StartTime).count();
  Samples Total;
  for (const Samples &OwnSamples : SamplesByCaller) {
    Total.DirectMicros.insert(Total.DirectMicros.end(),
                              OwnSamples.DirectMicros.begin(),
                              OwnSamples.DirectMicros.end());
    Total.OneNodeMicros.insert(Total.OneNodeMicros.end(),
                               OwnSamples.OneNodeMicros.begin(),
                               OwnSamples.OneNodeMicros.end());
    Total.TwoNodesMicros.insert(Total.TwoNodesMicros.end(),
                                OwnSamples.TwoNodesMicros.begin(),
                                OwnSamples.TwoNodesMicros.end());
    Total.FailureCount += OwnSamples.FailureCount;
  }
  const auto NodeCalls = static_cast<double>(Total.OneNodeMicros.size() +
                                             Total.TwoNodesMicros.size());
  JsonLine Line;
  Line["measure"] = "added latency";
  Line["callers"] = CallerCount;
  Line["failed"] = Total.FailureCount;
  for (const auto &[QuantileName, Fraction] :
       {std::pair<std::string, double>("p50", 0.5),
        {"p99", 0.99},
        {"p999", 0.999}}) {
    const double DirectMicros = quantile(Total.DirectMicros, Fraction);
    Line["direct_us_" + QuantileName] = DirectMicros;
    Line["added_by_one_node_us_" + QuantileName] =
        quantile(Total.OneNodeMicros, Fraction) - DirectMicros;
    Line["added_by_two_nodes_us_" + QuantileName] =
        quantile(Total.TwoNodesMicros, Fraction) - DirectMicros;
  }
  Line["calls_per_s_through_nodes"] = NodeCalls / Seconds;
  Line["processor_us_per_call"] =
      1e6 * (Fleet.processorSeconds() - ProcessorBefore) / NodeCalls;
  std::cout << Line.dump() << std::endl;
}

/// Offers twice the capacity, one half as catalogue calls and the other half as
/// stock checks, and reports the goodput of each kind.
void measureOverload(const std::string &PolicyName,
                     const std::string &StockPriority) {
  GalleryFleet Fleet("9", "20", StockPriority);
  std::vector<TcpEndpoint> NodeEndpoints;
  for (const auto &TestHost : Fleet.hosts())
    NodeEndpoints.push_back(TestHost->callerEndpoint());
  // With 20 ms per call, the 27 slots of the 3 upstreams serve 1350 calls a
  // second. Each caller starts calls at fixed intervals, so that all callers
  // together offer twice that load, however long the calls take.
  constexpr std::size_t CallersPerKind = 140;
  constexpr double OfferedPerSecondAndKind = 1350;
  const std::chrono::duration<double> Interval(
      static_cast<double>(CallersPerKind) / OfferedPerSecondAndKind);
  std::atomic<bool> Stopping = false;
  std::mutex Mutex;
  LoadReport Reports[2];
  std::vector<std::thread> Threads;
  for (std::size_t I = 0; I < 2 * CallersPerKind; ++I)
    Threads.emplace_back([&, I] {
      HttpPool Pool;
      LoadReport OwnReport;
      const std::string Target = I % 2 == 0 ? "/catalogue/a" : "/stock/b";
      MonoTime NextStart = monoNow();
      for (std::size_t CallIndex = I; !Stopping; ++CallIndex) {
        LoadGenerator::callOnce(
            &Pool, NodeEndpoints[CallIndex / 2 % NodeEndpoints.size()], "GET",
            Target, {}, &OwnReport);
        NextStart += std::chrono::duration_cast<MonoTime::duration>(Interval);
        std::this_thread::sleep_until(NextStart);
      }
      std::lock_guard<std::mutex> Lock(Mutex);
      Reports[I % 2].add(OwnReport);
    });
  std::this_thread::sleep_for(PhaseDuration);
  Stopping = true;
  for (std::thread &Thread : Threads)
    Thread.join();
  JsonLine Line;
  Line["measure"] = "overload at twice the capacity";
  Line["policy"] = PolicyName;
  for (int I = 0; I < 2; ++I) {
    const std::string Kind = I == 0 ? "catalogue" : "stock";
    Line[Kind + "_calls"] = Reports[I].Calls;
    Line[Kind + "_good"] = Reports[I].Succeeded;
    Line[Kind + "_not_run"] = Reports[I].NotRun;
    Line[Kind + "_unknown"] = Reports[I].Unknown;
    Line[Kind + "_goodput"] = static_cast<double>(Reports[I].Succeeded) /
                              static_cast<double>(Reports[I].Calls);
    Line[Kind + "_ms_p99"] =
        static_cast<double>(Reports[I].quantile(0.99).count()) / 1000;
  }
  std::cout << Line.dump() << std::endl;
}

/// Returns the number of appends that the log has received.
double logAppends(const TestFleet &Fleet) {
  const auto Json = nlohmann::json::parse(
      request(Fleet.logEndpoint(0), "POST", "/control").Response.Body, nullptr,
      false);
  return Json.is_object() ? Json.value("appends", 0.0) : 0.0;
}

/// Measures what a claim adds to the latency of a booking, and the number of
/// appends to the log per keyed booking. Each caller alternates bookings
/// without and with an idempotency key.
void measureBookings(std::size_t CallerCount) {
  GalleryFleet Fleet("200", "0", "BACKGROUND");
  const double AppendsBefore = logAppends(Fleet);
  std::atomic<bool> Stopping = false;
  std::atomic<std::uint64_t> FailureCount = 0;
  std::vector<std::vector<double>> KeyedMicros(CallerCount);
  std::vector<std::vector<double>> UnkeyedMicros(CallerCount);
  std::vector<std::thread> Threads;
  for (std::size_t I = 0; I < CallerCount; ++I)
    Threads.emplace_back([&, I] {
      HttpPool Pool;
      for (int Number = 0; !Stopping; ++Number) {
        CallRequest Request{"POST", "/book/a", {}, ""};
        bool Succeeded = true;
        UnkeyedMicros[I].push_back(exchangeMicros(
            &Pool, Fleet.host(0).callerEndpoint(), Request, &Succeeded));
        Request.Headers.push_back(
            {"Idempotency-Key",
             absl::StrCat(unixMillis(wallNow()), "-", I, "-", Number)});
        KeyedMicros[I].push_back(exchangeMicros(
            &Pool, Fleet.host(0).callerEndpoint(), Request, &Succeeded));
        FailureCount += Succeeded ? 0 : 1;
      }
    });
  std::this_thread::sleep_for(PhaseDuration);
  Stopping = true;
  for (std::thread &Thread : Threads)
    Thread.join();
  std::vector<double> AllKeyedMicros;
  std::vector<double> AllUnkeyedMicros;
  for (std::size_t I = 0; I < CallerCount; ++I) {
    AllKeyedMicros.insert(AllKeyedMicros.end(), KeyedMicros[I].begin(),
                          KeyedMicros[I].end());
    AllUnkeyedMicros.insert(AllUnkeyedMicros.end(), UnkeyedMicros[I].begin(),
                            UnkeyedMicros[I].end());
  }
  JsonLine Line;
  Line["measure"] = "bookings";
  Line["callers"] = CallerCount;
  Line["bookings"] = AllKeyedMicros.size();
  Line["failed"] = FailureCount.load();
  Line["claim_us_p50"] =
      quantile(AllKeyedMicros, 0.5) - quantile(AllUnkeyedMicros, 0.5);
  Line["claim_us_p99"] =
      quantile(AllKeyedMicros, 0.99) - quantile(AllUnkeyedMicros, 0.99);
  Line["appends_per_booking"] = (logAppends(Fleet) - AppendsBefore) /
                                static_cast<double>(AllKeyedMicros.size());
  std::cout << Line.dump() << std::endl;
}

} // namespace
} // namespace persimmonquay::testing

int main() {
  using namespace persimmonquay::testing;
  for (std::size_t CallerCount : {1, 8, 64})
    measureLatency(CallerCount);
  measureOverload("priorities", "BACKGROUND");
  measureOverload("no priorities", "CRITICAL");
  for (std::size_t CallerCount : {1, 16})
    measureBookings(CallerCount);
  return 0;
}
