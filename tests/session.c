/*
 * Fault sessions: load, faults, and checks of what the clients saw.
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
#define ORDER_CLIENTS 3
#define ENTRIES 2
#define ENGINES 3
#define SERVICES 2
#define WARM_UP_MS 1000
#define RECOVERY_MS 3500
#define CALL_TIMEOUT_MS 4000
#define CLIENT_SLACK_MS 1500 /* beyond the call's timeout, before it hung */
#define STEP_DEADLINE_MS 30000
#define RESEND_MS 6000
#define QUOTES_UNITS 20
#define SEARCH_UNITS 6
#define ORDERS_UNITS 6
#define LENGTH_MEDIAN 60
#define LENGTH_SPREAD 60
#define MAX_TOKENS 200
#define STALENESS_BOUND_VERSIONS 2
#define LEAVING_GRACE_MS 3000 /* until a leaving upstream gets nothing new */
#define IN_FORCE_MAX_MS 6000  /* until a change is in force everywhere */
#define MONITOR_ROUND_MAX_NS (30 * KWB_MS_NS)

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

/* A thread that makes load, monitors or edits. */
struct worker {
	struct session *session;
	unsigned number;
	unsigned random_state;
	pthread_t thread;
};

static void *run_trainer(void *argument);
static void *run_caller(void *argument);
static void *run_order_client(void *argument);
static void *run_monitor(void *argument);
static void *run_operator(void *argument);
static void place_order(struct worker *worker, unsigned count);
static bool is_expected_answer(
    const char *text, const char *prompt, uint64_t seed);
static unsigned pick_healthy_entry(struct worker *worker);
static void print_entry_url(struct session *session, unsigned entry, char *url);
static void count_broken_request(
    struct session *session, unsigned entry, uint64_t started_ns, int status);
static void check_running_requests(struct session *session);
static void check_revisions(struct session *session, uint64_t *seen);
static void verify_session(struct session *session);
static void verify_order_outcomes(struct session *session);
static void verify_change_in_force(struct session *session);
static int64_t leaving_upstream_requests(
    struct session *session, const struct fault *fault, unsigned index);

bool
session_run(struct session *session, const struct fault *first,
    const struct fault *second, uint64_t seed)
{
	struct cluster_spec spec = {.entries = ENTRIES,
	    .engines = ENGINES,
	    .services = SERVICES,
	    .failure_domains = 2,
	    .has_relays = true,
	    .models = "m,c",
	    .slots = 16,
	    .interactive_reserve = 2,
	    .engine_args = "--token_us 3000 --length_median 60 "
			   "--length_spread 60",
	    .lists = lists_text};
	struct worker workers[CALLERS + ORDER_CLIENTS + 3];
	unsigned i, count = 0, index = (unsigned)(seed * 7919 % 65536);
	int64_t before = -1, after = -1;

	memset(session, 0, sizeof(*session));
	pthread_mutex_init(&session->lock, NULL);
	session->seed = seed;
	session->is_planned = (first == NULL || first->is_planned) &&
	    (second == NULL || second->is_planned);
	if (cluster_start(&session->cluster, &spec) != 0) {
		session_fail(session, "the test cluster did not start");
		cluster_stop(&session->cluster);
		return false;
	}
	for (i = 0; i < CALLERS + ORDER_CLIENTS + 3; i++) {
		static void *(*const runs[])(void *) = {
		    run_trainer, run_monitor, run_operator};

		workers[i].session = session;
		workers[i].number = i;
		workers[i].random_state = (unsigned)seed * 131 + i;
		pthread_create(&workers[i].thread, NULL,
		    i < 3		  ? runs[i]
			: i < 3 + CALLERS ? run_caller
					  : run_order_client,
		    &workers[i]);
		count++;
	}
	kwb_clock_sleep_ns(WARM_UP_MS * KWB_MS_NS);
	atomic_store(&session->has_fault, true);
	if (first != NULL) {
		first->inject(session, index);
		if (second != NULL) {
			kwb_clock_sleep_ns((seed % 10) * 100 * KWB_MS_NS);
			second->inject(session, index / 7);
		}
		kwb_clock_sleep_ns(LEAVING_GRACE_MS * KWB_MS_NS);
		before = leaving_upstream_requests(session, first, index);
		kwb_clock_sleep_ns(
		    (first->duration_ms - LEAVING_GRACE_MS) * KWB_MS_NS);
		after = leaving_upstream_requests(session, first, index);
		if (before != after)
			session_fail(session,
			    "%lld new requests sent to a leaving upstream",
			    (long long)(after - before));
		if (second != NULL)
			second->heal(session, index / 7);
		first->heal(session, index);
	}
	session->healed_ns = kwb_clock_now_ns();
	atomic_store(&session->has_fault, false);
	kwb_clock_sleep_ns(RECOVERY_MS * KWB_MS_NS);
	verify_change_in_force(session);
	atomic_store(&session->is_stopping, true);
	for (i = 0; i < count; i++)
		pthread_join(workers[i].thread, NULL);
	verify_session(session);
	cluster_stop(&session->cluster);
	return session->failures_count == 0;
}

void
session_fail(struct session *session, const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&session->lock);
	if (session->failures_count < SESSION_FAILURES_MAX) {
		va_start(args, format);
		vsnprintf(session->failures[session->failures_count++],
		    sizeof(session->failures[0]), format, args);
		va_end(args);
	}
	pthread_mutex_unlock(&session->lock);
}

/* Pulls step after step; each makes a new weight version to be published. */
static void *
run_trainer(void *argument)
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
	    .staleness_bound_versions = STALENESS_BOUND_VERSIONS,
	    .length_median = LENGTH_MEDIAN,
	    .length_spread_percent = LENGTH_SPREAD,
	    .attempt_timeout_ms = RESEND_MS};
	struct trainer_result result;
	uint64_t step;
	unsigned i;

	for (i = 0; i < ENTRIES; i++) {
		print_entry_url(session, i + 1, urls[i]);
		trainer.entries[i] = urls[i];
	}
	for (step = 1; !atomic_load(&session->is_stopping); step++) {
		trainer.deadline_ns =
		    kwb_clock_now_ns() + STEP_DEADLINE_MS * KWB_MS_NS;
		trainer_pull_step(&trainer, step, &result);
		pthread_mutex_lock(&session->lock);
		session->complete_steps += result.is_complete;
		session->incomplete_steps += !result.is_complete;
		session->samples += result.received;
		session->duplicate_samples += result.doubled;
		session->wrong_samples += result.wrong;
		session->stale_samples += result.stale;
		if (session->healed_ns != 0 && session->step_recovery_ns == 0 &&
		    result.is_complete)
			session->step_recovery_ns =
			    kwb_clock_now_ns() - session->healed_ns;
		session->trainer_version = ++trainer.weight_version;
		pthread_mutex_unlock(&session->lock);
	}
	return NULL;
}

/* Sends interactive calls and compares each answer with the expected tokens. */
static void *
run_caller(void *argument)
{
	struct worker *worker = argument;
	struct session *session = worker->session;
	unsigned count;

	for (count = 0; !atomic_load(&session->is_stopping); count++) {
		char url[160], prompt[64], body[160], outcome[16];
		struct kwb_buf answer;
		unsigned entry = pick_healthy_entry(worker);
		uint64_t started_ns = kwb_clock_now_ns();
		int status;

		snprintf(prompt, sizeof(prompt), "search %u of caller %u",
		    count, worker->number);
		snprintf(body, sizeof(body),
		    "{\"prompt\":\"%s\",\"seed\":%u,\"max_tokens\":200,"
		    "\"stream\":true}",
		    prompt, count);
		print_entry_url(session, entry, url);
		strcat(url, "/v1/plans/search/completions");
		kwb_buf_init(&answer);
		status = cluster_http_request("POST", url,
		    "X-Kwb-Timeout-Ms: 4000", body, &answer, outcome,
		    CALL_TIMEOUT_MS + CLIENT_SLACK_MS);
		count_broken_request(session, entry, started_ns, status);
		pthread_mutex_lock(&session->lock);
		if (status == 200) {
			bool is_complete =
			    strstr(kwb_buf_text(&answer), "[DONE]") != NULL;

			session->answers += is_complete;
			if (is_complete &&
			    !is_expected_answer(
				kwb_buf_text(&answer), prompt, count))
				session->wrong_answers++;
			if (!is_complete && session->is_planned)
				session->cut_off_requests++;
		} else if (status != 0) {
			session->refused_requests++;
			if (outcome[0] == '\0')
				session->wrong_answers++;
		}
		pthread_mutex_unlock(&session->lock);
		kwb_buf_finish(&answer);
		kwb_clock_sleep_ns(20 * KWB_MS_NS);
	}
	return NULL;
}

/* Sends orders one after the other. */
static void *
run_order_client(void *argument)
{
	struct worker *worker = argument;
	unsigned count;

	for (count = 0; !atomic_load(&worker->session->is_stopping); count++) {
		place_order(worker, count);
		kwb_clock_sleep_ns(10 * KWB_MS_NS);
	}
	return NULL;
}

/*
 * Places one order: without a name, with an idempotency key, or with a ticket.
 * With a key or ticket it is sent up to four times, alternating between the
 * entries, while its outcome is unknown.
 */
static void
place_order(struct worker *worker, unsigned count)
{
	struct session *session = worker->session;
	char url[160], header[256] = "", outcome_name[16] = "";
	struct order_record record = {.outcome = ORDER_NONE};
	unsigned entry = pick_healthy_entry(worker), attempt,
		 naming = count % 3;
	struct kwb_buf answer;
	uint64_t started_ns;
	int status;

	snprintf(record.body, sizeof(record.body), "order-%u-%u;",
	    worker->number, count);
	kwb_buf_init(&answer);
	if (naming == 1)
		snprintf(header, sizeof(header), "Idempotency-Key: k-%u-%u",
		    worker->number, count);
	if (naming == 2) {
		print_entry_url(session, entry, url);
		strcat(url, "/v1/plans/orders/tickets");
		if (cluster_http_request(
			"POST", url, NULL, "", &answer, NULL, 2000) != 200) {
			kwb_buf_finish(&answer);
			return;
		}
		snprintf(header, sizeof(header), "X-Kwb-Ticket: %s",
		    kwb_buf_text(&answer));
	}
	for (attempt = 0; attempt < (naming == 0 ? 1 : 4); attempt++) {
		print_entry_url(session, entry, url);
		strcat(url, "/v1/plans/orders/call/orders");
		answer.used_bytes = 0;
		started_ns = kwb_clock_now_ns();
		status = cluster_http_request("POST", url,
		    header[0] ? header : NULL, record.body, &answer,
		    outcome_name, CALL_TIMEOUT_MS + CLIENT_SLACK_MS);
		count_broken_request(session, entry, started_ns, status);
		if (status != 0 && strcmp(outcome_name, "ran") == 0)
			record.outcome = ORDER_RAN;
		else if (status != 0 && strcmp(outcome_name, "not_run") == 0)
			record.outcome = ORDER_NOT_RUN;
		else
			record.outcome = ORDER_UNKNOWN;
		if (record.outcome != ORDER_UNKNOWN)
			break;
		entry = entry % ENTRIES + 1;
		kwb_clock_sleep_ns(100 * KWB_MS_NS);
	}
	pthread_mutex_lock(&session->lock);
	if (record.outcome == ORDER_RAN &&
	    strstr(kwb_buf_text(&answer), record.body) == NULL)
		session->wrong_answers++;
	if (session->orders_count < SESSION_ORDERS_MAX)
		session->orders[session->orders_count++] = record;
	if (session->healed_ns != 0 && session->order_recovery_ns == 0 &&
	    record.outcome == ORDER_RAN)
		session->order_recovery_ns =
		    kwb_clock_now_ns() - session->healed_ns;
	pthread_mutex_unlock(&session->lock);
	kwb_buf_finish(&answer);
}

/* Whether an event stream holds the tokens that a prompt and seed produce. */
static bool
is_expected_answer(const char *text, const char *prompt, uint64_t seed)
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

/* Picks an entry whose /health answers 200, as the platform's balancer does. */
static unsigned
pick_healthy_entry(struct worker *worker)
{
	unsigned first = (unsigned)rand_r(&worker->random_state), attempt,
		 entry;
	char url[160];

	for (attempt = 0; attempt < ENTRIES; attempt++) {
		entry = (first + attempt) % ENTRIES + 1;
		print_entry_url(worker->session, entry, url);
		strcat(url, "/health");
		if (cluster_http_request(
			"GET", url, NULL, NULL, NULL, NULL, 500) == 200)
			return entry;
	}
	return first % ENTRIES + 1;
}

/* The buffer has 64 bytes at least. */
static void
print_entry_url(struct session *session, unsigned entry, char *url)
{
	char name[CLUSTER_NAME_MAX_BYTES];

	snprintf(name, sizeof(name), "entry-%u", entry);
	cluster_print_url(&session->cluster, name, url, 64);
}

/*
 * Counts requests that were cut off (no is_complete answer, though all faults
 * were planned stops) or hung (not answered in time by an entry that runs).
 */
static void
count_broken_request(
    struct session *session, unsigned entry, uint64_t started_ns, int status)
{
	uint64_t elapsed_ns = kwb_clock_now_ns() - started_ns;

	pthread_mutex_lock(&session->lock);
	if (status == 0 && session->is_planned)
		session->cut_off_requests++;
	if (elapsed_ns >= (CALL_TIMEOUT_MS + CLIENT_SLACK_MS) * KWB_MS_NS &&
	    entry != session->frozen_entry)
		session->hung_requests++;
	pthread_mutex_unlock(&session->lock);
}

/* Publishes the trainer's newest weights; callers repeat it until stored. */
static void
publish_newest(struct session *session, uint64_t *published)
{
	uint64_t newest;

	pthread_mutex_lock(&session->lock);
	newest = session->trainer_version;
	pthread_mutex_unlock(&session->lock);
	if (newest > *published &&
	    cluster_publish_weights(&session->cluster, "m", newest))
		*published = newest;
}

/* Publishes weights and monitors running requests and list revisions. */
static void *
run_monitor(void *argument)
{
	struct worker *worker = argument;
	uint64_t seen[ENTRIES + 1] = {0}, published = 1;
	unsigned count;

	for (count = 0; !atomic_load(&worker->session->is_stopping); count++) {
		publish_newest(worker->session, &published);
		check_running_requests(worker->session);
		if (count % 8 == 0)
			check_revisions(worker->session, seen);
		kwb_clock_sleep_ns(20 * KWB_MS_NS);
	}
	return NULL;
}

/*
 * Checks that the upstreams together run no more of a plan than its allowance.
 * They are read one after the other: a round longer than MONITOR_ROUND_MAX_NS
 * doesn't show one moment and is left out.
 */
static void
check_running_requests(struct session *session)
{
	uint64_t started_ns = kwb_clock_now_ns();
	json_int_t quotes = 0, search = 0, orders = 0;
	char url[160], name[CLUSTER_NAME_MAX_BYTES];
	json_t *root, *models;
	struct kwb_buf text;
	unsigned i;

	for (i = 1; i <= ENGINES + SERVICES; i++) {
		bool is_engine = i <= ENGINES;

		snprintf(name, sizeof(name),
		    is_engine ? "engine-%u" : "service-%u", i);
		cluster_print_url(&session->cluster, name, url, 64);
		strcat(url, is_engine ? "/load" : "/health");
		kwb_buf_init(&text);
		cluster_http_request("GET", url, NULL, NULL, &text, NULL, 200);
		root = json_loads(kwb_buf_text(&text), 0, NULL);
		models = json_object_get(root, "models");
		quotes += json_integer_value(
		    json_object_get(json_object_get(models, "m"), "running"));
		search += json_integer_value(
		    json_object_get(json_object_get(models, "c"), "running"));
		if (!is_engine)
			orders += json_integer_value(
			    json_object_get(root, "running"));
		json_decref(root);
		kwb_buf_finish(&text);
	}
	if (kwb_clock_now_ns() - started_ns > MONITOR_ROUND_MAX_NS)
		return;
	if (quotes > QUOTES_UNITS || search > SEARCH_UNITS ||
	    orders > ORDERS_UNITS) {
		pthread_mutex_lock(&session->lock);
		session->rounds_over_allowance++;
		pthread_mutex_unlock(&session->lock);
	}
}

/*
 * Checks that no entry goes back to an older revision of the lists. Revision 0
 * means that an entry has no lists yet; it admits nothing then.
 */
static void
check_revisions(struct session *session, uint64_t *seen)
{
	unsigned entry;

	for (entry = 1; entry <= ENTRIES; entry++) {
		char url[160];
		struct kwb_buf text;
		uint64_t revision;
		const char *at;

		print_entry_url(session, entry, url);
		strcat(url, "/status");
		kwb_buf_init(&text);
		cluster_http_request("GET", url, NULL, NULL, &text, NULL, 200);
		at = strstr(kwb_buf_text(&text), "\"lists_revision\":");
		revision = at ? strtoull(at + 17, NULL, 10) : 0;
		if (revision != 0 && revision < seen[entry])
			session->revision_decreases++;
		if (revision > seen[entry])
			seen[entry] = revision;
		kwb_buf_finish(&text);
	}
}

/* Edits an allowance every 700 ms, as an operator would. */
static void *
run_operator(void *argument)
{
	struct worker *worker = argument;
	unsigned count;

	for (count = 0; !atomic_load(&worker->session->is_stopping); count++) {
		char assignment[32];
		const char *arguments[] = {"--wait-ms", "0", "edit",
		    "allowance", "search", assignment, NULL};

		snprintf(
		    assignment, sizeof(assignment), "queue=%u", 100 + count);
		cluster_run_kwbctl(
		    &worker->session->cluster, arguments, "/dev/null");
		kwb_clock_sleep_ns(700 * KWB_MS_NS);
	}
	return NULL;
}

/* After healing, a change must be in force everywhere in IN_FORCE_MAX_MS. */
static void
verify_change_in_force(struct session *session)
{
	char wait[16];
	/* Not the plan that run_operator still edits: edits would conflict. */
	const char *arguments[] = {
	    "--wait-ms", wait, "edit", "allowance", "quotes", "queue=99", NULL};
	uint64_t started_ns = kwb_clock_now_ns();
	int code;

	snprintf(wait, sizeof(wait), "%u", IN_FORCE_MAX_MS);
	code = cluster_run_kwbctl(&session->cluster, arguments, "/dev/null");
	if (code != 0)
		session_fail(session,
		    "a change is not in force after %u ms: kwbctl exits %d",
		    (unsigned)((kwb_clock_now_ns() - started_ns) / KWB_MS_NS),
		    code);
}

/* Turns the results of the whole session into failures. */
static void
verify_session(struct session *session)
{
	if (session->complete_steps == 0 || session->incomplete_steps > 0)
		session_fail(session, "%u steps complete, %u not",
		    session->complete_steps, session->incomplete_steps);
	if (session->duplicate_samples > 0)
		session_fail(session, "%u samples delivered twice",
		    session->duplicate_samples);
	if (session->wrong_samples > 0)
		session_fail(session, "%u samples with wrong content",
		    session->wrong_samples);
	if (session->stale_samples > 0)
		session_fail(session, "%u samples over the staleness bound",
		    session->stale_samples);
	if (session->answers == 0 || session->wrong_answers > 0)
		session_fail(session, "%u answers, %u wrong", session->answers,
		    session->wrong_answers);
	if (session->hung_requests > 0)
		session_fail(
		    session, "%u requests hung", session->hung_requests);
	if (session->cut_off_requests > 0)
		session_fail(
		    session, "%u requests cut off", session->cut_off_requests);
	if (session->rounds_over_allowance > 0)
		session_fail(session, "more running than allowed in %u rounds",
		    session->rounds_over_allowance);
	if (session->revision_decreases > 0)
		session_fail(session,
		    "an entry went back to older lists %u times",
		    session->revision_decreases);
	verify_order_outcomes(session);
}

/* Compares the outcome of each order with the journals of the services. */
static void
verify_order_outcomes(struct session *session)
{
	struct kwb_buf journal;
	char url[160], name[CLUSTER_NAME_MAX_BYTES];
	unsigned i, ran = 0, lost = 0, ran_though_not_run = 0, doubled = 0;

	kwb_buf_init(&journal);
	for (i = 1; i <= SERVICES; i++) {
		snprintf(name, sizeof(name), "service-%u", ENGINES + i);
		cluster_print_url(&session->cluster, name, url, 64);
		strcat(url, "/journal");
		cluster_http_request(
		    "GET", url, NULL, NULL, &journal, NULL, 2000);
	}
	for (i = 0; i < session->orders_count; i++) {
		const struct order_record *record = &session->orders[i];
		const char *at = kwb_buf_text(&journal);
		unsigned times = 0;

		while ((at = strstr(at, record->body)) != NULL) {
			times++;
			at++;
		}
		ran += record->outcome == ORDER_RAN;
		doubled += times > 1;
		lost += record->outcome == ORDER_RAN && times == 0;
		ran_though_not_run +=
		    record->outcome == ORDER_NOT_RUN && times > 0;
	}
	if (ran == 0)
		session_fail(
		    session, "none of %u orders ran", session->orders_count);
	if (doubled > 0)
		session_fail(session, "%u orders ran twice", doubled);
	if (lost > 0)
		session_fail(
		    session, "%u orders reported as run did not run", lost);
	if (ran_though_not_run > 0)
		session_fail(session, "%u orders reported as not run did run",
		    ran_though_not_run);
	kwb_buf_finish(&journal);
}

/*
 * Returns how many requests the leaving upstream has started so far, or -1 when
 * the fault makes none leave.
 */
static int64_t
leaving_upstream_requests(
    struct session *session, const struct fault *fault, unsigned index)
{
	char name[CLUSTER_NAME_MAX_BYTES];

	if (fault->leaving_pool == NULL)
		return -1;
	if (strcmp(fault->leaving_pool, "llm") == 0)
		snprintf(name, sizeof(name), "engine-%u", index % ENGINES + 1);
	else
		snprintf(name, sizeof(name), "service-%u",
		    ENGINES + index % SERVICES + 1);
	return cluster_get_control(&session->cluster, name,
	    strcmp(fault->leaving_pool, "llm") == 0 ? "started" : "ran");
}
