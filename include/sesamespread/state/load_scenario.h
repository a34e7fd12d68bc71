/// \file
/// What `sesamespread load` sends and when, read from
/// test/scenarios/*.load.yaml.
#ifndef SESAMESPREAD_STATE_LOAD_SCENARIO_H_
#define SESAMESPREAD_STATE_LOAD_SCENARIO_H_

#include <compare>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "sesamespread/state/schema.h"
#include "sesamespread/state/settings.h"
#include "sesamespread/state/time.h"

namespace sesamespread::state {

/// Where a request's idempotency key comes from.
enum class LoadKey : std::uint8_t {
  kNone = 0,
  /// Made by the caller.
  kOwn = 1,
  /// Issued by a node.
  kIssued = 2,
};

/// What a caller does after a refusal while it has repeats left.
enum class AfterRefusal : std::uint8_t {
  kStop = 0,
  /// Repeats after its patience, whatever Retry-After says.
  kRepeat = 1,
  /// Repeats after the time that the answer asks for.
  kWait = 2,
};

/// One kind of request.
struct LoadKind {
  std::string name;
  std::string method;
  /// Includes the service: "/orders/new".
  std::string path;
  /// Weight among all kinds.
  std::uint32_t share = 1;
  /// Answers after this long are useless; counted from the intended send time.
  Duration timeout{0};
  LoadKey key = LoadKey::kNone;
  std::uint64_t body_bytes = 0;
  /// Repeats by the caller, with the same key.
  std::uint32_t repeats = 0;
  /// Without an answer for this long the caller repeats; 0 for never.
  Duration patience{0};
  /// The caller closes the connection of the attempt that it repeats.
  bool close_on_repeat = true;
  AfterRefusal after_refusal = AfterRefusal::kStop;

  auto operator<=>(const LoadKind&) const = default;
};

/// From `at` on, `rate` requests per second arrive.
struct LoadPhase {
  Duration at{0};
  std::uint32_t rate = 0;

  auto operator<=>(const LoadPhase&) const = default;
};

/// A POST to the control port of servers while the load runs.
struct LoadDisturbance {
  std::string name;
  Duration at{0};
  /// Name that the command line maps to endpoints.
  std::string server;
  std::string path;
  std::string body;
  /// The disturbance ends here; recovery is measured from here.
  bool ends = false;

  auto operator<=>(const LoadDisturbance&) const = default;
};

/// A whole run.
struct LoadScenario {
  Duration duration{0};
  std::uint32_t seed = 1;
  std::vector<LoadKind> kinds;
  /// In order of `at`; the first is at 0.
  std::vector<LoadPhase> phases;
  std::vector<LoadDisturbance> disturbances;

  auto operator<=>(const LoadScenario&) const = default;
};

/// Fields of a scenario file.
std::span<const SchemaRow> LoadScenarioSchema();

/// \throws ValidationError with kSettingsInvalid and all faults.
LoadScenario ParseLoadScenario(const SourceText& source);

}  // namespace sesamespread::state

#endif  // SESAMESPREAD_STATE_LOAD_SCENARIO_H_
