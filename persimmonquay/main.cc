// Entry point of the program: the daemon and the operators' commands.
#include "persimmonquay/cli/run.h"

int main(int ArgumentCount, char **Arguments) {
  return persimmonquay::runCommandLine(
      std::vector<std::string>(Arguments + 1, Arguments + ArgumentCount));
}
