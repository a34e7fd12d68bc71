/// \file
/// Options, output and errors that the verbs have in common.
#ifndef SESAMESPREAD_TOOLS_SESAMESPREAD_COMMAND_H_
#define SESAMESPREAD_TOOLS_SESAMESPREAD_COMMAND_H_

#include <cxxopts.hpp>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "exit_codes.h"
#include "sesamespread/coordination/configuration_writer.h"
#include "sesamespread/state/settings.h"
#include "sesamespread/transport/platform_client.h"

namespace sesamespread::tools {

/// An invalid option or argument; the verb ends with kExitUsage.
class UsageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// A node that does not answer; the verb ends with kExitNodeUnreachable.
class NodeUnreachableError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// One invocation of a verb.
class Command {
 public:
  /// \p positional describes the positional arguments, such as "FILE..."; empty
  /// for none. \p examples are printed by --help.
  Command(std::string name,
          std::string help,
          std::string positional,
          std::string examples);

  cxxopts::OptionAdder Add() { return options_.add_options(); }
  /// Adds --platform, --platform-token-file and --timeout.
  void AddPlatformOptions();

  /// Parses the options and runs \p body. Prints its errors in the format given
  /// by --output. \returns the exit code.
  int Run(int argc, char** argv, const std::function<int()>& body);

  bool Has(const std::string& option) const {
    return parsed_.count(option) > 0;
  }
  template <typename T>
  T Get(const std::string& option) const {
    return parsed_[option].as<T>();
  }
  /// The value of a required option. \throws UsageError if it is missing or
  /// empty.
  std::string Require(const std::string& option) const;
  /// \throws UsageError if the value is not a positive duration with a unit.
  state::Duration GetDuration(const std::string& option) const;
  const std::vector<std::string>& arguments() const { return arguments_; }
  bool is_json() const { return is_json_; }

  /// A client for the platform given by --platform.
  std::unique_ptr<transport::PlatformClient> ConnectPlatform() const;
  /// Contents of the files named as arguments; "-" is standard input.
  std::vector<state::SourceText> ReadArguments() const;

 private:
  int RunAndReportErrors(const std::function<int()>& body) const;
  int ReportValidationFaults(const state::ValidationError& error) const;

  std::string name_;
  std::string examples_;
  std::string positional_;
  cxxopts::Options options_;
  cxxopts::ParseResult parsed_;
  std::vector<std::string> arguments_;
  bool is_json_ = false;
};

/// Prints an error with its result code as JSON on standard output, or as text
/// on standard error.
void ReportResult(bool is_json,
                  state::ResultCode code,
                  state::RunState run_state,
                  const std::string& detail);

/// Formats \p items as a JSON array of strings.
std::string JsonList(const std::vector<std::string>& items);

/// Reads a file, or standard input if \p path is "-".
/// \throws UsageError if the file cannot be read.
state::SourceText ReadSource(const std::string& path);

}  // namespace sesamespread::tools

#endif  // SESAMESPREAD_TOOLS_SESAMESPREAD_COMMAND_H_
