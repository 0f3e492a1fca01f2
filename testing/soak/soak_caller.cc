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

/// Time that callers wait, and longest time for an answer after it.
constexpr int PatienceMs = 1500;
const Poco::Timespan AnswerTimeout(6, 0);

constexpr std::chrono::milliseconds BetweenCalls{10};

/// Statuses that promise that the call has not run and won't.
bool isRefusal(int Status) { return Status == 503 || Status == 429; }

class Connection {
public:
  explicit Connection(std::uint16_t Port) : Session("127.0.0.1", Port) {
    this->Session.setKeepAlive(true);
    this->Session.setTimeout(AnswerTimeout);
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
                  std::to_string(PatienceMs));
      const std::string Body(Idempotent ? 0 : 2000, 'b');
      if (!Idempotent)
        Request.setContentLength(static_cast<std::streamsize>(Body.size()));
      this->Session.sendRequest(Request) << Body;
      Poco::Net::HTTPResponse Response;
      std::istream &Stream = this->Session.receiveResponse(Response);
      std::string Answer;
      Poco::StreamCopier::copyToString(Stream, Answer);
      // A connection that broke off ends the stream without an error.
      if (Response.getContentLength() !=
          static_cast<std::streamsize>(Answer.size()))
        return Result;
      Result.Status = Response.getStatus();
      if (Result.Status == 200 &&
          (Answer != soakBody(Id) ||
           Response.get("X-Persimmonquay-Response-Signature", "").empty()))
        Ledger.complain(absl::StrCat(
            "call ", Id, " got another answer: ", Answer.substr(0, 60)));
      if (Result.Status >= 400 && Result.Status < 500 &&
          !isRefusal(Result.Status))
        Ledger.complain(
            absl::StrCat("call ", Id, " got status ", Result.Status));
    } catch (const Poco::Exception &) {
      this->Session.reset();
    }
    return Result;
  }

private:
  Poco::Net::HTTPClientSession Session;
};

} // namespace

std::string soakBody(const std::string &Id) {
  return absl::StrCat("body of ", Id, std::string(300, '.'));
}

void runSoakCaller(const std::vector<std::uint16_t> &Ports, std::uint64_t Seed,
                   const std::string &Name, const std::atomic<bool> &Stop,
                   CallLedger &Ledger) {
  std::mt19937_64 Random(Seed);
  std::map<std::uint16_t, std::unique_ptr<Connection>> Connections;
  for (std::uint64_t Number = 0; !Stop; ++Number) {
    const std::uint16_t Port = Ports[Random() % Ports.size()];
    std::unique_ptr<Connection> &Used = Connections[Port];
    if (!Used)
      Used = std::make_unique<Connection>(Port);
    Ledger.add(
        Used->call(absl::StrCat(Name, "-", Number), Random() % 3 != 0, Ledger));
    std::this_thread::sleep_for(BetweenCalls);
  }
}

} // namespace persimmonquay::testing
