#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <strings.h>

#include "internal/task.h"
#include "relay/entry.h"

/* The scheme of RFC 6750. */
#define SCHEME "Bearer"

/*
 * Returns the key of a request and its length, or NULL and sets *reason.  Names
 * of schemes ignore case (RFC 9110 section 11.1), keys do not.
 */
static const char *
request_key (const struct eel_relay *relay,
             const struct eel_head *request,
             size_t *bytes,
             const char **reason)
{
  const char *name = relay->config.header_names->authorization;
  const char *value = eel_head_get (request, name);
  size_t scheme = strlen (SCHEME);

  *reason = "no key";
  if (value == NULL)
    return NULL;
  *reason = "more than one key";
  if (eel_head_get_nth (request, name, 1) != NULL)
    return NULL;
  *reason = "other scheme";
  if (strncasecmp (value, SCHEME, scheme) != 0 || value[scheme] != ' ')
    return NULL;
  value += scheme + strspn (value + scheme, " ");
  *bytes = strlen (value);
  while (*bytes > 0 && (value[*bytes - 1] == ' ' || value[*bytes - 1] == '\t'))
    (*bytes)--;
  *reason = "unknown key";
  return value;
}

static void
log_refusal (const struct eel_relay *relay,
             const struct eel_exchange *exchange,
             const struct eel_route *route,
             enum eel_error error,
             const char *reason,
             int64_t now_us)
{
  const struct eel_error_info *info = eel_error_info (error);
  const char *id = eel_head_get (&exchange->request,
                                 relay->config.header_names->request_id);

  g_message ("event=not_served request=%s error=%s status=%u reason=\"%s\" "
             "host=%s prefix=%s version=%" PRIu64 " age_ms=%" PRId64,
             EEL_LOG_TEXT (id), info->name, info->http_status, reason,
             EEL_LOG_TEXT (route->host), EEL_LOG_TEXT (route->prefix),
             relay->teams->version,
             relay->known_us == 0 ? -1
                                  : (now_us - relay->known_us) / EEL_US_PER_MS);
}

/* Requests are refused from the first one that meets outdated knowledge. */
static void
count_outdated (struct eel_relay *relay, int64_t now_us)
{
  relay->outdated_refused++;
  if (relay->outdated_since_us != 0)
    return;
  relay->outdated_since_us = now_us;
  g_message ("event=teams_outdated version=%" PRIu64 " age_ms=%" PRId64
             " limit_ms=%" PRId64,
             relay->teams->version,
             relay->known_us == 0 ? -1
                                  : (now_us - relay->known_us) / EEL_US_PER_MS,
             relay->config.teams_max_age_us / EEL_US_PER_MS);
}

/* On a public route a key isn't needed.  A caller that sends one may know that
   the route isn't public any more, and the key may be withdrawn since, so on
   outdated knowledge it is served there neither. */
static int
needs_no_team (const struct eel_relay *relay,
               const struct eel_exchange *exchange,
               const struct eel_route *route,
               int outdated)
{
  return route->is_public
         && (!outdated
             || eel_head_get (&exchange->request,
                              relay->config.header_names->authorization)
                    == NULL);
}

enum eel_error
eel_entry_find_team (struct eel_relay *relay,
                     const struct eel_exchange *exchange,
                     const struct eel_route *route,
                     const struct eel_team **team)
{
  int64_t now_us = eel_clock_us ();
  int outdated = eel_relay_teams_outdated (relay, now_us);
  const char *reason = "outdated";
  const char *key = NULL;
  size_t bytes = 0;
  enum eel_error error;

  *team = NULL;
  if (relay->teams == NULL)
    return EEL_OK;
  if (!outdated)
    key = request_key (relay, &exchange->request, &bytes, &reason);
  if (key != NULL)
    *team = eel_team_table_find_key (relay->teams, key, bytes);
  if (*team != NULL || needs_no_team (relay, exchange, route, outdated))
    return EEL_OK;
  if (outdated)
    count_outdated (relay, now_us);
  eel_metric_add (outdated ? relay->counters.teams_outdated
                           : relay->counters.team_unknown,
                  1);
  error = outdated ? EEL_ERROR_TEAMS_OUTDATED : EEL_ERROR_TEAM_UNKNOWN;
  log_refusal (relay, exchange, route, error, reason, now_us);
  return error;
}

void
eel_entry_set_team (struct eel_entry *entry, const struct eel_team *team)
{
  entry->call.has_teams = entry->relay->teams != NULL;
  if (team == NULL)
    return;
  g_strlcpy (entry->team, team->name, sizeof entry->team);
  entry->call.team = entry->team;
  entry->call.team_id = team->id;
  if (team->has_rank)
    entry->call.rank = team->rank;
}
