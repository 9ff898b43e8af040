#ifndef EEL_RELAY_CRASH_NEWS_H
#define EEL_RELAY_CRASH_NEWS_H

#include <stdint.h>

/*
 * Messages between the nodes of one service about crashes of its endpoints, so
 * that each node knows of a crash before it starts the next request.  What is
 * lost on the way follows with the request itself or with later messages.
 */

/* Suspects of one message; a crash with more takes several. */
#define EEL_CRASH_NEWS_SUSPECTS_MAX 150
/* Entries of the answer to a node that has just started. */
#define EEL_CRASH_NEWS_ENTRIES_MAX 16

struct eel_exchange;
struct eel_relay;

/* Tells what was in flight at the crash that was noticed last. */
void eel_crash_news_tell (struct eel_relay *relay);
/* Records a suspect that was answered here, for the next message. */
void eel_crash_news_cleared (struct eel_relay *relay, uint64_t fingerprint);
/* Sends what was recorded; call it periodically. */
void eel_crash_news_tick (struct eel_relay *relay);
/* Asks the others what they know; only the first call with others does. */
void eel_crash_news_ask (struct eel_relay *relay);
/* Answers such a message of another node and returns 1; returns 0 for a
   request. */
int eel_crash_news_answer (struct eel_relay *relay,
                           struct eel_exchange *exchange);

#endif
