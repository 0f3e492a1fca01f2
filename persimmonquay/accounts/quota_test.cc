// Simulates the nodes of a mesh that share the quota of one account, with a
// network that loses, delays and doubles messages.
#include "persimmonquay/accounts/quota_balances.h"
#include "persimmonquay/accounts/quota_keeper.h"
#include "persimmonquay/accounts/quota_placement.h"
#include <algorithm>
#include <cmath>
#include <deque>
#include <doctest/doctest.h>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>

namespace persimmonquay {
namespace {

using Seconds = std::chrono::duration<double>;

/// The window over which the quota is judged, and what may be spent in it.
constexpr Millis Window{5000};
double allowedCalls(QuotaLimit Limit) {
  return (Limit.RatePerSecond * Seconds(Window).count() + Limit.Burst) * 1.1 +
         20;
}

/// The worst case by design; see docs/design/quotas.md.
double worstCase(QuotaLimit Limit, std::size_t DataCentres) {
  const double Capacity =
      std::max(Limit.Burst,
               Limit.RatePerSecond * Seconds(MinBucketTime).count()) +
      static_cast<double>(DataCentres);
  return Capacity +
         Limit.RatePerSecond * Seconds(Window + GrantLifetime).count();
}

MonoTime at(double Time) {
  return MonoTime(std::chrono::hours(1)) +
         std::chrono::duration_cast<MonoTime::duration>(Seconds(Time));
}

struct Network {
  double Loss = 0;
  double Doubling = 0;
  /// Share of messages that take up to `LongestDelay` instead of 1 ms.
  double Late = 0;
  double LongestDelay = 3;
};

/// Nodes in data centres of equal size, one account, and callers.
class QuotaMesh {
public:
  QuotaMesh(std::size_t DataCentreCount, std::size_t NodesEach,
            QuotaLimit AccountLimit, std::uint64_t Seed)
      : DataCentres(DataCentreCount), Limit(AccountLimit), Random(Seed) {
    for (std::size_t I = 0; I < DataCentreCount * NodesEach; ++I) {
      Members["dc-" + std::to_string(I % DataCentreCount)].push_back(
          "n-" + std::to_string(I));
      Nodes.emplace_back();
    }
    for (std::size_t I = 0; I < Nodes.size(); ++I)
      start(I);
  }

  struct Node {
    std::unique_ptr<QuotaPlacement> Placement;
    std::unique_ptr<QuotaKeeper> Keeper;
    std::unique_ptr<QuotaBalances> Balances;
    std::size_t Waiting = 0;
    bool HasTimer = false;
    std::uint64_t Run = 0;
    bool IsDown = false;
    double PausedUntil = 0;
    /// What happened during a pause.
    std::vector<std::function<void()>> Backlog;
    std::uint64_t Calls = 0;
    std::uint64_t Admitted = 0;
    /// Number of the part of the network that the node is in.
    int Part = 0;
  };

  void start(std::size_t I) {
    Node &Each = Nodes[I];
    ++Each.Run;
    Each.IsDown = false;
    Each.Waiting = 0;
    Each.HasTimer = false;
    Each.Backlog.clear();
    const std::string Own = "n-" + std::to_string(I);
    Each.Placement = std::make_unique<QuotaPlacement>(
        Own, "dc-" + std::to_string(I % DataCentres));
    Each.Placement->setMembers(Members, now());
    Each.Keeper = std::make_unique<QuotaKeeper>(*Each.Placement);
    Each.Keeper->setLimits({{Account, Limit}}, now());
    Each.Keeper->start(now());
    Each.Balances = std::make_unique<QuotaBalances>(
        *Each.Placement, [this, I](const std::string &Name) {
          const Node &Other = Nodes[std::stoul(Name.substr(2))];
          return !Other.IsDown && Other.Part == Nodes[I].Part;
        });
  }

  void after(double Delay, std::function<void()> Action) {
    Events.push({Time + Delay, NextEvent++, std::move(Action)});
  }

  /// Runs something at a node, after a pause of that node if there is one.
  void runAt(std::size_t I, std::uint64_t Run, std::function<void()> Action) {
    Node &Each = Nodes[I];
    if (Each.IsDown || Each.Run != Run)
      return;
    if (Time < Each.PausedUntil)
      Each.Backlog.push_back(std::move(Action));
    else
      Action();
  }

  void pause(std::size_t I, double Duration) {
    Nodes[I].PausedUntil = Time + Duration;
    after(Duration + 1e-6, [this, I] {
      for (const auto &Action : std::exchange(Nodes[I].Backlog, {}))
        Action();
    });
  }

  void send(std::size_t From, std::size_t To,
            const std::function<void()> &Deliver) {
    const int Copies = From == To ? 1
                       : chance(Messages.Loss)
                           ? 0
                           : 1 + (chance(Messages.Doubling) ? 1 : 0);
    for (int Copy = 0; Copy < Copies; ++Copy)
      after(From == To              ? 0
            : chance(Messages.Late) ? random(Messages.LongestDelay)
                                    : 0.001,
            [this, From, To, Deliver, Run = Nodes[To].Run] {
              if (Nodes[From].Part == Nodes[To].Part)
                runAt(To, Run, Deliver);
            });
  }

  void sendAsks(std::size_t I) {
    for (auto &[Name, Ask] : Nodes[I].Balances->takeAsks(now())) {
      const std::size_t To = std::stoul(Name.substr(2));
      ++AskCount;
      send(I, To, [this, I, To, Ask = Ask, Run = Nodes[I].Run] {
        proto::QuotaGrant Grant = Nodes[To].Keeper->handle(Ask, now());
        send(To, I, [this, I, Run, Grant] {
          if (Nodes[I].Run == Run)
            handleGrant(I, Grant);
        });
      });
    }
  }

  void handleGrant(std::size_t I, const proto::QuotaGrant &Grant) {
    if (!Nodes[I].Balances->handleGrant(Grant, now()).empty())
      resumeAll(I);
  }

  void resumeAll(std::size_t I) {
    for (std::size_t Left = std::exchange(Nodes[I].Waiting, 0); Left > 0;
         --Left)
      apply(I, Nodes[I].Balances->resume(Account, now()));
    sendAsks(I);
  }

  void apply(std::size_t I, const QuotaDecision &Decision) {
    Node &Each = Nodes[I];
    if (Decision.Verdict == QuotaDecision::Kind::Wait) {
      ++Each.Waiting;
      if (!std::exchange(Each.HasTimer, true))
        after(Seconds(AskTimeout).count(), [this, I, Run = Each.Run] {
          runAt(I, Run, [this, I] {
            Nodes[I].HasTimer = false;
            resumeAll(I);
          });
        });
    } else if (Decision.Verdict == QuotaDecision::Kind::Admitted) {
      ++Each.Admitted;
      Spent.push_back(Time);
    } else {
      RefusesWithTime = RefusesWithTime && Decision.RetryAfter > Millis(0);
    }
  }

  /// Calls arrive at a node at random times until `End`.
  void callers(std::size_t I, double PerSecond, double End) {
    const double Pause =
        std::exponential_distribution<double>(PerSecond)(Random);
    if (Time + Pause > End)
      return;
    after(Pause, [this, I, PerSecond, End] {
      Node &Each = Nodes[I];
      if (!Each.IsDown) {
        runAt(I, Each.Run, [this, I] {
          ++Nodes[I].Calls;
          apply(I, Nodes[I].Balances->admit(Account, now()));
          sendAsks(I);
        });
      }
      callers(I, PerSecond, End);
    });
  }

  void run(double End) {
    while (!Events.empty() && Events.top().At <= End) {
      const Event Next = Events.top();
      Events.pop();
      Time = Next.At;
      Next.Action();
    }
    Time = End;
  }

  /// Returns the largest number of calls spent in one window that begins at
  /// `Start` or later.
  std::size_t mostInWindow(double Start = 0) const {
    std::size_t Most = 0;
    std::size_t First = 0;
    for (std::size_t I = 0; I < Spent.size(); ++I) {
      while (Spent[First] < Start ||
             Spent[I] - Spent[First] > Seconds(Window).count())
        if (++First > I)
          break;
      Most = std::max(Most, I + 1 - std::min(First, I + 1));
      First = std::min(First, I);
    }
    return Most;
  }

  std::size_t spentBetween(double Start, double End) const {
    return static_cast<std::size_t>(
        std::count_if(Spent.begin(), Spent.end(), [Start, End](double At) {
          return At >= Start && At < End;
        }));
  }

  void resetCounts() {
    for (Node &Each : Nodes)
      Each.Calls = Each.Admitted = 0;
  }

  double admittedShare() const {
    std::uint64_t Calls = 0;
    std::uint64_t Admitted = 0;
    for (const Node &Each : Nodes) {
      Calls += Each.Calls;
      Admitted += Each.Admitted;
    }
    return static_cast<double>(Admitted) / static_cast<double>(Calls);
  }

  bool chance(double Probability) { return random(1) < Probability; }
  double random(double Below) {
    return std::uniform_real_distribution<double>(0, Below)(Random);
  }
  MonoTime now() const { return at(Time); }

  std::size_t DataCentres;
  QuotaLimit Limit;
  Network Messages;
  AccountHash Account = accountHash("reseller");
  QuotaPlacement::Members Members;
  std::vector<Node> Nodes;
  std::vector<double> Spent;
  std::uint64_t AskCount = 0;
  /// Whether every refusal said when there is room.
  bool RefusesWithTime = true;
  double Time = 0;

private:
  struct Event {
    double At;
    std::uint64_t Number;
    std::function<void()> Action;
    bool operator<(const Event &Other) const {
      return std::pair(At, Number) > std::pair(Other.At, Other.Number);
    }
  };
  std::mt19937_64 Random;
  std::priority_queue<Event> Events;
  std::uint64_t NextEvent = 0;
};

TEST_CASE("the worst case of the design is within the bound") {
  for (const double Rate : {0.1, 1.0, 4.0, 30.0, 663.0, 20000.0})
    for (const double Burst : {0.0, 1.0, Rate, 5 * Rate})
      for (const std::size_t DataCentres : {1U, 4U, 16U})
        CHECK(worstCase({Rate, Burst}, DataCentres) <=
              allowedCalls({Rate, Burst}));
}

/// Returns the share of calls that one bucket for the whole mesh would admit.
double shareOfOneBucket(QuotaLimit Limit, double PerSecond, double End) {
  std::mt19937_64 Random(1);
  std::exponential_distribution<double> Pause(PerSecond);
  double Calls = Limit.Burst;
  double Arrived = 0;
  double Admitted = 0;
  for (double Time = 0, Next = Pause(Random); Time + Next < End;
       Time += Next, Next = Pause(Random)) {
    Calls = std::min(Limit.Burst, Calls + Next * Limit.RatePerSecond);
    ++Arrived;
    if (Calls >= 1) {
      --Calls;
      ++Admitted;
    }
  }
  return Admitted / Arrived;
}

TEST_CASE("callers get their quota, spread over nodes or at one node") {
  for (const QuotaLimit Limit :
       {QuotaLimit{4, 4}, QuotaLimit{60, 60}, QuotaLimit{663, 663}})
    for (const double Load : {0.5, 0.8, 7.0})
      for (const bool IsCrowded : {false, true}) {
        CAPTURE(Limit.RatePerSecond);
        CAPTURE(Load);
        CAPTURE(IsCrowded);
        const double End = 2 + 4000 / Limit.RatePerSecond;
        QuotaMesh Mesh(4, 5, Limit, 1);
        const std::size_t Callers = IsCrowded ? 1 : Mesh.Nodes.size();
        const double PerSecond = Limit.RatePerSecond * Load;
        for (std::size_t I = 0; I < Callers; ++I)
          Mesh.callers(I, PerSecond / static_cast<double>(Callers), End);
        Mesh.run(2);
        Mesh.resetCounts();
        Mesh.run(End);
        CHECK(Mesh.admittedShare() >
              0.95 * shareOfOneBucket(Limit, PerSecond, 1000));
        CHECK(static_cast<double>(Mesh.mostInWindow()) <= worstCase(Limit, 4));
        CHECK(Mesh.RefusesWithTime);
      }
}

TEST_CASE("calls held in advance hardly expire") {
  // Some 10 calls a second at each node, a little beyond the quota in all.
  const QuotaLimit Limit{663, 663};
  QuotaMesh Mesh(4, 18, Limit, 1);
  for (std::size_t I = 0; I < Mesh.Nodes.size(); ++I)
    Mesh.callers(I, 1.2 * Limit.RatePerSecond / 72, 15);
  Mesh.run(15);
  CHECK(static_cast<double>(Mesh.spentBetween(5, 15)) >
        0.97 * 10 * Limit.RatePerSecond);
}

TEST_CASE("callers that move to one node get the quota within a second") {
  const QuotaLimit Limit{200, 200};
  QuotaMesh Mesh(4, 5, Limit, 2);
  for (std::size_t I = 0; I < Mesh.Nodes.size(); ++I)
    Mesh.callers(I, 1.2 * Limit.RatePerSecond / 20, 10);
  Mesh.run(10);
  Mesh.callers(3, 3 * Limit.RatePerSecond, 15);
  Mesh.run(15);
  CHECK(static_cast<double>(Mesh.spentBetween(11, 15)) >
        0.95 * 4 * Limit.RatePerSecond);
}

TEST_CASE("a data centre that is cut off goes on with its share") {
  const QuotaLimit Limit{100, 100};
  QuotaMesh Mesh(4, 5, Limit, 3);
  for (std::size_t I = 0; I < Mesh.Nodes.size(); ++I)
    Mesh.callers(I, 2 * Limit.RatePerSecond / 20, 20);
  Mesh.run(5);
  for (std::size_t I = 0; I < Mesh.Nodes.size(); I += 4)
    Mesh.Nodes[I].Part = 1;
  Mesh.run(7);
  Mesh.resetCounts();
  Mesh.run(20);
  std::uint64_t InCut = 0;
  for (std::size_t I = 0; I < Mesh.Nodes.size(); I += 4)
    InCut += Mesh.Nodes[I].Admitted;
  CHECK(static_cast<double>(InCut) > 0.95 * 13 * Limit.RatePerSecond / 4);
  CHECK(static_cast<double>(Mesh.spentBetween(7, 20)) >
        0.95 * 13 * Limit.RatePerSecond);
}

TEST_CASE("calls wait for grants of busy nodes") {
  const QuotaLimit Limit{50, 50};
  QuotaMesh Mesh(1, 20, Limit, 6);
  // Links between hosts are full, so that a grant takes up to 0.28 s.
  Mesh.Messages.Late = 1;
  Mesh.Messages.LongestDelay = 0.14;
  for (std::size_t I = 0; I < Mesh.Nodes.size(); ++I)
    Mesh.callers(I, 0.6 * Limit.RatePerSecond / 20, 40);
  Mesh.run(40);
  CHECK(Mesh.admittedShare() > 0.95);
}

TEST_CASE("a keeper that doesn't reply costs its share only") {
  const QuotaLimit Limit{100, 100};
  QuotaMesh Mesh(4, 5, Limit, 4);
  for (std::size_t I = 0; I < Mesh.Nodes.size(); ++I)
    Mesh.callers(I, 2 * Limit.RatePerSecond / 20, 20);
  const std::string Keeper =
      Mesh.Nodes[0].Placement->keepers(Mesh.Account).front();
  SUBCASE("paused") { Mesh.pause(std::stoul(Keeper.substr(2)), 20); }
  SUBCASE("down") { Mesh.Nodes[std::stoul(Keeper.substr(2))].IsDown = true; }
  Mesh.run(20);
  CHECK(static_cast<double>(Mesh.spentBetween(2, 20)) >
        0.95 * 0.75 * 18 * Limit.RatePerSecond);
}

TEST_CASE("the limit holds in every window, whatever fails") {
  double Tightest = 0;
  for (std::uint64_t Seed = 1; Seed <= 1500; ++Seed) {
    CAPTURE(Seed);
    std::mt19937_64 Random(Seed);
    const auto Below = [&Random](double Limit) {
      return std::uniform_real_distribution<double>(0, Limit)(Random);
    };
    const auto Pick = [&Below](std::size_t Count) {
      return static_cast<std::size_t>(Below(static_cast<double>(Count)));
    };
    const double Rate = std::exp(Below(std::log(100.0)));
    const QuotaLimit Limit{Rate, Below(2) * Rate};
    const std::size_t DataCentres = 1 + Pick(4);
    QuotaMesh Mesh(DataCentres, 1 + Pick(4), Limit, Seed);
    if (Pick(2) == 0)
      Mesh.Messages = {Below(0.3), Below(0.3), Below(0.3)};
    const double End = 12;
    // Callers crowd at some nodes and may be quiet until the bucket is full.
    const std::size_t Callers = 1 + Pick(Mesh.Nodes.size());
    const double Start = Below(6);
    const double Load = 0.5 + Below(5);
    Mesh.after(Start, [&Mesh, Callers, Rate, Load, End] {
      for (std::size_t I = 0; I < Callers; ++I)
        Mesh.callers(I, Rate * Load / static_cast<double>(Callers), End);
    });
    for (std::size_t Faults = Pick(5); Faults > 0; --Faults) {
      const double At = Below(End);
      const double Duration = Below(4);
      const std::size_t Node = Pick(Mesh.Nodes.size());
      switch (Pick(5)) {
      case 0: // A data centre is cut off.
        for (std::size_t I = 0; I < Mesh.Nodes.size(); ++I)
          if (I % DataCentres == Node % DataCentres) {
            Mesh.after(At, [&Mesh, I] { Mesh.Nodes[I].Part = 1; });
            Mesh.after(At + Duration, [&Mesh, I] { Mesh.Nodes[I].Part = 0; });
          }
        break;
      case 1: // A node is cut off.
        Mesh.after(At, [&Mesh, Node] { Mesh.Nodes[Node].Part = 2; });
        Mesh.after(At + Duration, [&Mesh, Node] { Mesh.Nodes[Node].Part = 0; });
        break;
      case 2:
        Mesh.after(At, [&Mesh, Node, Duration] { Mesh.pause(Node, Duration); });
        break;
      case 3: // A node ends and starts again.
        Mesh.after(At, [&Mesh, Node] { Mesh.Nodes[Node].IsDown = true; });
        Mesh.after(At + Duration / 4, [&Mesh, Node] { Mesh.start(Node); });
        break;
      default: // All nodes start again.
        for (std::size_t I = 0; I < Mesh.Nodes.size(); ++I)
          Mesh.after(At, [&Mesh, I] { Mesh.start(I); });
      }
    }
    Mesh.run(End);
    CHECK(Mesh.RefusesWithTime);
    const auto Most = static_cast<double>(Mesh.mostInWindow());
    CHECK(Most <= worstCase(Limit, DataCentres));
    CHECK(Most <= allowedCalls(Limit));
    Tightest = std::max(Tightest, Most / worstCase(Limit, DataCentres));
  }
  // Otherwise the seeds don't come near the limit.
  CHECK(Tightest > 0.9);
}

TEST_CASE("granted calls last from the ask, not from the grant") {
  const AccountHash Account = accountHash("reseller");
  const QuotaPlacement Placement("n-0", "dc-0");
  QuotaBalances Balances(Placement, [](const std::string &) { return true; });
  const MonoTime Start = at(0);
  REQUIRE(Balances.admit(Account, Start).Verdict == QuotaDecision::Kind::Wait);
  const auto Asks = Balances.takeAsks(Start);
  REQUIRE(Asks.size() == 1);
  CHECK(Asks.front().second.ByteSizeLong() <= 20);
  proto::QuotaGrant Grant;
  Grant.set_id(Asks.front().second.id());
  Grant.add_granted(3);
  Grant.add_retry_after_ms(0);
  const auto TimeOfGrant = [&](Millis After) {
    Balances.handleGrant(Grant, Start + After);
    return Start + After;
  };
  SUBCASE("spent in time, given back and spent again") {
    const MonoTime Now = TimeOfGrant(Millis(300));
    CHECK(Balances.handleGrant(Grant, Now).empty()); // The same once more.
    QuotaDecision Last;
    for (int I = 0; I < 3; ++I) {
      Last = Balances.resume(Account, Now);
      CHECK(Last.Verdict == QuotaDecision::Kind::Admitted);
    }
    CHECK(Balances.admit(Account, Now).Verdict == QuotaDecision::Kind::Wait);
    Balances.giveBack(Last.Charge, Now);
    CHECK(Balances.resume(Account, Now).Verdict ==
          QuotaDecision::Kind::Admitted);
    Balances.giveBack(Last.Charge, Start + GrantLifetime);
    CHECK(Balances.admit(Account, Start + GrantLifetime).Verdict ==
          QuotaDecision::Kind::Wait);
  }
  SUBCASE("expired while held") {
    TimeOfGrant(Millis(300));
    CHECK(Balances.resume(Account, Start + GrantLifetime).Verdict ==
          QuotaDecision::Kind::Wait);
  }
  SUBCASE("arrived too late") {
    CHECK(Balances.resume(Account, TimeOfGrant(GrantLifetime)).Verdict ==
          QuotaDecision::Kind::Wait);
  }
}

TEST_CASE("a node that succeeds a keeper waits and starts empty") {
  const auto Now = at(100);
  QuotaPlacement Before("n-0", "dc-0");
  QuotaPlacement::Members Members{{"dc-0", {"n-0", "n-1", "n-2"}}};
  Before.setMembers(Members, at(0));
  AccountHash Account = 0;
  while (Before.keepers(Account).front() != "n-1")
    ++Account;
  CHECK(Before.grantsFrom(Account, at(0)) == MonoTime::max());
  Members["dc-0"].erase(Members["dc-0"].begin() + 1);
  Before.setMembers(Members, Now);
  while (Before.grantsFrom(Account, at(0)) == MonoTime::max() ||
         Before.grantsFrom(Account, at(0)) == at(0))
    ++Account;
  CHECK(Before.grantsFrom(Account, at(0)) > Now + GrantLifetime);
  QuotaKeeper Keeper(Before);
  Keeper.start(at(0));
  Keeper.setLimits({{Account, {10, 10}}}, at(0));
  proto::QuotaAsk Ask;
  Ask.add_accounts(Account);
  Ask.add_wanted(5);
  Ask.set_from_own_data_centre(true);
  CHECK(Keeper.handle(Ask, Now).granted(0) == 0);
  CHECK(Keeper.handle(Ask, Before.grantsFrom(Account, at(0))).granted(0) == 0);
  CHECK(Keeper.handle(Ask, Now + Millis(60000)).granted(0) == 5);

  // Another keeper comes and leaves again.
  const QuotaPlacement::Members Without = Members;
  for (int I = 3; Before.keepers(Account).front() == "n-0"; ++I) {
    Members["dc-0"].push_back("n-" + std::to_string(I));
    Before.setMembers(Members, Now + Millis(70000));
  }
  CHECK(Keeper.handle(Ask, Now + Millis(75000)).granted(0) == 0);
  Before.setMembers(Without, Now + Millis(80000));
  CHECK(Keeper.handle(Ask, Before.grantsFrom(Account, at(0)) + Millis(100))
            .granted(0) == 1);
}

TEST_CASE("odd asks and grants") {
  const QuotaPlacement Placement("n-0", "dc-0");
  QuotaKeeper Keeper(Placement);
  proto::QuotaAsk Ask;
  Ask.add_accounts(7);
  CHECK(Keeper.handle(Ask, at(0)).not_ready());
  Keeper.start(at(0));
  CHECK(Keeper.handle(Ask, at(0)).not_ready());
  Keeper.setLimits({{7, {1e9, 0}}, {8, {1e-9, 0}}}, at(0));
  CHECK(Keeper.handle(Ask, at(1)).granted_size() == 0);
  Ask.add_accounts(8);
  Ask.add_wanted(0xFFFFFFFF);
  Ask.add_wanted(1);
  const proto::QuotaGrant Grant = Keeper.handle(Ask, at(1));
  REQUIRE(Grant.granted_size() == 2);
  CHECK(Grant.granted(0) > 0);
  CHECK(Grant.granted(1) == 0);
  CHECK(Grant.retry_after_ms(1) > 0);
  QuotaBalances Balances(Placement, [](const std::string &) { return true; });
  Balances.admit(7, at(0));
  proto::QuotaGrant Short;
  Short.set_id(Balances.takeAsks(at(0)).front().second.id());
  Balances.handleGrant(Short, at(0));
  CHECK(Balances.resume(7, at(0)).Verdict == QuotaDecision::Kind::Unavailable);
}

TEST_CASE("messages of an account far beyond its quota don't grow with nodes") {
  for (const std::size_t NodesEach : {5, 40}) {
    CAPTURE(NodesEach);
    const QuotaLimit Limit{100, 100};
    QuotaMesh Mesh(2, NodesEach, Limit, 5);
    for (std::size_t I = 0; I < Mesh.Nodes.size(); ++I)
      Mesh.callers(I, 20 * Limit.RatePerSecond / (2.0 * NodesEach), 12);
    Mesh.run(2);
    const std::uint64_t Before = Mesh.AskCount;
    Mesh.run(12);
    // Nodes that got all they wanted come back as well, at most once for each
    // call that is granted.
    CHECK(static_cast<double>(Mesh.AskCount - Before) / 10 <
          2 * 50 + Limit.RatePerSecond);
    CHECK(static_cast<double>(Mesh.spentBetween(2, 12)) >
          0.95 * 10 * Limit.RatePerSecond);
  }
}

TEST_CASE("a lower limit binds once all nodes have it") {
  for (std::uint64_t Seed = 1; Seed <= 100; ++Seed) {
    CAPTURE(Seed);
    QuotaMesh Mesh(4, 3, {100, 100}, Seed);
    const QuotaLimit Lower{10, 5};
    for (std::size_t I = 0; I < Mesh.Nodes.size(); ++I) {
      Mesh.callers(I, 20, 20);
      Mesh.after(5 + Mesh.random(2.5), [&Mesh, Lower, I] {
        Mesh.Nodes[I].Keeper->setLimits({{Mesh.Account, Lower}}, Mesh.now());
        Mesh.Nodes[I].Balances->dropHeldCalls(Mesh.Account);
      });
    }
    Mesh.run(20);
    CHECK(static_cast<double>(Mesh.mostInWindow(7.5)) <= allowedCalls(Lower));
    CHECK(static_cast<double>(Mesh.spentBetween(8, 20)) >
          0.95 * 12 * Lower.RatePerSecond);
  }
}

} // namespace
} // namespace persimmonquay
