#include "eelgrasslatch/knee.h"

#include <math.h>
#include <string.h>

#define SPAN_US (500 * EEL_US_PER_MS)
/* Time constant of the evidence, in spans. */
#define EVIDENCE_SPANS 60.0
/* Greatest weight of the evidence: new one outweighs it within seconds. */
#define WEIGHT_MAX 200.0
/* Bound of the logarithm of a run's time over the usual one. */
#define LOG_MAX 1.6
/* Levels next below a limit whose runs are compared with those above it. */
#define WINDOW_LEVELS 4
/* Lowest level of a limit. */
#define LEVEL_MIN (EEL_KNEE_LEVELS / 2)
/* Weight of the assumption that times don't change with the number of runs. */
#define PRIOR_WEIGHT 40.0
/* The same for what trials tell alone. */
#define TRIAL_PRIOR_WEIGHT 5.0
/* Logarithm of the gain from which on a limit is lowered, and of that below
 * which it is raised again. */
#define GAIN_LOWER 0.03
#define GAIN_KEEP (-0.02)
/* In the first half of one span in so many another limit is tried: a lower one
 * that may be better but isn't known to, or the full one. */
#define LOWER_SPANS 2
/* Level that is tried while many runs begin at the full limit, so that the load
 * itself tells too little. */
#define FIRST_LEVEL (EEL_KNEE_LEVELS * 27 / 32)
#define FIRST_WEIGHT 40.0
#define FULL_SPANS 4

void
eel_knee_init (struct eel_knee *knee, uint32_t full)
{
  memset (knee, 0, sizeof *knee);
  knee->full = full > 0 ? full : 1;
  knee->level = EEL_KNEE_LEVELS;
  knee->tried = EEL_KNEE_LEVELS;
}

void
eel_knee_set_full (struct eel_knee *knee, uint32_t full)
{
  if (full != knee->full)
    eel_knee_init (knee, full);
}

static uint32_t
level_of (const struct eel_knee *knee, uint32_t running)
{
  uint64_t level
      = ((uint64_t)running * EEL_KNEE_LEVELS + knee->full - 1) / knee->full;

  return level < EEL_KNEE_LEVELS ? (uint32_t)level : EEL_KNEE_LEVELS;
}

static uint32_t
level_limit (const struct eel_knee *knee, uint32_t level)
{
  uint32_t limit = (uint32_t)((uint64_t)knee->full * level / EEL_KNEE_LEVELS);

  return limit > 0 ? limit : 1;
}

static void
add_evidence (struct eel_knee_evidence *evidence,
              double weight,
              double difference)
{
  double kept = 1;

  if (evidence->weight + weight > WEIGHT_MAX)
    kept = weight < WEIGHT_MAX ? (WEIGHT_MAX - weight) / evidence->weight : 0;
  evidence->weight = kept * evidence->weight + weight;
  evidence->sum = kept * evidence->sum + weight * difference;
}

/* Compares the runs of a span above each level with those next below it. */
static void
count_span (struct eel_knee *knee, const struct eel_knee_span *span)
{
  uint32_t above = 0;
  uint32_t all = 0;
  double above_sum = 0;

  for (uint32_t level = EEL_KNEE_LEVELS - 1; level >= LEVEL_MIN; level--)
    {
      uint32_t below = 0;
      double below_sum = 0;
      double weight;

      above += span->counts[level + 1];
      above_sum += span->log_sums[level + 1];
      for (uint32_t i = 0; i < WINDOW_LEVELS; i++)
        {
          below += span->counts[level - i];
          below_sum += span->log_sums[level - i];
        }
      if (above == 0 || below == 0)
        continue;
      weight = (double)above * below / (above + below);
      add_evidence (&knee->evidence[level], weight,
                    above_sum / above - below_sum / below);
      if (span->is_trial)
        add_evidence (&knee->trials[level], weight,
                      above_sum / above - below_sum / below);
    }
  for (uint32_t level = 0; level <= EEL_KNEE_LEVELS; level++)
    all += span->counts[level];
  if (all > 0)
    knee->is_crowded = 4 * span->counts[EEL_KNEE_LEVELS] > all;
}

/* Logarithm of what a limit at the level gets done relative to the full one,
   with the weight of the assumption that times don't differ. */
static double
gain (const struct eel_knee *knee,
      const struct eel_knee_evidence *evidence,
      uint32_t level,
      double prior_weight)
{
  double weight = evidence[level].weight + prior_weight;
  double log_ratio = weight > 0 ? evidence[level].sum / weight : 0;

  return log_ratio - log ((double)knee->full / level_limit (knee, level));
}

/* Returns the level at which a step of the times explains most of how they
   differ. */
static uint32_t
find_step (const struct eel_knee *knee)
{
  uint32_t best = EEL_KNEE_LEVELS - 1;
  double best_explained = 0;

  for (uint32_t level = LEVEL_MIN; level < EEL_KNEE_LEVELS; level++)
    {
      double sum = fmax (0, knee->evidence[level].sum);
      double explained
          = sum * sum / (knee->evidence[level].weight + PRIOR_WEIGHT);

      if (explained > best_explained)
        {
          best = level;
          best_explained = explained;
        }
    }
  return best;
}

static void
choose_level (struct eel_knee *knee)
{
  uint32_t step = find_step (knee);

  knee->tried = knee->level;
  if (gain (knee, knee->evidence, step, PRIOR_WEIGHT) >= GAIN_LOWER
      && gain (knee, knee->trials, step, TRIAL_PRIOR_WEIGHT) >= 0)
    knee->level = step;
  else if (knee->level < EEL_KNEE_LEVELS
           && gain (knee, knee->evidence, knee->level, PRIOR_WEIGHT)
                  < GAIN_KEEP)
    knee->level = EEL_KNEE_LEVELS;
  else if (step < knee->level && gain (knee, knee->evidence, step, 0) > 0)
    knee->tried = step;
  else if (knee->is_crowded && knee->level > FIRST_LEVEL
           && knee->evidence[FIRST_LEVEL].weight < FIRST_WEIGHT)
    knee->tried = FIRST_LEVEL;
}

static void
decay (struct eel_knee_evidence *evidence, double kept)
{
  evidence->weight *= kept;
  evidence->sum *= kept;
}

/* Counts the spans whose runs have had time to end. */
static void
count_spans (struct eel_knee *knee, int64_t number)
{
  int64_t passed = number - EEL_KNEE_SPANS - knee->counted;
  double kept;

  if (passed <= 0)
    return;
  kept = exp (-(double)passed / EVIDENCE_SPANS);
  for (uint32_t level = 0; level < EEL_KNEE_LEVELS; level++)
    {
      decay (&knee->evidence[level], kept);
      decay (&knee->trials[level], kept);
    }
  for (uint32_t i = 0; i < EEL_KNEE_SPANS; i++)
    if (knee->spans[i].number <= number - EEL_KNEE_SPANS)
      {
        count_span (knee, &knee->spans[i]);
        memset (&knee->spans[i], 0, sizeof knee->spans[i]);
      }
  knee->counted = number - EEL_KNEE_SPANS;
  choose_level (knee);
}

void
eel_knee_record (struct eel_knee *knee,
                 uint32_t running,
                 int64_t started_us,
                 double ratio,
                 int64_t now_us)
{
  int64_t number = started_us / SPAN_US;
  struct eel_knee_span *span = &knee->spans[number % EEL_KNEE_SPANS];
  uint32_t level = level_of (knee, running);

  count_spans (knee, now_us / SPAN_US);
  if (number <= knee->counted || ratio <= 0)
    return;
  span->number = number;
  span->counts[level]++;
  span->log_sums[level] += (float)fmin (fmax (log (ratio), -LOG_MAX), LOG_MAX);
}

uint32_t
eel_knee_limit (const struct eel_knee *knee)
{
  return level_limit (knee, knee->level);
}

uint32_t
eel_knee_start_limit (struct eel_knee *knee, int64_t now_us)
{
  int64_t number = now_us / SPAN_US;
  struct eel_knee_span *span = &knee->spans[number % EEL_KNEE_SPANS];
  uint32_t level = knee->level;

  count_spans (knee, number);
  if (now_us % SPAN_US >= SPAN_US / 2)
    return level_limit (knee, level);
  if (number % LOWER_SPANS == 0)
    level = knee->tried;
  else if (number % FULL_SPANS == 1)
    level = EEL_KNEE_LEVELS;
  if (level != knee->level)
    {
      span->number = number;
      span->is_trial = 1;
    }
  return level_limit (knee, level);
}
