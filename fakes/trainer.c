/*
 * Stand-in for a trainer: pulls a step and checks its samples.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <xxhash.h>

#include "text.h"
#include "trainer.h"

#define URL_MAX_BYTES 256
#define PROMPT_MAX_BYTES 256
#define SEED_STRIDE 16384 /* a sample's seed is seed * 16384 + sample */
#define RETRY_DELAY_NS (100 * KWB_MS_NS)

/* The state of pulling a step, over all attempts. */
struct pull {
	const struct trainer *trainer;
	struct trainer_result *result;
	uint64_t step;
	uint32_t attempt;
	uint32_t *received_counts;   /* of each sample */
	struct kwb_buf partial_line; /* received without its newline */
	bool is_ended;
};

static char *pull_body(const struct pull *pull);
static bool pull_on_data(void *context, const char *data, size_t length_bytes);
static void pull_on_line(struct pull *pull, const char *text);
static void pull_on_sample(struct pull *pull, json_t *root);
static bool sample_is_correct(
    const struct pull *pull, json_t *root, uint64_t *oldest);
static uint64_t span_version_at(json_t *spans, uint32_t index);

void
trainer_pull_step(
    const struct trainer *trainer, uint64_t step, struct trainer_result *result)
{
	uint32_t slots = trainer->groups * trainer->samples;
	uint64_t started_ns = kwb_clock_now_ns();
	struct pull pull = {.trainer = trainer, .result = result, .step = step};

	memset(result, 0, sizeof(*result));
	result->oldest_version = UINT64_MAX;
	pull.received_counts = calloc(slots, sizeof(*pull.received_counts));
	while (result->received < slots &&
	    kwb_clock_now_ns() < trainer->deadline_ns) {
		char url[URL_MAX_BYTES];
		struct kwb_http_request request = {.method = "POST",
		    .url = url,
		    .on_data = pull_on_data,
		    .context = &pull};
		struct kwb_http_answer answer;
		char *body;
		unsigned entry = pull.attempt % trainer->entries_count;

		pull.attempt++;
		pull.is_ended = false;
		kwb_buf_init(&pull.partial_line);
		body = pull_body(&pull);
		snprintf(url, sizeof(url),
		    "%s/v1/plans/%s/steps/%" PRIu64 "/pull",
		    trainer->entries[entry], trainer->plan, step);
		request.body = body;
		request.body_bytes = strlen(body);
		request.timeout_ms =
		    (uint32_t)kwb_clock_remaining_ms(trainer->deadline_ns) + 1;
		if (trainer->attempt_timeout_ms > 0 &&
		    request.timeout_ms > trainer->attempt_timeout_ms)
			request.timeout_ms = trainer->attempt_timeout_ms;
		kwb_http_do(&request, &answer);
		kwb_http_answer_finish(&answer);
		kwb_buf_finish(&pull.partial_line);
		free(body);
		if (result->received < slots)
			kwb_clock_sleep_ns(RETRY_DELAY_NS);
	}
	result->attempts = pull.attempt;
	result->elapsed_ns = kwb_clock_now_ns() - started_ns;
	result->is_complete = result->received == slots;
	free(pull.received_counts);
}

void
trainer_format_prompt(char *text, size_t capacity_bytes, const char *plan,
    uint64_t step, uint32_t group)
{
	snprintf(text, capacity_bytes,
	    "draft for %s step %" PRIu64 " group %u in plain words", plan, step,
	    group);
}

/* The request's body; the caller frees it. */
static char *
pull_body(const struct pull *pull)
{
	const struct trainer *trainer = pull->trainer;
	json_t *groups = json_array(), *have = json_array(), *root;
	char prompt[PROMPT_MAX_BYTES], *text;
	uint32_t i;

	for (i = 0; i < trainer->groups; i++) {
		trainer_format_prompt(
		    prompt, sizeof(prompt), trainer->plan, pull->step, i);
		json_array_append_new(groups,
		    json_pack("{s:i, s:s, s:i, s:i, s:i}", "group", (int)i,
			"prompt", prompt, "samples", (int)trainer->samples,
			"seed", (int)i, "max_tokens",
			(int)trainer->max_tokens));
	}
	for (i = 0; i < trainer->groups * trainer->samples; i++)
		if (pull->received_counts[i] > 0)
			json_array_append_new(have,
			    json_pack("[i,i]", (int)(i / trainer->samples),
				(int)(i % trainer->samples)));
	root = json_pack("{s:i, s:I, s:i, s:o, s:o}", "attempt",
	    (int)pull->attempt, "weight_version",
	    (json_int_t)trainer->weight_version, "staleness_bound",
	    (int)trainer->staleness_bound_versions, "groups", groups, "have",
	    have);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

/* Splits the response into lines. */
static bool
pull_on_data(void *context, const char *data, size_t length_bytes)
{
	struct pull *pull = context;
	const char *newline;

	while ((newline = memchr(data, '\n', length_bytes)) != NULL) {
		size_t part = (size_t)(newline - data) + 1;

		kwb_buf_add(&pull->partial_line, data, part);
		pull_on_line(pull, pull->partial_line.data);
		pull->partial_line.used_bytes = 0;
		data += part;
		length_bytes -= part;
	}
	kwb_buf_add(&pull->partial_line, data, length_bytes);
	return true;
}

static void
pull_on_line(struct pull *pull, const char *text)
{
	json_t *root = json_loads(text, 0, NULL);

	if (json_object_get(root, "tokens") != NULL)
		pull_on_sample(pull, root);
	json_decref(root);
}

/* Checks and counts a sample. */
static void
pull_on_sample(struct pull *pull, json_t *root)
{
	const struct trainer *trainer = pull->trainer;
	struct trainer_result *result = pull->result;
	json_int_t group = json_integer_value(json_object_get(root, "group"));
	json_int_t sample = json_integer_value(json_object_get(root, "sample"));
	uint64_t tokens = json_array_size(json_object_get(root, "tokens"));
	uint64_t oldest = UINT64_MAX, age;

	if (group < 0 || group >= trainer->groups || sample < 0 ||
	    sample >= trainer->samples) {
		result->wrong++;
		return;
	}
	if (pull->received_counts[group * trainer->samples + sample]++ > 0)
		result->doubled++;
	else
		result->received++;
	if (!sample_is_correct(pull, root, &oldest))
		result->wrong++;
	age = trainer->weight_version > oldest
	    ? trainer->weight_version - oldest
	    : 0;
	if (age > trainer->staleness_bound_versions)
		result->stale++;
	result->age_sum += age;
	if (age > result->age_max)
		result->age_max = age;
	if (oldest < result->oldest_version)
		result->oldest_version = oldest;
	result->tokens += tokens;
	if (tokens > result->longest_sample_tokens)
		result->longest_sample_tokens = tokens;
}

/*
 * Whether tokens, spans, checksum and (if known) length are those of the fake
 * engine. Lowers *oldest to the oldest version of its tokens.
 */
static bool
sample_is_correct(const struct pull *pull, json_t *root, uint64_t *oldest)
{
	const struct trainer *trainer = pull->trainer;
	uint32_t group =
	    (uint32_t)json_integer_value(json_object_get(root, "group"));
	uint32_t sample =
	    (uint32_t)json_integer_value(json_object_get(root, "sample"));
	json_t *tokens = json_object_get(root, "tokens");
	json_t *spans = json_object_get(root, "spans"), *token;
	const char *checksum =
	    json_string_value(json_object_get(root, "checksum"));
	char prompt[PROMPT_MAX_BYTES], expected[FAKE_TOKEN_MAX_BYTES], sum[32];
	XXH64_state_t *hash = XXH64_createState();
	uint64_t sequence, version, length;
	bool is_correct = true;
	size_t i;

	trainer_format_prompt(
	    prompt, sizeof(prompt), trainer->plan, pull->step, group);
	sequence =
	    fake_sequence_hash(prompt, (uint64_t)group * SEED_STRIDE + sample);
	XXH64_reset(hash, 0);
	json_array_foreach (tokens, i, token) {
		const char *text = json_string_value(token);

		version = span_version_at(spans, (uint32_t)i);
		fake_token_text(expected, sequence, (uint32_t)i, version);
		if (strcmp(text, expected) != 0)
			is_correct = false;
		if (version < *oldest)
			*oldest = version;
		if (version > pull->result->newest_version)
			pull->result->newest_version = version;
		XXH64_update(hash, text, strlen(text));
	}
	snprintf(sum, sizeof(sum), "%016" PRIx64, (uint64_t)XXH64_digest(hash));
	XXH64_freeState(hash);
	if (checksum == NULL || strcmp(sum, checksum) != 0)
		is_correct = false;
	if (trainer->length_median > 0) {
		length = fake_sequence_length(sequence, trainer->length_median,
		    trainer->length_spread_percent);
		if (length > trainer->max_tokens)
			length = trainer->max_tokens;
		if (json_array_size(tokens) != length)
			is_correct = false;
	}
	return is_correct;
}

/* The version of the token at index; 0 if no [version, first, count] has it. */
static uint64_t
span_version_at(json_t *spans, uint32_t index)
{
	json_t *span;
	size_t i;

	json_array_foreach (spans, i, span) {
		json_int_t first = json_integer_value(json_array_get(span, 1));
		json_int_t count = json_integer_value(json_array_get(span, 2));

		if (index >= first && index < first + count)
			return (uint64_t)json_integer_value(
			    json_array_get(span, 0));
	}
	return 0;
}
