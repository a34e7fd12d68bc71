/// \file
/// The platform's table service and object store over HTTP.
#ifndef SESAMESPREAD_TRANSPORT_PLATFORM_CLIENT_H_
#define SESAMESPREAD_TRANSPORT_PLATFORM_CLIENT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "sesamespread/coordination/table_store.h"
#include "sesamespread/state/time.h"

namespace sesamespread::transport {

/// Access to the platform.
struct PlatformOptions {
  /// "http://127.0.0.1:8080".
  std::string url;
  /// Bound of each call, from its start to its whole reply.
  state::Duration timeout = std::chrono::seconds(2);
  /// Sent as bearer token; empty for none.
  std::string token = {};
};

/// Calls made by a PlatformClient.
struct PlatformCounters {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  /// Calls that ended as kNotDelivered or kNoReply.
  std::uint64_t failures = 0;
  /// Calls begun in the last whole second.
  std::uint32_t reads_per_second = 0;
  std::uint32_t writes_per_second = 0;
};

/// Blocking client; each call returns within PlatformOptions::timeout. Calls
/// may come from any one thread at a time; counters() from any thread.
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

/// The first line of \p path without trailing blanks. \throws Error with
/// kUnauthorized if the file can't be read or is empty.
std::string ReadTokenFile(const std::string& path);

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_PLATFORM_CLIENT_H_
