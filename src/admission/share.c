#include "internal/admission.h"

#include <math.h>

/* Time constants of the demand estimates; long work arrives rarely. */
#define SHORT_TIME_CONSTANT_US (2.0 * EEL_US_PER_S)
#define LONG_TIME_CONSTANT_US (10.0 * EEL_US_PER_S)
/* Slots reserved for short work above its mean demand, in standard deviations
 * of a Poisson count. */
#define RESERVE_DEVIATIONS 2.5
/* Added to the estimated demand of long work, which leaves out refused work. */
#define LONG_DEMAND_MARGIN_SLOTS 0.5
/* No slots are reserved for short work with a lower demand. */
#define SHORT_DEMAND_MIN_SLOTS 0.05
/* Time constant of the callers' recent service times. */
#define FAIR_TIME_CONSTANT_US (1.0 * EEL_US_PER_S)

/*
 * Adds accepted work to the demand of short or of long work.  Refused work is
 * left out, because its callers send it again.
 */
void
eel_share_record_accepted (struct eel_admission *admission,
                           const struct eel_work_item *work,
                           int64_t now_us)
{
  double gap_us = (double)(now_us - admission->demand_at_us);
  double mean_us = (double)eel_route_mean_us (admission, work->route_hash);

  if (gap_us > 0)
    {
      admission->demand_short *= exp (-gap_us / SHORT_TIME_CONSTANT_US);
      admission->demand_long *= exp (-gap_us / LONG_TIME_CONSTANT_US);
      admission->demand_at_us = now_us;
    }
  if (work->is_long)
    admission->demand_long += mean_us / LONG_TIME_CONSTANT_US;
  else
    admission->demand_short += mean_us / SHORT_TIME_CONSTANT_US;
}

/*
 * Returns how many slots long work may hold, at least one: those that short
 * work leaves unused, less a reserve for its variation, or, when both contend,
 * the demand of long work up to its proportional and its configured share.
 */
uint32_t
eel_share_long_allowed (struct eel_admission *admission)
{
  double limit = floor (admission->limit);
  double long_demand = admission->demand_long;
  double short_demand = admission->demand_short;
  double unused;
  double allowed_max = limit * admission->config.long_share_max_percent / 100;
  double allowed = ceil (long_demand + LONG_DEMAND_MARGIN_SLOTS);

  if (short_demand < SHORT_DEMAND_MIN_SLOTS)
    short_demand = 0;
  unused = limit - short_demand - RESERVE_DEVIATIONS * sqrt (short_demand)
           - (short_demand > 0 ? 1 : 0);
  if (long_demand + short_demand > 0
      && allowed > limit * long_demand / (long_demand + short_demand))
    allowed = limit * long_demand / (long_demand + short_demand);
  if (allowed > allowed_max)
    allowed = allowed_max;
  if (allowed < unused)
    allowed = unused;
  if (allowed < 1)
    allowed = 1;
  admission->long_share = limit > 0 ? allowed / limit : 1;
  return (uint32_t)allowed;
}

/* Callers whose hashes collide share a bucket. */
uint32_t
eel_fair_bucket (const struct eel_work_item *work)
{
  return work->caller_hash % EEL_ADMISSION_CALLERS;
}

/* Charges the expected service time of started work to its caller. */
void
eel_fair_charge (struct eel_admission *admission,
                 const struct eel_work_item *work,
                 int64_t now_us)
{
  double gap_us = (double)(now_us - admission->caller_decayed_at_us);
  double cost_us = (double)eel_route_mean_us (admission, work->route_hash) + 1;

  if (gap_us > FAIR_TIME_CONSTANT_US / 10)
    {
      double keep = exp (-gap_us / FAIR_TIME_CONSTANT_US);

      for (uint32_t i = 0; i < EEL_ADMISSION_CALLERS; i++)
        admission->caller_recent[i] *= keep;
      admission->caller_recent_total *= keep;
      admission->caller_decayed_at_us = now_us;
    }
  admission->caller_recent[eel_fair_bucket (work)] += cost_us;
  admission->caller_recent_total += cost_us;
}

/* Returns 1 when the caller's recently started work exceeds its share. */
int
eel_fair_over_share (const struct eel_admission *admission,
                     const struct eel_work_item *work)
{
  return admission->caller_recent[eel_fair_bucket (work)] * 100
         > admission->caller_recent_total
               * admission->config.caller_share_percent;
}

/* Returns 1 when the queue is at least half full and the caller has used up
 * its share of it. */
int
eel_fair_over_queue_share (const struct eel_admission *admission,
                           const struct eel_work_item *work)
{
  uint32_t max = eel_queue_max (admission);
  uint32_t share = max * admission->config.caller_share_percent / 100;

  if (admission->queued < (max + 1) / 2)
    return 0;
  return admission->caller_queued[eel_fair_bucket (work)]
         >= (share > 0 ? share : 1);
}
