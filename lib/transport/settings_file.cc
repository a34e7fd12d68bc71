/// \file
/// Reloads the settings file of a route node.
#include "sesamespread/transport/settings_file.h"

#include <fmt/format.h>

#include <fstream>
#include <sstream>
#include <system_error>
#include <utility>

#include "sesamespread/state/result_code.h"

namespace sesamespread::transport {

SettingsFile::SettingsFile(std::string path)
    : path_(std::move(path)), write_time_at_read_(WriteTime()) {}

// Returns the earliest representable time if the file does not exist, so that a
// file that is being replaced counts as changed once it exists again.
std::filesystem::file_time_type SettingsFile::WriteTime() const {
  std::error_code error;
  const auto time = std::filesystem::last_write_time(path_, error);
  return error ? std::filesystem::file_time_type::min() : time;
}

bool SettingsFile::HasChanged() const {
  const auto time = WriteTime();
  return time != std::filesystem::file_time_type::min() &&
         time != write_time_at_read_;
}

state::RouteNodeSettings SettingsFile::Read() {
  // Read before the content, so that a write during the read is detected as a
  // change.
  write_time_at_read_ = WriteTime();
  std::ifstream file(path_);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file)
    throw state::Error(state::ResultCode::kSettingsInvalid,
                       fmt::format("{} can't be read", path_));
  return state::ParseRouteNodeSettings({path_, text.str()});
}

}  // namespace sesamespread::transport
