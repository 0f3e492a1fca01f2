#include "persimmonquay/base/checked_json.h"
#include "persimmonquay/base/hashing.h"
#include "persimmonquay/base/rcu_pointer.h"
#include "proto/settings.pb.h"
#include <atomic>
#include <doctest/doctest.h>
#include <set>
#include <thread>
#include <vector>

namespace persimmonquay {
namespace {

std::string problemsOf(std::string_view Text) {
  proto::NodeSettings Settings;
  return std::string(readCheckedJson(Text, "f.json", &Settings).message());
}

TEST_CASE("checked JSON reads comments and fills the message") {
  proto::NodeSettings Settings;
  REQUIRE(readCheckedJson("// a comment\n{\"node\": \"a\", /* b */ "
                          "\"peer_port\": 7, \"seeds\": [\"x\"]}",
                          "f.json", &Settings)
              .ok());
  CHECK(Settings.node() == "a");
  CHECK(Settings.peer_port() == 7);
  CHECK(Settings.seeds(0) == "x");
}

TEST_CASE("checked JSON reports an unknown key, its line and the nearest key") {
  const std::string Problem = problemsOf("{\n\"node\": \"a\",\n\"seedz\": []}");
  CHECK(Problem == "f.json:3: unknown key \"seedz\"; did you mean \"seeds\"?");
}

TEST_CASE("checked JSON reports all problems and leaves the target unchanged") {
  proto::NodeSettings Settings;
  Settings.set_node("before");
  const absl::Status Status = readCheckedJson(
      "{\"node\": 1, \"peer_port\": \"x\", \"probe_interval_ms\": -1}",
      "f.json", &Settings);
  const std::string Text(Status.message());
  CHECK(Text.find("\"node\" must be a string") != std::string::npos);
  CHECK(Text.find("\"peer_port\" must be a whole number") != std::string::npos);
  CHECK(Text.find("\"probe_interval_ms\" must be a whole number of "
                  "milliseconds") != std::string::npos);
  CHECK(Settings.node() == "before");
}

TEST_CASE("checked JSON rejects a duplicate key") {
  CHECK(problemsOf("{\"node\": \"a\", \"node\": \"b\"}") ==
        "f.json: duplicate key \"node\" in one object");
}

TEST_CASE("checked JSON rejects text that is not a JSON object") {
  CHECK_FALSE(problemsOf("{\"node\": ").empty());
  CHECK_FALSE(problemsOf("[]").empty());
}

TEST_CASE("nearest word corrects a typing error and ignores distant words") {
  CHECK(nearestWord("pubish", {"publish", "show"}) == "publish");
  CHECK(nearestWord("elephant", {"publish", "show"}).empty());
}

TEST_CASE("rendezvous weights spread keys evenly over nodes") {
  std::vector<int> KeysOfNode(5);
  for (int Key = 0; Key < 1000; ++Key) {
    int Best = 0;
    for (int Node = 1; Node < 5; ++Node)
      if (rendezvousWeight(std::to_string(Key), std::to_string(Node)) >
          rendezvousWeight(std::to_string(Key), std::to_string(Best)))
        Best = Node;
    ++KeysOfNode[static_cast<std::size_t>(Best)];
  }
  for (int Count : KeysOfNode) {
    CHECK(Count > 120);
    CHECK(Count < 280);
  }
}

TEST_CASE("hashes are the same in every process") {
  // The published XXH64 of an empty input with seed 0.
  CHECK(hashToHex(hashBytes("")) == "ef46db3751d8e999");
}

TEST_CASE("readers of an RCU pointer see the whole old or new value") {
  using Pair = std::vector<int>;
  RcuPointer<Pair> Pointer(std::make_unique<const Pair>(2, 0));
  std::atomic<bool> Stop = false;
  std::atomic<int> WrongReads = 0;
  constexpr std::size_t ReaderCount = 4;
  std::vector<std::thread> Readers;
  Readers.reserve(ReaderCount);
  for (std::size_t I = 0; I < ReaderCount; ++I)
    Readers.emplace_back([&] {
      int Newest = 0;
      while (!Stop) {
        const int Seen = Pointer.read(
            [&](const Pair &P) { return P[0] == P[1] ? P[0] : -1; });
        WrongReads += Seen < Newest ? 1 : 0;
        Newest = Seen;
      }
    });
  for (int I = 1; I <= 200; ++I)
    Pointer.replace(std::make_unique<const Pair>(2, I));
  Stop = true;
  for (std::thread &Reader : Readers)
    Reader.join();
  CHECK(WrongReads == 0);
  CHECK(Pointer.read([](const Pair &P) { return P[0]; }) == 200);
}

} // namespace
} // namespace persimmonquay
