#include "tests/standin/load.h"

#include <getopt.h>
#include <stdlib.h>
#include <string.h>

static const char *const kind_names[LOAD_KIND_COUNT]
    = { "lookup", "order", "long" };
static const char *const outcome_names[LOAD_OUTCOME_COUNT]
    = { "good", "late", "not_run", "refused", "unknown", "error", "no_key" };

static int
parse_ramp (struct load_options *options, const char *text)
{
  while (options->ramp_count < LOAD_RAMP_MAX)
    {
      struct load_step *step = &options->ramp[options->ramp_count];
      int used = 0;

      if (sscanf (text, "%lf:%lf%n", &step->at_s, &step->rate, &used) != 2)
        return 0;
      options->ramp_count++;
      if (text[used] == 0)
        return 1;
      text += used + 1;
    }
  return 0;
}

/* Parses the options; returns 0 if one is invalid. */
int
load_parse (struct load_options *options, int argc, char **argv)
{
  static const struct option names[] = {
    { "port", 1, NULL, 'p' },           { "rate", 1, NULL, 'r' },
    { "ramp", 1, NULL, 'R' },           { "seconds", 1, NULL, 's' },
    { "warmup-s", 1, NULL, 'w' },       { "lookup-service", 1, NULL, 'l' },
    { "order-service", 1, NULL, 'o' },  { "long-service", 1, NULL, 'g' },
    { "order-share", 1, NULL, 'O' },    { "long-share", 1, NULL, 'G' },
    { "work-ms", 1, NULL, 'm' },        { "long-ms", 1, NULL, 'M' },
    { "timeout-ms", 1, NULL, 't' },     { "retries", 1, NULL, 'n' },
    { "retry-delay-ms", 1, NULL, 'd' }, { "hard", 0, NULL, 'h' },
    { "direct", 0, NULL, 'D' },         { "seed", 1, NULL, 'S' },
    { "records", 1, NULL, 'F' },        { "json", 1, NULL, 'j' },
    { "series-ms", 1, NULL, 'e' },      { NULL, 0, NULL, 0 },
  };
  int option;

  while ((option = getopt_long (argc, argv, "", names, NULL)) != -1)
    switch (option)
      {
      case 'p':
        if (options->port_count < LOAD_PORTS_MAX)
          options->ports[options->port_count++] = (uint16_t)atoi (optarg);
        break;
      case 'r':
        options->ramp[0].rate = atof (optarg);
        options->ramp_count = 1;
        break;
      case 'R':
        options->ramp_count = 0;
        if (!parse_ramp (options, optarg))
          return 0;
        break;
      case 's':
        options->seconds = atof (optarg);
        break;
      case 'w':
        options->warmup_s = atof (optarg);
        break;
      case 'l':
        options->service[LOAD_LOOKUP] = optarg;
        break;
      case 'o':
        options->service[LOAD_ORDER] = optarg;
        break;
      case 'g':
        options->service[LOAD_LONG] = optarg;
        break;
      case 'O':
        options->order_share = atof (optarg);
        break;
      case 'G':
        options->long_share = atof (optarg);
        break;
      case 'm':
        options->work_ms = optarg;
        break;
      case 'M':
        options->long_ms = optarg;
        break;
      case 't':
        options->timeout_ms = (uint32_t)atoi (optarg);
        break;
      case 'n':
        options->retries = (uint32_t)atoi (optarg);
        break;
      case 'd':
        options->retry_delay_ms = (uint32_t)atoi (optarg);
        break;
      case 'h':
        options->ignore_advice = 1;
        break;
      case 'D':
        options->direct = 1;
        break;
      case 'S':
        options->seed = strtoull (optarg, NULL, 10);
        break;
      case 'F':
        options->records = optarg;
        break;
      case 'j':
        options->json = optarg;
        break;
      case 'e':
        options->series_ms = (uint32_t)atoi (optarg);
        break;
      default:
        return 0;
      }
  return options->port_count > 0 && optind == argc;
}

/* Returns the rate at a time, interpolated between the steps of the ramp. */
double
load_rate (const struct load_options *options, double at_s)
{
  const struct load_step *ramp = options->ramp;
  uint32_t i = 0;

  while (i + 1 < options->ramp_count && ramp[i + 1].at_s <= at_s)
    i++;
  if (i + 1 == options->ramp_count || at_s <= ramp[i].at_s)
    return ramp[i].rate;
  return ramp[i].rate
         + (ramp[i + 1].rate - ramp[i].rate) * (at_s - ramp[i].at_s)
               / (ramp[i + 1].at_s - ramp[i].at_s);
}

/* Allocates the time series. */
int
load_result_init (struct load_result *result,
                  const struct load_options *options)
{
  memset (result, 0, sizeof *result);
  result->series_count
      = (uint32_t)(options->seconds * 1000 / options->series_ms) + 1;
  result->series_sent
      = calloc (result->series_count, sizeof *result->series_sent);
  result->series_good
      = calloc (result->series_count, sizeof *result->series_good);
  return result->series_sent != NULL && result->series_good != NULL;
}

/* Records the latency of a good answer. */
void
load_result_latency (struct load_result *result,
                     enum load_kind kind,
                     uint32_t latency_us)
{
  if (result->latency_count[kind] == result->latency_capacity[kind])
    {
      result->latency_capacity[kind]
          = 2 * result->latency_capacity[kind] + 4096;
      result->latency_us[kind]
          = realloc (result->latency_us[kind],
                     result->latency_capacity[kind] * sizeof (uint32_t));
    }
  result->latency_us[kind][result->latency_count[kind]++] = latency_us;
}

static int
compare_u32 (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;

  return x < y ? -1 : x > y;
}

/* Returns a latency quantile of the good answers in microseconds. */
uint32_t
load_percentile (struct load_result *result, enum load_kind kind, double share)
{
  uint32_t count = result->latency_count[kind];

  if (count == 0)
    return 0;
  qsort (result->latency_us[kind], count, sizeof (uint32_t), compare_u32);
  return result->latency_us[kind][(uint32_t)(share * (count - 1))];
}

static void
print_table (struct load_result *result)
{
  printf ("%-7s %8s", "kind", "sent");
  for (int outcome = 0; outcome < LOAD_OUTCOME_COUNT; outcome++)
    printf (" %8s", outcome_names[outcome]);
  printf (" %9s %9s\n", "p50_ms", "p99_ms");
  for (int kind = 0; kind < LOAD_KIND_COUNT; kind++)
    {
      if (result->sent[kind] == 0)
        continue;
      printf ("%-7s %8llu", kind_names[kind],
              (unsigned long long)result->sent[kind]);
      for (int outcome = 0; outcome < LOAD_OUTCOME_COUNT; outcome++)
        printf (" %8llu", (unsigned long long)result->outcomes[kind][outcome]);
      printf (" %9.3f %9.3f\n",
              load_percentile (result, (enum load_kind)kind, 0.50) / 1e3,
              load_percentile (result, (enum load_kind)kind, 0.99) / 1e3);
    }
}

static void
print_statuses (const struct load_result *result)
{
  printf ("statuses");
  for (int status = 0; status < 600; status++)
    if (result->status_count[status] > 0)
      printf (" %d:%llu", status,
              (unsigned long long)result->status_count[status]);
  printf (" sends:%llu\n", (unsigned long long)result->sends);
}

static void
print_json (struct load_result *result, const struct load_options *options)
{
  FILE *out = fopen (options->json, "w");

  if (out == NULL)
    return;
  for (int kind = 0; kind < LOAD_KIND_COUNT; kind++)
    {
      fprintf (out, "{\"kind\":\"%s\",\"sent\":%llu", kind_names[kind],
               (unsigned long long)result->sent[kind]);
      for (int outcome = 0; outcome < LOAD_OUTCOME_COUNT; outcome++)
        fprintf (out, ",\"%s\":%llu", outcome_names[outcome],
                 (unsigned long long)result->outcomes[kind][outcome]);
      fprintf (out, ",\"p50_us\":%u,\"p99_us\":%u}\n",
               load_percentile (result, (enum load_kind)kind, 0.50),
               load_percentile (result, (enum load_kind)kind, 0.99));
    }
  fprintf (out, "{\"series_ms\":%u,\"sent\":[", options->series_ms);
  for (uint32_t i = 0; i < result->series_count; i++)
    fprintf (out, "%s%u", i > 0 ? "," : "", result->series_sent[i]);
  fprintf (out, "],\"good\":[");
  for (uint32_t i = 0; i < result->series_count; i++)
    fprintf (out, "%s%u", i > 0 ? "," : "", result->series_good[i]);
  fprintf (out, "]}\n");
  fclose (out);
}

/* Prints the table; also writes JSON lines to a file if options name one. */
void
load_print (struct load_result *result, const struct load_options *options)
{
  print_table (result);
  print_statuses (result);
  if (options->json != NULL)
    print_json (result, options);
}

/* Maps Eel-Outcome of a reply other than 200; NULL when it is missing. */
enum load_outcome
load_outcome_of (const char *outcome)
{
  if (outcome == NULL)
    return LOAD_ERROR;
  if (strcmp (outcome, "not-run") == 0)
    return LOAD_NOT_RUN;
  if (strcmp (outcome, "refused") == 0)
    return LOAD_REFUSED;
  return strcmp (outcome, "unknown") == 0 ? LOAD_UNKNOWN : LOAD_ERROR;
}

/* Draws the kind of a request by the configured shares. */
enum load_kind
load_random_kind (const struct load_options *options, struct eel_rng *rng)
{
  double unit = eel_rng_unit (rng);

  if (unit < options->order_share)
    return LOAD_ORDER;
  return unit < options->order_share + options->long_share ? LOAD_LONG
                                                           : LOAD_LOOKUP;
}
