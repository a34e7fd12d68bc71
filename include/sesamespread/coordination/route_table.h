/// \file
/// Matches requests to the routes of a RouteSet.
#ifndef SESAMESPREAD_COORDINATION_ROUTE_TABLE_H_
#define SESAMESPREAD_COORDINATION_ROUTE_TABLE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "sesamespread/state/route_set.h"

namespace sesamespread::coordination {

/// Index of a RouteSet, which it shares; immutable.
class RouteTable {
 public:
  explicit RouteTable(std::shared_ptr<const state::RouteSet> routes);

  /// The route of \p host with the longest prefix that the path of \p target
  /// starts with, or nullptr. Ignores the port and the case of \p host and the
  /// query of \p target.
  const state::Route* Match(std::string_view host,
                            std::string_view target) const;

  /// The route named \p name, or nullptr.
  const state::Route* Find(std::string_view name) const;

  /// The rank of requests of \p tenant, which is one of the routes' tenants, on
  /// \p route; 0 is the highest. Each priority above the lowest one of all
  /// tenants raises a request by all ranks of routes.
  std::uint32_t RankOf(const state::Route& route,
                       const state::Tenant& tenant) const;

  const state::RouteSet& routes() const { return *routes_; }
  const std::shared_ptr<const state::RouteSet>& shared_routes() const {
    return routes_;
  }

 private:
  std::shared_ptr<const state::RouteSet> routes_;
  // By lower-case host; longest prefix first.
  std::unordered_map<std::string, std::vector<const state::Route*>> by_host_;
  std::unordered_map<std::string_view, const state::Route*> by_name_;
  // Distinct priorities of the tenants, highest first. Tenants without one have
  // the lowest.
  std::vector<std::uint32_t> tenant_priorities_;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_ROUTE_TABLE_H_
