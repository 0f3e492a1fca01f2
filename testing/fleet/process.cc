#include "testing/fleet/process.h"

#include "persimmonquay/base/checked_json.h"
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace persimmonquay::testing {

Process::Process(const std::vector<std::string> &Command,
                 std::string OutputPath)
    : OutputPath(std::move(OutputPath)) {
  std::vector<char *> Arguments;
  Arguments.reserve(Command.size() + 1);
  for (const std::string &Argument : Command)
    Arguments.push_back(const_cast<char *>(Argument.c_str()));
  Arguments.push_back(nullptr);
  this->Id = fork();
  if (this->Id != 0)
    return;
  // In the child, only async-signal-safe functions may be called.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int Output = open(this->OutputPath.c_str(),
                          O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  dup2(Output, STDOUT_FILENO);
  dup2(Output, STDERR_FILENO);
  sigset_t EmptyMask;
  sigemptyset(&EmptyMask);
  sigprocmask(SIG_SETMASK, &EmptyMask, nullptr);
  execv(Arguments[0], Arguments.data());
  _exit(127);
}

Process::~Process() {
  if (this->ExitCode)
    return;
  this->signal(SIGKILL);
  this->wait(std::chrono::seconds(10));
}

void Process::signal(int SignalNumber) const {
  if (!this->ExitCode)
    kill(this->Id, SignalNumber);
}

std::optional<int> Process::wait(Millis Timeout) {
  const MonoTime Deadline = monoNow() + Timeout;
  while (!this->ExitCode) {
    int Status = 0;
    if (waitpid(this->Id, &Status, WNOHANG) == this->Id)
      this->ExitCode =
          WIFEXITED(Status) ? WEXITSTATUS(Status) : -WTERMSIG(Status);
    else if (monoNow() >= Deadline)
      break;
    else
      std::this_thread::sleep_for(Millis(5));
  }
  return this->ExitCode;
}

std::chrono::duration<double> Process::cpuTime() const {
  std::ifstream File("/proc/" + std::to_string(this->Id) + "/stat");
  std::string Text;
  std::getline(File, Text);
  std::istringstream Fields(Text.substr(Text.rfind(')') + 2));
  // Fields 12 and 13 after the program name are the user and system time.
  std::string Skipped;
  for (int I = 0; I < 11; ++I)
    Fields >> Skipped;
  double User = 0;
  double System = 0;
  Fields >> User >> System;
  return std::chrono::duration<double>(
      (User + System) / static_cast<double>(sysconf(_SC_CLK_TCK)));
}

double Process::statusField(const std::string &Name) const {
  std::ifstream File("/proc/" + std::to_string(this->Id) + "/status");
  std::string Line;
  while (std::getline(File, Line))
    if (Line.starts_with(Name + ":"))
      return std::stod(Line.substr(Name.size() + 1));
  return 0;
}

double Process::residentBytes() const {
  constexpr double BytesPerKilobyte = 1024;
  return this->statusField("VmRSS") * BytesPerKilobyte;
}

double Process::threadCount() const { return this->statusField("Threads"); }

std::string Process::output() const {
  std::string Text;
  (void)readFile(this->OutputPath, &Text);
  return Text;
}

} // namespace persimmonquay::testing
