#include "persimmonquay/daemon/request_pipeline.h"

#include <algorithm>
#include <cassert>

namespace persimmonquay {
namespace internal {

/// Memory that a request occupies in addition to its bytes.
constexpr std::size_t RequestOverheadBytes = 4096;

} // namespace internal

bool RequestPipeline::acceptsRequest() const {
  if (this->HasLast)
    return false;
  // The first request is always accepted, whatever its size: without it, the
  // connection would make no progress.
  return this->Entries.empty() ||
         (this->Entries.size() < this->Limits.MaxRequests &&
          this->Bytes < this->Limits.MaxBytes);
}

std::uint64_t RequestPipeline::add(const PipelinedRequest &Request) {
  assert(this->acceptsRequest());
  Entry Added{this->NextNumber++, Request};
  Added.Bytes = Request.Bytes + internal::RequestOverheadBytes;
  this->Bytes += Added.Bytes;
  this->HasLast = Request.IsLast || this->IsDraining;
  this->Entries.push_back(Added);
  return Added.Number;
}

std::vector<std::uint64_t> RequestPipeline::startRequests() {
  std::vector<std::uint64_t> Started;
  for (std::size_t I = 0; I < this->Entries.size(); ++I) {
    Entry &Next = this->Entries[I];
    if (Next.Progress == State::Waiting) {
      if (!Next.Request.IsIdempotent && I > 0)
        break;
      Next.Progress = State::Running;
      Started.push_back(Next.Number);
    }
    if (!Next.Request.IsIdempotent && Next.Progress == State::Running)
      break;
  }
  return Started;
}

void RequestPipeline::complete(std::uint64_t Number,
                               std::size_t ResponseBytes) {
  const auto Found = std::find_if(
      this->Entries.begin(), this->Entries.end(),
      [Number](const Entry &Each) { return Each.Number == Number; });
  assert(Found != this->Entries.end());
  Found->Progress = State::Complete;
  Found->Bytes += ResponseBytes;
  this->Bytes += ResponseBytes;
}

std::optional<PipelinedResponse> RequestPipeline::startWrite() {
  if (this->Entries.empty() ||
      this->Entries.front().Progress != State::Complete)
    return std::nullopt;
  Entry &Head = this->Entries.front();
  Head.Progress = State::Writing;
  return PipelinedResponse{Head.Number,
                           this->HasLast && this->Entries.size() == 1};
}

void RequestPipeline::finishWrite() {
  assert(!this->Entries.empty());
  this->Bytes -= this->Entries.front().Bytes;
  this->Entries.erase(this->Entries.begin());
}

std::vector<std::uint64_t> RequestPipeline::startClosing() {
  this->IsDraining = true;
  std::vector<std::uint64_t> Dropped;
  while (!this->Entries.empty() &&
         this->Entries.back().Progress == State::Waiting) {
    Dropped.push_back(this->Entries.back().Number);
    this->Bytes -= this->Entries.back().Bytes;
    this->Entries.pop_back();
  }
  // A response that is being written promises to keep the connection open; one
  // more request may then follow it.
  const bool OnlyWriting = this->Entries.size() == 1 &&
                           this->Entries.front().Progress == State::Writing;
  if (!this->Entries.empty() && !OnlyWriting)
    this->HasLast = true;
  return Dropped;
}

} // namespace persimmonquay
