#ifndef EEL_RETRY_QUARANTINE_JUDGE_H
#define EEL_RETRY_QUARANTINE_JUDGE_H

#include "eelgrasslatch/quarantine.h"

/* Which entries are refused, and for how long. */

int eel_quarantine_is_for_good (const struct eel_quarantine_entry *entry);
/* Refuses until that time; 0: for good.  Does nothing if it is for good. */
void eel_quarantine_refuse (struct eel_quarantine *quarantine,
                            struct eel_quarantine_entry *entry,
                            int64_t until_us,
                            int64_t now_us);
/* Call after a crash was added to the entry. */
void eel_quarantine_judge (struct eel_quarantine *quarantine,
                           struct eel_quarantine_entry *entry,
                           int is_only_suspect,
                           int64_t now_us);

#endif
