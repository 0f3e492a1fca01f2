// Exit codes of the command line, for scripts.
#ifndef PERSIMMONQUAY_CLI_EXIT_CODE_H
#define PERSIMMONQUAY_CLI_EXIT_CODE_H

namespace persimmonquay {

enum class ExitCode : int {
  Done = 0,
  /// The change was rejected, or the move was taken back or cancelled.
  Refused = 1,
  /// The command line or a file is wrong.
  Usage = 2,
  /// The node or the log could not be reached in time.
  Unreachable = 3,
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_CLI_EXIT_CODE_H
