/*
 * Which model an upstream is kept current for. Every upstream holds all
 * models, but each change of version costs a load and a pause, so a model is
 * kept current only on its replicas, as many as its share of the demand.
 * Answers a load of several trainers that each ask for a batch every few
 * seconds.
 */
#include <stdlib.h>
#include <string.h>

#include "kwb_node.h"

static double
demand_of(const struct kwb_model_demand *models, uint32_t count, uint32_t at)
{
	uint64_t sum = 0;
	uint32_t known = 0;
	uint32_t i;

	if (models[at].demand != 0)
		return (double)models[at].demand;
	for (i = 0; i < count; i++)
		if (models[i].demand != 0) {
			sum += models[i].demand;
			known++;
		}
	return known > 0 ? (double)sum / known : 1.0;
}

/*
 * Shares by demand, at least one each while there are enough: every next home
 * goes to the model with the most demand a home.
 */
static void
shares(const struct kwb_model_demand *models, uint32_t models_count,
    uint32_t upstreams_count, uint32_t *share)
{
	double best_need;
	double need;
	uint32_t best;
	uint32_t given;
	uint32_t i;

	memset(share, 0, models_count * sizeof(*share));
	for (given = 0; given < upstreams_count; given++) {
		best = models_count;
		best_need = -1;
		for (i = 0; i < models_count; i++) {
			if (models[i].replicas_max != 0 &&
			    share[i] >= models[i].replicas_max)
				continue;
			need = demand_of(models, models_count, i) /
			    (share[i] + 0.5);
			if (share[i] == 0)
				need += 1e18;
			if (need > best_need) {
				best_need = need;
				best = i;
			}
		}
		if (best == models_count)
			break; /* no model has use for another home */
		share[best]++;
	}
}

static int
model_index(
    const struct kwb_model_demand *models, uint32_t count, const char *name)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		if (strcmp(models[i].name, name) == 0)
			return (int)i;
	return -1;
}

static int
neediest(const uint32_t *share, const uint32_t *have, uint32_t count)
{
	int best = -1;
	uint32_t i;

	for (i = 0; i < count; i++)
		if (have[i] < share[i] &&
		    (best < 0 || share[i] - have[i] > share[best] - have[best]))
			best = (int)i;
	return best;
}

void
kwb_replicas_assign(struct kwb_replica_assignment *upstreams,
    uint32_t upstreams_count, const struct kwb_model_demand *models,
    uint32_t models_count)
{
	uint32_t share[KWB_MODELS_MAX];
	uint32_t have[KWB_MODELS_MAX] = {0};
	uint32_t i;
	int from;
	int to;

	if (models_count == 0 || models_count > KWB_MODELS_MAX)
		return;
	shares(models, models_count, upstreams_count, share);
	for (i = 0; i < upstreams_count; i++) {
		from = model_index(models, models_count, upstreams[i].model);
		if (from < 0)
			upstreams[i].model[0] = '\0';
		else
			have[from]++;
	}
	for (i = 0; i < upstreams_count; i++) {
		if (upstreams[i].model[0] != '\0')
			continue;
		to = neediest(share, have, models_count);
		if (to < 0)
			break;
		kwb_text_copy(
		    upstreams[i].model, KWB_NAME_MAX_BYTES, models[to].name);
		have[to]++;
	}
	/* What a model has beyond its share goes to one that lacks it, or
	 * rests. */
	for (i = 0; i < upstreams_count; i++) {
		from = model_index(models, models_count, upstreams[i].model);
		if (from < 0 || have[from] <= share[from])
			continue;
		to = neediest(share, have, models_count);
		have[from]--;
		kwb_text_copy(upstreams[i].model, KWB_NAME_MAX_BYTES,
		    to < 0 ? "" : models[to].name);
		if (to >= 0)
			have[to]++;
	}
}

/*
 * A load takes an upstream away from its model for about a second, and only
 * some can load at once. With weights that are `lag` versions old a batch is
 * still served, so most replicas are loaded while the batches before go on,
 * some at a time; the rest takes every other version, when it has to. So a
 * batch finds most replicas ready as it comes.
 */
enum kwb_weight_load_urgency
kwb_weight_load_urgency(const struct kwb_weight_load_input *input)
{
	uint32_t part = input->replicas / KWB_WEIGHT_LOAD_AHEAD_DIVISOR;
	uint32_t ahead = input->replicas * KWB_WEIGHT_LOAD_AHEAD_PERCENT / 100;

	if (input->version >= input->newest ||
	    input->loading >= input->loading_max)
		return KWB_WEIGHT_LOAD_NONE;
	if (input->version + input->lag < input->newest ||
	    (input->version < input->needed && input->replicas_needed == 0))
		return KWB_WEIGHT_LOAD_NOW;
	if (input->replicas_newest < ahead &&
	    input->replicas_loading < (part > 0 ? part : 1) &&
	    input->serving > 1)
		return KWB_WEIGHT_LOAD_AHEAD;
	return KWB_WEIGHT_LOAD_NONE;
}
