#include "testing/fleet/load.h"

#include "persimmonquay/node/http_pool.h"
#include "persimmonquay/routing/outcome.h"
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

namespace persimmonquay::testing {
namespace {

constexpr std::size_t MaxFailureExamples = 10;
constexpr Millis CallerTimeout{8000};

std::string makeCallerId() {
  thread_local std::mt19937_64 Random(std::random_device{}());
  return absl::StrCat(Random());
}

/// Returns whether a response was generated for the request with this target
/// and caller ID.
bool responseMatches(const nlohmann::json &Response, const std::string &Target,
                     const std::string &CallerId) {
  return Response.is_object() && Response.value("target", "") == Target &&
         Response.value("caller", "") == CallerId;
}

} // namespace

void LoadReport::add(const LoadReport &Other) {
  this->Calls += Other.Calls;
  this->Succeeded += Other.Succeeded;
  this->ServerErrors += Other.ServerErrors;
  this->NotRun += Other.NotRun;
  this->Unknown += Other.Unknown;
  this->ConnectionsBroken += Other.ConnectionsBroken;
  this->ConnectionsRefused += Other.ConnectionsRefused;
  this->Mismatched += Other.Mismatched;
  for (const auto &[Version, Count] : Other.CallsByVersion)
    this->CallsByVersion[Version] += Count;
  this->Latencies.insert(this->Latencies.end(), Other.Latencies.begin(),
                         Other.Latencies.end());
  for (const std::string &Example : Other.FailureExamples)
    if (this->FailureExamples.size() < MaxFailureExamples)
      this->FailureExamples.push_back(Example);
}

std::chrono::microseconds LoadReport::quantile(double Fraction) const {
  if (this->Latencies.empty())
    return std::chrono::microseconds(0);
  std::vector<std::chrono::microseconds> Sorted = this->Latencies;
  std::sort(Sorted.begin(), Sorted.end());
  const auto Index =
      static_cast<std::size_t>(Fraction * static_cast<double>(Sorted.size()));
  return Sorted[std::min(Index, Sorted.size() - 1)];
}

LoadGenerator::LoadGenerator(std::vector<TcpEndpoint> Nodes,
                             std::vector<std::string> Targets,
                             std::size_t CallerCount, Millis Pause)
    : Nodes(std::move(Nodes)), Targets(std::move(Targets)),
      CallerCount(CallerCount), Pause(Pause) {}

LoadGenerator::~LoadGenerator() { this->stop(); }

void LoadGenerator::start() {
  for (std::size_t I = 0; I < this->CallerCount; ++I)
    this->Threads.emplace_back([this, I] { this->runCaller(I); });
}

LoadReport LoadGenerator::stop() {
  this->Stopping = true;
  for (std::thread &Thread : this->Threads)
    Thread.join();
  this->Threads.clear();
  return this->TotalReport;
}

void LoadGenerator::runCaller(std::size_t Index) {
  HttpPool Pool;
  LoadReport CallerReport;
  for (std::size_t I = Index; !this->Stopping; ++I) {
    callOnce(&Pool, this->Nodes[I % this->Nodes.size()], "GET",
             this->Targets[I % this->Targets.size()], {}, &CallerReport);
    std::this_thread::sleep_for(this->Pause);
  }
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->TotalReport.add(CallerReport);
}

void LoadGenerator::callOnce(HttpPool *Pool, const TcpEndpoint &Node,
                             const std::string &Method,
                             const std::string &Target,
                             const std::vector<HeaderField> &Headers,
                             LoadReport *Report) {
  const std::string CallerId = makeCallerId();
  CallRequest Request{Method, Target, Headers, ""};
  Request.Headers.push_back(HeaderField{"x-caller", CallerId});
  const MonoTime Start = monoNow();
  const ExchangeResult Result =
      Pool->exchange(Node.Address, Node.Port, Request, CallerTimeout);
  Report->Latencies.push_back(
      std::chrono::duration_cast<std::chrono::microseconds>(monoNow() - Start));
  ++Report->Calls;
  const std::string Outcome =
      findHeader(Result.Response.Headers, OutcomeHeader);
  const auto Response =
      nlohmann::json::parse(Result.Response.Body, nullptr, false);
  std::string Example =
      absl::StrCat(Node.Address, " ", Target, ": ", Result.Response.Status, " ",
                   Outcome, " ", Result.Detail, " ", Result.Response.Body);
  if (Result.Status == ExchangeResult::Code::NothingSent) {
    ++Report->ConnectionsRefused;
    return;
  }
  if (Result.Status != ExchangeResult::Code::Answered) {
    ++Report->ConnectionsBroken;
  } else if (Outcome == "not-run") {
    ++Report->NotRun;
  } else if (Outcome == "unknown") {
    ++Report->Unknown;
  } else if (!responseMatches(Response, Target, CallerId)) {
    ++Report->Mismatched;
  } else {
    ++Report->CallsByVersion[Response.value("version", "")];
    ++(Result.Response.Status >= 500 ? Report->ServerErrors
                                     : Report->Succeeded);
    if (Result.Response.Status < 500)
      return;
  }
  if (Report->FailureExamples.size() < MaxFailureExamples)
    Report->FailureExamples.push_back(std::move(Example));
}

} // namespace persimmonquay::testing
