/// \file
/// HTTP client of the platform's table service and object store.
#ifndef SESAMESPREAD_TRANSPORT_PLATFORM_CLIENT_H_
#define SESAMESPREAD_TRANSPORT_PLATFORM_CLIENT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "sesamespread/coordination/table_store.h"
#include "sesamespread/state/time.h"

namespace sesamespread::transport {

/// Address of the platform and how it is called.
struct PlatformOptions {
  /// For example "http://127.0.0.1:8080".
  std::string url;
  /// Timeout of each call, from its start to the complete reply.
  state::Duration timeout = std::chrono::seconds(2);
  /// Bearer token; empty for none.
  std::string token = {};
};

/// Calls made by a PlatformClient.
struct PlatformCounters {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  /// Calls that ended as kNotDelivered or kNoReply.
  std::uint64_t failures = 0;
  /// Calls started in the last full second.
  std::uint32_t reads_per_second = 0;
  std::uint32_t writes_per_second = 0;
};

/// Blocking client. Each call returns within PlatformOptions::timeout. Calls
/// may be made on any thread, but only one at a time; counters() may be called
/// on any thread at any time.
class PlatformClient : public coordination::TableStore,
                       public coordination::ObjectStore {
 public:
  /// \throws Error with kSettingsInvalid if the URL is not valid.
  explicit PlatformClient(const PlatformOptions& options);
  ~PlatformClient() override;
  PlatformClient(const PlatformClient&) = delete;
  PlatformClient& operator=(const PlatformClient&) = delete;

  coordination::CommitReply Commit(
      const coordination::TableTransaction& transaction) override;
  coordination::RowReply ReadRow(std::string_view key) override;
  coordination::RangeReply ReadRange(std::string_view prefix,
                                     std::string_view after,
                                     std::size_t limit) override;
  coordination::StoreStatus PutObject(std::string_view name,
                                      std::string_view content) override;
  coordination::ObjectReply GetObject(std::string_view name) override;

  PlatformCounters counters() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// Returns the first line of the file \p path without trailing white space.
/// \throws Error with kUnauthorized if the file cannot be read or the line is
/// empty.
std::string ReadTokenFile(const std::string& path);

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_PLATFORM_CLIENT_H_
