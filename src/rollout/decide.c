/*
 * Decisions of a step: length prediction, hedging, freshness. Pure functions.
 */
#include <math.h>
#include <string.h>

#include "kwb.h"

#define UPPER_DEVIATIONS 1.645 /* one-sided 95% of a normal */
#define LEARN_MIN 32
#define COVERAGE_MIN 0.90
#define SILENT_TOKENS 40
#define SILENT_MIN_NS (500 * KWB_MS_NS)
#define WASTE_PERCENT_MAX 4
#define WASTE_FLOOR_TOKENS 256
#define COPIES_MAX 2

static bool predictor_bound(
    const struct kwb_predictor *predictor, double *bound);

void
kwb_predictor_init(struct kwb_predictor *predictor)
{
	memset(predictor, 0, sizeof(*predictor));
}

/* Scores the interval in force against the outcome, then takes it in. */
void
kwb_predictor_learn(struct kwb_predictor *predictor, uint32_t tokens)
{
	double value = log((double)tokens + 1), bound;

	if (predictor_bound(predictor, &bound) && value <= bound)
		predictor->covered++;
	predictor->log_mean += value;
	predictor->log_square += value * value;
	predictor->count++;
}

bool
kwb_predictor_upper(const struct kwb_predictor *predictor, uint32_t *tokens)
{
	double scored = (double)predictor->count - 2, bound;

	if (predictor->count < LEARN_MIN ||
	    (double)predictor->covered < COVERAGE_MIN * scored ||
	    !predictor_bound(predictor, &bound))
		return false;
	*tokens = (uint32_t)exp(bound);
	return true;
}

/*
 * A copy is made only in the tail, on idle room, of a sample whose stream has
 * fallen silent, and while little has been thrown away.
 */
bool
kwb_hedge_wanted(const struct kwb_hedge_input *input)
{
	uint64_t silent_max_ns = SILENT_TOKENS * input->token_ns;
	uint64_t waste_max =
	    input->made_tokens * WASTE_PERCENT_MAX / 100 + WASTE_FLOOR_TOKENS;

	if (input->unstarted > 0 || input->idle_units == 0)
		return false;
	if (input->copies >= COPIES_MAX || input->wasted_tokens > waste_max)
		return false;
	if (silent_max_ns < SILENT_MIN_NS)
		silent_max_ns = SILENT_MIN_NS;
	if (input->objective == KWB_OBJECTIVE_STALENESS)
		silent_max_ns *= 2;
	return input->silent_ns > silent_max_ns;
}

bool
kwb_sample_fresh(const struct kwb_sample_age *age)
{
	return age->oldest_version + age->bound_versions >=
	    age->trainer_version;
}

static bool
predictor_bound(const struct kwb_predictor *predictor, double *bound)
{
	double count = (double)predictor->count, mean, variance;

	if (predictor->count < 2)
		return false;
	mean = predictor->log_mean / count;
	variance = predictor->log_square / count - mean * mean;
	*bound = mean + UPPER_DEVIATIONS * sqrt(variance > 0 ? variance : 0);
	return true;
}
