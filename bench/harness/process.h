/// \file
/// Child processes of the demo, the benchmarks and the process-level tests.
/// Part of the test bench; the product starts no processes.
#ifndef SESAMESPREAD_BENCH_HARNESS_PROCESS_H_
#define SESAMESPREAD_BENCH_HARNESS_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace sesamespread::bench {

/// Directory of the binaries that were built with this one.
std::string BinaryDir();
/// Root of the source tree.
std::string SourceDir();
/// A loopback address that no other running process of the bench uses. Ports
/// there can be fixed: neither tests that run at the same time nor outgoing
/// connections, whose source is 127.0.0.1, take them.
std::string ProcessLoopbackAddress();

/// Where a child's standard output goes.
enum class StandardOutput : std::uint8_t { kPipe, kLog };

/// A running child process; killed by its id when the object goes.
class Process {
 public:
  /// Starts \p arguments[0] with \p arguments. Its standard output can be read
  /// with ReadLine; its standard error goes to \p log_path, and with
  /// StandardOutput::kLog its standard output as well.
  /// \throws std::runtime_error if it can't be started.
  Process(const std::vector<std::string>& arguments,
          const std::string& log_path,
          StandardOutput output = StandardOutput::kPipe);
  ~Process();

  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// The next line of standard output; empty at its end or after \p timeout.
  std::string ReadLine(std::chrono::milliseconds timeout);

  /// Everything until the end of standard output.
  std::string ReadAll();

  void Signal(int signal) const;

  /// Waits for the end. \returns the exit code, 128 + n for signal n, or -1 if
  /// it still runs after \p timeout.
  int Wait(std::chrono::milliseconds timeout);

  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
  int output_ = -1;
  bool ended_ = false;
  int exit_code_ = -1;
  std::string buffer_;
};

/// Result of a program that ran to its end.
struct ProgramResult {
  int exit_code = -1;
  std::string output;
};

/// Runs a program and waits for it.
ProgramResult RunProgram(const std::vector<std::string>& arguments,
                         const std::string& log_path,
                         std::chrono::milliseconds timeout);

/// Resident memory in KiB and processor time in seconds of a process.
struct Usage {
  long resident_kib = 0;
  double cpu_seconds = 0;
};
Usage UsageOf(pid_t pid);

}  // namespace sesamespread::bench

#endif  // SESAMESPREAD_BENCH_HARNESS_PROCESS_H_
