// Tests of the program as processes on loopback: a planned stop of one node
// while its callers send long requests.
#include "testing/platform/small_mesh.h"
#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <map>
#include <mutex>
#include <random>

namespace persimmonquay::testing {
namespace {

/// Generous for busy machines; a test that passes does not wait that long.
constexpr Millis WaitTimeout{40000};

/// As in the settings of `SmallMesh`.
constexpr Millis GracePeriod{6000};

/// A request that was sent up to this time after SIGTERM may be cut if it still
/// runs at its upstream in the last part of the grace period.
constexpr Millis LastCutSend{3000};
constexpr Millis FirstCutEnd = GracePeriod * 5 / 6;

/// A request that has not been passed on may be cut within this time.
constexpr Millis LossSlack{200};

constexpr int CallerCount = 60;

/// A request whose connection ended without a complete response.
struct CutRequest {
  std::string Id;
  MonoTime SentAt;
  MonoTime CutAt;
};

/// Callers of one node that send long requests, one after the other, on kept
/// connections until the node is gone.
class LongCallers {
public:
  LongCallers(const TestNode &Called, std::string RequestMethod,
              std::string RequestTarget)
      : Node(Called), Method(std::move(RequestMethod)),
        Target(std::move(RequestTarget)) {
    for (int I = 0; I < CallerCount; ++I)
      this->Threads.emplace_back([this, I] { this->run(I); });
  }
  ~LongCallers() { this->stop(); }

  void stop() {
    this->Stopping = true;
    for (std::thread &Thread : this->Threads)
      if (Thread.joinable())
        Thread.join();
  }

  std::vector<CutRequest> cutRequests() {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->Cut;
  }

  std::atomic<int> Answered = 0;
  std::atomic<int> Rejected = 0;
  std::atomic<int> Failed = 0;

private:
  void run(int Caller) {
    Poco::Net::HTTPClientSession Session("127.0.0.1", this->Node.CallerPort);
    Session.setKeepAlive(true);
    Session.setTimeout(Poco::Timespan(30, 0));
    std::mt19937 Random(static_cast<unsigned>(Caller));
    std::this_thread::sleep_for(Millis(Random() % 2500));
    for (int Call = 0; !this->Stopping; ++Call)
      if (!this->send(Session, absl::StrCat("long-", Caller, "-", Call)))
        return;
  }

  /// Returns false once the node accepts no connections.
  bool send(Poco::Net::HTTPClientSession &Session, const std::string &Id) {
    MonoTime SentAt = monoNow();
    bool IsSent = false;
    try {
      Poco::Net::HTTPRequest Request(this->Method, this->Target, "HTTP/1.1");
      Request.setHost("boards.example");
      Request.setKeepAlive(true);
      if (this->Method == "POST")
        Request.setContentLength(0);
      Request.set("X-Persimmonquay-Request-Id", Id);
      Request.set("X-Persimmonquay-Deadline-Remaining", "10000");
      Session.sendRequest(Request);
      SentAt = monoNow();
      IsSent = true;
      Poco::Net::HTTPResponse Response;
      Session.receiveResponse(Response).ignore(1000000);
      ++(Response.getStatus() == 200   ? this->Answered
         : Response.getStatus() == 503 ? this->Rejected
                                       : this->Failed);
      if (!Response.getKeepAlive())
        Session.reset();
      if (Response.getStatus() == 503)
        std::this_thread::sleep_for(Millis(50));
      return true;
    } catch (const Poco::Exception &) {
      Session.reset();
      if (!IsSent)
        return false;
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      this->Cut.push_back({Id, SentAt, monoNow()});
      return true;
    }
  }

  const TestNode &Node;
  std::string Method;
  std::string Target;
  std::atomic<bool> Stopping = false;
  std::mutex Mutex;
  std::vector<CutRequest> Cut;
  std::vector<std::thread> Threads;
};

/// Time for which upstreams work on a request, and the timeout of its route.
struct CallTimes {
  Millis MinWork{2400};
  Millis MaxWork{2900};
  Millis Timeout{3000};
};

/// A node with callers and two beside upstreams, which have a slot for each of
/// the callers.
struct LongCallMesh {
  explicit LongCallMesh(CallTimes Times = CallTimes())
      : Caller(Mesh.add("orders")), Servers{&Mesh.add("gallery"),
                                            &Mesh.add("gallery")} {
    Mesh.publish(5, "gallery",
                 static_cast<std::uint32_t>(Times.Timeout.count()));
    REQUIRE(Mesh.waitUntilReady());
    REQUIRE(eventually(WaitTimeout, [this] {
      return Mesh.call(this->Caller, {.RequestId = "warm"}).Status == 200;
    }));
    for (TestNode *Server : this->Servers) {
      REQUIRE(Mesh.heartbeat(*Server, "ready", 2 * CallerCount) == 200);
      Server->Upstream->setHandler([this,
                                    Times](const ReceivedRequest &Request) {
        Millis Work = Times.MinWork;
        {
          const std::lock_guard<std::mutex> Lock(this->Mutex);
          ++this->Arrivals[Request.Headers.at("x-persimmonquay-request-id")];
          Work +=
              Millis(this->Random() % (Times.MaxWork - Times.MinWork).count());
        }
        std::this_thread::sleep_for(Work);
        return responseTo(Request);
      });
    }
  }

  bool hasArrived(const std::string &Id) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->Arrivals.contains(Id);
  }

  SmallMesh Mesh;
  TestNode &Caller;
  std::vector<TestNode *> Servers;

private:
  std::mutex Mutex;
  std::mt19937 Random{1};
  std::map<std::string, int> Arrivals;
};

} // namespace

// Requests that arrived late in the grace period were passed on, and cut at its
// end without an answer.
TEST_CASE("a planned stop cuts no request that was sent late in its grace "
          "period") {
  LongCallMesh Setup;
  std::string Method;
  std::string Target;
  SUBCASE("unsafe") {
    Method = "POST";
    Target = "/orders/1";
  }
  SUBCASE("safe") {
    Method = "GET";
    Target = "/views/1";
  }
  LongCallers Callers(Setup.Caller, Method, Target);
  std::this_thread::sleep_for(Millis(4000));
  const int AnsweredBefore = Callers.Answered;
  Setup.Caller.Sidecar->signal(SIGTERM);
  const MonoTime StopAt = monoNow();
  CHECK(Setup.Caller.Sidecar->wait(GracePeriod) == 0);
  Callers.stop();
  std::vector<std::string> Lost;
  for (const CutRequest &Request : Callers.cutRequests()) {
    const bool MayBeCut = Setup.hasArrived(Request.Id)
                              ? Request.SentAt - StopAt <= LastCutSend &&
                                    Request.CutAt - StopAt >= FirstCutEnd
                              : Request.CutAt - Request.SentAt <= LossSlack;
    if (!MayBeCut)
      Lost.push_back(absl::StrCat(
          Request.Id, " sent ",
          std::chrono::duration_cast<Millis>(Request.SentAt - StopAt).count(),
          " ms after SIGTERM, cut after ",
          std::chrono::duration_cast<Millis>(Request.CutAt - StopAt).count(),
          " ms"));
  }
  INFO(absl::StrJoin(Lost, "\n"));
  CHECK(Lost.empty());
  CHECK(AnsweredBefore > 0);
  CHECK(Callers.Answered > AnsweredBefore);
  CHECK(Callers.Rejected > 0);
}

// The node beside the upstream stops; callers are at another node. Calls that
// would outlast the grace period were admitted, and their callers got 502.
TEST_CASE("a planned stop of an upstream's node fails no unsafe call") {
  LongCallMesh Setup({Millis(3400), Millis(3900), Millis(4500)});
  LongCallers Callers(Setup.Caller, "POST", "/orders/1");
  std::this_thread::sleep_for(Millis(4000));
  Setup.Servers[0]->Sidecar->signal(SIGTERM);
  CHECK(Setup.Servers[0]->Sidecar->wait(GracePeriod) == 0);
  std::this_thread::sleep_for(Millis(1000));
  Callers.stop();
  CHECK(Callers.cutRequests().empty());
  CHECK(Callers.Failed == 0);
  CHECK(Callers.Answered > 0);
}

} // namespace persimmonquay::testing
