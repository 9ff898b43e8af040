#ifndef EELGRASSLATCH_FAIR_ORDER_H
#define EELGRASSLATCH_FAIR_ORDER_H

#include <stdint.h>

#include "eelgrasslatch/types.h"

/*
 * Shares of slot time among the teams of one rank, at the gate of one endpoint:
 * start-time fair queueing.
 *
 * Each team has a virtual time, that at which its next request starts; it grows
 * by the slot time of each request divided by the team's weight.  A team that
 * becomes active begins at the virtual time of its rank, that of the request
 * that started last, so that an idle team saves up no credit.
 *
 * Bounded: only teams with requests queued or running, and those that asked in
 * the last seconds, have an entry for each rank.  Beyond EEL_FAIR_TEAMS_MAX of
 * these the requests of further teams are not ordered by team.
 */

#define EEL_FAIR_TEAMS_MAX 1024
#define EEL_FAIR_RANKS 256
#define EEL_FAIR_WEIGHT_UNIT_MILLI 1000
/* Requests that have no entry. */
#define EEL_FAIR_NONE (-1)

struct eel_fair_team
{
  uint64_t team;
  uint8_t rank;
  /* Weight in thousandths. */
  uint32_t weight_milli;
  uint32_t queued;
  uint32_t running;
  double virtual_us;
  /* Expected slot time of the queued and of the running requests. */
  double queued_us;
  double running_us;
  /* Slot time asked for, and the part of it that was refused; decaying. */
  double asked_us;
  double refused_us;
  /* Expected slot time of the last request. */
  double mean_us;
  int64_t updated_us;
};

/* A team that is refused more than the others of its rank. */
struct eel_fair_excess
{
  uint64_t team;
  uint8_t rank;
  /* Part of its requests that lies above its share, in thousandths. */
  uint32_t excess_milli;
  /* Slot time that it asks for and gets, in thousandths of what all teams of
     the rank get. */
  uint32_t asked_milli;
  uint32_t got_milli;
};

struct eel_fair_order
{
  /* Hash of team and rank of each entry; 0: the entry is free. */
  uint64_t keys[EEL_FAIR_TEAMS_MAX];
  struct eel_fair_team teams[EEL_FAIR_TEAMS_MAX];
  /* Entries in use lie below this. */
  uint32_t count;
  /* Virtual time by rank, and its advance, decaying. */
  double virtual_us[EEL_FAIR_RANKS];
  double advance_us[EEL_FAIR_RANKS];
  int64_t advanced_at_us[EEL_FAIR_RANKS];
  /* EWMA of the time for which requests hold a slot, by rank; 0: unknown. */
  double hold_us[EEL_FAIR_RANKS];
  /* When a request was refused last; INT64_MIN: never. */
  int64_t refused_at_us[EEL_FAIR_RANKS];
  int64_t last_refused_us;
  /* Requests that found every entry in use. */
  uint64_t unordered;
};

void eel_fair_order_init (struct eel_fair_order *order);
/* A request of the team asks for expected_us of a slot; returns its entry, or
   EEL_FAIR_NONE.  The entry is valid while the team has requests queued or
   running. */
int32_t eel_fair_order_ask (struct eel_fair_order *order,
                            uint64_t team,
                            uint8_t rank,
                            uint32_t weight_milli,
                            double expected_us,
                            int64_t now_us);
void eel_fair_order_queued (struct eel_fair_order *order,
                            int32_t entry,
                            double expected_us);
/* A queued request is refused or cancelled. */
void eel_fair_order_unqueued (struct eel_fair_order *order,
                              int32_t entry,
                              double expected_us);
/* A request that wasn't queued starts. */
void eel_fair_order_started (struct eel_fair_order *order,
                             int32_t entry,
                             double expected_us,
                             int64_t now_us);
/* A queued request starts. */
void eel_fair_order_dequeued (struct eel_fair_order *order,
                              int32_t entry,
                              double expected_us,
                              int64_t now_us);
/* A request of the team ends after held_us. */
void eel_fair_order_done (struct eel_fair_order *order,
                          uint64_t team,
                          uint8_t rank,
                          double held_us);
/* A request that has asked isn't given a slot. */
void eel_fair_order_refused (struct eel_fair_order *order,
                             int32_t entry,
                             double expected_us,
                             int64_t now_us);
/* Virtual time at which a request of the entry starts that has so many others
   of it ahead. */
double eel_fair_order_start_us (const struct eel_fair_order *order,
                                int32_t entry,
                                uint32_t own_ahead);
/* Expected time until that request starts, if the teams of its rank go on to
   hold as many slots as now, or slots_min if that is more.  Sets ahead to the
   number of queued requests of the rank that start before it. */
int64_t eel_fair_order_wait_us (const struct eel_fair_order *order,
                                int32_t entry,
                                uint32_t own_ahead,
                                double slots_min,
                                uint32_t *ahead);
/* Gets those furthest above their share, at most max; returns their number. */
uint32_t eel_fair_order_excess (struct eel_fair_order *order,
                                struct eel_fair_excess *out,
                                uint32_t max,
                                int64_t now_us);

#endif
