// The one binary: the daemon and the operators' commands.
#include "persimmonquay/cli/run.h"

int main(int Count, char **Words) {
  return persimmonquay::runCommandLine(
      std::vector<std::string>(Words + 1, Words + Count));
}
