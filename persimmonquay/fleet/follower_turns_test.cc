#include "persimmonquay/fleet/follower_turns.h"
#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <set>
#include <vector>

namespace persimmonquay {
namespace {

constexpr MonoTime Start{std::chrono::hours(1)};
constexpr Millis Tick{300};

/// The nodes of a data centre, by rank. All of them know at once who follows.
class DataCentre {
public:
  explicit DataCentre(std::size_t Nodes) : Turns(Nodes), Following(Nodes) {}

  /// Lets all nodes decide, and those that try succeed if the store serves
  /// them. Returns the ranks of those that try.
  std::set<std::size_t> step(MonoTime Now,
                             const std::function<bool(std::size_t)> &Serves) {
    std::set<std::size_t> Tries;
    std::size_t HigherFollowers = 0;
    std::vector<bool> Next(this->Following.size());
    for (std::size_t Rank = 0; Rank < this->Turns.size(); ++Rank) {
      FollowerTurns::Standing Standing;
      Standing.Nodes = this->Turns.size();
      Standing.HigherRanked = Rank;
      Standing.HigherFollowers = HigherFollowers;
      Standing.IsFollowing = this->Following[Rank];
      HigherFollowers += this->Following[Rank] ? 1 : 0;
      if (!this->Turns[Rank].shouldFollow(Standing, Now))
        continue;
      Tries.insert(Rank);
      Next[Rank] = Serves(Rank);
    }
    this->Following = std::move(Next);
    return Tries;
  }

  std::size_t followers() const {
    return static_cast<std::size_t>(
        std::count(this->Following.begin(), this->Following.end(), true));
  }

private:
  std::vector<FollowerTurns> Turns;
  std::vector<bool> Following;
};

const auto ServesAll = [](std::size_t) { return true; };
const auto ServesNone = [](std::size_t) { return false; };

} // namespace

TEST_CASE("the two nodes that rank highest follow, the others rely on them") {
  DataCentre Nodes(579);
  for (int I = 0; I < 10; ++I)
    Nodes.step(Start + I * Tick, ServesAll);
  CHECK(Nodes.step(Start + 10 * Tick, ServesAll) ==
        std::set<std::size_t>{0, 1});
}

TEST_CASE("a store that serves nobody is called by a few nodes at a time") {
  constexpr std::size_t Size = 579;
  DataCentre Nodes(Size);
  std::set<std::size_t> Tried;
  // All take their turns in this time.
  const MonoTime End = Start + FollowerTurns::TurnLength * 150;
  for (MonoTime Now = Start; Now < End; Now += Tick) {
    const std::set<std::size_t> Tries = Nodes.step(Now, ServesNone);
    CHECK(Tries.size() <=
          FollowerTurns::Followers + FollowerTurns::NodesPerTurn);
    CHECK(Tries.contains(0));
    CHECK(Tries.contains(1));
    Tried.insert(Tries.begin(), Tries.end());
  }
  CHECK(Tried.size() == Size);
  // When it is back, the first two follow and the others stop.
  for (int I = 0; I < 3; ++I)
    Nodes.step(End + I * Tick, ServesAll);
  CHECK(Nodes.step(End + 3 * Tick, ServesAll) == std::set<std::size_t>{0, 1});
}

TEST_CASE("a store that turns the higher-ranked nodes away gets followers") {
  for (const std::size_t FirstServed : {1U, 2U, 5U, 6U, 30U, 200U}) {
    CAPTURE(FirstServed);
    DataCentre Nodes(240);
    const auto Serves = [FirstServed](std::size_t Rank) {
      return Rank >= FirstServed;
    };
    MonoTime Now = Start;
    while (Nodes.followers() < FollowerTurns::Followers &&
           Now < Start + std::chrono::minutes(10)) {
      Nodes.step(Now, Serves);
      Now += Tick;
    }
    CHECK(Now - Start <=
          FollowerTurns::TurnLength *
                  (1 + FirstServed / FollowerTurns::NodesPerTurn) +
              Tick);
    // They go on although the turn has passed to others.
    for (int I = 0; I < 300; ++I) {
      const std::set<std::size_t> Tries = Nodes.step(Now + I * Tick, Serves);
      CHECK(Nodes.followers() >= FollowerTurns::Followers);
      CHECK(Tries.size() <=
            2 * FollowerTurns::Followers + 2 * FollowerTurns::NodesPerTurn);
    }
  }
}

// The store serves only a few nodes, and is silent for all for a while.
TEST_CASE("followers that a silent store has interrupted go on trying") {
  DataCentre Nodes(579);
  const auto Serves = [](std::size_t Rank) { return Rank >= 40 && Rank < 44; };
  MonoTime Now = Start;
  for (; Nodes.followers() < FollowerTurns::Followers; Now += Tick) {
    REQUIRE(Now < Start + std::chrono::minutes(10));
    Nodes.step(Now, Serves);
  }
  const MonoTime End = Now + std::chrono::seconds(20);
  for (; Now < End; Now += Tick)
    Nodes.step(Now, ServesNone);
  Nodes.step(Now, Serves);
  CHECK(Nodes.followers() >= FollowerTurns::Followers);
}

TEST_CASE("in a small data centre all nodes try at once") {
  DataCentre Nodes(6);
  CHECK(Nodes.step(Start, ServesNone).size() == 6);
  DataCentre One(1);
  CHECK(One.step(Start, ServesNone).size() == 1);
}

} // namespace persimmonquay
