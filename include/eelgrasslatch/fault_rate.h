#ifndef EELGRASSLATCH_FAULT_RATE_H
#define EELGRASSLATCH_FAULT_RATE_H

#include <stdint.h>

/*
 * Share of the runs at one endpoint that failed by its own fault, over the last
 * seconds.  Kept by the node beside the endpoint, which sees the requests of
 * all senders and so learns faster than each of them.
 */

struct eel_fault_rate
{
  /* Sums that decay exponentially. */
  double runs;
  double faults;
  int64_t at_us;
};

void eel_fault_rate_init (struct eel_fault_rate *rate);
/* Counts a run that has ended. */
void
eel_fault_rate_record (struct eel_fault_rate *rate, int faulty, int64_t now_us);
/* Share of faulty runs in thousandths; low while few runs are known. */
uint32_t eel_fault_rate_milli (const struct eel_fault_rate *rate,
                               int64_t now_us);

#endif
