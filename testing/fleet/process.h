// A child process that a test starts.
#ifndef PERSIMMONQUAY_TESTING_FLEET_PROCESS_H
#define PERSIMMONQUAY_TESTING_FLEET_PROCESS_H

#include "persimmonquay/base/time.h"
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace persimmonquay::testing {

/// A running program. The destructor kills it if it has not exited. Standard
/// output and standard error are appended to a file.
class Process {
public:
  Process(const std::vector<std::string> &Command, std::string OutputPath);
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;
  ~Process();

  /// Sends a signal, unless `wait()` has returned the exit code.
  void signal(int SignalNumber) const;

  /// Waits for the program to exit and returns its exit code, or -N if signal N
  /// ended it. Empty if it has not exited within `Timeout`.
  std::optional<int> wait(Millis Timeout);

  /// Returns the user and system CPU time used so far.
  std::chrono::duration<double> cpuTime() const;

  /// Returns the resident memory in bytes.
  double residentBytes() const;
  /// Returns the current number of threads.
  double threadCount() const;

  pid_t id() const { return this->Id; }
  /// Returns what the program has written so far.
  std::string output() const;

private:
  /// Returns a numeric field of /proc/PID/status, or 0 if it cannot be read.
  double statusField(const std::string &Name) const;

  pid_t Id = -1;
  std::optional<int> ExitCode;
  std::string OutputPath;
};

} // namespace persimmonquay::testing

#endif // PERSIMMONQUAY_TESTING_FLEET_PROCESS_H
