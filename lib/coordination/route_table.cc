/// \file
/// Index of routes by host and prefix.
#include "sesamespread/coordination/route_table.h"

#include <algorithm>
#include <set>
#include <utility>

#include "sesamespread/state/request_context.h"

namespace sesamespread::coordination {
namespace {

std::string HostKey(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  // The colons of an IPv6 literal are not followed by a port.
  const bool has_port = colon != std::string_view::npos &&
                        host.find(']', colon) == std::string_view::npos;
  std::string key(has_port ? host.substr(0, colon) : host);
  std::transform(key.begin(), key.end(), key.begin(), [](unsigned char c) {
    return static_cast<char>(c >= 'A' && c <= 'Z' ? c - 'A' + 'a' : c);
  });
  return key;
}

/// Ranks that routes have; less important ones share the last.
constexpr std::uint32_t kRouteRanks =
    state::kPriorityCount / state::kPrioritiesPerImportance;

}  // namespace

RouteTable::RouteTable(std::shared_ptr<const state::RouteSet> routes)
    : routes_(std::move(routes)) {
  for (const state::Route& route : routes_->routes) {
    by_host_[HostKey(route.host)].push_back(&route);
    by_name_.emplace(route.name, &route);
  }
  std::set<std::uint32_t> priorities;
  for (const state::Tenant& tenant : routes_->tenants) {
    if (tenant.priority)
      priorities.insert(*tenant.priority);
  }
  tenant_priorities_.assign(priorities.begin(), priorities.end());
  for (auto& [host, routes_of_host] : by_host_) {
    std::stable_sort(routes_of_host.begin(), routes_of_host.end(),
                     [](const state::Route* left, const state::Route* right) {
                       return left->prefix.size() > right->prefix.size();
                     });
  }
}

const state::Route* RouteTable::Match(std::string_view host,
                                      std::string_view target) const {
  const auto found = by_host_.find(HostKey(host));
  if (found == by_host_.end())
    return nullptr;
  const std::string_view path = target.substr(0, target.find('?'));
  for (const state::Route* route : found->second) {
    if (path.substr(0, route->prefix.size()) == route->prefix)
      return route;
  }
  return nullptr;
}

std::uint32_t RouteTable::RankOf(const state::Route& route,
                                 const state::Tenant& tenant) const {
  if (!tenant.priority)
    return route.priority;
  const auto above = std::upper_bound(
      tenant_priorities_.begin(), tenant_priorities_.end(), *tenant.priority);
  const auto lower_levels =
      static_cast<std::uint32_t>(tenant_priorities_.end() - above);
  const std::uint32_t raise = lower_levels * kRouteRanks;
  return route.priority > raise ? route.priority - raise : 0;
}

const state::Route* RouteTable::Find(std::string_view name) const {
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : found->second;
}

}  // namespace sesamespread::coordination
