/// \file
/// Child processes of the demo, the benchmarks and the process-level tests.
/// Part of the test bench; nodes start no processes.
#ifndef SESAMESPREAD_BENCH_HARNESS_PROCESS_H_
#define SESAMESPREAD_BENCH_HARNESS_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace sesamespread::bench {

/// Build directory.
std::string BinaryDir();
/// Root of the source tree.
std::string SourceDir();
/// A loopback address derived from the id of this process, which no other
/// running process of the bench uses. Fixed ports can be used there: they
/// conflict neither with tests that run at the same time nor with outgoing
/// connections, whose source address is 127.0.0.1.
std::string ProcessLoopbackAddress();

/// Destination of a child's standard output.
enum class StandardOutput : std::uint8_t { kPipe, kLog };

/// A child process. The destructor sends it SIGKILL if it still runs, and reaps
/// it.
class Process {
 public:
  /// Runs the program \p arguments[0]; \p arguments is its argv. Its standard
  /// output can be read with ReadLine and ReadAll; its standard error is
  /// appended to \p log_path, and with StandardOutput::kLog its standard output
  /// as well.
  /// \throws std::runtime_error if no process can be created. If the program
  /// cannot be executed, the process exits with code 127.
  Process(const std::vector<std::string>& arguments,
          const std::string& log_path,
          StandardOutput output = StandardOutput::kPipe);
  ~Process();

  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// The next line of standard output, without its line feed; empty at the end
  /// of the output or after \p timeout.
  std::string ReadLine(std::chrono::milliseconds timeout);

  /// Reads until the end of standard output. \returns all bytes that ReadLine
  /// has not returned.
  std::string ReadAll();

  void Signal(int signal) const;

  /// Waits until the process ends. \returns its exit code, 128 + n if signal n
  /// ended it, or -1 if it still runs after \p timeout.
  int Wait(std::chrono::milliseconds timeout);

  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
  int output_fd_ = -1;
  bool ended_ = false;
  int exit_code_ = -1;
  std::string buffer_;
};

/// Result of RunProgram.
struct ProgramResult {
  /// See Process::Wait.
  int exit_code = -1;
  /// Standard output.
  std::string output;
};

/// Reads the output of \p process until it ends, and kills it after \p timeout.
ProgramResult FinishProgram(Process& process,
                            std::chrono::milliseconds timeout);

/// Runs a program until it ends, and kills it after \p timeout.
ProgramResult RunProgram(const std::vector<std::string>& arguments,
                         const std::string& log_path,
                         std::chrono::milliseconds timeout);

/// Resource usage of a process.
struct Usage {
  long resident_kib = 0;
  double cpu_seconds = 0;
};
Usage UsageOf(pid_t pid);

}  // namespace sesamespread::bench

#endif  // SESAMESPREAD_BENCH_HARNESS_PROCESS_H_
