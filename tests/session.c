/*
 * A session: load, faults, verdict.
 */
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "../fakes/text.h"
#include "../fakes/trainer.h"
#include "session.h"

#define CALLERS 3
#define ORDERERS 3
#define ENTRIES 2
#define ENGINES 3
#define SERVICES 2
#define WARM_MS 1000
#define AFTER_MS 3500
#define CALL_TIMEOUT_MS 4000
#define CLIENT_SLACK_MS 1500
#define STEP_DEADLINE_MS 30000
#define RESEND_MS 6000
#define QUOTES_UNITS 20
#define SEARCH_UNITS 6
#define ORDERS_UNITS 6
#define LENGTH_MEDIAN 60
#define LENGTH_SPREAD 60
#define MAX_TOKENS 200
#define BOUND_VERSIONS 2
#define LEAVE_MS 3000
#define FORCE_MS 6000
#define SAMPLE_ROUND_NS (30 * KWB_MS_NS)

static const char lists_text[] =
    "plans:\n"
    "  - {name: quotes, customer: kurogane, kind: training, pool: llm, "
    "model: m, objective: idle, staleness_versions: 2, mixed_versions: yes, "
    "max_tokens: 200}\n"
    "  - {name: search, customer: kurogane, kind: interactive, pool: llm, "
    "model: c, max_tokens: 200}\n"
    "  - name: orders\n"
    "    customer: kurogane\n"
    "    kind: service\n"
    "    pool: shop\n"
    "    rules:\n"
    "      - {method: POST, path: /orders, idempotent: no, "
    "timeout_ms: 3000}\n"
    "allowances:\n"
    "  - {plan: quotes, concurrent: 20, queue: 100}\n"
    "  - {plan: search, concurrent: 6, queue: 100}\n"
    "  - {plan: orders, concurrent: 6, queue: 100}\n";

struct worker {
	struct session *session;
	unsigned number;
	unsigned state; /* of its random numbers */
	pthread_t thread;
};

static void *train(void *argument);
static void *ask(void *argument);
static void *order(void *argument);
static void *sample(void *argument);
static void *edit(void *argument);
static void order_one(struct worker *worker, unsigned count);
static bool answer_is_true(const char *text, const char *prompt, uint64_t seed);
static unsigned entry_for(struct worker *worker);
static void entry_url(struct session *session, unsigned entry, char *url);
static void note_broken(
    struct session *session, unsigned entry, uint64_t begun_ns, int status);
static void sample_allowance(struct session *session);
static void sample_revisions(struct session *session, uint64_t *seen);
static void judge(struct session *session);
static void judge_orders(struct session *session);
static void judge_force(struct session *session);
static int64_t leaver_started(
    struct session *session, const struct fault *fault, unsigned index);

bool
session_run(struct session *session, const struct fault *first,
    const struct fault *second, uint64_t seed, uint16_t base_port)
{
	struct world_shape shape = {.entries = ENTRIES,
	    .engines = ENGINES,
	    .services = SERVICES,
	    .domains = 2,
	    .relays = true,
	    .models = "m,c",
	    .slots = 16,
	    .reserve = 2,
	    .engine_args = "--token_us 3000 --length_median 60 "
			   "--length_spread 60",
	    .lists = lists_text};
	struct worker workers[CALLERS + ORDERERS + 3];
	unsigned i, count = 0, index = (unsigned)(seed * 7919 % 65536);
	int64_t before = -1, after = -1;

	memset(session, 0, sizeof(*session));
	pthread_mutex_init(&session->lock, NULL);
	session->seed = seed;
	session->planned = (first == NULL || first->planned) &&
	    (second == NULL || second->planned);
	if (world_start(&session->world, &shape, base_port) != 0) {
		session_fail(session, "the world did not start");
		world_stop(&session->world);
		return false;
	}
	for (i = 0; i < CALLERS + ORDERERS + 3; i++) {
		static void *(*const runs[])(void *) = {train, sample, edit};

		workers[i].session = session;
		workers[i].number = i;
		workers[i].state = (unsigned)seed * 131 + i;
		pthread_create(&workers[i].thread, NULL,
		    i < 3		  ? runs[i]
			: i < 3 + CALLERS ? ask
					  : order,
		    &workers[i]);
		count++;
	}
	kwb_clock_sleep_ns(WARM_MS * KWB_MS_NS);
	atomic_store(&session->faulty, true);
	if (first != NULL) {
		first->come(session, index);
		if (second != NULL) {
			kwb_clock_sleep_ns((seed % 10) * 100 * KWB_MS_NS);
			second->come(session, index / 7);
		}
		kwb_clock_sleep_ns(LEAVE_MS * KWB_MS_NS);
		before = leaver_started(session, first, index);
		kwb_clock_sleep_ns((first->hold_ms - LEAVE_MS) * KWB_MS_NS);
		after = leaver_started(session, first, index);
		if (before != after)
			session_fail(session,
			    "%lld new requests at a leaving upstream",
			    (long long)(after - before));
		if (second != NULL)
			second->go(session, index / 7);
		first->go(session, index);
	}
	session->healed_ns = kwb_clock_now_ns();
	atomic_store(&session->faulty, false);
	kwb_clock_sleep_ns(AFTER_MS * KWB_MS_NS);
	judge_force(session);
	atomic_store(&session->stopping, true);
	for (i = 0; i < count; i++)
		pthread_join(workers[i].thread, NULL);
	judge(session);
	world_stop(&session->world);
	return session->reasons_count == 0;
}

void
session_fail(struct session *session, const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&session->lock);
	if (session->reasons_count < SESSION_REASONS_MAX) {
		va_start(args, format);
		vsnprintf(session->reasons[session->reasons_count++],
		    sizeof(session->reasons[0]), format, args);
		va_end(args);
	}
	pthread_mutex_unlock(&session->lock);
}

/* Pulls step after step, publishing new weights after each. */
static void *
train(void *argument)
{
	struct worker *worker = argument;
	struct session *session = worker->session;
	char urls[ENTRIES][64];
	struct trainer trainer = {.entries_count = ENTRIES,
	    .plan = "quotes",
	    .groups = 6,
	    .samples = 4,
	    .max_tokens = MAX_TOKENS,
	    .weight_version = 1,
	    .staleness_bound_versions = BOUND_VERSIONS,
	    .length_median = LENGTH_MEDIAN,
	    .length_spread_percent = LENGTH_SPREAD,
	    .attempt_timeout_ms = RESEND_MS};
	struct trainer_result result;
	uint64_t step;
	unsigned i;

	for (i = 0; i < ENTRIES; i++) {
		entry_url(session, i + 1, urls[i]);
		trainer.entries[i] = urls[i];
	}
	for (step = 1; !atomic_load(&session->stopping); step++) {
		trainer.deadline_ns =
		    kwb_clock_now_ns() + STEP_DEADLINE_MS * KWB_MS_NS;
		trainer_pull_step(&trainer, step, &result);
		pthread_mutex_lock(&session->lock);
		session->steps += result.is_complete;
		session->incomplete += !result.is_complete;
		session->samples += result.received;
		session->doubled += result.doubled;
		session->wrong += result.wrong;
		session->stale += result.stale;
		if (session->healed_ns != 0 && session->step_after_ns == 0 &&
		    result.is_complete)
			session->step_after_ns =
			    kwb_clock_now_ns() - session->healed_ns;
		session->trainer_version = ++trainer.weight_version;
		pthread_mutex_unlock(&session->lock);
	}
	return NULL;
}

/* Asks for answers and checks each against what the engines make. */
static void *
ask(void *argument)
{
	struct worker *worker = argument;
	struct session *session = worker->session;
	unsigned count;

	for (count = 0; !atomic_load(&session->stopping); count++) {
		char url[160], prompt[64], body[160], outcome[16];
		struct kwb_buf answer;
		unsigned entry = entry_for(worker);
		uint64_t begun_ns = kwb_clock_now_ns();
		int status;

		snprintf(prompt, sizeof(prompt), "search %u of caller %u",
		    count, worker->number);
		snprintf(body, sizeof(body),
		    "{\"prompt\":\"%s\",\"seed\":%u,\"max_tokens\":200,"
		    "\"stream\":true}",
		    prompt, count);
		entry_url(session, entry, url);
		strcat(url, "/v1/plans/search/completions");
		kwb_buf_init(&answer);
		status = world_http("POST", url, "X-Kwb-Timeout-Ms: 4000", body,
		    &answer, outcome, CALL_TIMEOUT_MS + CLIENT_SLACK_MS);
		note_broken(session, entry, begun_ns, status);
		pthread_mutex_lock(&session->lock);
		if (status == 200) {
			bool whole =
			    strstr(kwb_buf_text(&answer), "[DONE]") != NULL;

			session->answers += whole;
			if (whole &&
			    !answer_is_true(
				kwb_buf_text(&answer), prompt, count))
				session->wrong_answers++;
			if (!whole && session->planned)
				session->cut_off++;
		} else if (status != 0) {
			session->refused++;
			if (outcome[0] == '\0')
				session->wrong_answers++;
		}
		pthread_mutex_unlock(&session->lock);
		kwb_buf_finish(&answer);
		kwb_clock_sleep_ns(20 * KWB_MS_NS);
	}
	return NULL;
}

static void *
order(void *argument)
{
	struct worker *worker = argument;
	unsigned count;

	for (count = 0; !atomic_load(&worker->session->stopping); count++) {
		order_one(worker, count);
		kwb_clock_sleep_ns(10 * KWB_MS_NS);
	}
	return NULL;
}

/*
 * One order, named in one of three ways. With a key or ticket it is repeated
 * through the other entry while its outcome is not known.
 */
static void
order_one(struct worker *worker, unsigned count)
{
	struct session *session = worker->session;
	char url[160], header[256] = "", outcome[16] = "";
	struct order_record record = {.fate = ORDER_NONE};
	unsigned entry = entry_for(worker), tries, way = count % 3;
	struct kwb_buf answer;
	uint64_t begun_ns;
	int status;

	snprintf(record.body, sizeof(record.body), "order-%u-%u;",
	    worker->number, count);
	kwb_buf_init(&answer);
	if (way == 1)
		snprintf(header, sizeof(header), "Idempotency-Key: k-%u-%u",
		    worker->number, count);
	if (way == 2) {
		entry_url(session, entry, url);
		strcat(url, "/v1/plans/orders/tickets");
		if (world_http("POST", url, NULL, "", &answer, NULL, 2000) !=
		    200) {
			kwb_buf_finish(&answer);
			return;
		}
		snprintf(header, sizeof(header), "X-Kwb-Ticket: %s",
		    kwb_buf_text(&answer));
	}
	for (tries = 0; tries < (way == 0 ? 1 : 4); tries++) {
		entry_url(session, entry, url);
		strcat(url, "/v1/plans/orders/call/orders");
		answer.used_bytes = 0;
		begun_ns = kwb_clock_now_ns();
		status = world_http("POST", url, header[0] ? header : NULL,
		    record.body, &answer, outcome,
		    CALL_TIMEOUT_MS + CLIENT_SLACK_MS);
		note_broken(session, entry, begun_ns, status);
		if (status != 0 && strcmp(outcome, "ran") == 0)
			record.fate = ORDER_RAN;
		else if (status != 0 && strcmp(outcome, "not_run") == 0)
			record.fate = ORDER_NOT_RUN;
		else
			record.fate = ORDER_UNKNOWN;
		if (record.fate != ORDER_UNKNOWN)
			break;
		entry = entry % ENTRIES + 1;
		kwb_clock_sleep_ns(100 * KWB_MS_NS);
	}
	pthread_mutex_lock(&session->lock);
	if (record.fate == ORDER_RAN &&
	    strstr(kwb_buf_text(&answer), record.body) == NULL)
		session->wrong_answers++;
	if (session->orders_count < SESSION_ORDERS_MAX)
		session->orders[session->orders_count++] = record;
	if (session->healed_ns != 0 && session->order_after_ns == 0 &&
	    record.fate == ORDER_RAN)
		session->order_after_ns =
		    kwb_clock_now_ns() - session->healed_ns;
	pthread_mutex_unlock(&session->lock);
	kwb_buf_finish(&answer);
}

/* Tokens of an event stream against the text of the prompt and seed. */
static bool
answer_is_true(const char *text, const char *prompt, uint64_t seed)
{
	uint64_t sequence = fake_sequence_hash(prompt, seed);
	uint32_t length =
	    fake_sequence_length(sequence, LENGTH_MEDIAN, LENGTH_SPREAD);
	char expected[FAKE_TOKEN_MAX_BYTES], token[FAKE_TOKEN_MAX_BYTES];
	unsigned long long version;
	uint32_t index = 0;

	while ((text = strstr(text, "data: {\"token\":\"")) != NULL) {
		if (sscanf(text,
			"data: {\"token\":\"%31[^\"]\",\"version\":%llu", token,
			&version) != 2)
			return false;
		fake_token_text(expected, sequence, index++, version);
		if (strcmp(token, expected) != 0)
			return false;
		text++;
	}
	return index == (length < MAX_TOKENS ? length : MAX_TOKENS);
}

/* As the platform's balancer does: an entry whose health URL is well. */
static unsigned
entry_for(struct worker *worker)
{
	unsigned first = (unsigned)rand_r(&worker->state), tries, entry;
	char url[160];

	for (tries = 0; tries < ENTRIES; tries++) {
		entry = (first + tries) % ENTRIES + 1;
		entry_url(worker->session, entry, url);
		strcat(url, "/health");
		if (world_http("GET", url, NULL, NULL, NULL, NULL, 500) == 200)
			return entry;
	}
	return first % ENTRIES + 1;
}

static void
entry_url(struct session *session, unsigned entry, char *url)
{
	char name[WORLD_NAME_BYTES];

	snprintf(name, sizeof(name), "entry-%u", entry);
	world_url(&session->world, name, url, 64);
}

/* Cut off: no whole answer though every stop was planned. Hung: too late. */
static void
note_broken(
    struct session *session, unsigned entry, uint64_t begun_ns, int status)
{
	uint64_t passed_ns = kwb_clock_now_ns() - begun_ns;

	pthread_mutex_lock(&session->lock);
	if (status == 0 && session->planned)
		session->cut_off++;
	if (passed_ns >= (CALL_TIMEOUT_MS + CLIENT_SLACK_MS) * KWB_MS_NS &&
	    entry != session->frozen_entry)
		session->hung++;
	pthread_mutex_unlock(&session->lock);
}

/* Publishes the trainer's newest weights, again until the store has them. */
static void
publish_newest(struct session *session, uint64_t *published)
{
	uint64_t newest;

	pthread_mutex_lock(&session->lock);
	newest = session->trainer_version;
	pthread_mutex_unlock(&session->lock);
	if (newest > *published && world_publish(&session->world, "m", newest))
		*published = newest;
}

/* Watches what the upstreams run, and the revisions that entries are at. */
static void *
sample(void *argument)
{
	struct worker *worker = argument;
	uint64_t seen[ENTRIES + 1] = {0}, published = 1;
	unsigned count;

	for (count = 0; !atomic_load(&worker->session->stopping); count++) {
		publish_newest(worker->session, &published);
		sample_allowance(worker->session);
		if (count % 8 == 0)
			sample_revisions(worker->session, seen);
		kwb_clock_sleep_ns(20 * KWB_MS_NS);
	}
	return NULL;
}

/* A round that took long is not one moment, and is left out. */
static void
sample_allowance(struct session *session)
{
	uint64_t begun_ns = kwb_clock_now_ns();
	json_int_t quotes = 0, search = 0, orders = 0;
	char url[160], name[WORLD_NAME_BYTES];
	json_t *root, *models;
	struct kwb_buf text;
	unsigned i;

	for (i = 1; i <= ENGINES + SERVICES; i++) {
		bool engine = i <= ENGINES;

		snprintf(
		    name, sizeof(name), engine ? "engine-%u" : "service-%u", i);
		world_url(&session->world, name, url, 64);
		strcat(url, engine ? "/load" : "/health");
		kwb_buf_init(&text);
		world_http("GET", url, NULL, NULL, &text, NULL, 200);
		root = json_loads(kwb_buf_text(&text), 0, NULL);
		models = json_object_get(root, "models");
		quotes += json_integer_value(
		    json_object_get(json_object_get(models, "m"), "running"));
		search += json_integer_value(
		    json_object_get(json_object_get(models, "c"), "running"));
		if (!engine)
			orders += json_integer_value(
			    json_object_get(root, "running"));
		json_decref(root);
		kwb_buf_finish(&text);
	}
	if (kwb_clock_now_ns() - begun_ns > SAMPLE_ROUND_NS)
		return;
	if (quotes > QUOTES_UNITS || search > SEARCH_UNITS ||
	    orders > ORDERS_UNITS) {
		pthread_mutex_lock(&session->lock);
		session->over_allowance++;
		pthread_mutex_unlock(&session->lock);
	}
}

/* A revision of 0 is an entry that has none yet and decides nothing. */
static void
sample_revisions(struct session *session, uint64_t *seen)
{
	unsigned entry;

	for (entry = 1; entry <= ENTRIES; entry++) {
		char url[160];
		struct kwb_buf text;
		uint64_t revision;
		const char *at;

		entry_url(session, entry, url);
		strcat(url, "/status");
		kwb_buf_init(&text);
		world_http("GET", url, NULL, NULL, &text, NULL, 200);
		at = strstr(kwb_buf_text(&text), "\"lists_revision\":");
		revision = at ? strtoull(at + 17, NULL, 10) : 0;
		if (revision != 0 && revision < seen[entry])
			session->reverted++;
		if (revision > seen[entry])
			seen[entry] = revision;
		kwb_buf_finish(&text);
	}
}

/* An operator who changes something every second or so. */
static void *
edit(void *argument)
{
	struct worker *worker = argument;
	unsigned count;

	for (count = 0; !atomic_load(&worker->session->stopping); count++) {
		char assignment[32];
		const char *arguments[] = {"--wait-ms", "0", "edit",
		    "allowance", "search", assignment, NULL};

		snprintf(
		    assignment, sizeof(assignment), "queue=%u", 100 + count);
		world_ctl(&worker->session->world, arguments, "/dev/null");
		kwb_clock_sleep_ns(700 * KWB_MS_NS);
	}
	return NULL;
}

/* After healing, a change is in force everywhere within the bound. */
static void
judge_force(struct session *session)
{
	char wait[16];
	/* Not the entry that the other operator still edits: that conflicts. */
	const char *arguments[] = {
	    "--wait-ms", wait, "edit", "allowance", "quotes", "queue=99", NULL};
	uint64_t begun_ns = kwb_clock_now_ns();
	int code;

	snprintf(wait, sizeof(wait), "%u", FORCE_MS);
	code = world_ctl(&session->world, arguments, "/dev/null");
	if (code != 0)
		session_fail(session,
		    "a change not in force after %u ms: kwbctl says %d",
		    (unsigned)((kwb_clock_now_ns() - begun_ns) / KWB_MS_NS),
		    code);
}

static void
judge(struct session *session)
{
	if (session->steps == 0 || session->incomplete > 0)
		session_fail(session, "%u steps whole, %u not", session->steps,
		    session->incomplete);
	if (session->doubled > 0)
		session_fail(session, "%u samples doubled", session->doubled);
	if (session->wrong > 0)
		session_fail(session, "%u samples not as made", session->wrong);
	if (session->stale > 0)
		session_fail(
		    session, "%u samples over the bound", session->stale);
	if (session->answers == 0 || session->wrong_answers > 0)
		session_fail(session, "%u answers, %u wrong", session->answers,
		    session->wrong_answers);
	if (session->hung > 0)
		session_fail(session, "%u requests hung", session->hung);
	if (session->cut_off > 0)
		session_fail(session, "%u requests cut off", session->cut_off);
	if (session->over_allowance > 0)
		session_fail(session, "over the allowance in %u rounds",
		    session->over_allowance);
	if (session->reverted > 0)
		session_fail(
		    session, "the lists reverted %u times", session->reverted);
	judge_orders(session);
}

/* Each order against the services' own journals. */
static void
judge_orders(struct session *session)
{
	struct kwb_buf journal;
	char url[160], name[WORLD_NAME_BYTES];
	unsigned i, ran = 0, lost = 0, false_not_run = 0, doubled = 0;

	kwb_buf_init(&journal);
	for (i = 1; i <= SERVICES; i++) {
		snprintf(name, sizeof(name), "service-%u", ENGINES + i);
		world_url(&session->world, name, url, 64);
		strcat(url, "/journal");
		world_http("GET", url, NULL, NULL, &journal, NULL, 2000);
	}
	for (i = 0; i < session->orders_count; i++) {
		const struct order_record *record = &session->orders[i];
		const char *at = kwb_buf_text(&journal);
		unsigned times = 0;

		while ((at = strstr(at, record->body)) != NULL) {
			times++;
			at++;
		}
		ran += record->fate == ORDER_RAN;
		doubled += times > 1;
		lost += record->fate == ORDER_RAN && times == 0;
		false_not_run += record->fate == ORDER_NOT_RUN && times > 0;
	}
	if (ran == 0)
		session_fail(
		    session, "no order ran of %u", session->orders_count);
	if (doubled > 0)
		session_fail(session, "%u orders ran twice", doubled);
	if (lost > 0)
		session_fail(
		    session, "%u orders said to have run had not", lost);
	if (false_not_run > 0)
		session_fail(session, "%u orders said not to have run had",
		    false_not_run);
	kwb_buf_finish(&journal);
}

/* Requests begun at the upstream that leaves; -1 when none does. */
static int64_t
leaver_started(
    struct session *session, const struct fault *fault, unsigned index)
{
	char name[WORLD_NAME_BYTES];

	if (fault->leaver == NULL)
		return -1;
	if (strcmp(fault->leaver, "llm") == 0)
		snprintf(name, sizeof(name), "engine-%u", index % ENGINES + 1);
	else
		snprintf(name, sizeof(name), "service-%u",
		    ENGINES + index % SERVICES + 1);
	return world_get(&session->world, name,
	    strcmp(fault->leaver, "llm") == 0 ? "started" : "ran");
}
