#include "testing/soak/soak_caller.h"

#include "testing/soak/call_ledger.h"
#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <absl/strings/str_cat.h>
#include <chrono>
#include <map>
#include <memory>
#include <random>
#include <thread>

namespace persimmonquay::testing {
namespace {

/// Time that remains until a call's deadline when it is sent.
constexpr int DeadlineMs = 1500;

/// Timeout of a caller's socket operations; well beyond the deadline.
const Poco::Timespan ResponseTimeout(6, 0);

constexpr std::chrono::milliseconds CallInterval{10};

/// Returns whether the status guarantees that the call has not run and won't.
bool isRejection(int Status) { return Status == 503 || Status == 429; }

class Connection {
public:
  explicit Connection(std::uint16_t Port) : Session("127.0.0.1", Port) {
    this->Session.setKeepAlive(true);
    this->Session.setTimeout(ResponseTimeout);
  }

  CallRecord call(const std::string &Id, bool Idempotent, CallLedger &Ledger) {
    CallRecord Result{Id, Idempotent, 0};
    try {
      Poco::Net::HTTPRequest Request(Idempotent ? "GET" : "POST",
                                     Idempotent ? "/views/7" : "/orders/7",
                                     "HTTP/1.1");
      Request.setHost("boards.example");
      Request.setKeepAlive(true);
      Request.set("X-Persimmonquay-Request-Id", Id);
      Request.set("X-Persimmonquay-Deadline-Remaining",
                  std::to_string(DeadlineMs));
      const std::string RequestBody(Idempotent ? 0 : 2000, 'b');
      if (!Idempotent)
        Request.setContentLength(
            static_cast<std::streamsize>(RequestBody.size()));
      this->Session.sendRequest(Request) << RequestBody;
      Poco::Net::HTTPResponse Response;
      std::istream &Stream = this->Session.receiveResponse(Response);
      std::string ResponseBody;
      Poco::StreamCopier::copyToString(Stream, ResponseBody);
      // When the connection is lost, the stream ends without an error.
      if (Response.getContentLength() !=
          static_cast<std::streamsize>(ResponseBody.size()))
        return Result;
      Result.Status = Response.getStatus();
      if (Result.Status == 200 &&
          (ResponseBody != soakResponseBody(Id) ||
           Response.get("X-Persimmonquay-Response-Signature", "").empty()))
        Ledger.addViolation(absl::StrCat(
            "call ", Id,
            " received a wrong response: ", ResponseBody.substr(0, 60)));
      if (Result.Status >= 400 && Result.Status < 500 &&
          !isRejection(Result.Status))
        Ledger.addViolation(
            absl::StrCat("call ", Id, " received status ", Result.Status));
    } catch (const Poco::Exception &) {
      this->Session.reset();
    }
    return Result;
  }

private:
  Poco::Net::HTTPClientSession Session;
};

} // namespace

std::string soakResponseBody(const std::string &Id) {
  return absl::StrCat("body of ", Id, std::string(300, '.'));
}

void runSoakCaller(const std::vector<std::uint16_t> &Ports, std::uint64_t Seed,
                   const std::string &Name, const std::atomic<bool> &Stop,
                   CallLedger &Ledger) {
  std::mt19937_64 Random(Seed);
  std::map<std::uint16_t, std::unique_ptr<Connection>> Connections;
  for (std::uint64_t CallNumber = 0; !Stop; ++CallNumber) {
    const std::uint16_t Port = Ports[Random() % Ports.size()];
    std::unique_ptr<Connection> &NodeConnection = Connections[Port];
    if (!NodeConnection)
      NodeConnection = std::make_unique<Connection>(Port);
    Ledger.add(NodeConnection->call(absl::StrCat(Name, "-", CallNumber),
                                    Random() % 3 != 0, Ledger));
    std::this_thread::sleep_for(CallInterval);
  }
}

} // namespace persimmonquay::testing
