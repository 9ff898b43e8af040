#ifndef EEL_HTTP_FIELDS_H
#define EEL_HTTP_FIELDS_H

#include <stddef.h>
#include <stdint.h>

#include "internal/call.h"

/*
 * Parsing and checks of HTTP header fields, shared by the front and upstream
 * tasks.
 */

int eel_http_is_token (const char *text);
int eel_http_is_field_value (const char *text);
int eel_http_has_prefix (const char *text, const char *prefix);
int eel_http_parse_u64 (const char *text, uint64_t max, uint64_t *out);
int eel_http_list_contains (const char *list, const char *token);
int eel_http_is_hop_by_hop (const struct eel_headers *headers,
                            const char *name);
uint32_t eel_http_field_count (const struct eel_headers *headers,
                               const char *name);
int eel_http_status_has_body (unsigned status, const char *method);
void eel_http_ignore_sigpipe (void);

#endif
