/// \file
/// Levels of requests and their distribution.
#include "sesamespread/coordination/entry_shares.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "sesamespread/coordination/overload.h"
#include "sesamespread/state/request_context.h"

namespace sesamespread::coordination {
namespace {

using state::Instant;
using state::kPrioritiesPerImportance;

constexpr double kBinsPerOctave = 4;
constexpr double kLowestOctave = -6;

// Uniform in [0, 1) and the same for all attempts of a request.
double Fraction(std::uint64_t hash) {
  constexpr int kMantissaBits = 53;
  return std::ldexp(static_cast<double>(hash >> (64 - kMantissaBits)),
                    -kMantissaBits);
}

}  // namespace

EntryShares::EntryShares(EntrySharesOptions options) : options_(options) {
  constexpr std::size_t kRanks =
      state::kPriorityCount / kPrioritiesPerImportance;
  ranks_.reserve(kRanks);
  for (std::size_t i = 0; i < kRanks; ++i)
    ranks_.emplace_back(options.fair_shares);
}

std::size_t EntryShares::IndexOf(std::uint32_t rank) const {
  return std::min<std::size_t>(rank, ranks_.size() - 1);
}

void EntryShares::Decay(Rank& rank, Instant now) const {
  const double factor =
      std::exp(-std::chrono::duration<double>(now - rank.updated) /
               std::chrono::duration<double>(options_.distribution_time));
  rank.updated = now;
  for (double& requests : rank.requests)
    requests *= factor;
}

std::uint32_t EntryShares::PriorityOf(std::uint32_t rank,
                                      std::uint64_t id_hash,
                                      TenantHash tenant,
                                      Instant now) {
  if (tenant == 0)
    return EntryPriority(rank, id_hash);
  Rank& state = ranks_.at(IndexOf(rank));
  Decay(state, now);
  const double fraction = Fraction(id_hash);
  // Without this request: a single one is no sign of a high rate.
  const double level = fraction * state.shares.DemandLevel(tenant, now);
  state.shares.OnDemand(tenant, 1, now);

  const double position =
      level > 0 ? (std::log2(level) - kLowestOctave) * kBinsPerOctave : 0;
  const auto bin = static_cast<std::size_t>(
      std::clamp(std::floor(position), 0.0, kBins - 1.0));
  const bool is_inner = bin > 0 && bin < kBins - 1;
  const double part_of_bin =
      is_inner ? position - static_cast<double>(bin) : fraction;
  const auto end = state.requests.begin() + static_cast<std::ptrdiff_t>(bin);
  const double below = std::accumulate(state.requests.begin(), end, 0.0) +
                       part_of_bin * *end +
                       fraction * options_.uniform_requests;
  const double all =
      std::accumulate(state.requests.begin(), state.requests.end(), 0.0) +
      options_.uniform_requests;
  state.requests.at(bin) += 1;
  const auto offset =
      static_cast<std::uint32_t>(below / all * kPrioritiesPerImportance);
  return static_cast<std::uint32_t>(IndexOf(rank)) * kPrioritiesPerImportance +
         std::min(offset, kPrioritiesPerImportance - 1);
}

void EntryShares::OnAdmitted(std::uint32_t rank,
                             TenantHash tenant,
                             Instant now) {
  if (tenant != 0)
    ranks_.at(IndexOf(rank)).shares.OnGiven(tenant, 1, 0, now);
}

double EntryShares::DemandLevel(std::uint32_t rank,
                                TenantHash tenant,
                                Instant now) const {
  return ranks_.at(IndexOf(rank)).shares.DemandLevel(tenant, now);
}

}  // namespace sesamespread::coordination
