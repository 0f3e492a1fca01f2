// The store comes back from a drill with a copy that lacks the last two
// configurations; the operator writes the newest one again and a further one.
#include "../rig-3/rig.h"

int main(int Count, char **Arguments) {
  using namespace rig;
  const std::string Folder = Count > 1 ? Arguments[1] : "review/13";
  const bool Trouble = hasTrouble();
  Record Log(Folder + "/record.txt");
  TemporaryDirectory Files;
  const std::string Network = freeNetwork();
  const std::vector<Machine> Machines = {
      {"sidecar-selfoss-1", "selfoss", "gallery", Network + "11"},
      {"sidecar-selfoss-2", "selfoss", "orders", Network + "12"},
      {"sidecar-hella-1", "hella", "gallery", Network + "21"},
      {"sidecar-hella-2", "hella", "orders", Network + "22"},
      {"sidecar-vik-1", "vik", "gallery", Network + "31"},
      {"sidecar-vik-2", "vik", "orders", Network + "32"}};
  const std::vector<std::string> Services = {"gallery", "orders"};
  const Json Views = route("/views/", "safe", "gallery");
  const Json Added = route("/new/", "safe", "gallery");
  // Version 14 moves /views/ to another service.
  const std::string Version10 = configuration(10, Services, {Views});
  const std::string Version11 =
      configuration(11, Services, {Views, route("/a/", "safe", "orders")});
  const std::string Version13 = configuration(
      13, Services,
      {Views, route("/a/", "safe", "orders"), route("/b/", "safe", "orders")});
  const std::string Version14 = configuration(
      14, Services,
      {route("/views/", "safe", "orders"), route("/a/", "safe", "orders"),
       route("/b/", "safe", "orders"), Added});
  Store Platform(Network + "1", StorePort, Log);
  if (!Platform.start())
    return CannotRun;
  const auto Write = [&](const std::string &Name, const std::string &Value) {
    const std::size_t Offset = Platform.put("keyed.op", "config", Value);
    Log.line("the operator writes " + Name + " at offset " +
             std::to_string(Offset));
  };
  Write("version 10", Version10);
  std::vector<std::unique_ptr<Node>> Nodes;
  std::vector<std::unique_ptr<Upstream>> Upstreams;
  for (const Machine &Each : Machines) {
    Nodes.push_back(std::make_unique<Node>(Each, Network + "1", Files.Path));
    Upstreams.push_back(
        std::make_unique<Upstream>(Each, "i-" + Each.Name, Log));
    if (!Nodes.back()->start(true) || !Upstreams.back()->start())
      return CannotRun;
  }
  if (!awaitReady(Nodes))
    return CannotRun;
  sleepFor(6);
  std::vector<std::unique_ptr<Clients>> Judged;
  for (const Machine &Each : Machines) {
    Judged.push_back(
        std::make_unique<Clients>(Each, "GET", "/views/7", 10, Log));
    Judged.back()->start();
  }
  const Store::Topics Copy = Platform.copy();
  Log.line("the copy of the drill is taken");
  sleepFor(1);
  Write("version 11", Version11);
  sleepFor(1);
  Write("version 13", Version13);
  sleepFor(2);
  if (Trouble) {
    Log.line("drill: the store is away");
    Platform.setAway(true);
    sleepFor(2);
    // The operator has waited with two writes, which go first.
    Log.line("the store is back from the copy, which is 6 s old, with another "
             "Store-Era; the operator writes version 13 again, at offset 1, "
             "and version 14, at offset 2");
    Platform.restore(Copy, {{"keyed.op", {"config", Version13}},
                            {"keyed.op", {"config", Version14}}});
  } else {
    sleepFor(2);
    Write("version 14", Version14);
  }
  const double ConfirmedAt = elapsed();
  // stability_window_s (3 s) after the end of the drill all machines are in
  // touch; configuration_apply_s is 2 s.
  constexpr double InTouchSeconds = 3;
  constexpr double ApplySeconds = 2;
  sleepFor(InTouchSeconds + ApplySeconds + 10);
  for (const std::unique_ptr<Clients> &Each : Judged)
    Each->stop();
  std::size_t Before = 0, Old = 0, Now = 0;
  for (const std::unique_ptr<Clients> &Each : Judged)
    for (const Attempt &Sent : Each->attempts()) {
      if (Sent.SentAt < ConfirmedAt) {
        Before += Sent.Body == "from gallery";
        continue;
      }
      if (Sent.SentAt < ConfirmedAt + InTouchSeconds + ApplySeconds)
        continue;
      Old += Sent.Body == "from gallery";
      Now += Sent.Body == "from orders";
    }
  Log.line("requests served by the old service before version 14: " +
           std::to_string(Before));
  Log.line("requests sent later than 3 s + configuration_apply_s (2 s) after "
           "the confirmation of version 14: run by the new service " +
           std::to_string(Now) + ", by the old one " + std::to_string(Old));
  if (Before == 0 || Old + Now == 0)
    return CannotRun;
  Log.line(Old > 0 ? "CONFIG broken" : "CONFIG held");
  return Old > 0 ? RuleBroken : RuleHeld;
}
