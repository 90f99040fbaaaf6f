/*
 * Requests the reward (score) of an item whose text is complete, until it comes
 * or has failed as often as its route allows.
 */
#include <stdlib.h>
#include <string.h>

#include "batch.h"

static void
score_on_done(struct kwb_forward *forward)
{
	struct item_run *run = forward->context;
	const struct kwb_route_entry *route;
	struct kwb_upstream_answer answer = {0};

	if (forward->outcome == KWB_FORWARD_ANSWERED)
		run_env(run)->forward->codec->parse_answer(
		    &forward->answer, &answer);
	if (answer.status / 100 == 2 && answer.receipt != NULL) {
		run->receipt = strdup(answer.receipt);
		run_ready(run, KWB_ITEM_COMPLETED, "scored");
		return;
	}
	route = kwb_node_config_find_route(*run_env(run)->config,
	    run->item->score_host, run->item->score_target);
	if (answer.status == 500) {
		run->score_errors++;
		kwb_log(KWB_LOG_INFO, "item",
		    "event=score_failed id=%s batch=%s score=%s errors=%u",
		    run->item->id, run->batch->record.id, run->item->score_id,
		    run->score_errors);
	}
	if (route != NULL && run->score_errors >= route->max_attempts) {
		run_ready(run, KWB_ITEM_ERRORED, "score_failed_too_often");
		return;
	}
	run->not_before_ns = kwb_clock_now_ns() + KWB_ITEM_RETRY_NS;
	kwb_batches_dispatch(run->batch->batches);
}

/* Time until the trainer's step is due, 0 when it is over. */
static uint64_t
time_left_ns(const struct item_run *run)
{
	const struct kwb_batch_env *env = run_env(run);
	const struct kwb_batch_record *record = &run->batch->record;
	const struct kwb_route_entry *route = kwb_node_config_find_route(
	    *env->config, record->host, run->item->target);
	uint64_t now_ms = kwb_store_now_ms(env->store);
	uint64_t due_ms =
	    record->accepted_ms + (route != NULL ? route->run_deadline_ms : 0);

	return due_ms > now_ms ? (due_ms - now_ms) * KWB_MS_NS : 0;
}

/* Whether this request would take a slot that callers need. */
static bool
score_must_wait(const struct item_run *run, const char *service)
{
	const struct kwb_batch_env *env = run_env(run);
	uint64_t now_ns = kwb_clock_now_ns();
	struct kwb_pick_criteria criteria = {
	    .service = service,
	    .failure_domain = env->forward->failure_domain,
	    .needs_free_slot = true,
	    .may_probe_early = true,
	    .spare_divisor = KWB_SCORE_SPARE_DIVISOR,
	    .now_ns = now_ns,
	    .random = (uint64_t)random(),
	};
	struct kwb_score_input input = {
	    .waited_ns = now_ns - run->text_complete_ns,
	    .left_ns = time_left_ns(run)};

	input.has_spare_slot =
	    kwb_upstream_pick(env->forward->registry, &criteria) != NULL;
	return !kwb_score_can_start(&input);
}

/* Requests the reward; repeated by batch_dispatch() when it fails. */
void
run_request_score(struct item_run *run)
{
	const struct kwb_batch_env *env = run_env(run);
	const struct kwb_batch_item *item = run->item;
	const struct kwb_route_entry *route;
	const char *service;
	struct kwb_forward *score = &run->score;
	uint64_t now_ns = kwb_clock_now_ns();

	run->state = ITEM_SCORING;
	if (item->score_id == NULL) {
		run_ready(run, KWB_ITEM_COMPLETED, "not_scored");
		return;
	}
	if (run->score_active)
		kwb_forward_finish(score);
	run->score_active = false;
	route = kwb_node_config_find_route(
	    *env->config, item->score_host, item->score_target);
	run->not_before_ns = now_ns + KWB_ITEM_RETRY_NS;
	if (route == NULL) {
		run_log(run, "score_waits", "no_route");
		if (run_is_past_ttl(run))
			run_ready(run, KWB_ITEM_ERRORED, "item_ttl");
		return;
	}
	service = kwb_registry_pick_service(
	    env->forward->registry, route, (uint64_t)random());
	if (score_must_wait(run, service)) {
		run->not_before_ns = now_ns; /* at the next dispatch */
		return;
	}
	run->not_before_ns = UINT64_MAX;
	memset(score, 0, sizeof(*score));
	score->on_done = score_on_done;
	score->context = run;
	score->env = env->forward;
	score->request = (struct kwb_upstream_request){.method = "POST",
	    .target = item->score_target,
	    .host = item->score_host,
	    .id = item->score_id,
	    .body = item->score_body,
	    .body_bytes = item->score_body_bytes,
	    .priority = -1};
	score->service = strdup(service);
	score->workspace = strdup("");
	if (score->service == NULL || score->workspace == NULL) {
		free(score->service);
		free(score->workspace);
		run->not_before_ns = now_ns + KWB_ITEM_RETRY_NS;
		run_log(run, "score_waits", "out_of_memory");
		return;
	}
	score->share_workspace = run->batch->record.workspace;
	score->idempotent = true;
	score->returns_errors = true;
	score->max_attempts = route->max_attempts;
	score->deadline_ns = now_ns +
	    (route->timeout_ms ? route->timeout_ms : KWB_SCORE_TIMEOUT_MS) *
		KWB_MS_NS;
	score->request.deadline_ns = score->deadline_ns;
	score->hedge_ns = now_ns + route->target_latency_ms * KWB_MS_NS;
	score->rank =
	    kwb_room_rank(*env->config, run->batch->record.workspace, route);
	run->score_active = true;
	kwb_forward_start(score);
}
