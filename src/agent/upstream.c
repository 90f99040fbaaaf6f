/*
 * Client of the agent's upstream. From a model engine it requests generations,
 * as streams, and reads its load; to a plain service it sends calls and polls
 * its health.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "agent.h"

#define URL_MAX_BYTES 512
#define DOWN_FAILURES 2 /* of polls in a row; then the upstream is down */
#define POLL_TIMEOUT_MS 1000

/* A generation that is read as a stream of server-sent events. */
struct stream {
	struct kwb_agent *agent;
	struct job *job;
	struct kwb_buf line;	  /* the part of a line received so far */
	uint64_t assumed_version; /* for events that name no version */
	bool is_version_assumed;  /* for at least one token */
	bool is_finished;	  /* the last event has been received */
	bool is_endless;	  /* it has gone on beyond all that was asked */
};

static char *print_generate_body(const struct job *job);
static bool stream_on_data(
    void *context, const char *data, size_t length_bytes);
static bool stream_should_stop(void *context);
static void stream_parse_line(struct stream *stream, const char *line);
static void stream_add_token(
    struct stream *stream, const char *text, uint64_t version);
static void generate_set_outcome(struct stream *stream, int error,
    const struct kwb_http_answer *answer, const struct model_state *before);
static void parse_load(struct kwb_agent *agent, const char *text);

/* Runs a generation and sets the outcome of its job. */
void
upstream_generate(struct kwb_agent *agent, struct job *job)
{
	const Kwb__Wire__Run *run = job->frame->run;
	struct stream stream = {.agent = agent, .job = job};
	char url[URL_MAX_BYTES];
	struct kwb_http_request request = {
	    .method = "POST",
	    .url = url,
	    .content_type = "application/json",
	    .on_data = stream_on_data,
	    .should_stop = stream_should_stop,
	    .context = &stream,
	};
	struct kwb_http_answer answer;
	struct model_state before;
	char *body;
	int error;

	if (!upstream_find_model(agent, run->model, &before) ||
	    before.version < run->min_version) {
		job->outcome = KWB_OUTCOME_NOT_RUN;
		job->error = KWB_ERR_CALL_OLD_WEIGHTS;
		return;
	}
	stream.assumed_version = before.version;
	kwb_buf_init(&stream.line);
	snprintf(
	    url, sizeof(url), "%s/v1/completions", agent->settings->upstream);
	body = print_generate_body(job);
	request.body = body;
	request.body_bytes = strlen(body);
	request.timeout_ms =
	    (uint32_t)kwb_clock_remaining_ms(job->deadline_ns) + 1;
	error = kwb_http_do(&request, &answer);
	generate_set_outcome(&stream, error, &answer, &before);
	kwb_http_answer_finish(&answer);
	kwb_buf_finish(&stream.line);
	free(body);
}

/* Runs a plain call and sets the outcome and the answer of its job. */
void
upstream_call(struct kwb_agent *agent, struct job *job)
{
	const Kwb__Wire__Run *run = job->frame->run;
	char url[URL_MAX_BYTES + 2048];
	struct kwb_http_request request = {
	    .method = run->method,
	    .url = url,
	    .content_type = run->content_type,
	    .body = run->body.len > 0 ? run->body.data : NULL,
	    .body_bytes = run->body.len,
	    .needs_new_connection = !run->idempotent,
	};
	struct kwb_http_answer answer;
	struct journal_shard *shard;
	int error;

	snprintf(
	    url, sizeof(url), "%s%s", agent->settings->upstream, run->path);
	request.timeout_ms =
	    (uint32_t)kwb_clock_remaining_ms(job->deadline_ns) + 1;
	error = kwb_http_do(&request, &answer);
	shard = journal_lock(&agent->journal, job->key);
	if (error == 0) {
		job->outcome = KWB_OUTCOME_RAN;
		job->status = (uint32_t)answer.status;
		kwb_text_copy(job->content_type, sizeof(job->content_type),
		    answer.content_type);
		kwb_buf_add(&job->body, kwb_buf_text(&answer.body),
		    answer.body.used_bytes);
	} else {
		job->outcome =
		    answer.sent ? KWB_OUTCOME_UNKNOWN : KWB_OUTCOME_NOT_RUN;
		job->error = KWB_ERR_CALL_UPSTREAM;
	}
	journal_unlock(shard);
	kwb_http_answer_finish(&answer);
}

/*
 * Whether the upstream surely no longer runs a request that was given up. An
 * engine is told to cancel it, and has ended it when it answers. A service has
 * ended it when it reports no more running requests than there are active jobs.
 * An upstream that is down runs nothing.
 */
bool
upstream_request_has_ended(struct kwb_agent *agent, const char *key)
{
	char url[URL_MAX_BYTES];
	struct kwb_http_request request = {
	    .method = "POST",
	    .url = url,
	    .content_type = "text/plain",
	    .body = key,
	    .body_bytes = strlen(key),
	    .timeout_ms = POLL_TIMEOUT_MS,
	};
	struct kwb_http_answer answer;
	bool has_ended;
	int error;

	if (agent->settings->upstream_kind == KWB_UPSTREAM_SERVICE) {
		upstream_poll(agent);
		pthread_mutex_lock(&agent->upstream.lock);
		has_ended = !agent->upstream.up ||
		    agent->upstream.running <= queue_count_active(agent);
		pthread_mutex_unlock(&agent->upstream.lock);
		return has_ended;
	}
	snprintf(url, sizeof(url), "%s/cancel", agent->settings->upstream);
	error = kwb_http_do(&request, &answer);
	has_ended = error == 0 || !answer.sent;
	kwb_http_answer_finish(&answer);
	return has_ended;
}

/* Reads an engine's load and versions, or a service's health, once. */
void
upstream_poll(struct kwb_agent *agent)
{
	struct upstream_state *state = &agent->upstream;
	bool is_engine = agent->settings->upstream_kind == KWB_UPSTREAM_ENGINE;
	char url[URL_MAX_BYTES];
	struct kwb_http_request request = {
	    .method = "GET",
	    .url = url,
	    .timeout_ms = POLL_TIMEOUT_MS,
	};
	struct kwb_http_answer answer;
	int error;

	snprintf(url, sizeof(url), "%s%s", agent->settings->upstream,
	    is_engine ? "/load" : "/health");
	error = kwb_http_do(&request, &answer);
	pthread_mutex_lock(&state->lock);
	state->failures_in_row = error ? state->failures_in_row + 1 : 0;
	if (error == 0 || state->failures_in_row >= DOWN_FAILURES) {
		if (state->up != (error == 0))
			kwb_log(KWB_LOG_WARN, "agent", "event=upstream up=%d",
			    error == 0);
		state->up = error == 0;
	}
	if (error == 0)
		parse_load(agent, kwb_buf_text(&answer.body));
	pthread_mutex_unlock(&state->lock);
	kwb_http_answer_finish(&answer);
}

/*
 * Copies the state of a model at the last poll. False if the upstream doesn't
 * have it; then *state may be that of another model.
 */
bool
upstream_find_model(
    struct kwb_agent *agent, const char *model, struct model_state *state)
{
	bool found = false;
	unsigned i;

	pthread_mutex_lock(&agent->upstream.lock);
	for (i = 0; i < agent->upstream.models_count && !found; i++) {
		*state = agent->upstream.models[i];
		found = strcmp(state->model, model) == 0;
	}
	pthread_mutex_unlock(&agent->upstream.lock);
	return found;
}

/* The JSON body of a generation request; the caller frees it. */
static char *
print_generate_body(const struct job *job)
{
	const Kwb__Wire__Run *run = job->frame->run;
	json_t *resume = json_array();
	json_t *root;
	char *text;
	uint32_t i;

	for (i = 0; i < job->tokens.count; i++)
		json_array_append_new(resume, json_string(job->tokens.text[i]));
	root = json_pack("{s:s, s:s, s:s, s:i, s:I, s:i, s:b, s:o}", "request",
	    job->key, "model", run->model, "prompt", run->prompt, "max_tokens",
	    (int)run->max_tokens, "seed", (json_int_t)run->seed, "priority",
	    (int)run->priority, "stream", 1, "resume", resume);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

/* Ends a stream that would go on until there is no memory left. */
static void
stream_set_endless(struct stream *stream)
{
	if (stream->is_endless)
		return;
	stream->is_endless = true;
	kwb_log(KWB_LOG_WARN, "agent",
	    "event=endless_stream key=%s line_bytes=%zu tokens=%u",
	    stream->job->key, stream->line.used_bytes,
	    stream->job->tokens.count);
}

static void
stream_add_to_line(struct stream *stream, const char *data, size_t bytes)
{
	if (stream->line.used_bytes + bytes > KWB_STREAM_LINE_MAX_BYTES)
		stream_set_endless(stream);
	else
		kwb_buf_add(&stream->line, data, bytes);
}

/* Splits received data into lines; false ends the request. */
static bool
stream_on_data(void *context, const char *data, size_t length_bytes)
{
	struct stream *stream = context;
	const char *newline;

	while (!stream->is_endless &&
	    (newline = memchr(data, '\n', length_bytes)) != NULL) {
		size_t part_bytes = (size_t)(newline - data);

		stream_add_to_line(stream, data, part_bytes);
		stream_parse_line(stream, kwb_buf_text(&stream->line));
		stream->line.used_bytes = 0;
		data += part_bytes + 1;
		length_bytes -= part_bytes + 1;
	}
	stream_add_to_line(stream, data, length_bytes);
	return !stream->is_endless && !atomic_load(&stream->job->cancelled);
}

static bool
stream_should_stop(void *context)
{
	struct stream *stream = context;

	return atomic_load(&stream->job->cancelled);
}

/* Handles a line of the stream; lines other than data are ignored. */
static void
stream_parse_line(struct stream *stream, const char *line)
{
	json_t *root, *version;
	const char *text;

	if (strncmp(line, "data: ", 6) != 0)
		return;
	root = json_loads(line + 6, 0, NULL);
	if (root == NULL)
		return;
	text = json_string_value(json_object_get(root, "token"));
	version = json_object_get(root, "version");
	if (text != NULL && version == NULL)
		stream->is_version_assumed = true;
	if (text != NULL)
		stream_add_token(stream, text,
		    version ? (uint64_t)json_integer_value(version)
			    : stream->assumed_version);
	if (json_object_get(root, "finish") != NULL)
		stream->is_finished = true;
	json_decref(root);
}

/*
 * Adds a token and sends it on, of samples at most every
 * KWB_PROGRESS_PERIOD_NS. Tokens whose version is assumed are not sent yet, as
 * they may be discarded.
 */
static void
stream_add_token(struct stream *stream, const char *text, uint64_t version)
{
	struct job *job = stream->job;
	uint32_t max_tokens = job->frame->run->max_tokens;
	uint64_t now_ns = kwb_clock_now_ns();
	struct journal_shard *shard;

	if (max_tokens != 0 && job->tokens.count >= max_tokens) {
		stream_set_endless(stream);
		return;
	}
	shard = journal_lock(&stream->agent->journal, job->key);
	kwb_tokens_add(&job->tokens, text, version);
	kwb_metric_add(KWB_METRIC_TOKENS, 1);
	if (now_ns >= job->next_progress_ns || !job_is_sample(job)) {
		job->next_progress_ns = now_ns + KWB_PROGRESS_PERIOD_NS;
		if (!stream->is_version_assumed)
			job_send_progress(stream->agent, job);
	}
	journal_unlock(shard);
}

/*
 * Sets the outcome of a generation. If events named no version, the version
 * that was polled before the stream is assumed. It is polled again here: if it
 * has changed, it is not known which version made which token, and the tokens
 * are discarded.
 */
static void
generate_set_outcome(struct stream *stream, int error,
    const struct kwb_http_answer *answer, const struct model_state *before)
{
	struct kwb_agent *agent = stream->agent;
	struct job *job = stream->job;
	struct journal_shard *shard;
	struct model_state after = {0};
	bool is_version_known = true;

	if (stream->is_version_assumed) {
		upstream_poll(agent);
		is_version_known =
		    upstream_find_model(agent, before->model, &after) &&
		    after.version == before->version && !after.swapping;
	}
	shard = journal_lock(&agent->journal, job->key);
	if (!is_version_known) {
		kwb_tokens_finish(&job->tokens);
		kwb_tokens_init(&job->tokens);
	}
	if (is_version_known && error == 0 && stream->is_finished) {
		job->outcome = KWB_OUTCOME_RAN;
		job->status = 200;
	} else if (answer->sent || job->tokens.count > 0) {
		job->outcome = KWB_OUTCOME_PARTIAL;
		job->error = atomic_load(&job->cancelled)
		    ? KWB_ERR_CALL_CANCELLED
		    : KWB_ERR_CALL_UPSTREAM;
	} else {
		job->outcome = KWB_OUTCOME_NOT_RUN;
		job->error = KWB_ERR_CALL_UPSTREAM;
	}
	journal_unlock(shard);
}

/* Reads the answer to a poll into the upstream's state, under its lock. */
static void
parse_load(struct kwb_agent *agent, const char *text)
{
	struct upstream_state *state = &agent->upstream;
	json_t *root = json_loads(text, 0, NULL);
	json_t *models = json_object_get(root, "models"), *item;
	const char *name;

	state->running =
	    (uint32_t)json_integer_value(json_object_get(root, "running"));
	state->models_count = 0;
	json_object_foreach (models, name, item) {
		struct model_state *model = &state->models[state->models_count];

		if (state->models_count == KWB_MODELS_MAX)
			break;
		kwb_text_copy(model->model, sizeof(model->model), name);
		model->version = (uint64_t)json_integer_value(
		    json_object_get(item, "version"));
		model->swapping =
		    json_is_true(json_object_get(item, "swapping"));
		state->models_count++;
	}
	json_decref(root);
}
