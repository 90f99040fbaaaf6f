/*
 * What the mover sees of all replicas at one moment: which weights they have
 * and load, and what the batches ask for. Decides nothing.
 */
#include <string.h>

#include "mover.h"

/* How old weights may be, as the trainer's newest batch says. */
static uint64_t
lag_of(const struct kwb_weight_updater *mover, const char *model)
{
	const struct kwb_batch_head *newest =
	    kwb_batches_newest(mover->batches, model);

	if (newest == NULL || newest->step <= newest->min_version)
		return newest != NULL && newest->step > 1
		    ? 0
		    : KWB_LAG_DEFAULT_VERSIONS;
	return newest->step - newest->min_version;
}

/* The newest version that an open batch asks for, 0 for none. */
static uint64_t
needed_by(const struct kwb_weight_updater *mover, const char *model)
{
	const struct kwb_batch_head *head;
	uint64_t needed = 0;
	uint32_t i;

	for (i = 0; i < mover->batches->heads_count; i++) {
		head = mover->batches->heads[i];
		if (!head->ended && !head->listed &&
		    head->min_version > needed &&
		    strcmp(head->model, model) == 0)
			needed = head->min_version;
	}
	return needed;
}

static bool
is_loading(const struct kwb_replica *home, uint64_t now_ns)
{
	return home->ordering ||
	    (home->ordered && now_ns - home->ordered_ns < KWB_WEIGHT_LOAD_NS);
}

int
mover_version_index(const struct kwb_weight_updater *mover, const char *model)
{
	uint32_t i;

	for (i = 0; i < mover->versions_count; i++)
		if (strcmp(mover->versions[i].model, model) == 0)
			return (int)i;
	return -1;
}

void
mover_look_at(const struct kwb_weight_updater *mover, struct mover_look *look)
{
	const struct kwb_replica *home;
	const struct kwb_upstream *upstream;
	struct kwb_weight_load_input *input;
	uint64_t now_ns = kwb_clock_now_ns();
	uint64_t version;
	bool loading;
	uint32_t i;
	int at;

	memset(look, 0, sizeof(*look));
	for (i = 0; i < mover->versions_count; i++) {
		look->models[i].newest = mover->versions[i].version;
		look->models[i].lag = lag_of(mover, mover->versions[i].model);
		look->models[i].needed =
		    needed_by(mover, mover->versions[i].model);
	}
	TAILQ_FOREACH (home, &mover->upstreams, entry) {
		upstream = mover_listed(mover, home->id);
		if (upstream == NULL || home->model[0] == '\0')
			continue;
		loading = is_loading(home, now_ns);
		look->upstreams++;
		look->loading += loading;
		at = mover_version_index(mover, home->model);
		if (at < 0)
			continue;
		input = &look->models[at];
		version = kwb_upstream_version(upstream, home->model);
		input->replicas++;
		input->replicas_loading += loading;
		input->replicas_newest += version >= input->newest ||
		    (loading && home->target >= input->newest);
		input->replicas_needed += version >= input->needed ||
		    (loading && home->target >= input->needed);
		input->serving +=
		    !loading && version + input->lag >= input->newest;
	}
}

uint32_t
mover_loading_max(const struct mover_look *look)
{
	uint32_t most = look->upstreams / KWB_WEIGHT_LOADS_DIVISOR;

	return most < KWB_WEIGHT_LOADS_MIN ? KWB_WEIGHT_LOADS_MIN : most;
}
