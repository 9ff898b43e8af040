#include <locale.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/ctl.h"

#define TIMEOUT_DEFAULT_MS 10000
#define TIMEOUT_MAX_MS 3600000

static enum ctl_exit
run_status (const struct ctl_options *options, const char *argument)
{
  (void)argument;
  return ctl_show (options, "/status", NULL);
}

static enum ctl_exit
run_members (const struct ctl_options *options, const char *argument)
{
  (void)argument;
  return ctl_show (options, "/members", "members");
}

static enum ctl_exit
run_preset_show (const struct ctl_options *options, const char *argument)
{
  (void)argument;
  return ctl_show (options, "/preset", NULL);
}

static enum ctl_exit
run_preset_check (const struct ctl_options *options, const char *argument)
{
  (void)options;
  return ctl_preset_check (argument);
}

static enum ctl_exit
run_audit (const struct ctl_options *options, const char *argument)
{
  (void)argument;
  return ctl_audit (options);
}

static enum ctl_exit
run_metrics (const struct ctl_options *options, const char *argument)
{
  (void)argument;
  return ctl_metrics (options);
}

static enum ctl_exit
run_keygen (const struct ctl_options *options, const char *argument)
{
  (void)options;
  (void)argument;
  return ctl_keygen ();
}

struct command
{
  const char *name;
  const char *subcommand;
  int takes_argument;
  int needs_nodes;
  enum ctl_exit (*run) (const struct ctl_options *options,
                        const char *argument);
};

static const struct command commands[] = {
  { "status", NULL, 0, 1, run_status },
  { "members", NULL, 0, 1, run_members },
  { "preset", "show", 0, 1, run_preset_show },
  { "preset", "check", 1, 0, run_preset_check },
  { "preset", "wait", 1, 1, ctl_preset_wait },
  { "audit", NULL, 0, 1, run_audit },
  { "metrics", NULL, 0, 1, run_metrics },
  { "keygen", NULL, 0, 0, run_keygen },
};

static const struct command *
find_command (int argc, char **argv, const char **argument)
{
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      const struct command *command = &commands[i];
      int words = command->subcommand != NULL ? 2 : 1;

      if (argc != 1 + words + command->takes_argument
          || strcmp (argv[1], command->name) != 0
          || (words == 2 && strcmp (argv[2], command->subcommand) != 0))
        continue;
      *argument = command->takes_argument ? argv[1 + words] : NULL;
      return command;
    }
  return NULL;
}

static const char description[]
    = "Commands:\n"
      "  status               state of each node\n"
      "  members              members as each node sees them\n"
      "  preset show          preset and revision in force at each node\n"
      "  preset check FILE    check a document as a node would\n"
      "  preset wait REVISION wait until it is in force at all nodes\n"
      "  audit                audit trails, merged by revision and time\n"
      "  metrics              metrics in the Prometheus text format\n"
      "  keygen               print a new [keys] table\n\n"
      "The token is read from EELGRASSLATCH_TOKEN when --token is not given.\n"
      "Exit codes: 0 success; 1 a node or a check reported an error;\n"
      "2 a reachable node is not at the revision; 3 a node is unreachable;\n"
      "64 wrong usage.";

static int
parse_options (int *argc,
               char ***argv,
               struct ctl_options *options,
               gboolean *version)
{
  const GOptionEntry entries[] = {
    { "node", 'n', 0, G_OPTION_ARG_STRING_ARRAY, &options->nodes,
      "Operators' address of a node; may be repeated", "HOST:PORT" },
    { "token", 't', 0, G_OPTION_ARG_STRING, &options->token, "Operators' token",
      "TOKEN" },
    { "json", 'j', 0, G_OPTION_ARG_NONE, &options->json,
      "Print JSON instead of tables", NULL },
    { "timeout-ms", 0, 0, G_OPTION_ARG_INT, &options->timeout_ms,
      "Longest wait, 1 to 3600000", "MS" },
    { "version", 0, 0, G_OPTION_ARG_NONE, version, "Print the version and exit",
      NULL },
    G_OPTION_ENTRY_NULL,
  };
  GOptionContext *context = g_option_context_new ("COMMAND");
  GError *error = NULL;
  int parsed;

  g_option_context_add_main_entries (context, entries, NULL);
  g_option_context_set_description (context, description);
  parsed = g_option_context_parse (context, argc, argv, &error);
  if (!parsed)
    {
      fprintf (stderr, "%s\n", error->message);
      g_error_free (error);
    }
  g_option_context_free (context);
  return parsed && options->timeout_ms > 0
         && options->timeout_ms <= TIMEOUT_MAX_MS;
}

static enum ctl_exit
dispatch (int argc, char **argv, const struct ctl_options *options)
{
  const char *argument = NULL;
  const struct command *command = find_command (argc, argv, &argument);

  if (command == NULL)
    {
      fprintf (stderr, "eelgrasslatchctl: unknown command; see --help\n");
      return CTL_USAGE;
    }
  if (command->needs_nodes && options->nodes == NULL)
    {
      fprintf (stderr, "eelgrasslatchctl: --node HOST:PORT is required\n");
      return CTL_USAGE;
    }
  return command->run (options, argument);
}

int
main (int argc, char **argv)
{
  struct ctl_options options = { .timeout_ms = TIMEOUT_DEFAULT_MS };
  gboolean version = FALSE;
  enum ctl_exit code = CTL_USAGE;

  setlocale (LC_ALL, "C");
  if (sodium_init () < 0)
    return CTL_FAILED;
  if (parse_options (&argc, &argv, &options, &version))
    {
      if (options.token == NULL)
        options.token = g_strdup (g_getenv ("EELGRASSLATCH_TOKEN"));
      if (version)
        printf ("eelgrasslatchctl %s\n", EEL_VERSION);
      code = version ? CTL_OK : dispatch (argc, argv, &options);
    }
  g_strfreev (options.nodes);
  g_free (options.token);
  return code;
}
