// A child process of a test.
#ifndef PERSIMMONQUAY_TESTING_FLEET_PROCESS_H
#define PERSIMMONQUAY_TESTING_FLEET_PROCESS_H

#include "persimmonquay/base/time.h"
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace persimmonquay::testing {

/// Runs a program until it ends or this object does, which kills it. Output
/// goes to a file.
class Process {
public:
  Process(const std::vector<std::string> &Command, std::string OutputPath);
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;
  ~Process();

  void signal(int Number) const;

  /// Waits for the end and returns the exit code; -N after signal N. Empty
  /// when it hasn't ended by `Timeout`.
  std::optional<int> wait(Millis Timeout);

  /// Returns the processor time used so far.
  std::chrono::duration<double> cpuTime() const;

  /// Returns the resident memory in bytes and the number of threads.
  double residentBytes() const;
  double threadCount() const;

  pid_t id() const { return this->Id; }
  std::string output() const;

private:
  double statusNumber(const std::string &Name) const;

  pid_t Id = -1;
  std::optional<int> ExitCode;
  std::string OutputPath;
};

} // namespace persimmonquay::testing

#endif // PERSIMMONQUAY_TESTING_FLEET_PROCESS_H
