// An upstream reports that it leaves while it runs a slow request, and the
// answer to that request is lost after the drain timeout.
#include "../rig-2/stand_ins.h"

#include <array>
#include <string>
#include <thread>

namespace review {
namespace {

/// `drain_timeout_s` of gr-tower-ops.
constexpr double DrainTimeout = 2;
/// `stability_window_s`.
constexpr double StabilityWindow = 3;
/// When the answer is due, after the confirmation that the upstream leaves.
constexpr double AnswerDue = 2.2;
/// How long the upstream serves after the confirmation: the drain timeout and a
/// little longer.
constexpr double UpstreamStay = 2.35;
/// Route of the site's slowest kind of request.
constexpr double TimeoutSeconds = 2.5;
constexpr char SlowRequest[] = "crack-survey";

/// Two machines of one service.
struct Machines {
  explicit Machines(bool LosesAnswer) : HasTrouble(LosesAnswer) {
    for (std::size_t I = 0; I < 2; ++I) {
      const std::string Number = std::to_string(I + 1);
      this->Applications[I] = std::make_unique<Upstream>(
          "i-" + Number, [this, I](const Message &Request, Connection &Caller) {
            return this->run(I, Request, Caller);
          });
      this->Nodes[I] = std::make_unique<Node>(
          Node::Options{.Name = "sidecar-nashua-" + Number,
                        .Service = "inspect-archive",
                        .StorePort = this->Platform.port(),
                        .UpstreamPort = this->Applications[I]->port()});
    }
  }

  /// Runs a request at an upstream.
  bool run(std::size_t I, const Message &Request, Connection &Caller) {
    ++this->RunCount[I];
    if (Request.header("x-persimmonquay-request-id") != SlowRequest) {
      sleepFor(0.03);
      return Caller.send(answerTo(Request));
    }
    const std::string Name = this->Applications[I]->instance();
    const int Earlier = this->Leaving.exchange(static_cast<int>(I));
    if (Earlier < 0) {
      record(Name + " runs the slow request");
      eventually(5, [&] {
        return this->ConfirmedAt > 0 && now() >= this->ConfirmedAt + AnswerDue;
      });
      if (!this->HasTrouble)
        return Caller.send(answerTo(Request));
      record(Name + ": the answer to the slow request is lost");
      Caller.reset();
      return false;
    }
    this->Leaving = Earlier;
    const double SinceConfirmation = now() - this->ConfirmedAt;
    record(Name + " gets the slow request again, " +
           std::to_string(SinceConfirmation) +
           " s after the confirmation that i-" + std::to_string(Earlier + 1) +
           " leaves");
    if (static_cast<int>(I) != Earlier)
      return Caller.send(answerTo(Request));
    this->IsBroken = SinceConfirmation > DrainTimeout;
    eventually(1, [&] { return now() >= this->ConfirmedAt + UpstreamStay; });
    record(Name + " ends while it runs the slow request");
    Caller.reset();
    return false;
  }

  const bool HasTrouble;
  Store Platform;
  std::array<std::unique_ptr<Upstream>, 2> Applications;
  std::array<std::unique_ptr<Node>, 2> Nodes;
  std::array<std::atomic<int>, 2> RunCount{};
  /// Index of the machine whose upstream runs the slow request first.
  std::atomic<int> Leaving = -1;
  std::atomic<double> ConfirmedAt = 0;
  std::atomic<bool> IsBroken = false;
};

void play(bool HasTrouble) {
  Machines Mesh(HasTrouble);
  Mesh.Platform.put("keyed.op", "config",
                    configuration(5, {"inspect-archive"},
                                  {{"/surveys/", "safe", "inspect-archive",
                                    TimeoutSeconds}}));
  for (const auto &Each : Mesh.Nodes)
    Each->start(true);
  std::atomic<bool> IsStopping = false;
  std::thread Reports([&] {
    while (!IsStopping) {
      for (std::size_t I = 0; I < 2; ++I)
        Mesh.Nodes[I]->heartbeat(Mesh.Applications[I]->instance(),
                                 Mesh.Applications[I]->isDraining() ? "draining"
                                                                    : "ready");
      sleepFor(1.5);
    }
  });
  // Both upstreams have run requests, so that both nodes hold connections.
  int Number = 0;
  const bool IsReady = eventually(30, [&] {
    for (const auto &Each : Mesh.Nodes) {
      const std::string Id = "warm-" + std::to_string(++Number);
      send(Each->callerPort(), {.Target = "/surveys/1", .Id = Id});
    }
    return Mesh.Nodes[0]->isReady() && Mesh.Nodes[1]->isReady() &&
           Mesh.RunCount[0] > 2 && Mesh.RunCount[1] > 2;
  });
  sleepFor(StabilityWindow + 0.5);
  Message Answer;
  std::thread Caller([&] {
    Answer =
        send(Mesh.Nodes[0]->callerPort(),
             {.Target = "/surveys/2", .Id = SlowRequest, .DeadlineMs = 5000});
    record("the client gets \"" + Answer.Start + "\"");
  });
  const bool IsRunning = eventually(2, [&] { return Mesh.Leaving >= 0; });
  int Status = 0;
  if (IsRunning) {
    const auto I = static_cast<std::size_t>(Mesh.Leaving.load());
    Mesh.Applications[I]->setDraining();
    Status =
        Mesh.Nodes[I]->heartbeat(Mesh.Applications[I]->instance(), "draining");
    Mesh.ConfirmedAt = now();
    record(Mesh.Nodes[I]->options().Name + " answers " +
           std::to_string(Status) + " to the report that " +
           Mesh.Applications[I]->instance() + " is draining");
  }
  Caller.join();
  IsStopping = true;
  Reports.join();
  if (!IsReady || Status != 200)
    endCase(ExitCannotRun);
  record(Mesh.IsBroken ? "DRAIN is broken" : "DRAIN holds");
  endCase(Mesh.IsBroken ? ExitBroken : ExitHeld);
}

} // namespace
} // namespace review

int main(int ArgumentCount, char **Arguments) {
  review::runCase(ArgumentCount, Arguments, review::play);
}
