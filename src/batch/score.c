/*
 * The reward of an item whose text is whole: asked for until it comes, or until
 * its route's attempts have failed.
 */
#include <stdlib.h>
#include <string.h>

#include "batch.h"

static void
score_done(struct kwb_forward *forward)
{
	struct item_run *run = forward->context;
	const struct kwb_route_entry *route;
	struct kwb_upstream_answer answer = {0};

	if (forward->outcome == KWB_FORWARD_ANSWERED)
		run_env(run)->forward->dialect->read_answer(
		    &forward->answer, &answer);
	if (answer.status / 100 == 2 && answer.receipt != NULL) {
		run->receipt = strdup(answer.receipt);
		run_ready(run, KWB_ITEM_COMPLETED, "scored");
		return;
	}
	route = kwb_node_config_find_route(*run_env(run)->config,
	    run->item->score_host, run->item->score_target);
	if (answer.status == 500)
		run->score_errors++;
	if (route != NULL && run->score_errors >= route->max_attempts) {
		run_ready(run, KWB_ITEM_ERRORED, "score_failed_too_often");
		return;
	}
	run->retry_ns = kwb_clock_now_ns() + KWB_ITEM_RETRY_NS;
	kwb_batches_kick(run->batch->batches);
}

/* Time that the trainer has left for this step. */
static uint64_t
due_in_ns(const struct item_run *run)
{
	const struct kwb_batch_env *env = run_env(run);
	const struct kwb_batch_head *head = &run->batch->head;
	const struct kwb_route_entry *route = kwb_node_config_find_route(
	    *env->config, head->host, run->item->target);
	uint64_t now_ms = kwb_store_now_ms(env->store);
	uint64_t due_ms =
	    head->accepted_ms + (route != NULL ? route->run_deadline_ms : 0);

	return due_ms > now_ms ? (due_ms - now_ms) * KWB_MS_NS : 0;
}

/* Whether callers would miss the place that this reward takes. */
static bool
score_waits(const struct item_run *run, const char *service)
{
	const struct kwb_batch_env *env = run_env(run);
	uint64_t now_ns = kwb_clock_now_ns();
	struct kwb_pick_criteria pick = {
	    .service = service,
	    .failure_domain = env->forward->failure_domain,
	    .needs_free_slot = true,
	    .spare_divisor = KWB_REWARD_SPARE_PART,
	    .now_ns = now_ns,
	    .random = (uint64_t)random(),
	};
	struct kwb_reward_input input = {
	    .waited_ns = now_ns - run->whole_ns, .left_ns = due_in_ns(run)};

	input.has_place =
	    kwb_upstream_pick(env->forward->registry, &pick) != NULL;
	return !kwb_reward_goes(&input);
}

/* Asks for the reward; retried by the pump when it does not come. */
void
run_score(struct item_run *run)
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
	if (run->score_open)
		kwb_forward_finish(score);
	run->score_open = false;
	route = kwb_node_config_find_route(
	    *env->config, item->score_host, item->score_target);
	run->retry_ns = now_ns + KWB_ITEM_RETRY_NS;
	if (route == NULL) {
		run_log(run, "score_waits", "no_route");
		if (run_is_past_ttl(run))
			run_ready(run, KWB_ITEM_ERRORED, "item_ttl");
		return;
	}
	service = kwb_route_entry_pick_service(route, (uint64_t)random());
	if (score_waits(run, service)) {
		run->retry_ns = now_ns; /* looked at as soon as one ends */
		return;
	}
	run->retry_ns = UINT64_MAX;
	memset(score, 0, sizeof(*score));
	score->on_done = score_done;
	score->context = run;
	score->env = env->forward;
	score->request = (struct kwb_upstream_request){.method = "POST",
	    .target = item->score_target,
	    .host = item->score_host,
	    .id = item->score_id,
	    .body = item->score_body,
	    .body_bytes = item->score_body_bytes,
	    .priority = -1};
	kwb_text_copy(score->service, sizeof(score->service), service);
	score->idempotent = true;
	score->returns_errors = true;
	score->max_attempts = route->max_attempts;
	score->deadline_ns = now_ns +
	    (route->timeout_ms ? route->timeout_ms : KWB_SCORE_TIMEOUT_MS) *
		KWB_MS_NS;
	score->request.deadline_ns = score->deadline_ns;
	score->hedge_ns = now_ns + route->target_latency_ms * KWB_MS_NS;
	run->score_open = true;
	kwb_forward_start(score);
}
