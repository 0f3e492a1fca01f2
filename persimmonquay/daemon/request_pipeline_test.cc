#include "persimmonquay/daemon/request_pipeline.h"
#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <random>
#include <set>

namespace persimmonquay {
namespace {

using Numbers = std::vector<std::uint64_t>;

constexpr PipelinedRequest Idempotent{.IsIdempotent = true};
constexpr PipelinedRequest NonIdempotent{.IsIdempotent = false};

TEST_CASE(
    "idempotent requests run at the same time and are answered in order") {
  RequestPipeline Pipeline{{}};
  const std::uint64_t Slow = Pipeline.add(Idempotent);
  const std::uint64_t Quick = Pipeline.add(Idempotent);
  CHECK(Pipeline.startRequests() == Numbers{Slow, Quick});
  Pipeline.complete(Quick, 0);
  CHECK_FALSE(Pipeline.startWrite().has_value());
  Pipeline.complete(Slow, 0);
  CHECK(Pipeline.startWrite()->Number == Slow);
  CHECK_FALSE(Pipeline.startWrite().has_value());
  Pipeline.finishWrite();
  CHECK(Pipeline.startWrite()->Number == Quick);
  Pipeline.finishWrite();
  CHECK(Pipeline.empty());
}

TEST_CASE("a non-idempotent request runs alone") {
  RequestPipeline Pipeline{{}};
  const std::uint64_t First = Pipeline.add(Idempotent);
  const std::uint64_t Booking = Pipeline.add(NonIdempotent);
  const std::uint64_t Last = Pipeline.add(Idempotent);
  CHECK(Pipeline.startRequests() == Numbers{First});
  Pipeline.complete(First, 0);
  // The response to the first request may still be lost.
  CHECK(Pipeline.startRequests().empty());
  Pipeline.startWrite();
  CHECK(Pipeline.startRequests().empty());
  Pipeline.finishWrite();
  CHECK(Pipeline.startRequests() == Numbers{Booking});
  Pipeline.complete(Booking, 0);
  CHECK(Pipeline.startRequests() == Numbers{Last});
}

TEST_CASE("the last response closes the connection") {
  RequestPipeline Pipeline{{}};
  Pipeline.add(Idempotent);
  Pipeline.add({.IsIdempotent = true, .IsLast = true});
  CHECK_FALSE(Pipeline.acceptsRequest());
  for (const std::uint64_t Number : Pipeline.startRequests())
    Pipeline.complete(Number, 0);
  CHECK_FALSE(Pipeline.startWrite()->Closes);
  Pipeline.finishWrite();
  CHECK(Pipeline.startWrite()->Closes);
}

TEST_CASE("closing drops the requests that do not run yet") {
  RequestPipeline Pipeline{{}};
  const std::uint64_t Running = Pipeline.add(Idempotent);
  const std::uint64_t Waiting = Pipeline.add(NonIdempotent);
  Pipeline.startRequests();
  CHECK(Pipeline.startClosing() == Numbers{Waiting});
  CHECK_FALSE(Pipeline.acceptsRequest());
  Pipeline.complete(Running, 0);
  CHECK(Pipeline.startWrite()->Closes);
}

TEST_CASE(
    "a connection that starts to close when idle takes one more request") {
  RequestPipeline Idle{{}};
  Idle.startClosing();
  CHECK(Idle.acceptsRequest());
  Idle.add(Idempotent);
  CHECK_FALSE(Idle.acceptsRequest());

  // The response that is being written has promised to keep it open.
  RequestPipeline Writing{{}};
  const std::uint64_t Number = Writing.add(Idempotent);
  Writing.startRequests();
  Writing.complete(Number, 0);
  CHECK_FALSE(Writing.startWrite()->Closes);
  Writing.startClosing();
  CHECK(Writing.acceptsRequest());
}

TEST_CASE("requests and bytes of a connection are bounded") {
  RequestPipeline Few{{.MaxRequests = 2}};
  Few.add(Idempotent);
  CHECK(Few.acceptsRequest());
  Few.add(Idempotent);
  CHECK_FALSE(Few.acceptsRequest());

  RequestPipeline Small{{.MaxBytes = 10000}};
  Small.add({.IsIdempotent = true, .Bytes = 20000});
  CHECK_FALSE(Small.acceptsRequest());
  const std::uint64_t Number = Small.startRequests().front();
  Small.complete(Number, 30000);
  CHECK(Small.bytes() > 50000);
  Small.startWrite();
  Small.finishWrite();
  CHECK(Small.bytes() == 0);
  CHECK(Small.acceptsRequest());
}

/// What a caller and an upstream may rely on, checked step by step.
class PipelineModel {
public:
  void add(std::uint64_t Number, bool IsIdempotent) {
    this->Unanswered.push_back(Number);
    this->IdempotentByNumber[Number] = IsIdempotent;
  }

  void start(std::uint64_t Number) {
    CHECK_FALSE(this->IsClosed);
    CHECK(this->Started.insert(Number).second);
    const bool IsHead = this->Unanswered.front() == Number;
    if (!this->IdempotentByNumber.at(Number))
      CHECK(IsHead);
    for (const std::uint64_t Earlier : this->Unanswered) {
      if (Earlier == Number)
        break;
      const bool MayOverlap = this->IdempotentByNumber.at(Earlier) ||
                              this->Completed.contains(Earlier);
      CHECK(MayOverlap);
    }
  }

  void complete(std::uint64_t Number) { this->Completed.insert(Number); }

  void write(const PipelinedResponse &Response) {
    CHECK_FALSE(this->IsClosed);
    CHECK(this->Unanswered.front() == Response.Number);
    CHECK(this->Completed.contains(Response.Number));
    this->Unanswered.erase(this->Unanswered.begin());
    this->IsClosed = Response.Closes;
    // Whatever runs gets its response before the connection closes.
    if (this->IsClosed)
      for (const std::uint64_t Number : this->Unanswered)
        CHECK_FALSE(this->Started.contains(Number));
  }

  void drop(std::uint64_t Number) {
    CHECK_FALSE(this->Started.contains(Number));
    std::erase(this->Unanswered, Number);
  }

  bool isClosed() const { return this->IsClosed; }
  std::size_t unansweredCount() const { return this->Unanswered.size(); }

private:
  std::map<std::uint64_t, bool> IdempotentByNumber;
  std::vector<std::uint64_t> Unanswered;
  std::set<std::uint64_t> Started;
  std::set<std::uint64_t> Completed;
  bool IsClosed = false;
};

TEST_CASE("random connections keep the rules of pipelining") {
  for (std::uint32_t Seed = 1; Seed <= 400; ++Seed) {
    CAPTURE(Seed);
    std::mt19937 Random(Seed);
    const auto Chance = [&Random](unsigned Percent) {
      return Random() % 100 < Percent;
    };
    RequestPipeline Pipeline({.MaxRequests = 6, .MaxBytes = 60000});
    PipelineModel Model;
    Numbers Running;
    bool IsWriting = false;
    for (int Step = 0; Step < 300 && !Model.isClosed(); ++Step) {
      if (Pipeline.acceptsRequest() && Chance(50)) {
        const bool IsIdempotent = Chance(80);
        Model.add(Pipeline.add({.IsIdempotent = IsIdempotent,
                                .IsLast = Chance(1),
                                .Bytes = Random() % 20000}),
                  IsIdempotent);
      }
      if (Chance(1))
        for (const std::uint64_t Number : Pipeline.startClosing())
          Model.drop(Number);
      for (const std::uint64_t Number : Pipeline.startRequests()) {
        Model.start(Number);
        Running.push_back(Number);
      }
      if (!Running.empty() && Chance(40)) {
        std::swap(Running.back(), Running[Random() % Running.size()]);
        Model.complete(Running.back());
        Pipeline.complete(Running.back(), Random() % 20000);
        Running.pop_back();
      }
      if (IsWriting && Chance(60)) {
        Pipeline.finishWrite();
        IsWriting = false;
      }
      if (!IsWriting) {
        if (const std::optional<PipelinedResponse> Next =
                Pipeline.startWrite()) {
          Model.write(*Next);
          IsWriting = true;
        }
      }
      CHECK(Pipeline.size() == Model.unansweredCount() + (IsWriting ? 1 : 0));
    }
    if (Model.isClosed())
      CHECK(Running.empty());
  }
}

} // namespace
} // namespace persimmonquay
