/// \file
/// Guards against a node that keeps its old settings after the file has changed
/// without a signal, and against a node that ends because of an invalid file.
#include "sesamespread/transport/settings_file.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <chrono>
#include <fstream>

#include "sesamespread/state/result_code.h"

namespace sesamespread::transport {
namespace {

namespace fs = std::filesystem;

constexpr char kText[] = R"(name: sidecar-a-1
availability_zone: zone-a
service: orders
backend: 127.0.0.1:8301
listen: {entry: "127.0.0.1:0", reports: "127.0.0.1:0", ready: "127.0.0.1:0", peer: "127.0.0.1:0"}
store: 127.0.0.1:8309
)";

class SettingsFileTest : public testing::Test {
 protected:
  SettingsFileTest() { Write(kText); }
  ~SettingsFileTest() override { fs::remove(path_); }

  // Sets a later write time than the last write, whatever the resolution of the
  // file system's timestamps is.
  void Write(const std::string& text) {
    std::ofstream(path_) << text;
    written_ += std::chrono::seconds(1);
    fs::last_write_time(path_, written_);
  }

  const fs::path path_ = fs::temp_directory_path() /
                         ("settings_file_test." + std::to_string(getpid()));
  fs::file_time_type written_ = fs::file_time_type::clock::now();
};

TEST_F(SettingsFileTest, ReportsAChangeOnce) {
  SettingsFile file(path_);
  EXPECT_FALSE(file.HasChanged());
  Write(std::string(kText) + "drain: 3s\n");
  EXPECT_TRUE(file.HasChanged());
  EXPECT_EQ(file.Read().drain, std::chrono::seconds(3));
  EXPECT_FALSE(file.HasChanged());
}

TEST_F(SettingsFileTest, ReportsAnInvalidFileOnce) {
  SettingsFile file(path_);
  Write("name: [\n");
  ASSERT_TRUE(file.HasChanged());
  EXPECT_THROW(file.Read(), state::ValidationError);
  EXPECT_FALSE(file.HasChanged());
}

// A file that is being replaced does not exist for a moment.
TEST_F(SettingsFileTest, DoesNotReportAMissingFileAsChanged) {
  SettingsFile file(path_);
  fs::remove(path_);
  EXPECT_FALSE(file.HasChanged());
  EXPECT_THROW(file.Read(), state::Error);
  Write(kText);
  EXPECT_TRUE(file.HasChanged());
}

}  // namespace
}  // namespace sesamespread::transport
