/// \file
/// Fuzzes the decoder of replies of the platform's store.
#include "store_rows.h"

#include <string>

#include "json_fields.h"
#include "mutated_message.h"

namespace {

constexpr char kReply[] =
    R"({"rows":[{"table":"op","part":"","key":"config","value":"bm9kZS0x",)"
    R"("ver":412},{"key":"z","removed":true,"ver":2}],"has_more":true,)"
    R"("ver":530})";

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace sesamespread;
  const auto bytes = fuzz::MutatedMessage({kReply}, data, size);
  coordination::RowsReply reply;
  try {
    platform::DecodeRows({bytes.begin(), bytes.end()}, &reply);
  } catch (const platform::JsonError&) {
    // The only exception that may reject a reply.
  }
  return 0;
}
