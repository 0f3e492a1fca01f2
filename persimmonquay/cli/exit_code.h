// Exit codes of the command line. Scripts depend on the numbers.
#ifndef PERSIMMONQUAY_CLI_EXIT_CODE_H
#define PERSIMMONQUAY_CLI_EXIT_CODE_H

namespace persimmonquay {

enum class ExitCode : int {
  Success = 0,
  /// The command was carried out without success: the change was rejected, the
  /// move was rolled back or cancelled, or no log line matched. `sidecar` also
  /// returns it when the node can't start.
  Failure = 1,
  /// The command line is invalid, or a file is invalid or can't be opened.
  UsageError = 2,
  /// A node or the log could not be reached in time, or `node` can't start.
  Unreachable = 3,
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_CLI_EXIT_CODE_H
