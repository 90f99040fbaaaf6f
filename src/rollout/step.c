/*
 * Serves a trainer's step: attaches to samples that agents hold from an earlier
 * attempt, starts the others, and streams each complete sample once, as a line
 * of JSON. The entry stores nothing: the trainer's request says which samples
 * it has.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <civetweb.h>
#include <jansson.h>
#include <xxhash.h>

#include "step.h"

#define SCAN_NS (20 * KWB_MS_NS) /* longest wait for an event */
#define HEDGE_SCAN_NS (100 * KWB_MS_NS)
/* With the staleness objective, for the trainer's own version. */
#define VERSION_WAIT_NS (17000 * KWB_MS_NS)

static void step_loop(struct step *step);
static void samples_start(struct step *step);
static uint64_t lowest_version(const struct step *step);
static void step_handle_event(struct step *step, const struct event *event);
static void sample_deliver_or_retry(struct step *step, struct sample *sample);
static bool sample_is_acceptable(
    struct step *step, const struct sample *sample);
static void sample_write(struct step *step, struct sample *sample);
static void samples_hedge(struct step *step);
static void sample_move(struct step *step, struct sample *sample);
static void step_write_end(struct step *step);
static void step_free(struct step *step);
static void chunk_send(
    struct step *step, const char *text, size_t length_bytes);
static bool step_is_over(struct step *step);

/* Serves one pull until its stream ends; 0, or the error of a bad request. */
int
step_serve(struct kwb_entry *entry, struct mg_connection *connection,
    const char *plan, uint64_t number, const char *body)
{
	struct step *step = calloc(1, sizeof(*step));
	const char *fault = NULL;
	int error;

	if (step == NULL)
		return KWB_ERR_MEMORY;
	step->entry = entry;
	step->connection = connection;
	step->number = number;
	step->start_ns = kwb_clock_now_ns();
	step->deadline_ns = step->start_ns + KWB_STEP_TIMEOUT_MS * KWB_MS_NS;
	inbox_init(&step->inbox);
	error = step_parse(step, plan, body, &fault);
	if (error != 0) {
		http_refuse(connection, 400, KWB_OUTCOME_NOT_RUN, error,
		    fault ? fault : "");
		step_free(step);
		return error;
	}
	atomic_fetch_add(&entry->active_pulls, 1);
	mg_send_http_ok(connection, "application/x-ndjson", -1);
	if (step->attempt > 1)
		step_find_held(step);
	step_loop(step);
	step_write_end(step);
	atomic_fetch_sub(&entry->active_pulls, 1);
	step_free(step);
	return 0;
}

/* Attaches to held samples; starts, receives and hedges samples until the end.
 */
static void
step_loop(struct step *step)
{
	uint64_t next_hedge_ns = 0;
	struct event *event;
	uint32_t i;

	for (i = 0; i < step->samples_count; i++) {
		struct sample *sample = &step->samples[i];

		if (sample->delivered || !sample->is_held)
			continue;
		sample->is_held = false;
		generation_attach(step->entry, &sample->generation,
		    sample->held_vm, sample->held_key);
	}
	step->may_start = true;
	while (!step_is_over(step)) {
		samples_start(step);
		event = inbox_wait(&step->inbox, kwb_clock_now_ns() + SCAN_NS);
		step->may_start = event == NULL;
		for (; event != NULL; event = inbox_wait(&step->inbox, 0)) {
			step_handle_event(step, event);
			inbox_event_free(event);
		}
		if (kwb_clock_now_ns() < next_hedge_ns)
			continue;
		next_hedge_ns = kwb_clock_now_ns() + HEDGE_SCAN_NS;
		samples_hedge(step);
	}
}

static bool
step_is_over(struct step *step)
{
	return step->remaining == 0 || step->client_gone || step->superseded ||
	    kwb_clock_now_ns() >= step->deadline_ns ||
	    atomic_load(&step->entry->stopping) ||
	    (atomic_load(&step->entry->draining) && step->delivered_count > 0);
}

/*
 * Starts pending samples until the agents are full. Samples to resume come
 * first, as the tail that the step waits for; then in the order of the request,
 * so that a group shares the cache of its prompt.
 */
static void
samples_start(struct step *step)
{
	uint64_t version = lowest_version(step);
	uint32_t i;
	int pass, error;

	if (!step->may_start)
		return;
	for (pass = 0; pass < 2; pass++) {
		for (i = 0; i < step->samples_count; i++) {
			struct sample *sample = &step->samples[i];
			bool resumed = sample->generation.tokens.count > 0;

			if (sample->delivered ||
			    sample->generation.state != GENERATION_PENDING ||
			    resumed != (pass == 0))
				continue;
			sample->generation.min_version = version;
			error =
			    generation_start(step->entry, &sample->generation);
			if (error == KWB_ERR_ROUTE_FULL ||
			    error == KWB_ERR_ROUTE_NO_UPSTREAM)
				return;
		}
	}
}

/*
 * The oldest weights that a sample may start on, so that it is within the bound
 * when it is delivered. The staleness objective first waits for the trainer's
 * own version.
 */
static uint64_t
lowest_version(const struct step *step)
{
	uint64_t newest = step->trainer_version;
	uint32_t bound = step->bound_versions;

	if (step->plan.objective == KWB_OBJECTIVE_STALENESS &&
	    kwb_clock_now_ns() < step->start_ns + VERSION_WAIT_NS)
		return newest;
	return newest > bound ? newest - bound : 0;
}

static void
step_handle_event(struct step *step, const struct event *event)
{
	struct generation *generation = event->owner;
	struct sample *sample;
	uint32_t before;
	uint64_t before_ns, mean_ns;

	if (generation == NULL)
		return;
	sample = (struct sample *)((char *)generation -
	    offsetof(struct sample, generation));
	before = generation->tokens.count;
	before_ns = generation->last_token_ns;
	generation_handle_event(step->entry, generation, event);
	if (generation->tokens.count > before + 1) {
		mean_ns = (generation->last_token_ns - before_ns) /
		    (generation->tokens.count - before);
		step->token_ns = step->token_ns
		    ? (step->token_ns * 15 + mean_ns) / 16
		    : mean_ns;
	}
	if (generation->tokens.count > before)
		step->generated_tokens += generation->tokens.count - before;
	if (generation->state == GENERATION_DONE && !sample->delivered)
		sample_deliver_or_retry(step, sample);
	if (generation->state != GENERATION_RUNNING)
		step->may_start = true;
	if (generation->error == KWB_ERR_CALL_FENCED)
		step->superseded = true;
	if (generation->state == GENERATION_PENDING &&
	    !step->plan.mixed_versions) {
		/* Starts over: resumed, it could mix versions. */
		step->wasted_tokens += generation->tokens.count;
		kwb_tokens_finish(&generation->tokens);
		kwb_tokens_init(&generation->tokens);
	}
}

/* Delivers a finished sample, or starts it over when it is too old. */
static void
sample_deliver_or_retry(struct step *step, struct sample *sample)
{
	struct generation *generation = &sample->generation;

	if (sample_is_acceptable(step, sample)) {
		sample_write(step, sample);
		return;
	}
	step->stale_count++;
	step->wasted_tokens += generation->tokens.count;
	kwb_metric_add(KWB_METRIC_SAMPLES_STALE, 1);
	kwb_metric_add(KWB_METRIC_TOKENS_WASTED, generation->tokens.count);
	kwb_log(KWB_LOG_INFO, "rollout",
	    "event=made_again key=%s oldest=%" PRIu64 " trainer=%" PRIu64
	    " bound=%u",
	    generation->key, kwb_tokens_oldest_version(&generation->tokens),
	    step->trainer_version, step->bound_versions);
	kwb_tokens_finish(&generation->tokens);
	kwb_tokens_init(&generation->tokens);
	generation->state = GENERATION_PENDING;
}

/*
 * Whether the sample is within the staleness bound now, at its delivery, and of
 * one version where the plan forbids mixed ones.
 */
static bool
sample_is_acceptable(struct step *step, const struct sample *sample)
{
	const struct kwb_tokens *tokens = &sample->generation.tokens;
	uint64_t announced = atomic_load(&step->gate->trainer_version);
	struct kwb_sample_age age = {
	    .trainer_version = announced > step->trainer_version
		? announced
		: step->trainer_version,
	    .oldest_version = kwb_tokens_oldest_version(tokens),
	    .bound_versions = step->bound_versions,
	};
	uint32_t i;

	if (!kwb_sample_is_fresh(&age))
		return false;
	for (i = 1; i < tokens->count && !step->plan.mixed_versions; i++)
		if (tokens->version[i] != tokens->version[0])
			return false;
	return true;
}

/*
 * Sends the sample as a line of JSON and counts it as delivered. A span of
 * tokens of one version is [version, first token, count].
 */
static void
sample_write(struct step *step, struct sample *sample)
{
	const struct kwb_tokens *tokens = &sample->generation.tokens;
	json_t *texts = json_array(), *spans = json_array(), *root;
	XXH64_state_t *hash = XXH64_createState();
	char checksum[32];
	char *line;
	uint32_t i, first = 0;

	XXH64_reset(hash, 0);
	for (i = 0; i < tokens->count; i++) {
		json_array_append_new(texts, json_string(tokens->text[i]));
		XXH64_update(hash, tokens->text[i], strlen(tokens->text[i]));
		if (i + 1 < tokens->count &&
		    tokens->version[i + 1] == tokens->version[i])
			continue;
		json_array_append_new(spans,
		    json_pack("[I,i,i]", (json_int_t)tokens->version[i],
			(int)first, (int)(i + 1 - first)));
		first = i + 1;
	}
	snprintf(checksum, sizeof(checksum), "%016" PRIx64,
	    (uint64_t)XXH64_digest(hash));
	XXH64_freeState(hash);
	root = json_pack("{s:i, s:i, s:i, s:o, s:o, s:s}", "group",
	    (int)sample->slot.group, "sample", (int)sample->slot.index,
	    "attempt", (int)step->attempt, "tokens", texts, "spans", spans,
	    "checksum", checksum);
	line = json_dumps(root, JSON_COMPACT | JSON_PRESERVE_ORDER);
	json_decref(root);
	chunk_send(step, line, strlen(line));
	chunk_send(step, "\n", 1);
	free(line);
	if (step->client_gone)
		return;
	kwb_tokens_finish(&sample->generation.tokens);
	sample->delivered = true;
	step->remaining--;
	step->delivered_count++;
	kwb_metric_add(KWB_METRIC_SAMPLES_DELIVERED, 1);
}

/*
 * Hedges stalled samples: each is cancelled where it runs and resumed on
 * another agent after the tokens that have arrived, so that no token is made
 * twice.
 */
static void
samples_hedge(struct step *step)
{
	struct kwb_hedge_input input = {
	    .token_ns = step->token_ns,
	    .wasted_tokens = step->wasted_tokens,
	    .generated_tokens = step->generated_tokens,
	    .objective = step->plan.objective,
	};
	uint64_t now_ns = kwb_clock_now_ns();
	uint32_t i;

	if (step->entry->policy != KWB_POLICY_DEFAULT)
		return;
	for (i = 0; i < step->samples_count; i++)
		input.unstarted += !step->samples[i].delivered &&
		    step->samples[i].generation.state == GENERATION_PENDING;
	if (input.unstarted > 0)
		return;
	for (i = 0; i < step->samples_count; i++) {
		struct sample *sample = &step->samples[i];
		const struct generation *generation = &sample->generation;

		if (generation->state != GENERATION_RUNNING)
			continue;
		input.silent_ns = now_ns - generation->last_token_ns;
		input.idle_units = peers_idle_units(step->entry,
		    step->plan.name, generation->target.peer_index);
		if (kwb_hedge_is_due(&input))
			sample_move(step, sample);
	}
}

static void
sample_move(struct step *step, struct sample *sample)
{
	struct generation *generation = &sample->generation;

	kwb_log(KWB_LOG_INFO, "rollout", "event=hedge key=%s from=%s tokens=%u",
	    generation->key, generation->target.vm, generation->tokens.count);
	kwb_metric_add(KWB_METRIC_HEDGES, 1);
	generation_stop(step->entry, generation, false);
	generation_start(step->entry, generation);
}

/* Writes the end record, which always follows a complete sample. */
static void
step_write_end(struct step *step)
{
	char line[512];
	int length;

	length = snprintf(line, sizeof(line),
	    "{\"end\":true,\"complete\":%s,\"delivered\":%u,\"left\":%u,"
	    "\"made_again\":%u,\"reason\":\"%s\"}\n",
	    step->remaining == 0 ? "true" : "false", step->delivered_count,
	    step->remaining, step->stale_count,
	    step->remaining == 0			  ? "complete"
		: step->superseded			  ? "superseded"
		: step->client_gone			  ? "client_gone"
		: kwb_clock_now_ns() >= step->deadline_ns ? "deadline"
							  : "draining");
	chunk_send(step, line, (size_t)length);
	if (!step->client_gone)
		mg_send_chunk(step->connection, "", 0);
	kwb_log(KWB_LOG_INFO, "rollout",
	    "event=step_end plan=%s step=%" PRIu64 " attempt=%u delivered=%u "
	    "left=%u made_again=%u time_ms=%" PRIu64,
	    step->plan.name, step->number, step->attempt, step->delivered_count,
	    step->remaining, step->stale_count,
	    (uint64_t)((kwb_clock_now_ns() - step->start_ns) / KWB_MS_NS));
}

/* Leaves unfinished samples running on their agents, for the next attempt. */
static void
step_free(struct step *step)
{
	uint32_t i;

	for (i = 0; i < step->samples_count; i++) {
		generation_stop(
		    step->entry, &step->samples[i].generation, true);
		generation_finish(step->entry, &step->samples[i].generation);
	}
	inbox_finish(&step->inbox);
	json_decref(step->request);
	free(step->samples);
	free(step);
}

static void
chunk_send(struct step *step, const char *text, size_t length_bytes)
{
	if (!step->client_gone &&
	    mg_send_chunk(step->connection, text, (unsigned)length_bytes) < 0)
		step->client_gone = true;
}
