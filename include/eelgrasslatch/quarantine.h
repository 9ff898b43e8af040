#ifndef EELGRASSLATCH_QUARANTINE_H
#define EELGRASSLATCH_QUARANTINE_H

#include <stddef.h>
#include <stdint.h>

/* Fingerprints of requests that were in flight when an upstream crashed. */
enum eel_quarantine_state
{
  EEL_QUARANTINE_NONE,
  /* In flight at a crash; runs separately from other suspects. */
  EEL_QUARANTINE_SUSPECT,
  /* The only suspect at a later crash. */
  EEL_QUARANTINE_REFUSED
};

struct eel_quarantine_entry
{
  uint64_t fingerprint;
  int64_t expires_us;
  uint8_t state;
  uint8_t crashes;
};

struct eel_quarantine
{
  struct eel_quarantine_entry *entries;
  uint32_t capacity;
  uint32_t count;
  int64_t life_us;
  uint64_t evicted;
};

void eel_quarantine_init (struct eel_quarantine *quarantine,
                          struct eel_quarantine_entry *entries,
                          uint32_t capacity,
                          int64_t life_us);
void eel_quarantine_finish (struct eel_quarantine *quarantine);
enum eel_quarantine_state eel_quarantine_check (
    struct eel_quarantine *quarantine, uint64_t fingerprint, int64_t now_us);
/* Records a crash of the upstream with these fingerprints in flight. */
void eel_quarantine_crashed (struct eel_quarantine *quarantine,
                             const uint64_t *fingerprints,
                             size_t count,
                             int64_t now_us);
void eel_quarantine_cleared (struct eel_quarantine *quarantine,
                             uint64_t fingerprint);
/* Merges a refused fingerprint from another node; returns 1 if it is new. */
int eel_quarantine_merge_refused (struct eel_quarantine *quarantine,
                                  uint64_t fingerprint,
                                  int64_t remaining_us,
                                  int64_t now_us);
/*
 * Merges an entry from another node, suspect or refused; returns 1 if it
 * changes the table.
 */
int eel_quarantine_merge_entry (struct eel_quarantine *quarantine,
                                const struct eel_quarantine_entry *reported,
                                int64_t remaining_us,
                                int64_t now_us);
/* Returns the entry that expires last, or NULL when all have expired. */
const struct eel_quarantine_entry *
eel_quarantine_newest (const struct eel_quarantine *quarantine, int64_t now_us);
/* Copies up to max unexpired refused entries, for gossip. */
size_t eel_quarantine_list_refused (struct eel_quarantine *quarantine,
                                    struct eel_quarantine_entry *out,
                                    size_t max,
                                    int64_t now_us);

#endif
