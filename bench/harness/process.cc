/// \file
/// Child processes of the test bench.
#include "harness/process.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace sesamespread::bench {
namespace {

using Clock = std::chrono::steady_clock;

[[noreturn]] void Exec(const std::vector<std::string>& arguments,
                       int pipe,
                       int started_pipe,
                       const std::string& log_path,
                       StandardOutput output) {
  // The kernel kills the child if the bench ends, even by a crash.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  dup2(pipe, STDOUT_FILENO);
  const int log = open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  if (log >= 0)
    dup2(log, STDERR_FILENO);
  if (log >= 0 && output == StandardOutput::kLog)
    dup2(log, STDOUT_FILENO);
  // An inherited socket would stay open, and its port in use, until the child
  // ends.
  constexpr unsigned kFirstInheritedFd = STDERR_FILENO + 1;
  const auto kept = static_cast<unsigned>(started_pipe);
  if (kept > kFirstInheritedFd)
    close_range(kFirstInheritedFd, kept - 1, 0);
  close_range(kept + 1, ~0U, 0);
  std::vector<char*> argv;
  for (const std::string& argument : arguments)
    argv.push_back(const_cast<char*>(argument.c_str()));
  argv.push_back(nullptr);
  execv(argv[0], argv.data());
  _exit(127);
}

}  // namespace

std::string BinaryDir() {
  return SESAMESPREAD_BINARY_DIR;
}

std::string SourceDir() {
  return SESAMESPREAD_SOURCE_DIR;
}

std::string ProcessLoopbackAddress() {
  // Process ids have at most 22 bits; 127.128.0.0/9 leaves 23 bits.
  const auto pid = static_cast<unsigned>(getpid());
  constexpr unsigned kUpperHalfBit = 0x80;
  return fmt::format("127.{}.{}.{}", kUpperHalfBit | ((pid >> 16) & 0x7f),
                     (pid >> 8) & 0xff, pid & 0xff);
}

Process::Process(const std::vector<std::string>& arguments,
                 const std::string& log_path,
                 StandardOutput output) {
  int pipe_fds[2];
  // Its end in the child closes with the execution, after all others.
  int started_fds[2];
  if (pipe2(pipe_fds, O_CLOEXEC) != 0 || pipe2(started_fds, O_CLOEXEC) != 0)
    throw std::runtime_error("cannot create a pipe");
  pid_ = fork();
  if (pid_ < 0)
    throw std::runtime_error("cannot fork");
  if (pid_ == 0)
    Exec(arguments, pipe_fds[1], started_fds[1], log_path, output);
  close(pipe_fds[1]);
  output_fd_ = pipe_fds[0];
  // Until then the child has the sockets of this process open, and their ports
  // stay in use if this process closes them.
  close(started_fds[1]);
  char unused = 0;
  while (read(started_fds[0], &unused, 1) < 0 && errno == EINTR) {
  }
  close(started_fds[0]);
}

Process::~Process() {
  if (!ended_) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  close(output_fd_);
}

std::string Process::ReadLine(std::chrono::milliseconds timeout) {
  const auto deadline = Clock::now() + timeout;
  while (true) {
    const std::size_t end = buffer_.find('\n');
    if (end != std::string::npos) {
      std::string line = buffer_.substr(0, end);
      buffer_.erase(0, end + 1);
      return line;
    }
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline -
                                                              Clock::now());
    pollfd descriptor{output_fd_, POLLIN, 0};
    if (remaining.count() <= 0 ||
        poll(&descriptor, 1, static_cast<int>(remaining.count())) <= 0)
      return "";
    char chunk[4096];
    const ssize_t size = read(output_fd_, chunk, sizeof(chunk));
    if (size <= 0)
      return "";
    buffer_.append(chunk, static_cast<std::size_t>(size));
  }
}

std::string Process::ReadAll() {
  char chunk[4096];
  ssize_t size = 0;
  while ((size = read(output_fd_, chunk, sizeof(chunk))) > 0)
    buffer_.append(chunk, static_cast<std::size_t>(size));
  return buffer_;
}

void Process::Signal(int signal) const {
  if (!ended_)
    kill(pid_, signal);
}

int Process::Wait(std::chrono::milliseconds timeout) {
  const auto deadline = Clock::now() + timeout;
  while (!ended_) {
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == pid_) {
      ended_ = true;
      exit_code_ =
          WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
      break;
    }
    if (Clock::now() >= deadline)
      return -1;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return exit_code_;
}

ProgramResult RunProgram(const std::vector<std::string>& arguments,
                         const std::string& log_path,
                         std::chrono::milliseconds timeout) {
  Process process(arguments, log_path);
  return FinishProgram(process, timeout);
}

ProgramResult FinishProgram(Process& process,
                            std::chrono::milliseconds timeout) {
  ProgramResult result;
  std::thread reader([&] { result.output = process.ReadAll(); });
  result.exit_code = process.Wait(timeout);
  if (result.exit_code < 0)
    process.Signal(SIGKILL);
  reader.join();
  return result;
}

Usage UsageOf(pid_t pid) {
  Usage usage;
  std::ifstream statm("/proc/" + std::to_string(pid) + "/statm");
  long total = 0;
  long resident = 0;
  statm >> total >> resident;
  usage.resident_kib = resident * (sysconf(_SC_PAGESIZE) / 1024);
  std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
  std::string line;
  std::getline(stat, line);
  // Fields 14 and 15 are the user and system times. The command name, field 2,
  // may contain blanks, so that fields are counted from its end.
  std::istringstream fields(line.substr(line.rfind(')') + 2));
  std::string skipped;
  for (int field = 3; field < 14; ++field)
    fields >> skipped;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  usage.cpu_seconds =
      (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
  return usage;
}

}  // namespace sesamespread::bench
