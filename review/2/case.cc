// A request that can't be repeated crashes each back end that runs it, some
// time after its client has left, and comes again. Checks how often it reaches
// back ends after the third crash.
#include "review/rig/rig.h"

#include <algorithm>

namespace {

using namespace review;

constexpr double StabilityWindowS = 3;
constexpr std::size_t CrashesUntilRejection = 3;
constexpr long AllowedRetries = 3;
constexpr double LengthS = 20;
/// Time for which the clients leave early.
constexpr double GiveUpS = 9;
/// Time for which the deadly request runs, and for which its client waits.
constexpr Millis RunTime{800};
constexpr Millis ClientPatience{400};
constexpr Millis ClientPause{600};

int runCase(const std::string &Folder) {
  Platform World(Folder);
  Record &Log = World.record();
  const bool Trouble = hasTrouble();
  const auto Sound = [](const Message &) { return Reaction{}; };
  const auto Fragile = [](const Message &Request) {
    Reaction Result;
    Result.Crashes = Request.word(1) == "/lift/deadly";
    Result.Work = Result.Crashes ? RunTime : Millis(5);
    return Result;
  };
  std::vector<Machine *> Fragiles;
  for (const std::string Zone : {"nashua", "bangor", "rutland"}) {
    World.add("sidecar-" + Zone + "-1", Zone, "crew-brief", "v1", Sound);
    Fragiles.push_back(
        &World.add("sidecar-" + Zone + "-2", Zone, "dispatch", "v1", Fragile));
  }
  World.publish(1,
                {{"/brief/", "crew-brief"}, {"/lift/", "dispatch", "unsafe"}});
  if (!World.awaitReady(Millis(20000)))
    return CouldNotRun;
  std::this_thread::sleep_for(Millis(4000));
  const double Start = Log.seconds();
  for (std::size_t Number = 0; Log.seconds() < Start + LengthS; ++Number) {
    const Machine &Origin = *World.machines()[Number % 3 * 2];
    const bool GivesUp = Trouble && Log.seconds() < Start + GiveUpS;
    const std::string Id = "c" + std::to_string(Number);
    Message Answer;
    {
      const std::unique_ptr<Connection> Client =
          Connection::open(Origin.callerPort());
      Log.line("client sends " + Id + " to " + Origin.name());
      if (Client &&
          Client->send(
              request("POST", "/lift/deadly", Id, 3000, "a booking")) &&
          !Client->read(&Answer, GivesUp ? ClientPatience : Millis(3500)))
        Log.line("client leaves, without an answer to " + Id);
    }
    if (Answer.status() != 0)
      Log.line("client gets " + Id + " " + std::to_string(Answer.status()));
    std::this_thread::sleep_for(ClientPause);
  }
  std::vector<double> ReachedAt;
  for (Machine *Each : Fragiles)
    for (const Run &One : Each->backend().runs())
      ReachedAt.push_back(One.ReceivedAt);
  std::sort(ReachedAt.begin(), ReachedAt.end());
  if (ReachedAt.size() < CrashesUntilRejection) {
    Log.line("the request reached back ends " +
             std::to_string(ReachedAt.size()) + " times");
    return ReachedAt.empty() ? CouldNotRun : RuleHeld;
  }
  const double From = ReachedAt[CrashesUntilRejection - 1] +
                      std::chrono::duration<double>(RunTime).count() +
                      StabilityWindowS;
  const auto Late = std::count_if(ReachedAt.begin(), ReachedAt.end(),
                                  [From](double At) { return At > From; });
  Log.line("the request reached back ends " + std::to_string(ReachedAt.size()) +
           " times, " + std::to_string(Late) +
           " times later than 3 s after its third crash");
  if (Late <= AllowedRetries)
    return RuleHeld;
  Log.line("BUDGET broken: at most 3 retries are allowed");
  return RuleBroken;
}

} // namespace

int main(int Count, char **Arguments) {
  return Count == 2 ? runCase(Arguments[1]) : review::CouldNotRun;
}
