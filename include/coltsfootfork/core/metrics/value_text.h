#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace coltsfootfork {

// Formats the named values in the Prometheus text format. A name that ends in
// "_total" is exported as a counter, any other as a gauge. Each metric name
// gets the prefix "coltsfootfork_".
std::string ValueText(const std::map<std::string, std::uint64_t>& values);

}  // namespace coltsfootfork
