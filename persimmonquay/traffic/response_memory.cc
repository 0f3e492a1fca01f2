#include "persimmonquay/traffic/response_memory.h"

#include <algorithm>

namespace persimmonquay {

std::optional<std::uint64_t> ResponseMemory::update(std::uint64_t Call,
                                                    std::size_t Size) {
  std::size_t &Known = this->Responses[Call];
  this->Bytes = this->Bytes - Known + Size;
  Known = Size;
  if (this->Bytes <= this->MaxBytes)
    return std::nullopt;
  const std::uint64_t Largest =
      std::max_element(this->Responses.begin(), this->Responses.end(),
                       [](const auto &Left, const auto &Right) {
                         return Left.second < Right.second;
                       })
          ->first;
  this->remove(Largest);
  return Largest;
}

void ResponseMemory::remove(std::uint64_t Call) {
  const auto Found = this->Responses.find(Call);
  if (Found == this->Responses.end())
    return;
  this->Bytes -= Found->second;
  this->Responses.erase(Found);
}

} // namespace persimmonquay
