#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "exsim.h"

#define ALL_FAULTS ((1u << FAULT_COUNT) - 1)

static double
seconds (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

/* Removes fault kinds that the violation does not need, prints its trace. */
static void
print_minimal_trace (struct exsim_options options)
{
  struct exsim *s;

  for (uint32_t i = 0; i < FAULT_COUNT; i++)
    {
      struct exsim_options fewer = options;

      fewer.fault_mask &= ~(1u << i);
      s = exsim_run (&fewer);
      if (s->violation != NULL)
        {
          options = fewer;
          options.steps = s->steps;
        }
      exsim_free (s);
    }
  s = exsim_run (&options);
  options.trace = 1;
  options.trace_order = s->violation_order;
  printf ("fewest faults:");
  for (uint32_t i = 0; i < FAULT_COUNT; i++)
    if (options.fault_mask & 1u << i)
      printf (" %s", exsim_faults[i]);
  printf ("; %s at step %" PRIu64 "\n", s->violation, s->steps);
  exsim_free (s);
  exsim_free (exsim_run (&options));
}

static int
fuzz (const struct exsim_options *options)
{
  double started = seconds (), elapsed;
  struct exsim *s = exsim_run (options);
  int failed = s->violation != NULL;

  elapsed = seconds () - started;
  printf ("fuzz_execution seed %" PRIu64 " steps %" PRIu64 " orders %" PRIu64
          " attempts %" PRIu64 " runs %" PRIu64 " ran %" PRIu64
          " not-run %" PRIu64 " unknown %" PRIu64 " refused %" PRIu64
          " depth %u steps/s %.0f digest %016" PRIx64 "\n",
          options->seed, s->steps, s->orders_finished, s->attempt_count,
          s->run_count, s->outcomes[EEL_OUTCOME_RAN],
          s->outcomes[EEL_OUTCOME_NOT_RUN], s->outcomes[EEL_OUTCOME_UNKNOWN],
          s->outcomes[EEL_OUTCOME_REFUSED], s->depth_max,
          (double)s->steps / elapsed, s->digest);
  printf ("unknown by cause:");
  for (int i = 0; i < EEL_ERROR_COUNT; i++)
    if (s->unknown_by_error[i] > 0)
      printf (" %s %" PRIu64, eel_error_info (i)->name, s->unknown_by_error[i]);
  printf ("\n");
  if (failed)
    {
      printf ("VIOLATION at step %" PRIu64 ", order %" PRIu64 ": %s\n",
              s->steps, s->violation_order, s->violation);
      fflush (stdout);
      if (!options->trace)
        print_minimal_trace (*options);
    }
  exsim_free (s);
  return failed;
}

/* Prints outcomes of orders by fault kind, with and without records. */
static void
compare (struct exsim_options options)
{
  options.benign = 1;
  printf ("%-10s %-8s %8s %9s %9s %9s %12s\n", "fault", "mode", "orders",
          "ran once", "ran twice", "not run", "unknown");
  for (uint32_t i = 0; i <= FAULT_COUNT + 1; i++)
    for (options.blind = 0; options.blind < 2; options.blind++)
      {
        struct exsim *s;
        double n;

        options.fault_mask = i == 0             ? 0
                             : i <= FAULT_COUNT ? 1u << (i - 1)
                                                : ALL_FAULTS;
        s = exsim_run (&options);
        n = (double)s->orders_finished / 100;
        printf ("%-10s %-8s %8" PRIu64 " %8.2f%% %8.2f%% %8.2f%% %11.2f%%\n",
                i == 0             ? "none"
                : i <= FAULT_COUNT ? exsim_faults[i - 1]
                                   : "all",
                options.blind ? "blind" : "records", s->orders_finished,
                (double)s->orders_ran[1] / n, (double)s->orders_ran[2] / n,
                (double)s->orders_ran[0] / n, (double)s->orders_unknown / n);
        exsim_free (s);
      }
  printf ("bytes per record: decider %zu, executor %zu, open order %zu,"
          " waiting copy %zu, stored answer %zu and its bytes\n",
          sizeof (struct eel_decider_record),
          sizeof (struct eel_executor_record), sizeof (struct eel_pending),
          sizeof (struct eel_waiter), sizeof (struct eel_answer_slot));
}

int
main (int argc, char **argv)
{
  struct exsim_options options
      = { .seed = 1, .steps = 50000, .fault_mask = ALL_FAULTS };
  int baseline = 0;

  for (int i = 1; i < argc; i++)
    if (strcmp (argv[i], "--trace") == 0)
      options.trace = 1;
    else if (i + 1 < argc && strcmp (argv[i], "--seed") == 0)
      options.seed = strtoull (argv[++i], NULL, 10);
    else if (i + 1 < argc && strcmp (argv[i], "--steps") == 0)
      options.steps = strtoull (argv[++i], NULL, 10);
    else if (i + 1 < argc && strcmp (argv[i], "--baseline") == 0
             && strcmp (argv[i + 1], "blind") == 0)
      baseline = (i++, 1);
    else
      {
        fprintf (stderr,
                 "usage: %s [--seed N] [--steps N] [--trace]"
                 " [--baseline blind]\n",
                 argv[0]);
        return 2;
      }
  if (!baseline)
    return fuzz (&options);
  compare (options);
  return 0;
}
