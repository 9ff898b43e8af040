#include <inttypes.h>
#include <stdlib.h>

#include "internal/task.h"
#include "relay/attempt.h"
#include "relay/caps.h"
#include "relay/relay.h"

/* A team's rank goes before that of a route, so either may be the last. */
void
eel_relay_update_last_rank (struct eel_relay *relay)
{
  uint8_t last = 0;

  for (uint32_t i = 0; relay->routes != NULL && i < relay->routes->count; i++)
    if (relay->routes->routes[i].rank > last)
      last = relay->routes->routes[i].rank;
  for (uint32_t i = 0; relay->teams != NULL && i < relay->teams->count; i++)
    if (relay->teams->teams[i].has_rank && relay->teams->teams[i].rank > last)
      last = relay->teams->teams[i].rank;
  relay->entry_gate.last_rank = last;
  relay->gate.last_rank = last;
}

/* Requests in flight hold copies of what they need. */
void
eel_relay_set_teams (struct eel_relay *relay, struct eel_team_table *teams)
{
  if (relay->teams != NULL)
    {
      eel_team_table_finish (relay->teams);
      free (relay->teams);
    }
  relay->teams = teams;
  eel_relay_update_last_rank (relay);
  eel_caps_teams_changed (relay);
}

int
eel_relay_teams_outdated (const struct eel_relay *relay, int64_t now_us)
{
  return relay->config.teams_max_age_us > 0
         && (relay->known_us == 0
             || now_us - relay->known_us > relay->config.teams_max_age_us);
}

void
eel_relay_set_known (struct eel_relay *relay, int64_t known_us)
{
  int64_t now_us = eel_clock_us ();

  relay->known_us = known_us;
  if (relay->outdated_since_us == 0 || eel_relay_teams_outdated (relay, now_us))
    return;
  g_message ("event=teams_current refused=%" PRIu64 " for_ms=%" PRId64
             " age_ms=%" PRId64,
             relay->outdated_refused,
             (now_us - relay->outdated_since_us) / EEL_US_PER_MS,
             (now_us - known_us) / EEL_US_PER_MS);
  relay->outdated_since_us = 0;
  relay->outdated_refused = 0;
}

/* The field alone says nothing: the entry node says whether teams are in force.
 */
void
eel_relay_read_team (const struct eel_head *request,
                     struct eel_relay_call *call)
{
  const char *team
      = call->has_teams ? eel_head_get (request, EEL_RELAY_TEAM) : NULL;

  call->team = team != NULL && team[0] != 0 ? team : NULL;
  call->team_id = call->team == NULL ? EEL_NO_TEAM : eel_team_id (call->team);
}
