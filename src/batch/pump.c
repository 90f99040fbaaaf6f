/*
 * Places for items: which item starts next, where, and which running item goes
 * on elsewhere. Answers batches that come faster than the longest item takes,
 * on homes that change their weights in turn.
 */
#include <stdlib.h>
#include <string.h>

#include "batch.h"

/* Cheapest free place for an item, but for where it runs now. */
static struct kwb_upstream *
run_pick(const struct item_run *run, const char *service)
{
	const struct kwb_batch *batch = run->batch;
	const struct kwb_upstream *here = run->upstream;
	struct kwb_pick_criteria pick = {
	    .service = service,
	    .failure_domain = run_env(run)->forward->failure_domain,
	    .model = batch->spec.model,
	    .min_version = batch->spec.min_version,
	    .affinity_id = batch->groups[run->group].upstream_id,
	    .exclude = &here,
	    .exclude_count = here != NULL,
	    .needs_free_slot = true,
	    .now_ns = kwb_clock_now_ns(),
	    .random = (uint64_t)random(),
	};

	if (pick.affinity_id[0] == '\0')
		pick.affinity_id = NULL;
	return kwb_upstream_pick(run_env(run)->forward->registry, &pick);
}

static struct kwb_silence_input
silence_of(const struct item_run *run, uint64_t now_ns)
{
	return (struct kwb_silence_input){.since_ns = now_ns -
		(run->event_ns ? run->event_ns : run->begin_ns),
	    .pace_ns = run->upstream->pace_ns,
	    .has_begun = run->event_ns != 0,
	    .is_loading = kwb_upstream_is_loading(
		run->upstream, run->batch->spec.model, now_ns)};
}

/* Why a running item goes on at that place, NULL to stay. */
static const char *
move_reason(const struct item_run *run, const struct kwb_upstream *place,
    uint64_t now_ns)
{
	struct kwb_move_input input = {.pace_ns = run->upstream->pace_ns,
	    .moves = run->moves,
	    .since_ns = now_ns - run->begin_ns};

	if (now_ns - place->pace_updated_ns < KWB_PACE_TTL_NS)
		input.best_pace_ns = place->pace_ns;
	else
		input.best_pace_ns =
		    kwb_registry_median_pace(run_env(run)->forward->registry,
			place->status.service, now_ns);
	if (kwb_upstream_is_loading(
		run->upstream, run->batch->spec.model, now_ns))
		return input.best_pace_ns != 0 ? "weights_change" : NULL;
	return kwb_move_wanted(&input) ? "slow_upstream" : NULL;
}

/* Goes on there at once, without a turn among waiting items. */
static void
move_to(struct item_run *run, struct kwb_upstream *place, const char *reason)
{
	const struct kwb_route_entry *route = kwb_node_config_find_route(
	    *run_env(run)->config, run->batch->head.host, run->item->target);

	if (route == NULL)
		return;
	run_retry(run, 0, reason);
	if (run->state == ITEM_WAITING)
		run_start(run, place, route);
}

static void
move_look(struct item_run *run)
{
	uint64_t now_ns = kwb_clock_now_ns();
	struct kwb_silence_input silence = silence_of(run, now_ns);
	struct kwb_upstream *place;
	const char *reason;
	bool queued;

	if (run_is_past_ttl(run)) {
		run_ready(run, KWB_ITEM_ERRORED, "item_ttl");
		return;
	}
	if (kwb_item_is_silent(&silence)) {
		/* While others go on there, this one waits in its queue. */
		if (now_ns - run->upstream->pace_updated_ns >=
		    KWB_EVENT_SILENCE_NS)
			kwb_upstream_record_failure(run->upstream, now_ns);
		run_retry(run, 0, "silent");
		return;
	}
	queued = kwb_item_is_queued(&silence);
	if (queued)
		run->upstream->backoff_until_ns = now_ns + KWB_QUEUED_KEEP_NS;
	else if (run->last_event == 0)
		return;
	place = run_pick(run, run->upstream->status.service);
	if (place == NULL)
		return;
	if (queued) {
		move_to(run, place, "queued");
		return;
	}
	reason = move_reason(run, place, now_ns);
	if (reason == NULL)
		return;
	run->moves += strcmp(reason, "slow_upstream") == 0;
	move_to(run, place, reason);
}

void
batch_move(struct kwb_batch *batch)
{
	uint32_t i;

	for (i = 0; batch->loaded && i < batch->spec.items_count; i++)
		if (batch->runs[i].state == ITEM_RUNNING)
			move_look(&batch->runs[i]);
}

void
run_rank(const struct item_run *run, struct kwb_item_rank *rank)
{
	rank->group_index = run->group;
	rank->wanted = !run->batch->groups[run->group].spare;
	rank->length_hint = run->item->length_hint;
	rank->made = run->last_event;
}

static int
compare_runs(const void *a, const void *b)
{
	struct kwb_item_rank left;
	struct kwb_item_rank right;

	run_rank(*(struct item_run *const *)a, &left);
	run_rank(*(struct item_run *const *)b, &right);
	return kwb_item_rank_compare(&left, &right);
}

/* Starts one waiting item; false when there is no place for it. */
static bool
pump_one(struct item_run *run)
{
	const struct kwb_batch_env *env = run_env(run);
	const struct kwb_route_entry *route = kwb_node_config_find_route(
	    *env->config, run->batch->head.host, run->item->target);
	struct kwb_upstream *upstream;
	uint64_t seed = 0;
	const char *at;

	if (route == NULL) {
		run_ready(run, KWB_ITEM_ERRORED, "route_removed");
		return true;
	}
	for (at = run->item->id; *at != '\0'; at++)
		seed = seed * 31 + (unsigned char)*at;
	upstream = run_pick(run, kwb_route_entry_pick_service(route, seed));
	if (upstream == NULL)
		return false;
	run_start(run, upstream, route);
	return true;
}

bool
batch_pump(struct kwb_batch *batch)
{
	struct item_run **waiting;
	uint64_t now_ns = kwb_clock_now_ns();
	uint32_t count = 0;
	bool left = false;
	uint32_t i;

	if (!batch->loaded || batch->closing || batch->leaving ||
	    *batch->batches->env->config == NULL)
		return false;
	waiting = calloc(batch->spec.items_count, sizeof(struct item_run *));
	if (waiting == NULL)
		return true;
	for (i = 0; i < batch->spec.items_count; i++) {
		struct item_run *run = &batch->runs[i];

		if (run->state == ITEM_SCORING && run->retry_ns <= now_ns)
			run_score(run);
		left |= run->state == ITEM_SCORING && !run->score_open;
		if (run->state != ITEM_WAITING)
			continue;
		left = true;
		if (run->retry_ns <= now_ns)
			waiting[count++] = run;
	}
	qsort(waiting, count, sizeof(struct item_run *), compare_runs);
	for (i = 0; i < count; i++)
		if (!pump_one(waiting[i]))
			break;
	free(waiting);
	return left;
}
