/// \file
/// What the verbs have in common: options, output and errors.
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

/// Thrown for options that are wrong; ends with kExitUsage.
class UsageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Thrown when a node does not answer; ends with kExitNodeUnreachable.
class NodeUnreachable : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// One call of a verb.
class Command {
 public:
  /// \p positional describes the arguments without option name, like "FILE...";
  /// empty for none. \p examples are printed by --help.
  Command(std::string name,
          std::string help,
          std::string positional,
          std::string examples);

  cxxopts::OptionAdder Add() { return options_.add_options(); }
  /// Adds --platform, --platform-token-file and --timeout.
  void AddPlatformOptions();

  /// Parses the options and runs \p body, whose errors are printed in the form
  /// that --output asks for. \returns the exit code.
  int Run(int argc, char** argv, const std::function<int()>& body);

  bool Has(const std::string& option) const {
    return parsed_.count(option) > 0;
  }
  template <typename T>
  T Get(const std::string& option) const {
    return parsed_[option].as<T>();
  }
  /// The text of an option that must be given. \throws UsageError.
  std::string Require(const std::string& option) const;
  state::Duration GetDuration(const std::string& option) const;
  const std::vector<std::string>& arguments() const { return arguments_; }
  bool is_json() const { return is_json_; }

  std::unique_ptr<transport::PlatformClient> ConnectPlatform() const;
  /// Contents of the files named as arguments; "-" is standard input.
  std::vector<state::SourceText> ReadArguments() const;

 private:
  int Guard(const std::function<int()>& body) const;
  int ReportFaults(const state::ValidationError& error) const;

  std::string name_;
  std::string examples_;
  std::string positional_;
  cxxopts::Options options_;
  cxxopts::ParseResult parsed_;
  std::vector<std::string> arguments_;
  bool is_json_ = false;
};

/// Prints a result as JSON on standard output, or as text on standard error.
void ReportResult(bool is_json,
                  state::ResultCode code,
                  state::RunState run_state,
                  const std::string& detail);

/// "[\"a\", \"b\"]".
std::string JsonList(const std::vector<std::string>& items);

/// \throws UsageError if the file can't be read.
state::SourceText ReadSource(const std::string& path);

}  // namespace sesamespread::tools

#endif  // SESAMESPREAD_TOOLS_SESAMESPREAD_COMMAND_H_
