#include "internal/log.h"

#include <fcntl.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "internal/task.h"

#define LINE_BYTES_MAX 1024

/*
 * Returns 1 when the whole line was written.  The descriptor does not block, so
 * a full pipe gives 0; a pipe takes a line of this length whole or not at all.
 */
static int
write_line (struct eel_log *log, const char *line, int bytes)
{
  if (bytes < 0)
    return 0;
  if (bytes >= LINE_BYTES_MAX)
    bytes = LINE_BYTES_MAX - 1;
  return write (log->fd, line, (size_t)bytes) == bytes;
}

static void
write_dropped_count (struct eel_log *log, double wall_s)
{
  char line[128];
  int bytes = snprintf (line, sizeof line,
                        "%.3f warning event=log_dropped lines=%" PRIu64 "\n",
                        wall_s, log->dropped);

  if (write_line (log, line, bytes))
    log->dropped = 0;
}

/* Keeps a message on one line. */
static void
replace_controls (char *line)
{
  for (; *line != 0; line++)
    if (((unsigned char)*line < ' ' && (*line != '\n' || line[1] != 0))
        || *line == 0x7f)
      *line = '?';
}

/*
 * Writes one line unless lines_per_s lines were written in this second or the
 * descriptor would block; such a line is dropped and counted.
 */
void
eel_log_line (struct eel_log *log,
              int64_t now_us,
              double wall_s,
              const char *level,
              const char *message)
{
  char line[LINE_BYTES_MAX];
  int bytes;

  if (now_us - log->second_start_us >= EEL_US_PER_S)
    {
      log->second_start_us = now_us;
      log->lines = 0;
    }
  if (log->lines < log->lines_per_s && log->dropped > 0)
    write_dropped_count (log, wall_s);
  bytes = snprintf (line, sizeof line, "%.3f %s %s\n", wall_s, level, message);
  if (bytes >= LINE_BYTES_MAX)
    line[LINE_BYTES_MAX - 2] = '\n';
  replace_controls (line);
  if (log->lines >= log->lines_per_s || !write_line (log, line, bytes))
    {
      log->dropped++;
      log->dropped_total++;
      return;
    }
  log->lines++;
}

static GLogWriterOutput
on_message (GLogLevelFlags level,
            const GLogField *fields,
            gsize count,
            gpointer data)
{
  const char *name = (level & G_LOG_LEVEL_ERROR) != 0      ? "error"
                     : (level & G_LOG_LEVEL_CRITICAL) != 0 ? "critical"
                     : (level & G_LOG_LEVEL_WARNING) != 0  ? "warning"
                                                           : "info";

  for (gsize i = 0; i < count; i++)
    if (strcmp (fields[i].key, "MESSAGE") == 0)
      eel_log_line (data, eel_clock_us (), (double)eel_wall_ms () / 1000, name,
                    fields[i].value);
  return G_LOG_WRITER_HANDLED;
}

/* Sets O_NONBLOCK on fd, also for other users of the same open file. */
void
eel_log_start (struct eel_log *log, int fd, uint32_t lines_per_s)
{
  int flags = fcntl (fd, F_GETFL);

  *log = (struct eel_log){ .fd = fd, .lines_per_s = lines_per_s };
  if (flags >= 0)
    fcntl (fd, F_SETFL, flags | O_NONBLOCK);
  g_log_set_writer_func (on_message, log, NULL);
}
