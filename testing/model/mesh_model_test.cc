// Replays load patterns against the decisions on placement and admission, and
// compares them with simpler rules.
#include "testing/model/mesh_model.h"
#include <cmath>
#include <doctest/doctest.h>

namespace persimmonquay::testing {
namespace {

constexpr int Seeds = 4;

/// A catalogue whose upstreams differ in speed: two quick ones in the first
/// data centre, one of usual speed in the second, a slow one in the third. Each
/// data centre has as many callers.
ModelSite catalogueSite(double Load) {
  ModelSite Site;
  Site.Upstreams = {{.Service = "catalogue", .DataCentre = 0, .Slowness = 0.5},
                    {.Service = "catalogue", .DataCentre = 0},
                    {.Service = "catalogue", .DataCentre = 1},
                    {.Service = "catalogue", .DataCentre = 2, .Slowness = 1.5}};
  Site.Kinds = {{.Name = "browse",
                 .Service = "catalogue",
                 .Rates = {50 * Load, 50 * Load, 50 * Load}}};
  return Site;
}

/// Adds up the results of several seeds.
struct Sum {
  Sum(const ModelSite &Site, ModelPlacement Rule)
      : ByDataCentre(Site.DataCentres) {
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      const ModelResult Result = simulate(Site, Rule, Seed);
      for (std::size_t I = 0; I < Site.DataCentres; ++I)
        this->ByDataCentre[I] += Result.ByDataCentre[I];
      for (const auto &[Kind, Counts] : Result.ByKind)
        this->ByKind[Kind] += Counts;
      this->Total += Result.total();
      this->RemoteBytes += Result.RemoteBytes;
      this->IdleSlotSeconds += Result.IdleSlotSeconds;
    }
  }

  /// Share of on-time requests of the data centre that is served worst,
  /// compared with the one that is served best.
  double evenness() const {
    double Worst = 1;
    double Best = 0;
    for (const ModelCounts &Counts : this->ByDataCentre) {
      Worst = std::min(Worst, Counts.onTimeShare());
      Best = std::max(Best, Counts.onTimeShare());
    }
    return Worst / Best;
  }

  ModelCounts Total;
  std::vector<ModelCounts> ByDataCentre;
  std::map<std::string, ModelCounts> ByKind;
  std::uint64_t RemoteBytes = 0;
  double IdleSlotSeconds = 0;
};

TEST_CASE("a data centre with slow upstreams is served as well as the others") {
  const ModelSite Site = catalogueSite(1.0);
  const Sum Expected(Site, ModelPlacement::Expected);
  const Sum Local(Site, ModelPlacement::LocalLeastLoaded);
  CHECK(Expected.evenness() > 0.97);
  CHECK(Expected.Total.onTimeShare() > 0.98);
  CHECK(Local.evenness() < 0.97);
  // Most calls stay: random placement sends two thirds across.
  const Sum Random(Site, ModelPlacement::Random);
  CHECK(Expected.RemoteBytes * 4 < Random.RemoteBytes);
}

TEST_CASE("calls stay in their data centre while it serves them in time") {
  ModelSite Site = catalogueSite(0.5);
  for (ModelUpstream &Upstream : Site.Upstreams)
    Upstream.Slowness = 1;
  const Sum Expected(Site, ModelPlacement::Expected);
  CHECK(Expected.Total.onTimeShare() > 0.99);
  CHECK(Expected.RemoteBytes * 50 <
        Sum(Site, ModelPlacement::Random).RemoteBytes);
}

TEST_CASE("small calls leave a slow data centre more readily than large ones") {
  // The slow upstream serves one in ten calls late.
  ModelSite Site = catalogueSite(0.3);
  Site.Upstreams.back().Slowness = 2.2;
  Site.Kinds[0].TransferBytes = 600;
  const Sum Small(Site, ModelPlacement::Expected);
  Site.Kinds[0].TransferBytes = 30000;
  const Sum Large(Site, ModelPlacement::Expected);
  CHECK(Small.ByDataCentre[2].onTimeShare() > 0.98);
  CHECK(Small.RemoteBytes / 600 > 4 * (Large.RemoteBytes / 30000));
}

TEST_CASE("an upstream that fails a third of its calls loses them to another "
          "data centre") {
  ModelSite Site = catalogueSite(0.5);
  Site.Upstreams[2].FailureRate = 0.35;
  // Not retried, so that each failure counts.
  Site.Kinds[0].IsIdempotent = false;
  const Sum Expected(Site, ModelPlacement::Expected);
  const Sum Local(Site, ModelPlacement::LocalLeastLoaded);
  CHECK(Local.ByDataCentre[1].onTimeShare() < 0.7);
  CHECK(Expected.ByDataCentre[1].onTimeShare() > 0.85);
}

TEST_CASE("a data centre that has lost its upstream is served by the others") {
  ModelSite Site = catalogueSite(0.8);
  Site.Upstreams[3].DownUntil = Millis(20000);
  const Sum Expected(Site, ModelPlacement::Expected);
  CHECK(Expected.ByDataCentre[2].onTimeShare() > 0.97);
  CHECK(Expected.evenness() > 0.97);
}

// The catalogue has lost two of its upstreams for good, and calls a third
// service while it runs a request.
TEST_CASE("under sustained overload few of the served requests are late") {
  ModelSite Site = catalogueSite(1.5);
  Site.Upstreams.resize(2);
  const Sum Expected(Site, ModelPlacement::Expected);
  // The two upstreams can run 9 / 0.06 + 9 / 0.12 = 225 calls a second, which
  // is what arrives.
  CHECK(Expected.Total.onTimeShare() > 0.93);
  CHECK(Expected.Total.Late * 50 < Expected.Total.OnTime);

  Site.Kinds[0].Rates = {120, 120, 120};
  const Sum Overload(Site, ModelPlacement::Expected);
  const Sum Local(Site, ModelPlacement::LocalLeastLoaded);
  CHECK(Overload.Total.onTimeShare() > 0.97 * 225 / 360);
  CHECK(Overload.Total.Late * 30 < Overload.Total.OnTime);
  CHECK(Overload.Total.onTimeShare() > Local.Total.onTimeShare());
}

TEST_CASE("a burst of less than half a second is absorbed by the queues") {
  ModelSite Site = catalogueSite(0.6);
  Site.BurstFactor = 5;
  Site.BurstFrom = Millis(5000);
  Site.BurstUntil = Millis(5300);
  const Sum Expected(Site, ModelPlacement::Expected);
  CHECK(Expected.Total.onTimeShare() > 0.99);
}

TEST_CASE("calls that upstreams make are served before other callers' calls") {
  // Orders are overloaded by their own callers, but the catalogue depends on
  // them too: a request whose nested call is rejected has run in vain.
  ModelSite Site = catalogueSite(0.6);
  for (std::size_t DataCentre = 0; DataCentre < 3; ++DataCentre)
    Site.Upstreams.push_back({.Service = "orders", .DataCentre = DataCentre});
  Site.Kinds[0].NestedKind = "status";
  Site.Kinds[0].NestedProbability = 0.7;
  Site.Kinds[0].Priority = 2;
  Site.Kinds.push_back({.Name = "order",
                        .Service = "orders",
                        .IsIdempotent = false,
                        .Rates = {70, 70, 70},
                        .ProcessingTime = Millis(160),
                        .Objective = Millis(500),
                        .Priority = 1});
  Site.Kinds.push_back({.Name = "status",
                        .Service = "orders",
                        .ProcessingTime = Millis(30),
                        .Objective = Millis(120),
                        .Deadline = Millis(400),
                        .Priority = 1,
                        .CallerRetries = 0});
  Sum Expected(Site, ModelPlacement::Expected);
  CHECK(Expected.ByKind["browse"].onTimeShare() > 0.97);
  // 27 slots run 160 of the 210 orders that arrive in a second, beside the
  // nested calls.
  CHECK(Expected.ByKind["order"].onTimeShare() > 0.6);
}

/// A service whose callers' kinds differ in priority and objective, and which
/// upstreams of another service call while they serve bookings. `Load` is the
/// work that arrives compared with what the service has room for.
ModelSite operationsSite(double Load) {
  ModelSite Site;
  Site.NodesPerDataCentre = 4;
  for (std::size_t DataCentre = 0; DataCentre < 3; ++DataCentre) {
    for (int I = 0; I < 3; ++I)
      Site.Upstreams.push_back(
          {.Service = "operations", .DataCentre = DataCentre});
    for (int I = 0; I < 6; ++I)
      Site.Upstreams.push_back(
          {.Service = "bookings",
           .DataCentre = DataCentre,
           .Slots = static_cast<std::size_t>(4 + std::ceil(9 * Load))});
  }
  const auto Rates = [Load](double CallsPerSecond) {
    return std::vector<double>(3, CallsPerSecond * Load / 3);
  };
  Site.Kinds = {{.Name = "refund",
                 .Service = "operations",
                 .IsIdempotent = false,
                 .Rates = Rates(282),
                 .ProcessingTime = Millis(110),
                 .Objective = Millis(400),
                 .Deadline = Millis(800),
                 .Priority = 0},
                {.Name = "download",
                 .Service = "operations",
                 .Rates = Rates(343),
                 .ProcessingTime = Millis(110),
                 .Objective = Millis(1200),
                 .Deadline = Millis(2000),
                 .Priority = 2,
                 .TransferBytes = 90000},
                {.Name = "booking",
                 .Service = "bookings",
                 .IsIdempotent = false,
                 .Rates = Rates(348),
                 .ProcessingTime = Millis(180),
                 .Objective = Millis(600),
                 .Deadline = Millis(2500),
                 .Priority = 0,
                 .NestedKind = "roster",
                 .NestedProbability = 1},
                {.Name = "roster",
                 .Service = "operations",
                 .ProcessingTime = Millis(35),
                 .Objective = Millis(150),
                 .Deadline = Millis(400),
                 .Priority = 1,
                 .CallerRetries = 0,
                 .IsNested = true}};
  return Site;
}

TEST_CASE("in a shortage, nested calls are served and no kind is starved") {
  for (const double Load : {1.5, 2.5}) {
    const ModelSite Site = operationsSite(Load);
    const ModelResult Result = simulate(Site, ModelPlacement::Expected, 1);
    const ModelCounts &Refunds = Result.ByKind.at("refund");
    const ModelCounts &Downloads = Result.ByKind.at("download");
    CHECK(Result.ByKind.at("booking").onTimeShare() > 0.97);
    CHECK(Refunds.servedShare() > Downloads.servedShare());
    CHECK(Downloads.servedShare() > Result.total().servedShare() / 4);
    CHECK(Result.WastedSeconds < 50);
    CHECK(Result.worthShare() > 0.8 * worthBound(Site, Result));
  }
}

TEST_CASE("fewer slots idle while calls wait than by chance") {
  ModelSite Site = catalogueSite(0.7);
  // No call waits for another upstream of its data centre than the only one.
  Site.Upstreams.erase(Site.Upstreams.begin());
  Site.Kinds[0].Rates = {30, 30, 30};
  CHECK(Sum(Site, ModelPlacement::LocalLeastLoaded).IdleSlotSeconds == 0);
  for (std::size_t DataCentre = 0; DataCentre < 3; ++DataCentre)
    Site.Upstreams.push_back(
        {.Service = "catalogue", .DataCentre = DataCentre});
  Site.Kinds[0].Rates = {120, 120, 90};
  CHECK(Sum(Site, ModelPlacement::Expected).IdleSlotSeconds * 2 <
        Sum(Site, ModelPlacement::Random).IdleSlotSeconds);
}

TEST_CASE("calls avoid upstreams whose host is slow at the moment") {
  ModelSite Site;
  Site.NodesPerDataCentre = 4;
  Site.SlowSpellShare = 0.15;
  for (std::size_t DataCentre = 0; DataCentre < 3; ++DataCentre)
    for (int I = 0; I < 4; ++I)
      Site.Upstreams.push_back(
          {.Service = "fleet", .DataCentre = DataCentre, .Slots = 4});
  // Room for 260 calls of each data centre, less while hosts are slow.
  Site.Kinds = {{.Name = "view",
                 .Service = "fleet",
                 .Rates = std::vector<double>(3, 180),
                 .ProcessingTime = Millis(60),
                 .Objective = Millis(160),
                 .Deadline = Millis(600)}};
  const Sum Told(Site, ModelPlacement::Expected);
  Site.ReportsSpeed = false;
  const Sum Untold(Site, ModelPlacement::Expected);
  const auto Missed = [](const Sum &Result) {
    return 1 - Result.Total.onTimeShare();
  };
  CAPTURE(Missed(Told));
  CAPTURE(Missed(Untold));
  CAPTURE(Told.IdleSlotSeconds);
  CAPTURE(Untold.IdleSlotSeconds);
  CHECK(Missed(Told) < 0.75 * Missed(Untold));
}

TEST_CASE("in a shortage, most of the calls that take little work are served") {
  ModelSite Site;
  for (std::size_t DataCentre = 0; DataCentre < 3; ++DataCentre)
    for (int I = 0; I < 4; ++I)
      Site.Upstreams.push_back(
          {.Service = "search", .DataCentre = DataCentre, .Slots = 4});
  // Two and a half times as much work as the 48 slots can do.
  Site.Kinds = {{.Name = "small",
                 .Service = "search",
                 .Rates = std::vector<double>(3, 417),
                 .ProcessingTime = Millis(48),
                 .Objective = Millis(600)},
                {.Name = "large",
                 .Service = "search",
                 .Rates = std::vector<double>(3, 100),
                 .ProcessingTime = Millis(200),
                 .Objective = Millis(600)}};
  const ModelResult Result = simulate(Site, ModelPlacement::Expected, 1);
  // A quarter of the common share of 0.57 goes to the large ones, which leaves
  // room for 0.65 of the small ones.
  CHECK(Result.ByKind.at("small").onTimeShare() > 0.95 * 0.65);
  CHECK(Result.ByKind.at("large").servedShare() >
        Result.total().servedShare() / 4);
}

/// Upstreams that all have just started, with `Load` times as many calls as
/// they bear while they are cold. Warm ones bear five times as many.
ModelSite coldSite(double Load) {
  constexpr std::size_t UpstreamCount = 24;
  ModelSite Site;
  Site.ColdRate = 14;
  Site.ColdDuration = Millis(3000);
  Site.Duration = Millis(12000);
  for (std::size_t I = 0; I < UpstreamCount; ++I)
    Site.Upstreams.push_back(
        {.Service = "catalogue", .DataCentre = I % 3, .Slots = 18});
  const double Rate = Load * Site.ColdRate * UpstreamCount / 3;
  Site.Kinds = {{.Name = "browse",
                 .Service = "catalogue",
                 .Rates = {Rate, Rate, Rate},
                 .ProcessingTime = Millis(250),
                 .Objective = Millis(800),
                 .Deadline = Millis(3000),
                 .CallerRetries = 8}};
  return Site;
}

TEST_CASE("upstreams that are all cold serve what they bear and climb back") {
  for (const double Load : {1.0, 2.0, 4.0}) {
    CAPTURE(Load);
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      const ModelSite Site = coldSite(Load);
      const double Borne =
          Site.ColdRate * static_cast<double>(Site.Upstreams.size());
      ModelResult Result = simulate(Site, ModelPlacement::Expected, Seed);
      CHECK(Result.Crashes == 0);
      // Calls take a quarter of a second.
      CHECK(Result.AnsweredInSecond[0] > 0.5 * Borne);
      CHECK(Result.AnsweredInSecond[1] > 0.8 * Borne);
      CHECK(Result.AnsweredInSecond[2] > 0.8 * Borne);
      for (int Second = 5; Second < 12; ++Second)
        CHECK(Result.AnsweredInSecond[Second] > 0.85 * Load * Borne);
    }
  }
}

// Shows that the model has the loop that the bound prevents.
TEST_CASE("cold upstreams without a bound end again and again") {
  ModelSite Site = coldSite(4);
  Site.LimitsColdUpstreams = false;
  ModelResult Result = simulate(Site, ModelPlacement::Expected, 1);
  CHECK(Result.Crashes > 2 * static_cast<int>(Site.Upstreams.size()));
  CHECK(Result.AnsweredInSecond[11] < 2 * 14 * 24);
}

TEST_CASE("callers for whom cold upstreams have no room return when they are "
          "warm") {
  ModelSite Site = coldSite(2);
  Site.Duration = 2 * Site.ColdDuration;
  Site.Kinds[0].Deadline = Millis(6000);
  Site.Kinds[0].CallerRetries = 1;
  const Sum Expected(Site, ModelPlacement::Expected);
  // Half of the calls in half of the run find no room. Callers wait for a third
  // of their time at most, so that not all of them can wait long enough.
  const double Refused = Expected.Total.Offered / 4.0;
  CHECK(Expected.Total.Rejected < 0.75 * Refused);
}

} // namespace
} // namespace persimmonquay::testing
