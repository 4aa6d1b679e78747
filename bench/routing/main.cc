#include "bench/routing/reports.h"

int main() {
  coltsfootfork::bench::PrintChoiceCost();
  coltsfootfork::bench::PrintRequestCost();
  coltsfootfork::bench::PrintMemoryUse();
  coltsfootfork::bench::PrintChoiceQuality();
  return 0;
}
