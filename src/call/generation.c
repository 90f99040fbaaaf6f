/*
 * A generation on an agent: start, progress, end. Whatever breaks it off, the
 * tokens so far stay here and the next start resumes after them.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../entry/entry.h"

static int generation_send(
    struct kwb_entry *entry, struct generation *generation);
static void generation_progress(
    struct generation *generation, const Kwb__Wire__Progress *progress);
static void generation_break(
    struct kwb_entry *entry, struct generation *generation, int error);

void
generation_init(struct generation *generation, struct inbox *inbox)
{
	memset(generation, 0, sizeof(*generation));
	generation->inbox = inbox;
	generation->avoid = -1;
	generation->target.peer = -1;
	kwb_tokens_init(&generation->tokens);
}

void
generation_finish(struct kwb_entry *entry, struct generation *generation)
{
	generation_stop(entry, generation, false);
	kwb_tokens_finish(&generation->tokens);
}

/* Routes and starts; an error means that nothing was sent. */
int
generation_start(struct kwb_entry *entry, struct generation *generation)
{
	struct kwb_route_query route = {
	    .affinity_key = generation->prompt,
	    .min_version = generation->min_version,
	    .random = entry_random(),
	    .exclude = generation->avoid,
	    .priority = generation->priority > 0,
	    .policy = entry->policy,
	};
	int error;

	/* Never the key of an earlier start: that copy went its own way. */
	kwb_key_start(generation->key, sizeof(generation->key), &entry->origin,
	    generation->name, generation->starts);
	error = peers_pick(entry, &route, generation->plan, generation->model,
	    generation->key, &generation->target);
	if (error == KWB_ERR_ROUTE_NONE && route.exclude >= 0) {
		route.exclude = -1;
		error = peers_pick(entry, &route, generation->plan,
		    generation->model, generation->key, &generation->target);
	}
	return error ? error : generation_send(entry, generation);
}

/* Attaches to what a named agent holds; it replays that from the start. */
int
generation_attach(struct kwb_entry *entry, struct generation *generation,
    const char *vm, const char *key)
{
	int error = peers_target(entry, vm, generation->plan, generation->model,
	    &generation->target);

	if (error != 0)
		return error;
	kwb_tokens_finish(&generation->tokens);
	kwb_tokens_init(&generation->tokens);
	kwb_text_copy(generation->key, sizeof(generation->key), key);
	return generation_send(entry, generation);
}

void
generation_event(struct kwb_entry *entry, struct generation *generation,
    const struct event *event)
{
	const Kwb__Wire__Done *done;

	if (generation->state != GENERATION_RUNNING ||
	    event->request != generation->request)
		return;
	if (event->kind == EVENT_LINK_LOST) {
		generation_break(entry, generation, KWB_ERR_WIRE_CLOSED);
		return;
	}
	if (event->frame->body_case == KWB__WIRE__FRAME__BODY_PROGRESS) {
		generation_progress(generation, event->frame->progress);
		return;
	}
	if (event->frame->body_case != KWB__WIRE__FRAME__BODY_DONE)
		return;
	done = event->frame->done;
	if (done->outcome != KWB_OUTCOME_RAN) {
		generation_break(entry, generation, done->error);
		return;
	}
	registry_close(&entry->registry, generation->request);
	peers_release(entry, &generation->target, 0);
	generation->state = GENERATION_DONE;
	generation->error = 0;
}

/* Ends interest; with keep the agent goes on, for a later attempt. */
void
generation_stop(
    struct kwb_entry *entry, struct generation *generation, bool keep)
{
	Kwb__Wire__Cancel cancel = KWB__WIRE__CANCEL__INIT;
	KWB_FRAME(frame, CANCEL, cancel, cancel);

	if (generation->state != GENERATION_RUNNING)
		return;
	cancel.request = generation->request;
	cancel.keep = keep;
	kwb_link_send(&entry->loop, generation->target.link, &frame);
	generation_break(entry, generation, KWB_ERR_CALL_CANCELLED);
}

static int
generation_send(struct kwb_entry *entry, struct generation *generation)
{
	Kwb__Wire__Run run = KWB__WIRE__RUN__INIT;
	KWB_FRAME(frame, RUN, run, run);
	struct wire_span_list spans;
	struct target *target = &generation->target;
	int error;

	generation->request = registry_open(
	    &entry->registry, generation->inbox, target->link, generation);
	run.request = generation->request;
	run.key = generation->key;
	run.plan = (char *)generation->plan;
	run.lists_revision = kwb_current_revision();
	run.agent_incarnation = target->incarnation;
	run.budget_ms = (uint32_t)kwb_clock_left_ms(generation->deadline_ns);
	run.slack_ms =
	    (uint32_t)kwb_clock_left_ms(generation->slack_deadline_ns);
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
	run.n_resume_spans = wire_spans(&generation->tokens, 0, &spans);
	run.slot = generation->slot;
	error = kwb_link_send(&entry->loop, target->link, &frame);
	if (error != 0) {
		registry_close(&entry->registry, generation->request);
		peers_release(entry, target, error);
		return error;
	}
	if (generation->tokens.count > 0)
		kwb_metric_add(KWB_METRIC_RESUMES, 1);
	generation->starts++;
	generation->state = GENERATION_RUNNING;
	generation->token_ns = kwb_clock_now_ns();
	return 0;
}

/* Tokens not yet known; an agent may replay from the start. */
static void
generation_progress(
    struct generation *generation, const Kwb__Wire__Progress *progress)
{
	size_t i, span = 0;

	generation->token_ns = kwb_clock_now_ns();
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

static void
generation_break(
    struct kwb_entry *entry, struct generation *generation, int error)
{
	kwb_log(KWB_LOG_INFO, "call",
	    "event=broken key=%s vm=%s error=%s tokens=%u", generation->key,
	    generation->target.vm, kwb_error_name(error),
	    generation->tokens.count);
	generation->avoid = generation->target.peer;
	generation->error = error;
	generation->state = GENERATION_PENDING;
	registry_close(&entry->registry, generation->request);
	peers_release(entry, &generation->target, error);
}
