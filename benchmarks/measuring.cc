#include "benchmarks/measuring.h"

#include <algorithm>
#include <cmath>

namespace persimmonquay::testing {

double quantileOf(std::vector<double> Values, double Fraction) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const auto Index = static_cast<std::size_t>(
      std::lround(Fraction * static_cast<double>(Values.size() - 1)));
  return Values[Index];
}

NodeUsage::NodeUsage(const Fleet &Running)
    : Running(Running), StartedAt(monoNow()), Before(this->read()) {}

void NodeUsage::finish() {
  this->After = this->read();
  this->Elapsed =
      std::chrono::duration<double>(monoNow() - this->StartedAt).count();
}

std::vector<NodeUsage::Reading> NodeUsage::read() const {
  std::vector<Reading> Result;
  for (const auto &Each : this->Running.hosts())
    Result.push_back({metricOf(Each->local(), "pq_control_bytes_sent_total"),
                      Each->Node->processorTime().count()});
  return Result;
}

double NodeUsage::meanBytesPerSecond() const {
  double Sum = 0;
  for (std::size_t I = 0; I < this->After.size(); ++I)
    Sum += this->After[I].Bytes - this->Before[I].Bytes;
  return Sum / this->Elapsed / static_cast<double>(this->After.size());
}

void NodeUsage::addTo(JsonLine *Line) const {
  double Processor = 0;
  double MaxBytes = 0;
  double Memory = 0;
  double MaxMemory = 0;
  for (std::size_t I = 0; I < this->After.size(); ++I) {
    Processor += this->After[I].Seconds - this->Before[I].Seconds;
    MaxBytes = std::max(MaxBytes, this->After[I].Bytes - this->Before[I].Bytes);
    const double Resident = this->Running.hosts()[I]->Node->residentBytes();
    Memory += Resident;
    MaxMemory = std::max(MaxMemory, Resident);
  }
  const auto Nodes = static_cast<double>(this->After.size());
  constexpr double Megabyte = 1e6;
  (*Line)["control_bytes_per_s_mean"] = this->meanBytesPerSecond();
  (*Line)["control_bytes_per_s_max"] = MaxBytes / this->Elapsed;
  (*Line)["processor_percent_mean"] = 100 * Processor / this->Elapsed / Nodes;
  (*Line)["memory_mb_mean"] = Memory / Megabyte / Nodes;
  (*Line)["memory_mb_max"] = MaxMemory / Megabyte;
  (*Line)["threads"] = this->Running.hosts().front()->Node->threads();
}

} // namespace persimmonquay::testing
