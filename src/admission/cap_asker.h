#ifndef EEL_ADMISSION_CAP_ASKER_H
#define EEL_ADMISSION_CAP_ASKER_H

#include "eelgrasslatch/team_cap.h"

/* Which holder a node asks for each group of teams, and when. */

/* Tokens that should be asked for now. */
uint32_t eel_cap_team_wants (const struct eel_cap_team *team, int64_t now_us);
/* No answer to a message is expected any more. */
void eel_cap_close_sent (struct eel_team_cap *cap, struct eel_cap_sent *sent);
/* Returns the message that was answered, or NULL. */
struct eel_cap_sent *
eel_cap_asker_answered (struct eel_team_cap *cap,
                        uint32_t from,
                        const struct eel_cap_grant_message *reply,
                        int64_t now_us);

#endif
