#include "bench/routing/reports.h"

int main() {
  coltsfootfork::bench::PrintChoiceCost();
  coltsfootfork::bench::PrintMemoryUse();
  coltsfootfork::bench::PrintChoiceQuality();
  return 0;
}
