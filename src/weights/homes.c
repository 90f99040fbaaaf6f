/*
 * Assignment of models to upstreams, and when a replica loads new weights.
 * Every upstream holds all models, but each new version costs a load and a
 * pause. So a model is kept current only on its replicas, the upstreams that
 * are assigned to it, in proportion to its demand. Meant for several trainers
 * that each submit a batch every few seconds.
 */
#include <stdlib.h>
#include <string.h>

#include "kwb_node.h"

/* The model's demand, or the mean of the known ones when it is unknown. */
static double
model_demand(
    const struct kwb_model_demand *models, uint32_t count, uint32_t index)
{
	uint64_t sum = 0;
	uint32_t known = 0;
	uint32_t i;

	if (models[index].demand_tokens != 0)
		return (double)models[index].demand_tokens;
	for (i = 0; i < count; i++)
		if (models[i].demand_tokens != 0) {
			sum += models[i].demand_tokens;
			known++;
		}
	return known > 0 ? (double)sum / known : 1.0;
}

/*
 * Divides the upstreams among the models: each next replica goes to the model
 * with the highest demand per replica, but first every model gets one.
 */
static void
divide_upstreams(const struct kwb_model_demand *models, uint32_t models_count,
    uint32_t upstreams_count, uint32_t *share)
{
	double best_per_replica;
	double per_replica;
	uint32_t best;
	uint32_t assigned;
	uint32_t i;

	memset(share, 0, models_count * sizeof(*share));
	for (assigned = 0; assigned < upstreams_count; assigned++) {
		best = models_count;
		best_per_replica = -1;
		for (i = 0; i < models_count; i++) {
			if (models[i].replicas_max != 0 &&
			    share[i] >= models[i].replicas_max)
				continue;
			per_replica = model_demand(models, models_count, i) /
			    (share[i] + 0.5);
			if (share[i] == 0)
				per_replica += 1e18;
			if (per_replica > best_per_replica) {
				best_per_replica = per_replica;
				best = i;
			}
		}
		if (best == models_count)
			break; /* every model has its maximum */
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

/* The model that lacks the most replicas, -1 when none lacks any. */
static int
most_lacking(const uint32_t *share, const uint32_t *have, uint32_t count)
{
	int best = -1;
	uint32_t i;

	for (i = 0; i < count; i++)
		if (have[i] < share[i] &&
		    (best < 0 || share[i] - have[i] > share[best] - have[best]))
			best = (int)i;
	return best;
}

/* share and have: replicas of each model, wanted and there; have is zeroed. */
static void
assign_by_share(struct kwb_replica_assignment *upstreams,
    uint32_t upstreams_count, const struct kwb_model_demand *models,
    uint32_t models_count, const uint32_t *share, uint32_t *have)
{
	uint32_t i;
	int from;
	int to;

	for (i = 0; i < upstreams_count; i++) {
		if (upstreams[i].model == NULL)
			upstreams[i].model = "";
		from = model_index(models, models_count, upstreams[i].model);
		if (from < 0)
			upstreams[i].model = "";
		else
			have[from]++;
	}
	for (i = 0; i < upstreams_count; i++) {
		if (upstreams[i].model[0] != '\0')
			continue;
		to = most_lacking(share, have, models_count);
		if (to < 0)
			break;
		upstreams[i].model = models[to].name;
		have[to]++;
	}
	/* Replicas beyond a model's share go to a model that lacks some, or
	 * become unassigned. */
	for (i = 0; i < upstreams_count; i++) {
		from = model_index(models, models_count, upstreams[i].model);
		if (from < 0 || have[from] <= share[from])
			continue;
		to = most_lacking(share, have, models_count);
		have[from]--;
		upstreams[i].model = to < 0 ? "" : models[to].name;
		if (to >= 0)
			have[to]++;
	}
}

int
kwb_replicas_assign(struct kwb_replica_assignment *upstreams,
    uint32_t upstreams_count, const struct kwb_model_demand *models,
    uint32_t models_count)
{
	uint32_t *share = calloc(models_count + 1, sizeof(*share));
	uint32_t *have = calloc(models_count + 1, sizeof(*have));
	int code = KWB_ERR_MEMORY;

	if (share != NULL && have != NULL) {
		divide_upstreams(models, models_count, upstreams_count, share);
		assign_by_share(upstreams, upstreams_count, models,
		    models_count, share, have);
		code = 0;
	}
	free(share);
	free(have);
	return code;
}

/*
 * A load keeps a replica from serving for about a second, and only some can
 * load at once. A batch accepts weights up to `lag` versions old. So most
 * replicas load ahead, a few at a time, while earlier batches still run. The
 * rest load only when their weights become too old, which skips every other
 * version. So a new batch finds most replicas ready.
 */
enum kwb_weight_load_urgency
kwb_weight_load_urgency(const struct kwb_weight_load_input *input)
{
	uint32_t ahead_at_once =
	    input->replicas / KWB_WEIGHT_LOAD_AHEAD_DIVISOR;
	uint32_t ahead_total =
	    input->replicas * KWB_WEIGHT_LOAD_AHEAD_PERCENT / 100;

	if (input->version >= input->newest ||
	    input->loading >= input->loading_max)
		return KWB_WEIGHT_LOAD_NONE;
	if (input->version + input->lag < input->newest ||
	    (input->version < input->needed && input->replicas_needed == 0))
		return KWB_WEIGHT_LOAD_NOW;
	if (input->replicas_newest < ahead_total &&
	    input->replicas_loading < (ahead_at_once > 0 ? ahead_at_once : 1) &&
	    input->serving > 1)
		return KWB_WEIGHT_LOAD_AHEAD;
	return KWB_WEIGHT_LOAD_NONE;
}
