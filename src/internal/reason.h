#ifndef EEL_INTERNAL_REASON_H
#define EEL_INTERNAL_REASON_H

/* Reason phrase of an HTTP status. */
const char *eel_http_reason (unsigned status);

#endif
