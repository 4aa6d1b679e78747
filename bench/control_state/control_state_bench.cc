// Bytes, times and memory of configuration, claims and leases, as tables.
#include "control_state/claim_cost.h"
#include "control_state/configuration_cost.h"
#include "control_state/lease_cost.h"

int main() {
  coltsfootfork::PrintConfigurationCost();
  coltsfootfork::PrintClaimCost();
  coltsfootfork::PrintLeaseCost();
  return 0;
}
