// Stand-in for the platform's append-only log. See http_log_client.h for its
// protocol. Faults are switched by
//   POST /control?outage=0|1&slow_ms=N&lose_answers=N&keep=N&rate=N
// where `keep` bounds the records kept in each stream.
#include "testing/stand_ins/stand_in_server.h"

#include <Poco/StreamCopier.h>
#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <limits>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

namespace persimmonquay::testing {
namespace {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr double DefaultRate = 400;
constexpr std::size_t MaxRecordsInAnswer = 500;

struct Stream {
  std::uint64_t Oldest = 0;
  std::deque<std::string> Records;
  std::uint64_t end() const { return this->Oldest + this->Records.size(); }
};

class LogStandIn {
public:
  void serve(Poco::Net::HTTPServerRequest &Request,
             Poco::Net::HTTPServerResponse &Response) {
    const std::string Target = Request.getURI();
    const auto Query = parseQuery(Target);
    if (Target.starts_with("/control")) {
      this->control(Query);
      sendText(Response, 200, this->counts());
      return;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(this->SlowMs));
    if (this->Outage) {
      sendText(Response, 503, "outage");
      return;
    }
    const std::vector<std::string> Parts =
        absl::StrSplit(Target.substr(0, Target.find('?')), '/');
    if (Parts.size() != 5) {
      sendText(Response, 404, "unknown path");
    } else if (Request.getMethod() == "POST") {
      this->append(Parts[3], Request, Response);
    } else if (Parts[4] == "bounds") {
      std::lock_guard<std::mutex> Lock(this->Mutex);
      sendText(Response, 200, this->chunk(Parts[3], 0, 0));
    } else {
      this->read(Parts[3], Query, Response);
    }
  }

private:
  void control(const std::map<std::string, std::string> &Query) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Outage = numberOr(Query, "outage", this->Outage ? 1 : 0) != 0;
    this->SlowMs = static_cast<int>(numberOr(Query, "slow_ms", this->SlowMs));
    this->LoseAnswers =
        static_cast<int>(numberOr(Query, "lose_answers", this->LoseAnswers));
    this->Rate = numberOr(Query, "rate", this->Rate);
    this->Keep = numberOr(Query, "keep", this->Keep);
    for (auto &[Name, Kept] : this->Streams)
      this->expire(&Kept);
    this->Grown.notify_all();
  }

  std::string counts() {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    Json Value = {{"appends", this->Appends}, {"reads", this->Reads}};
    for (const auto &[Name, Kept] : this->Streams)
      Value["streams"][Name] = Kept.end();
    return Value.dump();
  }

  void expire(Stream *Kept) const {
    while (static_cast<double>(Kept->Records.size()) > this->Keep) {
      Kept->Records.pop_front();
      ++Kept->Oldest;
    }
  }

  bool takeToken() {
    const auto Now = Clock::now();
    const double Seconds =
        std::chrono::duration<double>(Now - this->LastToken).count();
    this->LastToken = Now;
    this->Tokens = std::min(this->Rate, this->Tokens + Seconds * this->Rate);
    if (this->Tokens < 1)
      return false;
    this->Tokens -= 1;
    return true;
  }

  void append(const std::string &Name, Poco::Net::HTTPServerRequest &Request,
              Poco::Net::HTTPServerResponse &Response) {
    std::string Payload;
    Poco::StreamCopier::copyToString(Request.stream(), Payload);
    std::unique_lock<std::mutex> Lock(this->Mutex);
    if (!this->takeToken()) {
      Lock.unlock();
      sendText(Response, 429, "too many appends");
      return;
    }
    ++this->Appends;
    Stream &Kept = this->Streams[Name];
    const std::uint64_t Offset = Kept.end();
    Kept.Records.push_back(std::move(Payload));
    this->expire(&Kept);
    this->Grown.notify_all();
    const bool Lost = this->LoseAnswers > 0;
    this->LoseAnswers -= Lost ? 1 : 0;
    Lock.unlock();
    if (Lost) {
      // A server error after the record was stored.
      sendText(Response, 504, "answer lost");
      return;
    }
    sendText(Response, 200, Json{{"offset", Offset}}.dump());
  }

  void read(const std::string &Name,
            const std::map<std::string, std::string> &Query,
            Poco::Net::HTTPServerResponse &Response) {
    const auto From = static_cast<std::uint64_t>(numberOr(Query, "from", 0));
    const auto Wait = std::chrono::milliseconds(
        static_cast<int>(numberOr(Query, "wait_ms", 0)));
    std::unique_lock<std::mutex> Lock(this->Mutex);
    ++this->Reads;
    this->Grown.wait_for(Lock, Wait, [&] {
      return this->Outage || this->Streams[Name].end() > From;
    });
    const bool Expired = From < this->Streams[Name].Oldest;
    const std::string Answer =
        Expired ? "expired" : this->chunk(Name, From, MaxRecordsInAnswer);
    const int Status = this->Outage ? 503 : Expired ? 410 : 200;
    Lock.unlock();
    sendText(Response, Status, Answer);
  }

  std::string chunk(const std::string &Name, std::uint64_t From,
                    std::size_t MaxRecords) {
    const Stream &Kept = this->Streams[Name];
    Json Records = Json::array();
    for (std::uint64_t I = From; I < Kept.end() && Records.size() < MaxRecords;
         ++I)
      Records.push_back(absl::Base64Escape(Kept.Records[I - Kept.Oldest]));
    return Json{{"first", From},
                {"oldest", Kept.Oldest},
                {"end", Kept.end()},
                {"records", Records}}
        .dump();
  }

  std::mutex Mutex;
  std::condition_variable Grown;
  std::map<std::string, Stream> Streams;
  std::atomic<bool> Outage = false;
  std::atomic<int> SlowMs = 0;
  int LoseAnswers = 0;
  double Keep = std::numeric_limits<double>::infinity();
  double Rate = DefaultRate;
  double Tokens = DefaultRate;
  Clock::time_point LastToken = Clock::now();
  std::uint64_t Appends = 0;
  std::uint64_t Reads = 0;
};

} // namespace
} // namespace persimmonquay::testing

int main(int Count, char **Words) {
  using namespace persimmonquay::testing;
  blockSignals();
  auto Options = parseOptions(Count, Words);
  LogStandIn Log;
  const auto Server = startServer(
      Options.at("address"),
      static_cast<unsigned short>(std::stoi(Options.at("port"))),
      [&](auto &Request, auto &Response) { Log.serve(Request, Response); });
  waitForSignal();
  Server->stopAll(true);
  return 0;
}
