#include "eelgrasslatch/quarantine.h"

const struct eel_quarantine_entry *
eel_quarantine_newest (const struct eel_quarantine *quarantine, int64_t now_us)
{
  const struct eel_quarantine_entry *newest = NULL;

  for (uint32_t i = 0; i < quarantine->count; i++)
    {
      const struct eel_quarantine_entry *entry = &quarantine->entries[i];

      if (now_us < entry->expires_us
          && (newest == NULL || entry->expires_us > newest->expires_us))
        newest = entry;
    }
  return newest;
}

static int
is_told_before (const struct eel_quarantine_entry *a,
                const struct eel_quarantine_entry *b)
{
  if (a->state != b->state)
    return a->state > b->state;
  if (a->crashes != b->crashes)
    return a->crashes > b->crashes;
  return a->changed_us > b->changed_us;
}

/* Keeps out sorted. */
size_t
eel_quarantine_news (const struct eel_quarantine *quarantine,
                     int64_t since_us,
                     struct eel_quarantine_entry *out,
                     size_t max,
                     int64_t now_us)
{
  size_t count = 0;

  for (uint32_t i = 0; i < quarantine->count; i++)
    {
      const struct eel_quarantine_entry *entry = &quarantine->entries[i];
      size_t at = count;

      if (entry->changed_us <= since_us || entry->expires_us <= now_us)
        continue;
      while (at > 0 && is_told_before (entry, &out[at - 1]))
        at--;
      if (at == max)
        continue;
      if (count < max)
        count++;
      for (size_t n = count - 1; n > at; n--)
        out[n] = out[n - 1];
      out[at] = *entry;
    }
  return count;
}

/* Starts at the end of the table, where new entries are added. */
size_t
eel_quarantine_list_refused (struct eel_quarantine *quarantine,
                             struct eel_quarantine_entry *out,
                             size_t max,
                             int64_t now_us)
{
  size_t count = 0;

  for (uint32_t i = quarantine->count; i-- > 0 && count < max;)
    if (quarantine->entries[i].state == EEL_QUARANTINE_REFUSED
        && now_us < quarantine->entries[i].expires_us)
      out[count++] = quarantine->entries[i];
  return count;
}
