#include <cstring>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

extern "C"
{
#include "internal/log.h"
#include "eelgrasslatch/types.h"
}

struct log_test : public ::testing::Test
{
  int ends[2];
  struct eel_log log = {};

  log_test ()
  {
    if (pipe2 (ends, O_NONBLOCK) != 0)
      abort ();
    log.fd = ends[1];
    log.lines_per_s = 2;
  }

  ~log_test ()
  {
    close (ends[0]);
    close (ends[1]);
  }

  std::string
  read_lines ()
  {
    char bytes[65536];
    ssize_t got = read (ends[0], bytes, sizeof bytes);

    return std::string (bytes, got > 0 ? (size_t)got : 0);
  }
};

// Guards against log volume that grows with the load, and against lines that
// are dropped without being counted in the log.
TEST_F (log_test, LimitsLinesPerSecondAndReportsDroppedOnes)
{
  for (int i = 0; i < 5; i++)
    eel_log_line (&log, 0, 1, "info", "a");
  eel_log_line (&log, EEL_US_PER_S, 2, "info", "b");
  EXPECT_EQ (read_lines (), "1.000 info a\n1.000 info a\n"
                            "2.000 warning event=log_dropped lines=3\n"
                            "2.000 info b\n");
}

// Guards against a process that blocks on a slow reader of its log.
TEST_F (log_test, NeverBlocksOnTheReader)
{
  std::string full (60000, 'x');

  log.lines_per_s = 1000;
  while (write (ends[1], full.data (), 4096) > 0)
    ;
  eel_log_line (&log, 0, 1, "info", "lost");
  EXPECT_EQ (log.dropped, 1u);
  while (!read_lines ().empty ())
    ;
  eel_log_line (&log, 1, 1, "info", "kept");
  EXPECT_EQ (read_lines (), "1.000 warning event=log_dropped lines=1\n"
                            "1.000 info kept\n");
}

// Guards against a text from outside that looks like fields or lines of the
// node's own.
TEST (LogText, IsOneValue)
{
  const struct
  {
    const char *text;
    const char *shown;
  } cases[] = {
    { "shop-1", "shop-1" },
    { "/a/b?c", "/a/b?c" },
    { "", "\"\"" },
    { nullptr, "-" },
    { "two words", "\"two words\"" },
    { "a\" keys=9 x=\"", "\"a\\\" keys=9 x=\\\"\"" },
    { "a event=started", "\"a event=started\"" },
    { "a=b", "\"a=b\"" },
    { "a\\", "\"a\\\\\"" },
    { "a\n1.0 info event=x", "\"a\\0121.0 info event=x\"" },
    { "\xc3\xa9\x7f\t", "\"\\303\\251\\177\\011\"" },
  };

  struct eel_log_text buffer;

  for (const auto &each : cases)
    EXPECT_STREQ (eel_log_text (&buffer, each.text), each.shown);
  // What is cut is cut between escapes, and ends in a quote.
  for (const char *piece : { "\n", "\"", "\\", " " })
    {
      std::string text = " ";
      std::string shown;

      while (text.size () < 2000)
        text += piece;
      shown = eel_log_text (&buffer, text.c_str ());
      EXPECT_LT (shown.size (), (size_t)EEL_LOG_TEXT_BYTES);
      EXPECT_EQ (shown.back (), '"');
      // A quote, a space, pairs and a quote.
      if (*piece == '\\' || *piece == '"')
        {
          EXPECT_EQ (shown.size () % 2, 1u) << shown;
        }
    }
  // 200 bytes fit.
  EXPECT_EQ (strlen (eel_log_text (&buffer, std::string (200, '\n').c_str ())),
             802u);
}

TEST_F (log_test, MessageStaysOnOneLine)
{
  eel_log_line (&log, 0, 1, "info", "a=\n1.000 info event=x\r\t\x7f");
  EXPECT_EQ (read_lines (), "1.000 info a=?1.000 info event=x???\n");
}
