// Runs the commands of the command line.
#ifndef PERSIMMONQUAY_CLI_RUN_H
#define PERSIMMONQUAY_CLI_RUN_H

#include <string>
#include <vector>

namespace persimmonquay {

/// Runs the command given by `Arguments`, the command line without the
/// program's name. Prints results to standard output and errors to standard
/// error. Returns the exit code; see ExitCode.
int runCommandLine(const std::vector<std::string> &Arguments);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_CLI_RUN_H
