// Stand-in for the platform's append-only log. See http_log_client.h for its
// protocol. Faults are set by
//   POST /control?outage=0|1&slow_ms=N&lose_answers=N&keep=N&rate=N
// outage: all requests except those to /control fail with status 503.
// slow_ms: delays every request by N milliseconds.
// lose_answers: the next N appends are stored but answered with status 504.
// keep: older records of a stream expire when it holds more than N records.
// rate: appends accepted per second; those above it fail with status 429.
// The response has the numbers of appends and reads, and for each stream the
// number of records appended so far.
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

constexpr double DefaultAppendsPerSecond = 400;
constexpr std::size_t MaxRecordsPerResponse = 500;

struct LogStream {
  /// Offset of the oldest record that has not expired.
  std::uint64_t Oldest = 0;
  std::deque<std::string> Records;
  /// Returns the offset that the next record will get.
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
      sendText(Response, 200, this->statistics());
      return;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(this->DelayMs));
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
    this->DelayMs = static_cast<int>(numberOr(Query, "slow_ms", this->DelayMs));
    this->ResponsesToLose = static_cast<int>(
        numberOr(Query, "lose_answers", this->ResponsesToLose));
    this->AppendsPerSecond = numberOr(Query, "rate", this->AppendsPerSecond);
    this->MaxKeptRecords = numberOr(Query, "keep", this->MaxKeptRecords);
    for (auto &[Name, Stream] : this->Streams)
      this->expire(&Stream);
    this->StreamsChanged.notify_all();
  }

  std::string statistics() {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    Json Value = {{"appends", this->AppendCount}, {"reads", this->ReadCount}};
    for (const auto &[Name, Stream] : this->Streams)
      Value["streams"][Name] = Stream.end();
    return Value.dump();
  }

  void expire(LogStream *Stream) const {
    while (static_cast<double>(Stream->Records.size()) > this->MaxKeptRecords) {
      Stream->Records.pop_front();
      ++Stream->Oldest;
    }
  }

  /// Takes a token from the bucket that limits the rate of appends.
  bool takeToken() {
    const auto Now = Clock::now();
    const double Seconds =
        std::chrono::duration<double>(Now - this->LastRefill).count();
    this->LastRefill = Now;
    this->Tokens = std::min(this->AppendsPerSecond,
                            this->Tokens + Seconds * this->AppendsPerSecond);
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
    ++this->AppendCount;
    LogStream &Stream = this->Streams[Name];
    const std::uint64_t Offset = Stream.end();
    Stream.Records.push_back(std::move(Payload));
    this->expire(&Stream);
    this->StreamsChanged.notify_all();
    const bool LoseResponse = this->ResponsesToLose > 0;
    this->ResponsesToLose -= LoseResponse ? 1 : 0;
    Lock.unlock();
    if (LoseResponse) {
      // The record is stored, but the client sees a server error.
      sendText(Response, 504, "answer lost");
      return;
    }
    sendText(Response, 200, Json{{"offset", Offset}}.dump());
  }

  void read(const std::string &Name,
            const std::map<std::string, std::string> &Query,
            Poco::Net::HTTPServerResponse &Response) {
    const auto FirstOffset =
        static_cast<std::uint64_t>(numberOr(Query, "from", 0));
    const auto WaitTime = std::chrono::milliseconds(
        static_cast<int>(numberOr(Query, "wait_ms", 0)));
    std::unique_lock<std::mutex> Lock(this->Mutex);
    ++this->ReadCount;
    this->StreamsChanged.wait_for(Lock, WaitTime, [&] {
      return this->Outage || this->Streams[Name].end() > FirstOffset;
    });
    const bool Expired = FirstOffset < this->Streams[Name].Oldest;
    const std::string Body =
        Expired ? "expired"
                : this->chunk(Name, FirstOffset, MaxRecordsPerResponse);
    const int Status = this->Outage ? 503 : Expired ? 410 : 200;
    Lock.unlock();
    sendText(Response, Status, Body);
  }

  std::string chunk(const std::string &Name, std::uint64_t FirstOffset,
                    std::size_t MaxRecords) {
    const LogStream &Stream = this->Streams[Name];
    Json Records = Json::array();
    for (std::uint64_t I = FirstOffset;
         I < Stream.end() && Records.size() < MaxRecords; ++I)
      Records.push_back(absl::Base64Escape(Stream.Records[I - Stream.Oldest]));
    return Json{{"first", FirstOffset},
                {"oldest", Stream.Oldest},
                {"end", Stream.end()},
                {"records", Records}}
        .dump();
  }

  std::mutex Mutex;
  std::condition_variable StreamsChanged;
  std::map<std::string, LogStream> Streams;
  std::atomic<bool> Outage = false;
  std::atomic<int> DelayMs = 0;
  int ResponsesToLose = 0;
  double MaxKeptRecords = std::numeric_limits<double>::infinity();
  double AppendsPerSecond = DefaultAppendsPerSecond;
  double Tokens = DefaultAppendsPerSecond;
  Clock::time_point LastRefill = Clock::now();
  std::uint64_t AppendCount = 0;
  std::uint64_t ReadCount = 0;
};

} // namespace
} // namespace persimmonquay::testing

int main(int ArgumentCount, char **Arguments) {
  using namespace persimmonquay::testing;
  blockSignals();
  auto Options = parseOptions(ArgumentCount, Arguments);
  LogStandIn Log;
  const auto Server = startServer(
      Options.at("address"),
      static_cast<unsigned short>(std::stoi(Options.at("port"))),
      [&](auto &Request, auto &Response) { Log.serve(Request, Response); });
  waitForSignal();
  Server->stopAll(true);
  return 0;
}
