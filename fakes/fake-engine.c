/*
 * Stand-in for a model engine: continuous batching, a cache of prompts,
 * priorities, resuming, cancelling (by POST /cancel or by disconnecting), load
 * reports that can lag, and orders to load a weight version, with or without
 * checking fencing tokens.
 *
 * Token i of a sequence is "HHHH.V": four hexadecimal digits hashed from
 * prompt, seed and i, then the weight version that generated the token. A
 * reader of a sample can so check the versions that the system reports. The
 * length of a sequence has a long-tailed distribution and depends on prompt and
 * seed alone.
 *
 * A step generates one token for each running sequence and takes token_us, plus
 * batch_us for each token. A sequence that joins the batch adds prefill_us for
 * each word of its prompt and each resumed token, unless its prompt is cached.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sys/queue.h>

#include <jansson.h>

#include "fake.h"
#include "text.h"

#define SERVER_THREADS 192
#define MODELS_MAX 8
#define CACHE_ENTRIES_MAX 64
#define PROMPT_KEY_BYTES 32

struct model {
	char name[KWB_NAME_MAX_BYTES];
	uint64_t version;	/* 0 after a failed swap: generates nothing */
	uint64_t fencing_token; /* highest of all orders */
	bool is_swapping;
	unsigned running_count; /* sequences in the batch */
};

/* A request being served; lives on the stack of its HTTP thread. */
struct sequence {
	TAILQ_ENTRY(sequence) next;
	pthread_cond_t token_ready;
	struct model *model;
	uint64_t hash;	     /* of prompt and seed */
	uint32_t next_index; /* of the next token to write */
	uint32_t length_tokens;
	uint32_t prompt_words;		  /* including resumed tokens */
	int priority;			  /* higher is admitted first */
	uint64_t cache_key;		  /* hash of the prompt */
	char token[FAKE_TOKEN_MAX_BYTES]; /* generated, not yet written */
	uint64_t token_version;
	bool has_token;	 /* token holds one to be written */
	bool is_running; /* in the batch, occupies a slot */
	bool is_cancelled;
	char request_name[KWB_KEY_MAX_BYTES];
};

TAILQ_HEAD(sequence_list, sequence);

/*
 * Indexes of controls: settings, each also a flag of the program, then counters
 * from RUNNING on.
 */
enum {
	TOKEN_US,
	BATCH_US,
	PREFILL_US,
	SLOTS,
	LENGTH_MEDIAN,
	LENGTH_SPREAD,
	SWAP_MS,
	FAIL_SWAP,
	IGNORE_FENCE,
	NO_VERSIONS,
	LOAD_LAG_MS,
	STUCK,
	ENDLESS,
	BROKEN,
	RUNNING,
	MOST,
	TOKENS,
	CACHE_HITS,
	CACHE_MISSES,
	ORDERS_OLD,
	STARTED
};

/*
 * fail_swap is the number of coming swaps that fail; stuck stops generating;
 * endless makes all answers go on until the client leaves: 1 with a line that
 * never ends, 2 with tokens beyond max_tokens; broken gives all answers a head
 * with a blank in a name;
 * no_versions leaves versions out of the stream; ignore_fence obeys orders with
 * an outdated fencing token, too. most is the highest number of running
 * sequences so far, orders_old counts orders with an outdated fencing token.
 */
static struct fake_control controls[] = {
    [TOKEN_US] = {"token_us", 2000},
    [BATCH_US] = {"batch_us", 20},
    [PREFILL_US] = {"prefill_us", 20},
    [SLOTS] = {"slots", 16},
    [LENGTH_MEDIAN] = {"length_median", 60},
    [LENGTH_SPREAD] = {"length_spread", 60}, /* percent, of the logarithm */
    [SWAP_MS] = {"swap_ms", 100},
    [FAIL_SWAP] = {"fail_swap", 0},
    [IGNORE_FENCE] = {"ignore_fence", 0},
    [NO_VERSIONS] = {"no_versions", 0},
    [LOAD_LAG_MS] = {"load_lag_ms", 0},
    [STUCK] = {"stuck", 0},
    [ENDLESS] = {"endless", 0},
    [BROKEN] = {"broken", 0},
    [RUNNING] = {"running", 0},
    [MOST] = {"most", 0},
    [TOKENS] = {"tokens", 0},
    [CACHE_HITS] = {"cache_hits", 0},
    [CACHE_MISSES] = {"cache_misses", 0},
    [ORDERS_OLD] = {"orders_old", 0},
    [STARTED] = {"started", 0},
};
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct sequence_list sequences = TAILQ_HEAD_INITIALIZER(sequences);
static struct model models[MODELS_MAX];
static unsigned models_count;
static uint64_t cache[CACHE_ENTRIES_MAX]; /* ring of prompt hashes */
static unsigned cache_next;  /* slot to fill next, modulo CACHE_ENTRIES_MAX */
static const char *platform; /* URL; empty: orders fetch no weights */

static int completions_on_request(
    struct mg_connection *connection, void *context);
static int load_on_request(struct mg_connection *connection, void *context);
static int orders_on_request(struct mg_connection *connection, void *context);
static void *engine_run(void *argument);
static uint64_t engine_step(void);
static struct model *model_find(const char *name, bool create);
static bool cache_find_or_add(uint64_t key);
static unsigned sequence_format_event(
    const struct sequence *sequence, char *line, size_t capacity_bytes);
static void sequence_stop(struct sequence *sequence);
static int cancel_on_request(struct mg_connection *connection, void *context);
static bool weights_fetch(const char *model, uint64_t version);

int
main(int argc, char **argv)
{
	const char *list = fake_option(argc, argv, "--models", "m");
	struct mg_context *context;
	char names[512], *name, *rest = names;
	unsigned i;
	pthread_t thread;

	platform = fake_option(argc, argv, "--platform", "");
	for (i = 0; i < sizeof(controls) / sizeof(controls[0]); i++) {
		char option[64];
		const char *value;

		snprintf(option, sizeof(option), "--%s", controls[i].name);
		value = fake_option(argc, argv, option, NULL);
		if (value != NULL)
			controls[i].value = strtoll(value, NULL, 10);
	}
	kwb_text_copy(names, sizeof(names), list);
	while ((name = strsep(&rest, ",")) != NULL)
		model_find(name, true)->version = 1;
	kwb_http_init();
	context = fake_start(
	    fake_option(argc, argv, "--listen", "127.0.0.1:7100"),
	    SERVER_THREADS, controls, sizeof(controls) / sizeof(controls[0]));
	pthread_create(&thread, NULL, engine_run, NULL);
	mg_set_request_handler(
	    context, "/v1/completions$", completions_on_request, NULL);
	mg_set_request_handler(context, "/cancel$", cancel_on_request, NULL);
	mg_set_request_handler(context, "/load$", load_on_request, NULL);
	mg_set_request_handler(context, "/orders$", orders_on_request, NULL);
	fake_wait_for_signal();
	return 0;
}

#define ENDLESS_CHUNK_BYTES 16384

/* Sends until the client leaves. */
static void
send_endlessly(struct mg_connection *connection, bool has_lines)
{
	static const char token[] = "data: {\"token\":\"a\",\"version\":1}\n\n";
	char chunk[ENDLESS_CHUNK_BYTES];
	size_t used_bytes = 0;

	memset(chunk, 'a', sizeof(chunk));
	for (; has_lines && used_bytes + sizeof(token) <= sizeof(chunk);
	     used_bytes += sizeof(token) - 1)
		memcpy(chunk + used_bytes, token, sizeof(token) - 1);
	if (!has_lines)
		used_bytes = sizeof(chunk);
	while (controls[ENDLESS].value != 0 &&
	    mg_send_chunk(connection, chunk, (unsigned)used_bytes) >= 0)
		continue;
	mg_close_connection(connection);
}

static void
send_broken(struct mg_connection *connection)
{
	mg_printf(connection,
	    "HTTP/1.1 200 OK\r\nX A: b\r\nConnection: close\r\n\r\n"
	    "data: {\"token\":\"a\",\"version\":1}\n\n"
	    "data: {\"finish\":\"stop\"}\n\n");
	mg_close_connection(connection);
}

static int
completions_on_request(struct mg_connection *connection, void *context)
{
	struct sequence sequence = {0};
	struct kwb_buf body;
	const char *prompt, *name, *c;
	json_t *root;
	int64_t max_tokens;
	char line[128];
	unsigned length;
	bool is_connected = true;

	(void)context;
	kwb_buf_init(&body);
	fake_read_body(connection, &body);
	root = json_loads(kwb_buf_text(&body), 0, NULL);
	kwb_buf_finish(&body);
	prompt = json_string_value(json_object_get(root, "prompt"));
	pthread_mutex_lock(&lock);
	sequence.model = model_find(
	    json_string_value(json_object_get(root, "model")), false);
	pthread_mutex_unlock(&lock);
	if (prompt == NULL || sequence.model == NULL) {
		fake_send_response(connection, 400, "", "", 0);
		json_decref(root);
		return 400;
	}
	sequence.hash = fake_sequence_hash(prompt,
	    (uint64_t)json_integer_value(json_object_get(root, "seed")));
	sequence.cache_key = kwb_hash(prompt, 0);
	sequence.next_index =
	    (uint32_t)json_array_size(json_object_get(root, "resume"));
	sequence.length_tokens = fake_sequence_length(sequence.hash,
	    controls[LENGTH_MEDIAN].value, controls[LENGTH_SPREAD].value);
	max_tokens = json_integer_value(json_object_get(root, "max_tokens"));
	if (max_tokens > 0 && sequence.length_tokens > max_tokens)
		sequence.length_tokens = (uint32_t)max_tokens;
	sequence.priority =
	    (int)json_integer_value(json_object_get(root, "priority"));
	name = json_string_value(json_object_get(root, "request"));
	kwb_text_copy(sequence.request_name, sizeof(sequence.request_name),
	    name ? name : "");
	for (c = prompt; *c != '\0'; c++)
		sequence.prompt_words += *c == ' ';
	sequence.prompt_words += 1 + sequence.next_index;
	json_decref(root);
	kwb_cond_init(&sequence.token_ready);
	if (controls[BROKEN].value != 0) {
		send_broken(connection);
		pthread_cond_destroy(&sequence.token_ready);
		return 200;
	}
	mg_send_http_ok(connection, "text/event-stream", -1);
	if (controls[ENDLESS].value != 0) {
		send_endlessly(connection, controls[ENDLESS].value == 2);
		pthread_cond_destroy(&sequence.token_ready);
		return 200;
	}

	pthread_mutex_lock(&lock);
	controls[STARTED].value++;
	TAILQ_INSERT_TAIL(&sequences, &sequence, next);
	while (is_connected && !sequence.is_cancelled &&
	    sequence.next_index < sequence.length_tokens) {
		/* The keep-alive comment detects a client that disconnected. */
		kwb_cond_wait_until(&sequence.token_ready, &lock,
		    kwb_clock_now_ns() + 200 * KWB_MS_NS);
		if (!sequence.has_token) {
			pthread_mutex_unlock(&lock);
			is_connected = mg_send_chunk(connection, ":\n", 2) >= 0;
			pthread_mutex_lock(&lock);
			continue;
		}
		length = sequence_format_event(&sequence, line, sizeof(line));
		sequence.has_token = false;
		sequence.next_index++;
		pthread_mutex_unlock(&lock);
		is_connected = mg_send_chunk(connection, line, length) >= 0;
		pthread_mutex_lock(&lock);
	}
	TAILQ_REMOVE(&sequences, &sequence, next);
	sequence_stop(&sequence);
	pthread_mutex_unlock(&lock);
	if (is_connected && !sequence.is_cancelled) {
		static const char end[] =
		    "data: {\"finish\":\"stop\"}\n\ndata: [DONE]\n\n";

		mg_send_chunk(connection, end, sizeof(end) - 1);
		mg_send_chunk(connection, "", 0);
	} else {
		mg_close_connection(connection);
	}
	pthread_cond_destroy(&sequence.token_ready);
	return 200;
}

/* Prints the waiting token as a server-sent event; returns its bytes. */
static unsigned
sequence_format_event(
    const struct sequence *sequence, char *line, size_t capacity_bytes)
{
	if (controls[NO_VERSIONS].value)
		return (unsigned)snprintf(line, capacity_bytes,
		    "data: {\"token\":\"%s\"}\n\n", sequence->token);
	return (unsigned)snprintf(line, capacity_bytes,
	    "data: {\"token\":\"%s\",\"version\":%llu}\n\n", sequence->token,
	    (unsigned long long)sequence->token_version);
}

/*
 * POST /cancel with the name of a request: stops it before the response is
 * sent. 404 if no such request runs or waits.
 */
static int
cancel_on_request(struct mg_connection *connection, void *context)
{
	struct sequence *sequence;
	struct kwb_buf name;
	int status = 404;

	(void)context;
	kwb_buf_init(&name);
	fake_read_body(connection, &name);
	pthread_mutex_lock(&lock);
	TAILQ_FOREACH (sequence, &sequences, next) {
		if (strcmp(sequence->request_name, kwb_buf_text(&name)) != 0)
			continue;
		status = 200;
		sequence->is_cancelled = true;
		sequence_stop(sequence);
		pthread_cond_signal(&sequence->token_ready);
	}
	pthread_mutex_unlock(&lock);
	kwb_buf_finish(&name);
	fake_send_response(connection, status, "", "", 0);
	return status;
}

/* Takes the sequence out of the batch. The caller holds the lock. */
static void
sequence_stop(struct sequence *sequence)
{
	if (!sequence->is_running)
		return;
	sequence->is_running = false;
	controls[RUNNING].value--;
	sequence->model->running_count--;
}

/* GET /load: running sequences and models, as of up to load_lag_ms ago. */
static int
load_on_request(struct mg_connection *connection, void *context)
{
	static char lagged[2048] = "{\"running\":0,\"models\":{}}";
	static uint64_t lagged_ns;
	struct kwb_buf out;
	unsigned i;

	(void)context;
	kwb_buf_init(&out);
	pthread_mutex_lock(&lock);
	kwb_buf_printf(&out, "{\"running\":%lld,\"models\":{",
	    (long long)controls[RUNNING].value);
	for (i = 0; i < models_count; i++)
		kwb_buf_printf(&out,
		    "%s\"%s\":{\"version\":%llu,\"swapping\":%s,"
		    "\"running\":%u}",
		    i ? "," : "", models[i].name,
		    (unsigned long long)models[i].version,
		    models[i].is_swapping ? "true" : "false",
		    models[i].running_count);
	kwb_buf_printf(&out, "}}");
	if (kwb_clock_now_ns() >= lagged_ns) {
		kwb_text_copy(lagged, sizeof(lagged), out.data);
		lagged_ns = kwb_clock_now_ns() +
		    (uint64_t)controls[LOAD_LAG_MS].value * KWB_MS_NS;
	}
	out.used_bytes = 0;
	kwb_buf_add(&out, lagged, strlen(lagged));
	pthread_mutex_unlock(&lock);
	fake_send_response(connection, 200, "", out.data, out.used_bytes);
	kwb_buf_finish(&out);
	return 200;
}

/*
 * POST /orders: loads a weight version. Fetches it while the old version keeps
 * serving, then pauses the model for swap_ms. After a failed swap the model has
 * version 0, and generates nothing, until the next order. Responds 409 to an
 * outdated fencing token, 503 if the fetch fails, 500 if the swap fails.
 */
static int
orders_on_request(struct mg_connection *connection, void *context)
{
	struct kwb_buf body;
	struct model *model;
	json_t *root;
	uint64_t version, fencing_token;
	int status = 200;

	(void)context;
	kwb_buf_init(&body);
	fake_read_body(connection, &body);
	root = json_loads(kwb_buf_text(&body), 0, NULL);
	kwb_buf_finish(&body);
	version =
	    (uint64_t)json_integer_value(json_object_get(root, "version"));
	fencing_token = (uint64_t)json_integer_value(
	    json_object_get(root, "fencing_token"));
	pthread_mutex_lock(&lock);
	model =
	    model_find(json_string_value(json_object_get(root, "model")), true);
	if (fencing_token < model->fencing_token) {
		controls[ORDERS_OLD].value++;
		if (!controls[IGNORE_FENCE].value)
			status = 409;
	} else {
		model->fencing_token = fencing_token;
	}
	pthread_mutex_unlock(&lock);
	if (status == 200 && !weights_fetch(model->name, version))
		status = 503;
	if (status == 200) {
		pthread_mutex_lock(&lock);
		model->is_swapping = true;
		pthread_mutex_unlock(&lock);
		kwb_clock_sleep_ns(
		    (uint64_t)controls[SWAP_MS].value * KWB_MS_NS);
		pthread_mutex_lock(&lock);
		model->is_swapping = false;
		model->version = version;
		if (controls[FAIL_SWAP].value > 0) {
			controls[FAIL_SWAP].value--;
			model->version = 0;
			status = 500;
		}
		pthread_mutex_unlock(&lock);
	}
	json_decref(root);
	fake_send_response(connection, status, "", "", 0);
	return status;
}

/* Whether the platform sent the weights. */
static bool
weights_fetch(const char *model, uint64_t version)
{
	char url[512];
	struct kwb_http_request request = {
	    .method = "GET", .url = url, .timeout_ms = 60000};
	struct kwb_http_answer answer;
	int error;

	if (platform[0] == '\0')
		return true;
	snprintf(url, sizeof(url), "%s/weights/%s/%llu", platform, model,
	    (unsigned long long)version);
	error = kwb_http_do(&request, &answer);
	kwb_http_answer_finish(&answer);
	return error == 0 && answer.status == 200;
}

/* Thread: runs steps one after the other, at the pace that they take. */
static void *
engine_run(void *argument)
{
	uint64_t due_ns = kwb_clock_now_ns(), now_ns, step_ns;

	(void)argument;
	for (;;) {
		pthread_mutex_lock(&lock);
		step_ns = engine_step();
		pthread_mutex_unlock(&lock);
		due_ns += step_ns;
		now_ns = kwb_clock_now_ns();
		if (due_ns > now_ns)
			kwb_clock_sleep_ns(due_ns - now_ns);
		else
			due_ns = now_ns;
	}
	return NULL;
}

/*
 * Admits waiting sequences by priority, then generates a token for each running
 * one. Returns the duration of the step in ns. The caller holds the lock.
 */
static uint64_t
engine_step(void)
{
	struct sequence *sequence, *highest;
	uint64_t step_us = (uint64_t)controls[TOKEN_US].value;

	while (controls[RUNNING].value < controls[SLOTS].value) {
		highest = NULL;
		TAILQ_FOREACH (sequence, &sequences, next)
			if (!sequence->is_running && !sequence->is_cancelled &&
			    (highest == NULL ||
				sequence->priority > highest->priority))
				highest = sequence;
		if (highest == NULL)
			break;
		highest->is_running = true;
		highest->model->running_count++;
		if (++controls[RUNNING].value > controls[MOST].value)
			controls[MOST].value = (int64_t)controls[RUNNING].value;
		if (!cache_find_or_add(highest->cache_key))
			step_us += highest->prompt_words *
			    (uint64_t)controls[PREFILL_US].value;
	}
	if (controls[STUCK].value)
		return step_us * 1000;
	TAILQ_FOREACH (sequence, &sequences, next) {
		if (!sequence->is_running || sequence->has_token ||
		    sequence->model->is_swapping ||
		    sequence->model->version == 0)
			continue;
		fake_token_text(sequence->token, sequence->hash,
		    sequence->next_index, sequence->model->version);
		sequence->token_version = sequence->model->version;
		sequence->has_token = true;
		controls[TOKENS].value++;
		step_us += (uint64_t)controls[BATCH_US].value;
		pthread_cond_signal(&sequence->token_ready);
	}
	return step_us * 1000;
}

/* Returns NULL if the model is unknown and not created. */
static struct model *
model_find(const char *name, bool create)
{
	unsigned i;

	for (i = 0; name != NULL && i < models_count; i++)
		if (strcmp(models[i].name, name) == 0)
			return &models[i];
	if (!create || name == NULL || models_count == MODELS_MAX)
		return NULL;
	kwb_text_copy(
	    models[models_count].name, sizeof(models[models_count].name), name);
	return &models[models_count++];
}

/* Whether the prompt was cached; adds it in place of the oldest if not. */
static bool
cache_find_or_add(uint64_t key)
{
	unsigned i;

	for (i = 0; i < CACHE_ENTRIES_MAX; i++)
		if (cache[i] == key) {
			controls[CACHE_HITS].value++;
			return true;
		}
	cache[cache_next++ % CACHE_ENTRIES_MAX] = key;
	controls[CACHE_MISSES].value++;
	return false;
}
