#ifndef EELGRASSLATCH_QUARANTINE_H
#define EELGRASSLATCH_QUARANTINE_H

#include <stddef.h>
#include <stdint.h>

/*
 * Fingerprints of requests that were in flight when an upstream crashed, and
 * the crashes of each.
 *
 * Made for loads in which one request crashes each upstream that runs it while
 * many others are in flight there.  A request is refused for good once it was
 * in flight at three crashes, unless another one was at all of these and at
 * more.  Its requests between the second and the third crash are trials, which
 * eel_quarantine_may_start keeps apart.
 */
enum eel_quarantine_state
{
  EEL_QUARANTINE_NONE,
  /* In flight at a crash. */
  EEL_QUARANTINE_SUSPECT,
  EEL_QUARANTINE_REFUSED
};

/* What a node does with a request that it is about to start. */
enum eel_quarantine_trial
{
  EEL_QUARANTINE_START,
  /* Another suspect is being tried at this upstream. */
  EEL_QUARANTINE_ELSEWHERE,
  /* It crashes upstreams, or is being tried itself. */
  EEL_QUARANTINE_REFUSE
};

/* Crashes of one request that are told apart. */
#define EEL_QUARANTINE_CRASHES_MAX 8
/* Crashes after which a request is refused for good. */
#define EEL_QUARANTINE_CRASHES_REFUSED 3
#define EEL_QUARANTINE_FILTER_BITS 2048

struct eel_quarantine_entry
{
  uint64_t fingerprint;
  /* life_us after its last crash. */
  int64_t expires_us;
  /* A suspect is refused until this time; 0: it is not. */
  int64_t held_until_us;
  int64_t changed_us;
  /* The first ones; crashes counts all. */
  uint32_t crash_ids[EEL_QUARANTINE_CRASHES_MAX];
  uint8_t state;
  uint8_t crashes;
};

struct eel_quarantine
{
  struct eel_quarantine_entry *entries;
  uint32_t capacity;
  uint32_t count;
  int64_t life_us;
  /* How long the only suspect of a second crash is refused; 0: for life_us. */
  int64_t hold_us;
  uint64_t evicted;
  uint32_t anonymous_crashes;
  /* Which fingerprints may be known, so that most look-ups end at once. */
  uint64_t filter[EEL_QUARANTINE_FILTER_BITS / 64];
};

void eel_quarantine_init (struct eel_quarantine *quarantine,
                          struct eel_quarantine_entry *entries,
                          uint32_t capacity,
                          int64_t life_us);
/*
 * Refuses the only suspect of a second crash, and a request whose crashes
 * another one explains, no longer than hold_us, after which it may be tried
 * once more.
 */
void eel_quarantine_set_hold (struct eel_quarantine *quarantine,
                              int64_t hold_us);
void eel_quarantine_finish (struct eel_quarantine *quarantine);
enum eel_quarantine_state eel_quarantine_check (
    struct eel_quarantine *quarantine, uint64_t fingerprint, int64_t now_us);
/* Returns the unexpired entry of a fingerprint, or NULL. */
const struct eel_quarantine_entry *eel_quarantine_find (
    struct eel_quarantine *quarantine, uint64_t fingerprint, int64_t now_us);
/* Records a crash of the upstream with these fingerprints in flight. */
void eel_quarantine_crashed (struct eel_quarantine *quarantine,
                             const uint64_t *fingerprints,
                             size_t count,
                             int64_t now_us);
/* The same for a crash that may be told in parts, or more than once. */
void eel_quarantine_crashed_at (struct eel_quarantine *quarantine,
                                uint32_t crash_id,
                                const uint64_t *fingerprints,
                                size_t count,
                                int64_t now_us);
/* Removes a suspect that an upstream has answered. */
void eel_quarantine_cleared (struct eel_quarantine *quarantine,
                             uint64_t fingerprint);
/* Removes a request that an upstream has run with success, also a refused one.
 */
void eel_quarantine_succeeded (struct eel_quarantine *quarantine,
                               uint64_t fingerprint);
/*
 * Decides about a request at an upstream that runs others with these
 * fingerprints.  A suspect of two crashes runs without another one, so that its
 * third crash tells which of them is the cause.
 */
enum eel_quarantine_trial
eel_quarantine_may_start (struct eel_quarantine *quarantine,
                          uint64_t fingerprint,
                          const uint64_t *running,
                          size_t count,
                          int64_t now_us);
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
/*
 * Copies up to max unexpired entries that changed after since_us: refused ones
 * first, then those of most crashes.
 */
size_t eel_quarantine_news (const struct eel_quarantine *quarantine,
                            int64_t since_us,
                            struct eel_quarantine_entry *out,
                            size_t max,
                            int64_t now_us);
/* Copies up to max unexpired refused entries, for gossip. */
size_t eel_quarantine_list_refused (struct eel_quarantine *quarantine,
                                    struct eel_quarantine_entry *out,
                                    size_t max,
                                    int64_t now_us);

#endif
