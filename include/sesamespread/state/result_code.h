/// \file
/// Numbered result codes, and whether the request that met one has run.
#ifndef SESAMESPREAD_STATE_RESULT_CODE_H_
#define SESAMESPREAD_STATE_RESULT_CODE_H_

#include <cstdint>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

namespace sesamespread::state {

/// Whether a request ran at any backend server. kNotRun is used only when that
/// is certain.
enum class RunState : std::uint8_t { kNotRun = 0, kRan = 1, kUnknown = 2 };

/// Result of a request or of an operator's verb; see result_codes.def.
enum class ResultCode : std::uint16_t {
#define SESAMESPREAD_RESULT(name, number, http, run, title) k##name = (number),
#include "sesamespread/state/result_codes.def"
};

/// The table row of a result code.
struct ResultCodeInfo {
  ResultCode code;
  std::string_view name;
  /// HTTP status sent to callers.
  int http_status;
  RunState run_state;
  std::string_view title;
};

/// All rows in ascending order of their number.
std::span<const ResultCodeInfo> AllResultCodes();

/// The row of \p code. An unknown number gives the row of kBadFrame.
const ResultCodeInfo& InfoOf(ResultCode code);

/// "not_run", "ran" or "unknown".
std::string_view ToString(RunState run_state);

/// True if \p code stands for an answer of the backend server.
constexpr bool IsAnswered(ResultCode code) {
  return static_cast<std::uint16_t>(code) < 200;
}

/// An error with a numbered result code.
class Error : public std::runtime_error {
 public:
  Error(ResultCode code, const std::string& detail)
      : std::runtime_error(detail), code_(code) {}
  ResultCode code() const { return code_; }

 private:
  ResultCode code_;
};

}  // namespace sesamespread::state

#endif  // SESAMESPREAD_STATE_RESULT_CODE_H_
