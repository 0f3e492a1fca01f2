#include "benchmarks/measuring.h"

#include <algorithm>
#include <cmath>

namespace persimmonquay::testing {

double quantile(std::vector<double> Values, double Fraction) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const auto Index = static_cast<std::size_t>(
      std::lround(Fraction * static_cast<double>(Values.size() - 1)));
  return Values[Index];
}

NodeUsage::NodeUsage(const TestFleet &Fleet)
    : Fleet(Fleet), StartTime(monoNow()), StartReadings(this->takeReadings()) {}

void NodeUsage::finish() {
  this->EndReadings = this->takeReadings();
  this->ElapsedSeconds =
      std::chrono::duration<double>(monoNow() - this->StartTime).count();
}

std::vector<NodeUsage::Reading> NodeUsage::takeReadings() const {
  std::vector<Reading> Result;
  for (const auto &TestHost : this->Fleet.hosts())
    Result.push_back(
        {readMetric(TestHost->localEndpoint(), "pq_control_bytes_sent_total"),
         TestHost->Node->cpuTime().count()});
  return Result;
}

double NodeUsage::meanBytesPerSecond() const {
  double TotalBytes = 0;
  for (std::size_t I = 0; I < this->EndReadings.size(); ++I)
    TotalBytes +=
        this->EndReadings[I].ControlBytes - this->StartReadings[I].ControlBytes;
  return TotalBytes / this->ElapsedSeconds /
         static_cast<double>(this->EndReadings.size());
}

void NodeUsage::addTo(JsonLine *Line) const {
  double TotalProcessorSeconds = 0;
  double MaxControlBytes = 0;
  double TotalResidentBytes = 0;
  double MaxResidentBytes = 0;
  for (std::size_t I = 0; I < this->EndReadings.size(); ++I) {
    TotalProcessorSeconds += this->EndReadings[I].ProcessorSeconds -
                             this->StartReadings[I].ProcessorSeconds;
    MaxControlBytes =
        std::max(MaxControlBytes, this->EndReadings[I].ControlBytes -
                                      this->StartReadings[I].ControlBytes);
    const double ResidentBytes = this->Fleet.hosts()[I]->Node->residentBytes();
    TotalResidentBytes += ResidentBytes;
    MaxResidentBytes = std::max(MaxResidentBytes, ResidentBytes);
  }
  const auto NodeCount = static_cast<double>(this->EndReadings.size());
  constexpr double BytesPerMegabyte = 1e6;
  (*Line)["control_bytes_per_s_mean"] = this->meanBytesPerSecond();
  (*Line)["control_bytes_per_s_max"] = MaxControlBytes / this->ElapsedSeconds;
  (*Line)["processor_percent_mean"] =
      100 * TotalProcessorSeconds / this->ElapsedSeconds / NodeCount;
  (*Line)["memory_mb_mean"] = TotalResidentBytes / BytesPerMegabyte / NodeCount;
  (*Line)["memory_mb_max"] = MaxResidentBytes / BytesPerMegabyte;
  (*Line)["threads"] = this->Fleet.hosts().front()->Node->threadCount();
}

} // namespace persimmonquay::testing
