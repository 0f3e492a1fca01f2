// Runs the real program as separate processes under random faults and checks
// the promises to callers and upstreams.
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

constexpr int Callers = 4;

/// Longest pause between two faults.
constexpr int MaxPauseMs = 500;

/// Plays one seed; returns whether every promise was kept.
bool playSeed(std::uint64_t Seed, Millis Length) {
  std::cout << "seed " << Seed << "\n";
  CallLedger Ledger;
  SoakWorld World(Seed, Ledger);
  std::atomic<bool> Stop = false;
  std::vector<std::thread> Threads;
  Threads.reserve(Callers);
  for (int I = 0; I < Callers; ++I)
    Threads.emplace_back([&, I] {
      runSoakCaller(World.callerPorts(), Seed * Callers + I,
                    absl::StrCat("c", I), Stop, Ledger);
    });
  std::mt19937_64 Pauses(Seed);
  const MonoTime End = monoNow() + Length;
  MonoTime NextFault = monoNow();
  while (monoNow() < End) {
    World.step();
    if (monoNow() >= NextFault) {
      World.injectFault();
      NextFault = monoNow() + Millis(Pauses() % MaxPauseMs);
    }
    std::this_thread::sleep_for(Millis(20));
  }
  World.healAndCheck();
  Stop = true;
  for (std::thread &Each : Threads)
    Each.join();
  World.checkCalls();
  for (const auto &[Status, Count] : Ledger.countByStatus())
    std::cout << "status " << Status << ": " << Count << "\n";
  if (Ledger.countByStatus()[200] == 0)
    Ledger.complain("no call was served");
  for (const std::string &Each : Ledger.complaints())
    std::cout << "BROKEN with seed " << Seed << ": " << Each << "\n";
  return Ledger.complaints().empty();
}

} // namespace
} // namespace persimmonquay::testing

int main(int Count, char **Words) {
  std::cout << std::unitbuf;
  namespace options = boost::program_options;
  options::options_description Known("soak");
  std::string Seeds;
  int Seconds = 0;
  Known.add_options()("help", "prints this")(
      "seeds", options::value(&Seeds)->required(), "numbers, or FIRST-LAST")(
      "seconds", options::value(&Seconds)->default_value(10),
      "time in which faults strike, for each seed");
  try {
    options::variables_map Given;
    options::store(options::parse_command_line(Count, Words, Known), Given);
    if (Given.contains("help")) {
      std::cout << Known;
      return 0;
    }
    options::notify(Given);
  } catch (const options::error &Error) {
    std::cerr << "soak: " << Error.what() << "\n" << Known;
    return 2;
  }
  bool Kept = true;
  for (const std::string &Item :
       std::vector<std::string>(absl::StrSplit(Seeds, ','))) {
    const std::vector<std::string> Range = absl::StrSplit(Item, '-');
    std::uint64_t First = 0;
    std::uint64_t Last = 0;
    if (!absl::SimpleAtoi(Range.front(), &First) ||
        !absl::SimpleAtoi(Range.back(), &Last) || Range.size() > 2) {
      std::cerr << "soak: \"" << Item << "\" is no seed\n";
      return 2;
    }
    for (std::uint64_t Seed = First; Seed <= Last; ++Seed)
      Kept &=
          persimmonquay::testing::playSeed(Seed, std::chrono::seconds(Seconds));
  }
  std::cout << (Kept ? "every promise was kept" : "promises were broken")
            << "\n";
  return Kept ? 0 : 1;
}
