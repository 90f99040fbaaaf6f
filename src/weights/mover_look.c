/*
 * A snapshot for the weight updater: which versions all replicas have or load,
 * and which versions the batches accept.
 */
#include <stdlib.h>
#include <string.h>

#include "mover.h"

/* Versions that weights may be behind, by the trainer's newest batch. */
static uint64_t
allowed_lag(const struct kwb_weight_updater *updater, const char *model)
{
	const struct kwb_batch_record *newest =
	    kwb_batches_newest_record(updater->batches, model);

	if (newest == NULL || newest->step <= newest->min_version)
		return newest != NULL && newest->step > 1
		    ? 0
		    : KWB_LAG_DEFAULT_VERSIONS;
	return newest->step - newest->min_version;
}

/* The highest min_version of the model's open batches, 0 for none. */
static uint64_t
needed_version(const struct kwb_weight_updater *updater, const char *model)
{
	const struct kwb_batch_record *head;
	uint64_t needed = 0;
	uint32_t i;

	for (i = 0; i < updater->batches->records_count; i++) {
		head = updater->batches->records[i];
		if (!head->ended && !head->listed &&
		    head->min_version > needed &&
		    strcmp(head->model, model) == 0)
			needed = head->min_version;
	}
	return needed;
}

static bool
is_loading(const struct kwb_replica *replica, uint64_t now_ns)
{
	return replica->order_pending ||
	    (replica->load_pending &&
		now_ns - replica->order_accepted_ns < KWB_WEIGHT_LOAD_NS);
}

int
updater_model_index(const struct kwb_weight_updater *updater, const char *model)
{
	uint32_t i;

	for (i = 0; i < updater->versions_count; i++)
		if (strcmp(updater->versions[i].model, model) == 0)
			return (int)i;
	return -1;
}

int
updater_snapshot_take(
    const struct kwb_weight_updater *updater, struct updater_snapshot *snapshot)
{
	const struct kwb_replica *replica;
	const struct kwb_upstream *upstream;
	struct kwb_weight_load_input *input;
	uint64_t now_ns = kwb_clock_now_ns();
	uint64_t version;
	bool loading;
	uint32_t i;
	int index;

	memset(snapshot, 0, sizeof(*snapshot));
	snapshot->models =
	    calloc(updater->versions_count + 1, sizeof(*snapshot->models));
	if (snapshot->models == NULL)
		return KWB_ERR_MEMORY;
	for (i = 0; i < updater->versions_count; i++) {
		snapshot->models[i].newest = updater->versions[i].version;
		snapshot->models[i].lag =
		    allowed_lag(updater, updater->versions[i].model);
		snapshot->models[i].needed =
		    needed_version(updater, updater->versions[i].model);
	}
	TAILQ_FOREACH (replica, &updater->replicas, entry) {
		upstream = updater_find_listed(updater, replica->id);
		if (upstream == NULL || replica->model[0] == '\0')
			continue;
		loading = is_loading(replica, now_ns);
		snapshot->loading += loading;
		if (!kwb_upstream_takes_requests(upstream))
			continue;
		snapshot->upstreams++;
		index = updater_model_index(updater, replica->model);
		if (index < 0)
			continue;
		input = &snapshot->models[index];
		version = kwb_upstream_version(upstream, replica->model);
		input->replicas++;
		input->replicas_loading += loading;
		input->replicas_newest += version >= input->newest ||
		    (loading && replica->target_version >= input->newest);
		input->replicas_needed += version >= input->needed ||
		    (loading && replica->target_version >= input->needed);
		input->serving +=
		    !loading && version + input->lag >= input->newest;
	}
	return 0;
}

uint32_t
updater_loads_max(const struct updater_snapshot *snapshot)
{
	uint32_t loads_max = snapshot->upstreams / KWB_WEIGHT_LOADS_DIVISOR;

	return loads_max < KWB_WEIGHT_LOADS_MIN ? KWB_WEIGHT_LOADS_MIN
						: loads_max;
}
