#ifndef EEL_INTERNAL_LOG_H
#define EEL_INTERNAL_LOG_H

#include <stdint.h>

/*
 * Writes GLib's log messages to a descriptor, one line each: wall time in
 * seconds, level, message.  Never blocks: a line above the limit of lines per
 * second, or one that a slow reader leaves no room for, is dropped and counted.
 * The count is logged (event=log_dropped) before the next line that is written.
 */

struct eel_log
{
  int fd;
  uint32_t lines_per_s;
  /* Start of the current second, and the lines written in it. */
  int64_t second_start_us;
  uint32_t lines;
  /* Not yet reported in the log. */
  uint64_t dropped;
  uint64_t dropped_total;
};

/* Installs log as GLib's log writer; log must stay valid until the process
   ends. */
void eel_log_start (struct eel_log *log, int fd, uint32_t lines_per_s);
/* Writes one line; now_us is monotonic time, for the limit per second. */
void eel_log_line (struct eel_log *log,
                   int64_t now_us,
                   double wall_s,
                   const char *level,
                   const char *message);

/* Room for a text of 200 bytes that are all escaped, with quotes. */
#define EEL_LOG_TEXT_BYTES 808

struct eel_log_text
{
  char bytes[EEL_LOG_TEXT_BYTES];
};

/* Give a text from outside for use between quotes, and as the value of a field
   with quotes where it needs them.  Valid as long as text and buffer are. */
const char *eel_log_escape (struct eel_log_text *buffer, const char *text);
const char *eel_log_text (struct eel_log_text *buffer, const char *text);

/* The same with a buffer of the enclosing block. */
#define EEL_LOG_ESCAPE(text)                                                   \
  eel_log_escape (&(struct eel_log_text){ { 0 } }, (text))
#define EEL_LOG_TEXT(text)                                                     \
  eel_log_text (&(struct eel_log_text){ { 0 } }, (text))

#endif
