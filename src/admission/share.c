#include "internal/admission.h"

#include <math.h>

/* Time constant of the demand estimates; long work arrives rarely. */
#define SHORT_TIME_US (2.0 * EEL_US_PER_S)
#define LONG_TIME_US (10.0 * EEL_US_PER_S)
/* Slots above the mean demand of short work that are kept for it, in
 * standard deviations of a Poisson count. */
#define RESERVE_DEVIATIONS 2.5
/* Slots above the estimated need, which leaves out refused long work. */
#define NEED_EXTRA 0.5
#define SHORT_IDLE 0.05
#define FAIR_TIME_US (1.0 * EEL_US_PER_S)

/*
 * Adds accepted work to the demand for slots of its kind.  Refused work is
 * left out: its callers send it again.
 */
void
eel_share_accepted (struct eel_admission *admission,
                    const struct eel_work_item *work,
                    int64_t now_us)
{
  double gap_us = (double)(now_us - admission->demand_at_us);
  double mean_us = (double)eel_route_mean_us (admission, work->route_hash);

  if (gap_us > 0)
    {
      admission->demand_short *= exp (-gap_us / SHORT_TIME_US);
      admission->demand_long *= exp (-gap_us / LONG_TIME_US);
      admission->demand_at_us = now_us;
    }
  if (work->is_long)
    admission->demand_long += mean_us / LONG_TIME_US;
  else
    admission->demand_short += mean_us / SHORT_TIME_US;
}

/*
 * Returns how many slots long work may hold: what short work leaves unused
 * with a reserve for its variation, or, when both contend, what long work
 * needs, up to its proportional and its configured share.
 */
uint32_t
eel_share_long_allowed (struct eel_admission *admission)
{
  double limit = floor (admission->limit);
  double need = admission->demand_long;
  double used = admission->demand_short;
  double unused;
  double most = limit * admission->config.long_share_max_percent / 100;
  double allowed = ceil (need + NEED_EXTRA);

  /* Without short work nothing is kept for it. */
  if (used < SHORT_IDLE)
    used = 0;
  unused = limit - used - RESERVE_DEVIATIONS * sqrt (used) - (used > 0 ? 1 : 0);
  if (need + used > 0 && allowed > limit * need / (need + used))
    allowed = limit * need / (need + used);
  if (allowed > most)
    allowed = most;
  if (allowed < unused)
    allowed = unused;
  if (allowed < 1)
    allowed = 1;
  admission->long_share = limit > 0 ? allowed / limit : 1;
  return (uint32_t)allowed;
}

/* Returns the bucket of the work's caller. */
uint32_t
eel_fair_bucket (const struct eel_work_item *work)
{
  return work->caller_hash % EEL_ADMISSION_CALLERS;
}

/* Charges the expected upstream time of started work to its caller. */
void
eel_fair_charge (struct eel_admission *admission,
                 const struct eel_work_item *work,
                 int64_t now_us)
{
  double gap_us = (double)(now_us - admission->caller_decayed_at_us);
  double cost_us = (double)eel_route_mean_us (admission, work->route_hash) + 1;

  if (gap_us > FAIR_TIME_US / 10)
    {
      double keep = exp (-gap_us / FAIR_TIME_US);

      for (uint32_t i = 0; i < EEL_ADMISSION_CALLERS; i++)
        admission->caller_recent[i] *= keep;
      admission->caller_recent_total *= keep;
      admission->caller_decayed_at_us = now_us;
    }
  admission->caller_recent[eel_fair_bucket (work)] += cost_us;
  admission->caller_recent_total += cost_us;
}

/* Returns 1 when the caller started more than its share lately. */
int
eel_fair_over (const struct eel_admission *admission,
               const struct eel_work_item *work)
{
  return admission->caller_recent[eel_fair_bucket (work)] * 100
         > admission->caller_recent_total
               * admission->config.caller_share_percent;
}

/* Returns 1 when the caller has its share of a queue that is half full. */
int
eel_fair_queue_over (const struct eel_admission *admission,
                     const struct eel_work_item *work)
{
  uint32_t max = eel_queue_max (admission);
  uint32_t share = max * admission->config.caller_share_percent / 100;

  if (admission->queued < (max + 1) / 2)
    return 0;
  return admission->caller_queued[eel_fair_bucket (work)]
         >= (share > 0 ? share : 1);
}
