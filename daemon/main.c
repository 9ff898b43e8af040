#include <errno.h>
#include <event2/event.h>
#include <glib.h>
#include <locale.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/tasks.h"
#include "internal/settings.h"

/* Exit codes, as in the manual page. */
#define EXIT_USAGE 64
#define EXIT_SETTINGS 78
#define EXIT_STARTUP_FAILED 70

#define SETTINGS_BYTES_MAX (1024 * 1024)

struct options
{
  char *config;
  char *check_config;
  gboolean version;
};

/* Must outlive all tasks, which keep pointers to it. */
static struct eel_settings settings;

static void
print_errors (const char *file,
              const struct eel_settings_error *errors,
              size_t count)
{
  for (size_t i = 0; i < count && i < EEL_SETTINGS_ERRORS_MAX; i++)
    fprintf (stderr, "%s:%u: %s: %s\n", file, errors[i].line, errors[i].key,
             errors[i].text);
  if (count > EEL_SETTINGS_ERRORS_MAX)
    fprintf (stderr, "%s: %zu more errors\n", file,
             count - EEL_SETTINGS_ERRORS_MAX);
}

static int
load_settings (const char *file)
{
  struct eel_settings_error errors[EEL_SETTINGS_ERRORS_MAX];
  GError *error = NULL;
  char *text = NULL;
  gsize bytes = 0;
  size_t count;

  if (!g_file_get_contents (file, &text, &bytes, &error))
    {
      fprintf (stderr, "%s: %s\n", file, error->message);
      g_error_free (error);
      return 0;
    }
  if (bytes > SETTINGS_BYTES_MAX)
    {
      fprintf (stderr, "%s: larger than %d bytes\n", file, SETTINGS_BYTES_MAX);
      g_free (text);
      return 0;
    }
  count = eel_settings_parse (&settings, text, bytes, errors,
                              EEL_SETTINGS_ERRORS_MAX);
  g_free (text);
  print_errors (file, errors, count);
  return count == 0;
}

static int
parse_options (int *argc, char ***argv, struct options *options)
{
  const GOptionEntry entries[] = {
    { "config", 'c', 0, G_OPTION_ARG_FILENAME, &options->config,
      "Run with the settings in FILE", "FILE" },
    { "check-config", 0, 0, G_OPTION_ARG_FILENAME, &options->check_config,
      "Check the settings in FILE and exit", "FILE" },
    { "version", 0, 0, G_OPTION_ARG_NONE, &options->version,
      "Print the version and exit", NULL },
    G_OPTION_ENTRY_NULL,
  };
  GOptionContext *context = g_option_context_new ("- overload control node");
  GError *error = NULL;
  int parsed;

  g_option_context_add_main_entries (context, entries, NULL);
  g_option_context_set_description (
      context, "Exit codes: 0 planned stop or valid settings; 64 wrong usage;\n"
               "70 a socket could not be opened; 78 invalid settings.");
  parsed = g_option_context_parse (context, argc, argv, &error);
  if (!parsed)
    {
      fprintf (stderr, "%s\n", error->message);
      g_error_free (error);
    }
  g_option_context_free (context);
  return parsed && *argc == 1;
}

static int
run_daemon (void)
{
  struct daemon_tasks tasks;
  int code = EXIT_STARTUP_FAILED;

  signal (SIGPIPE, SIG_IGN);
  if (daemon_tasks_init (&tasks, &settings))
    {
      printf ("front %u peer %u admin %u\n", settings.front.port,
              settings.peer.port, settings.admin.port);
      fflush (stdout);
      daemon_tasks_run (&tasks);
      code = EXIT_SUCCESS;
    }
  daemon_tasks_finish (&tasks);
  return code;
}

static int
handle_options (const struct options *options)
{
  if (options->version)
    {
      printf ("eelgrasslatchd %s\n", EEL_VERSION);
      return EXIT_SUCCESS;
    }
  if (options->check_config != NULL)
    return load_settings (options->check_config) ? EXIT_SUCCESS : EXIT_SETTINGS;
  if (options->config == NULL)
    {
      fprintf (stderr, "eelgrasslatchd: --config FILE is required\n");
      return EXIT_USAGE;
    }
  return load_settings (options->config) ? run_daemon () : EXIT_SETTINGS;
}

int
main (int argc, char **argv)
{
  struct options options = { 0 };
  int code = EXIT_USAGE;

  setlocale (LC_ALL, "C");
  if (sodium_init () < 0)
    return EXIT_STARTUP_FAILED;
  if (parse_options (&argc, &argv, &options))
    code = handle_options (&options);
  g_free (options.config);
  g_free (options.check_config);
  return code;
}
