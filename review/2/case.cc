// A back end drains while it runs a slow request, whose answer is then lost.
// Checks that the request doesn't reach it once more after `drain_timeout_s`.
#include "review/rig/rig.h"

namespace {

using namespace review;

constexpr double DrainTimeoutS = 2;

int runCase(const std::string &Folder) {
  Platform World(Folder);
  Record &Log = World.record();
  const bool Trouble = hasTrouble();
  std::atomic<int> SurveyRuns = 0;
  World.add("sidecar-nashua-1", "nashua", "crew-brief", "v1",
            [](const Message &) { return Reaction{}; });
  Machine &Archive = World.add(
      "sidecar-nashua-2", "nashua", "inspect-archive", "v1",
      [&](const Message &Request) {
        Reaction Result;
        if (Request.word(1).starts_with("/survey/slow") && SurveyRuns++ == 0) {
          Result.Work = Millis(2250);
          Result.LosesAnswer = Trouble;
        }
        return Result;
      });
  World.publish(1, {{"/survey/", "inspect-archive"}, {"/b/", "crew-brief"}});
  if (!World.awaitReady(Millis(20000)))
    return CouldNotRun;
  // Stability window of all machines.
  std::this_thread::sleep_for(Millis(4000));
  const std::uint16_t Port = World.machines().front()->callerPort();
  const auto Call = [&](const std::string &Id, const std::string &Target) {
    Message Answer;
    const std::unique_ptr<Connection> Client = Connection::open(Port);
    Log.line("client sends " + Id + " GET " + Target);
    if (Client && Client->send(request("GET", Target, Id, 5000)) &&
        Client->read(&Answer, Millis(6000)))
      Log.line("client gets " + Id + " " + std::to_string(Answer.status()));
    else
      Log.line("client gets no answer to " + Id);
    return Answer.status();
  };
  if (Call("first-1", "/survey/1") != 200)
    return CouldNotRun;
  std::this_thread::sleep_for(Millis(400));
  std::thread Client([&] { Call("slow-1", "/survey/slow"); });
  while (Archive.backend().running() == 0)
    std::this_thread::sleep_for(Millis(5));
  Archive.backend().setLeaving();
  const int Status = Archive.beat("draining");
  const double ConfirmedAt = Log.seconds();
  Log.line("back end " + Archive.backend().instance() +
           " reports draining, answer " + std::to_string(Status));
  Client.join();
  std::this_thread::sleep_for(Millis(1000));
  if (Status != 200)
    return CouldNotRun;
  bool Broken = false;
  for (const Run &Each : Archive.backend().runs())
    if (Each.ReceivedAt > ConfirmedAt + DrainTimeoutS) {
      Broken = true;
      Log.line("DRAIN broken: " + Each.RequestId + " reached " + Each.Instance +
               " " + std::to_string(Each.ReceivedAt - ConfirmedAt) +
               " s after the confirmation");
    }
  return Broken ? RuleBroken : RuleHeld;
}

} // namespace

int main(int Count, char **Arguments) {
  return Count == 2 ? runCase(Arguments[1]) : review::CouldNotRun;
}
