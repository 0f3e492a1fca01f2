// A back end leaves while the store is down, and the node that confirmed its
// leaving is killed and starts again. Checks that the back end gets no request
// later than `drain_timeout_s` after the confirmation.
#include "review/rig/rig.h"

#include <algorithm>

namespace {

using namespace review;

constexpr double DrainTimeoutS = 2;
constexpr double StabilityWindowS = 3;
/// Time for which the store is down.
constexpr double OutageS = 4.5;
/// Time for which the back end goes on serving after the confirmation.
constexpr double ServingS = 12;

int runCase(const std::string &Folder) {
  Platform World(Folder);
  Record &Log = World.record();
  const auto Sound = [](const Message &) { return Reaction{}; };
  for (const char *Name :
       {"sidecar-nashua-1", "sidecar-nashua-2", "sidecar-nashua-3"})
    World.add(Name, "nashua", "crew-brief", "v1", Sound);
  Machine &Leaver =
      World.add("sidecar-nashua-4", "nashua", "inspect-archive", "v1", Sound);
  World.add("sidecar-bangor-1", "bangor", "inspect-archive", "v1", Sound);
  World.publish(1,
                {{"/brief/", "crew-brief"}, {"/survey/", "inspect-archive"}});
  if (!World.awaitReady(Millis(20000)))
    return CouldNotRun;
  std::this_thread::sleep_for(Millis(5000));

  const double OutageAt = Log.seconds();
  bool IsDown = hasTrouble();
  if (IsDown)
    World.store().setDown(true);
  // This report leaves first and arrives late.
  const std::string LateBeat = Leaver.nextBeat("ready");
  Leaver.backend().setLeaving();
  const int Status = Leaver.deregister();
  const double ConfirmedAt = Log.seconds();
  Log.line("back end " + Leaver.backend().instance() + " deregisters, answer " +
           std::to_string(Status));
  if (Status != 200)
    return CouldNotRun;
  std::this_thread::sleep_for(Millis(300));
  Leaver.kill();
  Log.line("node of " + Leaver.name() + " is killed");
  std::this_thread::sleep_for(Millis(700));
  Leaver.start(false);
  const double RestartedAt = Log.seconds();
  Log.line("node of " + Leaver.name() + " starts again");
  std::this_thread::sleep_for(Millis(1500));
  Log.line("late report of " + Leaver.backend().instance() +
           " arrives, answer " + std::to_string(Leaver.sendBeat(LateBeat)));
  double StableFrom = RestartedAt + StabilityWindowS;
  int Number = 0;
  while (Log.seconds() < ConfirmedAt + ServingS) {
    std::this_thread::sleep_for(Millis(50));
    if (IsDown && Log.seconds() > OutageAt + OutageS) {
      IsDown = false;
      World.store().setDown(false);
      StableFrom = std::max(StableFrom, Log.seconds() + StabilityWindowS);
    }
    const Machine &Origin = *World.machines()[Number % 3U];
    const std::string Id = "c" + std::to_string(Number++);
    Message Answer;
    const std::unique_ptr<Connection> Client =
        Connection::open(Origin.callerPort());
    Log.line("client sends " + Id + " to " + Origin.name());
    if (Client && Client->send(request("GET", "/survey/" + Id, Id, 2500)))
      Client->read(&Answer, Millis(3500));
    Log.line("client gets " + Id + " " + std::to_string(Answer.status()));
  }
  int Late = 0;
  for (const Run &Each : Leaver.backend().runs())
    // From then on, all machines are in touch again, and the core is stable.
    if (Each.ReceivedAt > ConfirmedAt + DrainTimeoutS &&
        Each.ReceivedAt > StableFrom)
      ++Late;
  if (Late == 0)
    return RuleHeld;
  Log.line("DRAIN broken: " + std::to_string(Late) + " requests reached " +
           Leaver.backend().instance() +
           " later than 2 s after the confirmation");
  return RuleBroken;
}

} // namespace

int main(int Count, char **Arguments) {
  return Count == 2 ? runCase(Arguments[1]) : review::CouldNotRun;
}
