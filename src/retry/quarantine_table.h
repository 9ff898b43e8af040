#ifndef EEL_RETRY_QUARANTINE_TABLE_H
#define EEL_RETRY_QUARANTINE_TABLE_H

#include "eelgrasslatch/quarantine.h"

/* Entries of the quarantine by fingerprint. */

/* Returns NULL when there is no unexpired entry; removes an expired one. */
struct eel_quarantine_entry *eel_quarantine_table_find (
    struct eel_quarantine *quarantine, uint64_t fingerprint, int64_t now_us);
/* Adds a suspect without crashes; a full table evicts one. */
struct eel_quarantine_entry *
eel_quarantine_table_add (struct eel_quarantine *quarantine,
                          uint64_t fingerprint,
                          int64_t expires_us,
                          int64_t now_us);
/* Moves the last entry to the place of the removed one. */
void eel_quarantine_table_remove (struct eel_quarantine *quarantine,
                                  uint32_t index);
int eel_quarantine_has_crash (const struct eel_quarantine_entry *entry,
                              uint32_t crash_id);

#endif
