/// \file
/// Matches requests to the routes of a RouteSet.
#ifndef SESAMESPREAD_COORDINATION_ROUTE_TABLE_H_
#define SESAMESPREAD_COORDINATION_ROUTE_TABLE_H_

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

  const state::RouteSet& routes() const { return *routes_; }
  const std::shared_ptr<const state::RouteSet>& shared_routes() const {
    return routes_;
  }

 private:
  std::shared_ptr<const state::RouteSet> routes_;
  // By lower-case host; longest prefix first.
  std::unordered_map<std::string, std::vector<const state::Route*>> by_host_;
  std::unordered_map<std::string_view, const state::Route*> by_name_;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_ROUTE_TABLE_H_
