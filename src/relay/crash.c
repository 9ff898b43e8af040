#include "relay/crash.h"

#include <event2/buffer.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "internal/task.h"
#include "relay/crash_news.h"
#include "relay/message.h"
#include "relay/relay.h"

/* No node keeps an entry for longer; a larger value is invalid. */
#define LIFE_MAX_MS (24 * 3600 * INT64_C (1000))
/* Lines of one crash about requests that were in flight at others too. */
#define SUSPECT_LINES_MAX 4
/* Entries that changed in this time are told in any message. */
#define RECENT_US (10 * EEL_US_PER_S)
/* Entries of a message beside that of its own request. */
#define NEWS_ENTRIES_MAX 2
/* State of a field for a suspect that is refused for the remaining time. */
#define FIELD_HELD 3

/* A separator keeps the end of one text apart from the start of the next. */
static void
add_text (struct eel_crash_content *content, const char *text)
{
  XXH64_update (&content->hash, text, strlen (text) + 1);
}

void
eel_crash_content_init (struct eel_crash_content *content,
                        const struct eel_head *request,
                        const char *caller_service)
{
  XXH64_reset (&content->hash, 0);
  content->body_bytes = 0;
  content->declared_bytes
      = request->framing == EEL_FRAMING_LENGTH ? request->length_bytes : 0;
  add_text (content, caller_service);
  add_text (content, request->method);
  add_text (content, eel_head_target (request));
}

/* Pieces of any size give the same hash. */
void
eel_crash_content_add (struct eel_crash_content *content,
                       const void *data,
                       size_t bytes)
{
  uint64_t left = content->body_bytes < EEL_CRASH_BODY_BYTES
                      ? EEL_CRASH_BODY_BYTES - content->body_bytes
                      : 0;

  XXH64_update (&content->hash, data, bytes < left ? bytes : (size_t)left);
  content->body_bytes += bytes;
}

uint64_t
eel_crash_content_fingerprint (const struct eel_crash_content *content)
{
  XXH64_state_t state = content->hash;
  uint64_t hash;

  if (content->body_bytes > EEL_CRASH_BODY_BYTES)
    XXH64_update (&state, &content->declared_bytes,
                  sizeof content->declared_bytes);
  hash = XXH64_digest (&state) & ~EEL_CRASH_HAS_BODY;
  if (content->body_bytes > 0)
    return hash | EEL_CRASH_HAS_BODY;
  return hash == 0 ? EEL_CRASH_HAS_BODY << 1 : hash;
}

uint64_t
eel_crash_content_known (const struct eel_crash_content *content)
{
  return content->body_bytes > EEL_CRASH_BODY_BYTES
             ? eel_crash_content_fingerprint (content)
             : 0;
}

int
eel_crash_suspects_bodies (const struct eel_relay *relay)
{
  for (uint32_t i = 0; i < relay->quarantine.count; i++)
    if ((relay->quarantine.entries[i].fingerprint & EEL_CRASH_HAS_BODY) != 0)
      return 1;
  return 0;
}

static void
write_entry (const struct eel_quarantine_entry *entry,
             int64_t now_us,
             struct evbuffer *out)
{
  int held = entry->held_until_us != 0;
  int64_t until_us = held ? entry->held_until_us : entry->expires_us;

  if (until_us <= now_us)
    return;
  evbuffer_add_printf (out, "%s: %" PRIx64 " %u %" PRId64, EEL_RELAY_CRASHED,
                       entry->fingerprint, held ? FIELD_HELD : entry->state,
                       (until_us - now_us) / EEL_US_PER_MS);
  for (uint32_t i = 0; i < entry->crashes && i < EEL_QUARANTINE_CRASHES_MAX;
       i++)
    evbuffer_add_printf (out, " %" PRIx32, entry->crash_ids[i]);
  evbuffer_add (out, "\r\n", 2);
}

void
eel_crash_write_since (const struct eel_relay *relay,
                       int64_t since_us,
                       size_t max,
                       struct evbuffer *out)
{
  struct eel_quarantine_entry entries[EEL_CRASH_NEWS_ENTRIES_MAX];
  int64_t now_us = eel_clock_us ();
  size_t count = eel_quarantine_news (&relay->quarantine, since_us, entries,
                                      max, now_us);

  for (size_t i = 0; i < count; i++)
    write_entry (&entries[i], now_us, out);
}

void
eel_crash_write (struct eel_relay *relay,
                 uint64_t fingerprint,
                 struct evbuffer *out)
{
  int64_t now_us = eel_clock_us ();
  const struct eel_quarantine_entry *own
      = eel_quarantine_find (&relay->quarantine, fingerprint, now_us);

  if (own != NULL)
    write_entry (own, now_us, out);
  if (relay->quarantine.count > 0)
    eel_crash_write_since (relay, now_us - RECENT_US, NEWS_ENTRIES_MAX, out);
}

/* Reads numbers in hex, separated by spaces; returns how many. */
static uint32_t
read_numbers (const char *text, uint64_t *numbers, uint32_t max)
{
  uint32_t count = 0;

  while (count < max)
    {
      char *end = NULL;

      numbers[count] = strtoull (text, &end, 16);
      if (end == text)
        break;
      count++;
      text = end;
    }
  return count;
}

/* Returns 0 when the field is malformed.  left_us is the entry's life. */
static int
parse_entry (const struct eel_quarantine *quarantine,
             const char *text,
             int64_t now_us,
             struct eel_quarantine_entry *entry,
             int64_t *left_us)
{
  uint64_t ids[EEL_QUARANTINE_CRASHES_MAX];
  int64_t left_ms;
  unsigned state;
  int used = 0;

  memset (entry, 0, sizeof *entry);
  if (sscanf (text, "%" SCNx64 " %u %" SCNd64 "%n", &entry->fingerprint, &state,
              &left_ms, &used)
          != 3
      || left_ms < 0 || left_ms > LIFE_MAX_MS || state > FIELD_HELD)
    return 0;
  entry->crashes
      = (uint8_t)read_numbers (text + used, ids, EEL_QUARANTINE_CRASHES_MAX);
  for (uint32_t i = 0; i < entry->crashes; i++)
    entry->crash_ids[i] = (uint32_t)ids[i];
  *left_us = left_ms * EEL_US_PER_MS;
  entry->state = (uint8_t)state;
  if (state != FIELD_HELD)
    return 1;
  entry->state = EEL_QUARANTINE_REFUSED;
  entry->held_until_us = now_us + *left_us;
  *left_us += quarantine->life_us - quarantine->hold_us;
  return 1;
}

static void
read_entry (struct eel_relay *relay, const char *text)
{
  int64_t now_us = eel_clock_us ();
  struct eel_quarantine_entry entry;
  int64_t left_us;
  int64_t crashed_us;

  if (!parse_entry (&relay->quarantine, text, now_us, &entry, &left_us))
    {
      g_message ("event=crash_field_invalid");
      return;
    }
  crashed_us = now_us + left_us - relay->quarantine.life_us;
  if (eel_crash_watch_completed_since (&relay->crash_watch, entry.fingerprint,
                                       crashed_us))
    return;
  if (eel_quarantine_merge_entry (&relay->quarantine, &entry, left_us, now_us)
      && (entry.crashes != 1 || entry.state == EEL_QUARANTINE_REFUSED))
    g_message ("event=crash_learned fingerprint=%" PRIx64
               " state=%u crashes=%u",
               entry.fingerprint, entry.state, entry.crashes);
}

/* Takes over what was in flight at a crash that another node has noticed, but
   for what was answered here a moment ago, which the others are told. */
static void
read_crash (struct eel_relay *relay, const char *text)
{
  uint64_t numbers[EEL_CRASH_NEWS_SUSPECTS_MAX + 1];
  uint32_t count
      = read_numbers (text, numbers, EEL_CRASH_NEWS_SUSPECTS_MAX + 1);
  int64_t now_us = eel_clock_us ();
  uint32_t suspects = 0;

  for (uint32_t i = 1; i < count; i++)
    if (eel_crash_watch_completed_recently (&relay->crash_watch, numbers[i],
                                            now_us))
      eel_crash_news_cleared (relay, numbers[i]);
    else if (numbers[i] != 0)
      numbers[++suspects] = numbers[i];
  if (count < 2)
    {
      g_message ("event=crash_field_invalid");
      return;
    }
  eel_quarantine_crashed_at (&relay->quarantine, (uint32_t)numbers[0],
                             &numbers[1], suspects, now_us);
  g_message ("event=crash_told crash=%" PRIx32 " suspects=%u known=%u",
             (uint32_t)numbers[0], suspects, relay->quarantine.count);
}

static void
read_cleared (struct eel_relay *relay, const char *text)
{
  uint64_t numbers[EEL_RELAY_CLEARED_MAX];
  uint32_t count = read_numbers (text, numbers, EEL_RELAY_CLEARED_MAX);

  for (uint32_t i = 0; i < count; i++)
    eel_crash_clear_suspect (relay, numbers[i]);
}

void
eel_crash_read (struct eel_relay *relay, const struct eel_head *head)
{
  const char *text;

  for (uint32_t i = 0;
       (text = eel_head_get_nth (head, EEL_RELAY_CRASH, i)) != NULL; i++)
    read_crash (relay, text);
  for (uint32_t i = 0;
       (text = eel_head_get_nth (head, EEL_RELAY_CRASHED, i)) != NULL; i++)
    read_entry (relay, text);
  text = eel_head_get (head, EEL_RELAY_CLEARED);
  if (text != NULL)
    read_cleared (relay, text);
}

/* The request may only have been in flight when another one caused a crash. */
int
eel_crash_clear_suspect (struct eel_relay *relay, uint64_t fingerprint)
{
  int64_t now_us = eel_clock_us ();
  int was_suspect;

  if (fingerprint == 0)
    return 0;
  eel_crash_watch_completed (&relay->crash_watch, fingerprint, now_us);
  was_suspect = eel_quarantine_check (&relay->quarantine, fingerprint, now_us)
                != EEL_QUARANTINE_NONE;
  if (was_suspect)
    g_message ("event=crash_cleared fingerprint=%" PRIx64, fingerprint);
  eel_quarantine_succeeded (&relay->quarantine, fingerprint);
  return was_suspect;
}

/* Names the requests that were in flight at several crashes. */
static void
log_repeated (const struct eel_relay *relay)
{
  uint32_t lines = 0;

  for (uint32_t i = 0; i < relay->quarantine.count && lines < SUSPECT_LINES_MAX;
       i++)
    {
      const struct eel_quarantine_entry *entry = &relay->quarantine_entries[i];

      if (entry->crashes < 2)
        continue;
      lines++;
      g_message ("event=crash_suspect fingerprint=%" PRIx64
                 " crashes=%u state=%u held=%u",
                 entry->fingerprint, entry->crashes, entry->state,
                 entry->held_until_us != 0);
    }
}

/* Marks the requests whose runs failed just before as suspects. */
void
eel_crash_endpoint_down (struct eel_relay *relay)
{
  uint32_t count = eel_crash_watch_endpoint_down (
      &relay->crash_watch, &relay->quarantine, eel_clock_us ());

  if (count == 0)
    return;
  g_message ("event=endpoint_crashed crash=%" PRIx32
             " suspects=%u known=%u evicted=%" PRIu64,
             relay->crash_watch.crash_id, count, relay->quarantine.count,
             relay->quarantine.evicted);
  log_repeated (relay);
  eel_crash_news_tell (relay);
}
