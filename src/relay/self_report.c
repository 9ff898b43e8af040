#include "relay/self_report.h"

#include <event2/buffer.h>
#include <math.h>
#include <string.h>

#include "internal/task.h"
#include "relay/relay.h"

/* A limit that has changed by less is not logged again. */
#define LOGGED_CHANGE_PERCENT 20

static void
log_limit (struct eel_relay *relay, const char *id, double per_s)
{
  double logged = relay->limit_logged_per_s;

  if ((per_s < 0) == (logged < 0)
      && fabs (per_s - logged) * 100 <= logged * LOGGED_CHANGE_PERCENT)
    return;
  g_message ("event=endpoint_limit id=%s per_s=%.3f was=%.3f",
             EEL_LOG_TEXT (id), per_s, logged);
  relay->limit_logged_per_s = per_s;
}

static void
set_limit (struct eel_relay *relay, const char *id, double per_s)
{
  struct eel_rate_limit *rate = &relay->gate.rate;
  int lifted = per_s < 0 && rate->per_s >= 0;

  eel_rate_limit_set (rate, per_s, eel_clock_us ());
  log_limit (relay, id, per_s);
  if (lifted)
    eel_relay_dispatch_queued (relay);
}

/* Nothing that an earlier endpoint at the address said holds for this one. */
void
eel_self_report_expect (struct eel_relay *relay, const char *id)
{
  if (id == NULL || strcmp (relay->reported_id, id) == 0)
    return;
  g_strlcpy (relay->reported_id, id, sizeof relay->reported_id);
  relay->has_reported = 0;
  if (relay->gate.rate.per_s >= 0)
    set_limit (relay, id, EEL_RATE_UNLIMITED);
}

/*
 * Returns the least limit that an answer names, or EEL_RATE_UNLIMITED when it
 * names none.  Values that are no limit count as not said: what was known
 * stays, and *known is set to 0.
 */
static double
read_limit (const struct eel_relay *relay,
            const struct eel_head *answer,
            int *known)
{
  const char *name = relay->config.header_names->rate_limit;
  double least = EEL_RATE_UNLIMITED;
  const char *text;
  double per_s;

  *known = 1;
  for (uint32_t i = 0; (text = eel_head_get_nth (answer, name, i)) != NULL; i++)
    if (!eel_rate_limit_parse (text, &per_s))
      *known = 0;
    else if (least < 0 || per_s < least)
      least = per_s;
  if (least >= 0)
    *known = 1;
  return least;
}

static int
says_leaving (const struct eel_relay *relay, const struct eel_head *answer)
{
  const char *text = eel_head_get (answer, relay->config.header_names->leaving);

  return text != NULL && strcmp (text, "1") == 0;
}

static void
set_leaving (struct eel_relay *relay, const char *id)
{
  if (!eel_directory_set_leaving (&relay->directory, id))
    return;
  g_message ("event=endpoint_says_it_leaves id=%s", EEL_LOG_TEXT (id));
  eel_relay_endpoints_changed (relay);
}

void
eel_self_report_write_leaving (const struct eel_relay *relay,
                               const char *id,
                               const struct eel_head *answer,
                               struct evbuffer *lines)
{
  if (id != NULL && says_leaving (relay, answer))
    evbuffer_add_printf (lines, "%s: %s\r\n", EEL_RELAY_LEAVING, id);
}

void
eel_self_report_read_leaving (struct eel_relay *relay,
                              const struct eel_head *answer)
{
  const char *id = eel_head_get (answer, EEL_RELAY_LEAVING);

  if (id != NULL)
    set_leaving (relay, id);
}

void
eel_self_report_read (struct eel_relay *relay,
                      const char *id,
                      const struct eel_head *answer)
{
  int known;
  double per_s = read_limit (relay, answer, &known);

  if (id == NULL)
    return;
  eel_self_report_expect (relay, id);
  if (says_leaving (relay, answer))
    set_leaving (relay, id);
  if (!known)
    {
      g_message ("event=endpoint_limit_invalid id=%s", EEL_LOG_TEXT (id));
      return;
    }
  relay->has_reported = 1;
  if (per_s >= 0 || relay->gate.rate.per_s >= 0)
    set_limit (relay, id, per_s);
}

void
eel_self_report_read_hint (struct eel_relay *relay,
                           const char *id,
                           const struct eel_head *request)
{
  const char *text = eel_head_get (request, EEL_RELAY_LIMIT);
  double per_s;

  if (id == NULL || text == NULL || !eel_rate_limit_parse (text, &per_s))
    return;
  eel_self_report_expect (relay, id);
  if (!relay->has_reported)
    set_limit (relay, id, per_s);
}
