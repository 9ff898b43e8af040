#include "internal/reason.h"

#include <stddef.h>

/* Clients ignore the phrase (RFC 9112, section 4). */
const char *
eel_http_reason (unsigned status)
{
  static const struct
  {
    unsigned status;
    const char *reason;
  } reasons[] = { { 200, "OK" },
                  { 201, "Created" },
                  { 202, "Accepted" },
                  { 204, "No Content" },
                  { 304, "Not Modified" },
                  { 400, "Bad Request" },
                  { 401, "Unauthorized" },
                  { 403, "Forbidden" },
                  { 404, "Not Found" },
                  { 409, "Conflict" },
                  { 410, "Gone" },
                  { 413, "Content Too Large" },
                  { 421, "Misdirected Request" },
                  { 422, "Unprocessable Content" },
                  { 428, "Precondition Required" },
                  { 429, "Too Many Requests" },
                  { 431, "Request Header Fields Too Large" },
                  { 500, "Internal Server Error" },
                  { 502, "Bad Gateway" },
                  { 503, "Service Unavailable" },
                  { 504, "Gateway Timeout" } };

  for (size_t i = 0; i < sizeof reasons / sizeof *reasons; i++)
    if (reasons[i].status == status)
      return reasons[i].reason;
  return "Other";
}
