/// \file
/// The settings file of a route node, which is reloaded while the node runs.
#ifndef SESAMESPREAD_TRANSPORT_SETTINGS_FILE_H_
#define SESAMESPREAD_TRANSPORT_SETTINGS_FILE_H_

#include <filesystem>
#include <string>

#include "sesamespread/state/route_node_settings.h"

namespace sesamespread::transport {

/// Reads the file and detects its changes by its write time.
class SettingsFile {
 public:
  /// Records the current write time of the file, which the caller has read.
  explicit SettingsFile(std::string path);

  /// Returns true if the file exists and was written since it was last read.
  bool HasChanged() const;

  /// Reads the file. \throws state::ValidationError if the settings are
  /// invalid, state::Error with kSettingsInvalid if the file cannot be read.
  state::RouteNodeSettings Read();

 private:
  std::filesystem::file_time_type WriteTime() const;

  const std::string path_;
  std::filesystem::file_time_type write_time_at_read_;
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_SETTINGS_FILE_H_
