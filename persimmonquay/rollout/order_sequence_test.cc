#include "persimmonquay/base/record_position.h"
#include "persimmonquay/rollout/order_sequence.h"
#include "persimmonquay/rollout/rollout_table.h"
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <doctest/doctest.h>
#include <optional>
#include <vector>

namespace persimmonquay {
namespace {

std::uint64_t at(std::uint64_t Era, std::uint64_t Offset) {
  return RecordPosition{Era, Offset}.number();
}

proto::RolloutProgress progressOf(std::uint64_t Number,
                                  const std::string &Version,
                                  proto::RolloutState State,
                                  std::uint32_t Share = 0) {
  proto::RolloutProgress Result;
  Result.mutable_order()->set_service("gallery");
  Result.mutable_order()->set_target_version(Version);
  Result.mutable_order()->set_number(Number);
  Result.set_state(State);
  Result.set_share_permille(Share);
  return Result;
}

/// Returns how many of 1000 calls go to version `Target`.
int callsTo(RolloutTable &Table, const std::string &Target) {
  int Result = 0;
  for (int Call = 0; Call < 1000; ++Call)
    Result += Table.chooseVersions("gallery").allows(Target) ? 1 : 0;
  return Result;
}

} // namespace

TEST_CASE("an order that is written again repeats the one before") {
  const std::map<std::uint64_t, std::uint64_t> Found =
      originalOrders({{at(1, 3), "v2"},
                      {at(1, 4), "v2"},
                      {at(1, 7), "v3"},
                      // Back to the earlier version.
                      {at(1, 9), "v2"}});
  CHECK(Found.at(at(1, 4)) == at(1, 3));
  CHECK(Found.at(at(1, 7)) == at(1, 7));
  CHECK(Found.at(at(1, 9)) == at(1, 9));
}

TEST_CASE("an order that was lost or kept by a restore is the same order") {
  const std::map<std::uint64_t, std::uint64_t> Found =
      originalOrders({{at(1, 3), "v2"},
                      {at(1, 7), "v3"},
                      // Listed after a restore that had lost the order of v3.
                      {at(2, 3), "v2"},
                      // The order of v3, written again.
                      {at(2, 5), "v3"},
                      {at(2, 6), "v4"},
                      // Listed after another restore.
                      {at(3, 5), "v3"},
                      {at(3, 6), "v4"}});
  CHECK(Found.at(at(2, 3)) == at(1, 3));
  CHECK(Found.at(at(2, 5)) == at(1, 7));
  CHECK(Found.at(at(2, 6)) == at(2, 6));
  CHECK(Found.at(at(3, 5)) == at(1, 7));
  CHECK(Found.at(at(3, 6)) == at(2, 6));
}

TEST_CASE("an older order that a restore brings back is superseded") {
  std::map<std::uint64_t, std::string> Known = {{at(1, 7), "v3"},
                                                {at(2, 3), "v2"}};
  // It may be a new one until the newer one is written again.
  CHECK(originalOrders(Known).at(at(2, 3)) == at(2, 3));
  Known[at(2, 5)] = "v3";
  CHECK(originalOrders(Known).at(at(2, 3)) == SupersededOrder);
  CHECK(originalOrders(Known).at(at(2, 5)) == at(1, 7));
  RolloutTable Table;
  Table.merge(progressOf(at(1, 7), "v3", proto::COMPLETED));
  Table.merge(progressOf(at(2, 3), "v2", proto::RUNNING, 70));
  CHECK(callsTo(Table, "v2") == 70);
  Table.merge(progressOf(at(2, 5), "v3", proto::RUNNING));
  CHECK(callsTo(Table, "v3") == 1000);
}

// An order that was written twice got its share of the calls twice.
TEST_CASE("orders that are the same get one share of the calls") {
  RolloutTable Table;
  Table.merge(progressOf(at(1, 3), "v2", proto::RUNNING, 70));
  Table.merge(progressOf(at(1, 5), "v2", proto::RUNNING, 70));
  Table.merge(progressOf(at(2, 1), "v2", proto::RUNNING, 70));
  CHECK(callsTo(Table, "v2") == 70);
  CHECK(Table.running("gallery").size() == 1);
  CHECK(Table.isRepetition("gallery", at(2, 1)));
  CHECK_FALSE(Table.isRepetition("gallery", at(1, 3)));
}

// After a restore, a node that had just started took a record that the copy
// still had for a new order, and others merged its number.
TEST_CASE("a rolled back version stays so whatever a restored store says") {
  const std::vector<proto::RolloutProgress> Copies = {
      progressOf(at(1, 3), "v2", proto::ROLLED_BACK),
      progressOf(at(2, 3), "v2", proto::RUNNING, 70),
      progressOf(at(2, 6), "v2", proto::RUNNING, 70)};
  std::vector<std::size_t> Order = {0, 1, 2};
  do {
    RolloutTable Table;
    for (const std::size_t Index : Order)
      Table.merge(Copies[Index]);
    CHECK(callsTo(Table, "v2") == 0);
    CHECK(Table.running("gallery").empty());
    CHECK(Table.mostAdvanced("gallery", at(2, 6))->state() ==
          proto::ROLLED_BACK);
  } while (std::next_permutation(Order.begin(), Order.end()));
}

// Every order of five events in which an operator orders one version after the
// other, the store goes back, he writes his newest order again, and a node with
// or without memory reads: nobody takes an order for another one.
TEST_CASE("nodes agree on the newest order in every order of restores") {
  constexpr int Events = 5;
  constexpr int Kinds = 5;
  int Orders = 1;
  for (int I = 0; I < Events; ++I)
    Orders *= Kinds;
  for (int Case = 0; Case < Orders; ++Case) {
    std::vector<std::string> Log;
    std::uint64_t Era = 1;
    int Version = 1;
    std::optional<std::string> Newest;
    // What all nodes together have read, as gossip spreads it.
    std::map<std::uint64_t, std::string> Known;
    std::string Played;
    const auto Read = [&] {
      if (!Log.empty())
        Known[at(Era, Log.size() - 1)] = Log.back();
    };
    const auto Rewrite = [&] {
      if (Newest && (Log.empty() || Log.back() != *Newest))
        Log.push_back(*Newest);
    };
    for (int I = 0, Rest = Case; I < Events; ++I, Rest /= Kinds) {
      Played.push_back("oxyrw"[Rest % Kinds]);
      switch (Played.back()) {
      case 'o':
        Newest = absl::StrCat("v", ++Version);
        Log.push_back(*Newest);
        break;
      case 'x':
      case 'y': {
        const std::size_t Lost = Played.back() == 'x' ? 1 : 2;
        Log.resize(Log.size() - std::min(Lost, Log.size()));
        ++Era;
        break;
      }
      case 'r':
        Read();
        break;
      default:
        Rewrite();
      }
    }
    Rewrite();
    Read();
    CAPTURE(Played);
    const std::map<std::uint64_t, std::uint64_t> Found = originalOrders(Known);
    std::map<std::string, std::uint64_t> Originals;
    std::uint64_t Last = 0;
    for (const auto &[Number, Original] : Found) {
      if (Original == SupersededOrder)
        continue;
      // Each version was ordered once.
      const std::string &Target = Known.at(Number);
      REQUIRE(Originals.try_emplace(Target, Original).first->second ==
              Original);
      REQUIRE(Known.at(Original) == Target);
      Last = std::max(Last, Original);
    }
    if (Newest)
      REQUIRE(Known.at(Last) == *Newest);
  }
}

} // namespace persimmonquay
