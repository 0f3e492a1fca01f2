// Carries out the commands of the command line.
#ifndef PERSIMMONQUAY_CLI_RUN_H
#define PERSIMMONQUAY_CLI_RUN_H

#include <string>
#include <vector>

namespace persimmonquay {

/// Carries out the command in `Words`, the words after the program's name.
/// Results go to standard output and problems to standard error. Returns the
/// exit code; see ExitCode.
int runCommandLine(const std::vector<std::string> &Words);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_CLI_RUN_H
