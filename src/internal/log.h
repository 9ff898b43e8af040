#ifndef EEL_INTERNAL_LOG_H
#define EEL_INTERNAL_LOG_H

#include <stdint.h>

/*
 * Sends GLib's log messages to a descriptor, one line each: wall time in
 * seconds, level, message.  Never waits: what does not fit, by the bound on
 * lines a second or by a reader that is slow, is left out, counted, and said
 * in the next line that fits.
 */

struct eel_log
{
  int fd;
  uint32_t lines_per_s;
  int64_t second_us;
  uint32_t lines;
  uint64_t dropped;
  uint64_t dropped_total;
};

/* Becomes GLib's writer for the process. */
void eel_log_start (struct eel_log *log, int fd, uint32_t lines_per_s);
/* Writes one line; the writer calls it, tests do too. */
void eel_log_line (struct eel_log *log,
                   int64_t now_us,
                   double wall_s,
                   const char *level,
                   const char *message);

#endif
