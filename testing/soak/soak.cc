// Soak test: runs nodes as separate processes, injects random faults and checks
// the guarantees to callers and upstreams.
//
//   soak --seeds 1,2,3 --seconds 10
#include "testing/soak/call_ledger.h"
#include "testing/soak/soak_caller.h"
#include "testing/soak/soak_world.h"
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <atomic>
#include <boost/program_options.hpp>
#include <iostream>
#include <thread>

namespace persimmonquay::testing {
namespace {

constexpr int CallerCount = 4;

/// Longest time from one injection of a fault to the next.
constexpr int MaxFaultIntervalMs = 500;

/// Runs the soak test with one seed, injecting faults for `Duration`. Returns
/// whether every guarantee held.
bool runSeed(std::uint64_t Seed, Millis Duration) {
  std::cout << "seed " << Seed << "\n";
  CallLedger Ledger;
  SoakWorld World(Seed, Ledger);
  std::atomic<bool> Stop = false;
  std::vector<std::thread> Threads;
  Threads.reserve(CallerCount);
  for (int I = 0; I < CallerCount; ++I)
    Threads.emplace_back([&, I] {
      runSoakCaller(World.callerPorts(), Seed * CallerCount + I,
                    absl::StrCat("c", I), Stop, Ledger);
    });
  std::mt19937_64 PauseRandom(Seed);
  const MonoTime End = monoNow() + Duration;
  MonoTime NextFault = monoNow();
  while (monoNow() < End) {
    World.step();
    if (monoNow() >= NextFault) {
      World.injectFault();
      NextFault = monoNow() + Millis(PauseRandom() % MaxFaultIntervalMs);
    }
    std::this_thread::sleep_for(Millis(20));
  }
  World.waitForRecovery();
  Stop = true;
  for (std::thread &Thread : Threads)
    Thread.join();
  World.checkCalls();
  for (const auto &[Status, Count] : Ledger.countByStatus())
    std::cout << "status " << Status << ": " << Count << "\n";
  if (Ledger.countByStatus()[200] == 0)
    Ledger.addViolation("no call was answered with status 200");
  for (const std::string &Violation : Ledger.violations())
    std::cout << "VIOLATION with seed " << Seed << ": " << Violation << "\n";
  return Ledger.violations().empty();
}

} // namespace
} // namespace persimmonquay::testing

int main(int ArgumentCount, char **Arguments) {
  std::cout << std::unitbuf;
  namespace options = boost::program_options;
  options::options_description Description("soak");
  std::string Seeds;
  int Seconds = 0;
  Description.add_options()("help", "print this help")(
      "seeds", options::value(&Seeds)->required(),
      "comma-separated seeds or ranges FIRST-LAST")(
      "seconds", options::value(&Seconds)->default_value(10),
      "time during which faults are injected, for each seed");
  try {
    options::variables_map ParsedOptions;
    options::store(
        options::parse_command_line(ArgumentCount, Arguments, Description),
        ParsedOptions);
    if (ParsedOptions.contains("help")) {
      std::cout << Description;
      return 0;
    }
    options::notify(ParsedOptions);
  } catch (const options::error &Error) {
    std::cerr << "soak: " << Error.what() << "\n" << Description;
    return 2;
  }
  bool AllHeld = true;
  for (const std::string &Item :
       std::vector<std::string>(absl::StrSplit(Seeds, ','))) {
    const std::vector<std::string> Range = absl::StrSplit(Item, '-');
    std::uint64_t FirstSeed = 0;
    std::uint64_t LastSeed = 0;
    if (!absl::SimpleAtoi(Range.front(), &FirstSeed) ||
        !absl::SimpleAtoi(Range.back(), &LastSeed) || Range.size() > 2) {
      std::cerr << "soak: \"" << Item
                << "\" is not a seed or a range of seeds\n";
      return 2;
    }
    for (std::uint64_t Seed = FirstSeed; Seed <= LastSeed; ++Seed)
      AllHeld &=
          persimmonquay::testing::runSeed(Seed, std::chrono::seconds(Seconds));
  }
  std::cout << (AllHeld ? "every guarantee held" : "guarantees were violated")
            << "\n";
  return AllHeld ? 0 : 1;
}
