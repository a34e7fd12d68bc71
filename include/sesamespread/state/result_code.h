/// \file
/// Numbered result codes. Each one states the HTTP status and whether the
/// request has run.
#ifndef SESAMESPREAD_STATE_RESULT_CODE_H_
#define SESAMESPREAD_STATE_RESULT_CODE_H_

#include <cstdint>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

namespace sesamespread::state {

/// Whether a request has run at any backend server. kNotRun is used only if it
/// is certain that the request has not run.
enum class RunState : std::uint8_t { kNotRun = 0, kRan = 1, kUnknown = 2 };

/// Result of a request or of an operator's command; see result_codes.def.
enum class ResultCode : std::uint16_t {
#define SESAMESPREAD_RESULT(name, number, http, run, title) k##name = (number),
#include "sesamespread/state/result_codes.def"
};

/// Row of the result code table.
struct ResultCodeInfo {
  ResultCode code;
  std::string_view name;
  /// HTTP status that callers receive.
  int http_status;
  RunState run_state;
  std::string_view title;
};

/// All rows in ascending order of result code number.
std::span<const ResultCodeInfo> AllResultCodes();

/// The row of \p code; the row of kBadFrame for an unknown number.
const ResultCodeInfo& InfoOf(ResultCode code);

/// "not_run", "ran" or "unknown".
std::string_view ToString(RunState run_state);

/// True if \p code means that the request was answered (codes below 200).
constexpr bool IsAnswered(ResultCode code) {
  return static_cast<std::uint16_t>(code) < 200;
}

/// An exception that carries a result code.
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
