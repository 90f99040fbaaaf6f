/*
 * A generation on an agent: start, progress, end. If it is interrupted, its
 * tokens are kept here and the next start resumes after them.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../entry/entry.h"

static int generation_send(
    struct kwb_entry *entry, struct generation *generation);
static void generation_add_tokens(
    struct generation *generation, const Kwb__Wire__Progress *progress);
static void generation_interrupt(
    struct kwb_entry *entry, struct generation *generation, int error);

void
generation_init(struct generation *generation, struct inbox *inbox)
{
	memset(generation, 0, sizeof(*generation));
	generation->inbox = inbox;
	generation->avoid_peer = -1;
	generation->target.peer_index = -1;
	kwb_tokens_init(&generation->tokens);
}

void
generation_finish(struct kwb_entry *entry, struct generation *generation)
{
	generation_stop(entry, generation, false);
	kwb_tokens_finish(&generation->tokens);
}

/* Chooses an agent and starts there; on error nothing was sent. */
int
generation_start(struct kwb_entry *entry, struct generation *generation)
{
	struct kwb_route_query query = {
	    .affinity_key = generation->prompt,
	    .min_version = generation->min_version,
	    .random = entry_random(),
	    .exclude = generation->avoid_peer,
	    .priority = generation->priority > 0,
	    .policy = entry->policy,
	};
	int error;

	/* A key of its own: an agent may still run an earlier start. */
	kwb_generation_key_print(generation->key, sizeof(generation->key),
	    &entry->origin, generation->name, generation->starts_count);
	error = peers_pick(entry, &query, generation->plan, generation->model,
	    generation->key, &generation->target);
	if (error == KWB_ERR_ROUTE_NO_UPSTREAM && query.exclude >= 0) {
		query.exclude = -1;
		error = peers_pick(entry, &query, generation->plan,
		    generation->model, generation->key, &generation->target);
	}
	return error ? error : generation_send(entry, generation);
}

/*
 * Attaches to a sample that the agent on that VM already holds; the agent sends
 * its tokens again from the first.
 */
int
generation_attach(struct kwb_entry *entry, struct generation *generation,
    const char *vm, const char *key)
{
	int error = peers_reserve(entry, vm, generation->plan,
	    generation->model, &generation->target);

	if (error != 0)
		return error;
	kwb_tokens_finish(&generation->tokens);
	kwb_tokens_init(&generation->tokens);
	kwb_text_copy(generation->key, sizeof(generation->key), key);
	return generation_send(entry, generation);
}

/* Applies an event of the inbox; those of other requests are ignored. */
void
generation_handle_event(struct kwb_entry *entry, struct generation *generation,
    const struct event *event)
{
	const Kwb__Wire__Done *done;

	if (generation->state != GENERATION_RUNNING ||
	    event->request_id != generation->request_id)
		return;
	if (event->kind == EVENT_LINK_LOST) {
		generation_interrupt(entry, generation, KWB_ERR_WIRE_CLOSED);
		return;
	}
	if (event->frame->body_case == KWB__WIRE__FRAME__BODY_PROGRESS) {
		generation_add_tokens(generation, event->frame->progress);
		return;
	}
	if (event->frame->body_case != KWB__WIRE__FRAME__BODY_DONE)
		return;
	done = event->frame->done;
	if (done->outcome != KWB_OUTCOME_RAN) {
		generation_interrupt(entry, generation, done->error);
		return;
	}
	registry_close_request(&entry->registry, generation->request_id);
	peers_release(entry, &generation->target, 0);
	generation->state = GENERATION_DONE;
	generation->error = 0;
}

/*
 * Detaches from a running generation. With keep the agent goes on, for a later
 * attempt; otherwise it cancels the generation.
 */
void
generation_stop(
    struct kwb_entry *entry, struct generation *generation, bool keep)
{
	Kwb__Wire__Cancel cancel = KWB__WIRE__CANCEL__INIT;
	KWB_FRAME_DECLARE(frame, CANCEL, cancel, cancel);

	if (generation->state != GENERATION_RUNNING)
		return;
	cancel.request = generation->request_id;
	cancel.keep = keep;
	kwb_link_send(&entry->loop, generation->target.link, &frame);
	generation_interrupt(entry, generation, KWB_ERR_CALL_CANCELLED);
}

static int
generation_send(struct kwb_entry *entry, struct generation *generation)
{
	Kwb__Wire__Run run = KWB__WIRE__RUN__INIT;
	KWB_FRAME_DECLARE(frame, RUN, run, run);
	struct wire_span_list spans;
	struct target *target = &generation->target;
	int error;

	generation->request_id = registry_open_request(
	    &entry->registry, generation->inbox, target->link, generation);
	run.request = generation->request_id;
	run.key = generation->key;
	run.plan = (char *)generation->plan;
	run.lists_revision = kwb_current_lists_revision();
	run.agent_incarnation = target->incarnation;
	run.budget_ms =
	    (uint32_t)kwb_clock_remaining_ms(generation->deadline_ns);
	run.slack_ms =
	    (uint32_t)kwb_clock_remaining_ms(generation->slack_deadline_ns);
	run.priority = generation->priority;
	run.idempotent = true;
	run.model = (char *)generation->model;
	run.prompt = (char *)generation->prompt;
	run.max_tokens = generation->max_tokens;
	run.seed = generation->seed;
	run.min_version = generation->min_version;
	run.resume = generation->tokens.text;
	run.n_resume = generation->tokens.count;
	run.resume_spans = spans.pointers;
	run.n_resume_spans = wire_spans_fill(&generation->tokens, 0, &spans);
	run.slot = generation->slot;
	error = kwb_link_send(&entry->loop, target->link, &frame);
	if (error != 0) {
		registry_close_request(
		    &entry->registry, generation->request_id);
		peers_release(entry, target, error);
		return error;
	}
	if (generation->tokens.count > 0)
		kwb_metric_add(KWB_METRIC_RESUMES, 1);
	generation->starts_count++;
	generation->state = GENERATION_RUNNING;
	generation->last_token_ns = kwb_clock_now_ns();
	return 0;
}

/* Adds the new tokens; an agent may send known ones again. */
static void
generation_add_tokens(
    struct generation *generation, const Kwb__Wire__Progress *progress)
{
	size_t i, span = 0;

	generation->last_token_ns = kwb_clock_now_ns();
	if (progress->n_spans == 0 ||
	    progress->first > generation->tokens.count)
		return;
	for (i = 0; i < progress->n_tokens; i++) {
		uint32_t index = progress->first + (uint32_t)i;

		while (span + 1 < progress->n_spans &&
		    index >= progress->spans[span + 1]->first)
			span++;
		if (index < generation->tokens.count)
			continue;
		kwb_tokens_add(&generation->tokens, progress->tokens[i],
		    progress->spans[span]->version);
	}
}

/* Ends this start; the next one avoids the agent, if there is another. */
static void
generation_interrupt(
    struct kwb_entry *entry, struct generation *generation, int error)
{
	kwb_log(KWB_LOG_INFO, "call",
	    "event=broken key=%s vm=%s error=%s tokens=%u", generation->key,
	    generation->target.vm, kwb_error_name(error),
	    generation->tokens.count);
	generation->avoid_peer = generation->target.peer_index;
	generation->error = error;
	generation->state = GENERATION_PENDING;
	registry_close_request(&entry->registry, generation->request_id);
	peers_release(entry, &generation->target, error);
}
