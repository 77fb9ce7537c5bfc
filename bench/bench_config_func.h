// Configuration of the size that the load balancer is designed for.
#pragma once

#include "config/config_type.h"

namespace agatepost::bench {

constexpr std::size_t service_total = 31000;
constexpr std::size_t target_total = 170000;
constexpr std::size_t flow_total = 300000;

// Builds a configuration in which each service has its own pool and targets are spread evenly over the pools.
auto build_large_configuration(std::size_t services, std::size_t targets) -> configuration;

// Returns the address of service number `i`.
auto service_address(std::size_t i) -> endpoint;

}  // namespace agatepost::bench
