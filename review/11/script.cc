// A back end fails a part of the requests that it has run with a status of its
// own, without a word that they have not run.
#include "../rig-3/rig.h"

int main(int Count, char **Arguments) {
  using namespace rig;
  const std::string Folder = Count > 1 ? Arguments[1] : "review/11";
  const bool Trouble = hasTrouble();
  Record Log(Folder + "/record.txt");
  TemporaryDirectory Files;
  const std::string Network = freeNetwork();
  const std::vector<Machine> Machines = {
      {"sidecar-selfoss-1", "selfoss", "gallery", Network + "11"},
      {"sidecar-hella-1", "hella", "orders", Network + "21"},
      {"sidecar-vik-1", "vik", "orders", Network + "31"}};
  Store Operator(Network + "1", StorePort, Log);
  if (!Operator.start())
    return CannotRun;
  Operator.put("keyed.op", "config",
               configuration(3, {"gallery", "orders"},
                             {route("/views/", "safe", "gallery"),
                              route("/deposits/", "unsafe", "orders")}));
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
  sleepFor(4);
  if (Trouble)
    for (std::size_t I = 1; I < Upstreams.size(); ++I)
      Upstreams[I]->failRuns(5, 503);
  Clients Judged(Machines[0], "POST", "/deposits/7", 20, Log);
  Judged.start();
  sleepFor(8);
  Judged.stop();

  std::map<std::string, int> RunCount;
  for (const std::unique_ptr<Upstream> &Each : Upstreams)
    for (const Run &Done : Each->runs())
      ++RunCount[Done.RequestId];
  std::size_t Served = 0, Refused = 0, RefusedAfterRun = 0;
  for (const Attempt &Each : Judged.attempts()) {
    Served += Each.Status == 200;
    const bool IsPromise = Each.Status == 503 || Each.Status == 429 ||
                           Each.Status == 408 || Each.Status == 421;
    Refused += IsPromise;
    RefusedAfterRun += IsPromise && RunCount[Each.RequestId] > 0;
  }
  Log.line("requests that aren't idempotent: " +
           std::to_string(Judged.attempts().size()) + ", served " +
           std::to_string(Served) + ", refused with a promise " +
           std::to_string(Refused));
  Log.line("of these had run: " + std::to_string(RefusedAfterRun));
  if (Served == 0)
    return CannotRun;
  Log.line(RefusedAfterRun > 0 ? "REFUSED broken" : "REFUSED held");
  return RefusedAfterRun > 0 ? RuleBroken : RuleHeld;
}
