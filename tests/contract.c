/*
 * Contract tests of the protocol between entries and agents: a client without
 * any logic of an entry sends frames to real agents. The fake engine ignores
 * fencing tokens, so that only the agent can refuse old ones; the fake service
 * counts its calls. Each case of a table sends one frame and checks the answer.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "../src/wire/wire.h"
#include "world.h"

#define ANSWER_TIMEOUT_MS 4000
#define LLM_AGENT_PORT_OFFSET 16
#define SHOP_AGENT_PORT_OFFSET 17

static struct cluster world;

static const char lists_text[] =
    "plans:\n"
    "  - {name: quotes, customer: a, kind: training, pool: llm, model: m}\n"
    "  - {name: orders, customer: a, kind: service, pool: shop}\n"
    "allowances:\n"
    "  - {plan: quotes, concurrent: 4, queue: 4}\n"
    "  - {plan: orders, concurrent: 2, queue: 4}\n";

/* A connection to an agent, and what the agent's hello said. */
struct client {
	int fd;	       /* -1 once the agent has closed it */
	bool is_reset; /* by a TCP reset */
	struct kwb_buf in;
	uint64_t incarnation;
	uint64_t revision;     /* of the agent's lists */
	uint32_t last_outcome; /* of the last Done frame that was skipped */
};

static unsigned passed, failed;

/* Connects to a port of the cluster, counted from its base. */
static void client_open(struct client *client, unsigned port);
static void client_close(struct client *client);
static bool client_send(struct client *client, Kwb__Wire__Frame *frame);
static Kwb__Wire__Frame *client_wait_frame(struct client *client,
    Kwb__Wire__Frame__BodyCase kind, uint64_t request, uint32_t timeout_ms);
static void check(bool is_right, const char *name, const char *detail);
static void check_calls(struct cluster *cluster);
static void check_weight_orders(struct cluster *cluster);
static void check_stream_across_swap(void);
static void check_attempt_fencing(void);
static void check_silent_links(void);
static void check_cut_answers(void);
static void check_broken_answers(void);
static void check_endless_answers(void);
static void check_stop_under_load(struct cluster *cluster);
static void check_broken_stream(struct cluster *cluster);
static void check_endless_streams(struct cluster *cluster);
static void check_share_in_outage(struct cluster *cluster);
static uint32_t units_held(const Kwb__Wire__Status *status, const char *plan);
static void check_malformed_frames(void);

int
main(void)
{
	struct cluster_spec spec = {.entries = 1,
	    .engines = 1,
	    .services = 1,
	    .failure_domains = 1,
	    .models = "m",
	    .slots = 8,
	    .interactive_reserve = 1,
	    .engine_args = "--ignore_fence 1 --token_us 3000",
	    .lists = lists_text};

	kwb_log_init("contract", KWB_LOG_ERROR);
	kwb_http_init();
	signal(SIGPIPE, SIG_IGN);
	check(cluster_start(&world, &spec) == 0, "the cluster starts", "");
	check_calls(&world);
	check_weight_orders(&world);
	check_attempt_fencing();
	check_stream_across_swap();
	check_silent_links();
	check_share_in_outage(&world);
	check_malformed_frames();
	check_cut_answers();
	check_broken_answers();
	check_endless_answers();
	check_broken_stream(&world);
	check_endless_streams(&world);
	check_stop_under_load(&world);
	cluster_stop(&world);
	printf("contract tests: %u passed, %u failed\n", passed, failed);
	return failed > 0;
}

/*
 * Calls: one key runs once and its answer is replayed; a query for an unknown
 * key bars that key for good; stale lists, an earlier incarnation and a key
 * older than the journal's retention are refused.
 */
static void
check_calls(struct cluster *cluster)
{
	static const struct {
		const char *name;
		const char *key;
		bool is_query;		   /* sends a Query, otherwise a Run */
		int revision_behind;	   /* older lists than the agent's */
		int incarnation_behind;	   /* an earlier incarnation */
		uint64_t minted_before_ms; /* age of the key */
		enum kwb_outcome outcome;
		int error;
	} cases[] = {
	    {"a call runs", "k1", false, 0, 0, 0, KWB_OUTCOME_RAN, 0},
	    {"the same key is replayed", "k1", false, 0, 0, 0, KWB_OUTCOME_RAN,
		0},
	    {"a query for it is replayed", "k1", true, 0, 0, 0, KWB_OUTCOME_RAN,
		0},
	    {"a query bars an unknown key", "k2", true, 0, 0, 0,
		KWB_OUTCOME_NOT_RUN, KWB_ERR_CALL_BARRED},
	    {"a barred key never runs", "k2", false, 0, 0, 0,
		KWB_OUTCOME_NOT_RUN, KWB_ERR_CALL_BARRED},
	    {"old lists are refused", "k3", false, 1, 0, 0, KWB_OUTCOME_NOT_RUN,
		KWB_ERR_CALL_STALE_LISTS},
	    {"an earlier incarnation is refused", "k4", false, 0, 1, 0,
		KWB_OUTCOME_NOT_RUN, KWB_ERR_CALL_INCARNATION},
	    {"a query for an earlier incarnation has outcome unknown", "k5",
		true, 0, 1, 0, KWB_OUTCOME_UNKNOWN, KWB_ERR_CALL_INCARNATION},
	    {"a key older than the retention has outcome unknown", "k6", false,
		0, 0, KWB_JOB_RETENTION_MS, KWB_OUTCOME_UNKNOWN,
		KWB_ERR_CALL_FORGOTTEN},
	    {"a run without a key is refused", "", false, 0, 0, 0,
		KWB_OUTCOME_NOT_RUN, KWB_ERR_ARGUMENT},
	};
	struct client client;
	size_t i;

	client_open(&client, SHOP_AGENT_PORT_OFFSET);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		Kwb__Wire__Run run = KWB__WIRE__RUN__INIT;
		KWB_FRAME_DECLARE(run_frame, RUN, run, run);
		Kwb__Wire__Query query = KWB__WIRE__QUERY__INIT;
		KWB_FRAME_DECLARE(query_frame, QUERY, query, query);
		Kwb__Wire__Frame *answer;
		char detail[96];

		run.request = query.request = i + 1;
		run.key = query.key = (char *)cases[i].key;
		run.plan = "orders";
		run.method = "POST";
		run.path = "/orders";
		run.content_type = "text/plain";
		run.budget_ms = 2000;
		run.priority = 1;
		run.minted_ms = kwb_clock_wall_ms() - cases[i].minted_before_ms;
		run.lists_revision =
		    client.revision - (uint64_t)cases[i].revision_behind;
		run.agent_incarnation = query.agent_incarnation =
		    client.incarnation - (uint64_t)cases[i].incarnation_behind;
		run.body.data = (uint8_t *)cases[i].key;
		run.body.len = strlen(cases[i].key);
		client_send(
		    &client, cases[i].is_query ? &query_frame : &run_frame);
		answer = client_wait_frame(&client, KWB__WIRE__FRAME__BODY_DONE,
		    i + 1, ANSWER_TIMEOUT_MS);
		snprintf(detail, sizeof(detail), "%s, %s",
		    answer ? kwb_outcome_name(answer->done->outcome) : "none",
		    answer ? kwb_error_name(answer->done->error) : "none");
		check(answer != NULL &&
			answer->done->outcome == cases[i].outcome &&
			answer->done->error == cases[i].error,
		    cases[i].name, detail);
		kwb_frame_free(answer);
	}
	client_close(&client);
	check(cluster_get_control(cluster, "service-2", "ran") == 1,
	    "the service ran exactly one call", "");
}

/*
 * Weight orders with a lower fencing token must be refused by the agent, since
 * its engine ignores tokens.
 */
static void
check_weight_orders(struct cluster *cluster)
{
	static const struct {
		const char *name;
		uint64_t token;
		uint64_t version;
		int error;
		uint64_t version_after;
	} cases[] = {
	    {"an order loads a version", 50, 2, 0, 2},
	    {"a lower token is refused", 49, 3, KWB_ERR_CALL_FENCED, 2},
	    {"the same token loads a later version", 50, 3, 0, 3},
	    {"a version never goes back", 51, 1, 0, 3},
	    {"a higher token takes over", 60, 4, 0, 4},
	    {"the former token is refused", 51, 5, KWB_ERR_CALL_FENCED, 4},
	};
	struct client client;
	size_t i;

	client_open(&client, LLM_AGENT_PORT_OFFSET);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		Kwb__Wire__Order order = KWB__WIRE__ORDER__INIT;
		KWB_FRAME_DECLARE(frame, ORDER, order, order);
		Kwb__Wire__Frame *answer;

		order.request = i + 1;
		order.plan = "quotes";
		order.model = "m";
		order.version = cases[i].version;
		order.fencing_token = cases[i].token;
		client_send(&client, &frame);
		answer = client_wait_frame(&client,
		    KWB__WIRE__FRAME__BODY_ORDER_REPLY, i + 1,
		    ANSWER_TIMEOUT_MS);
		check(answer != NULL &&
			answer->order_reply->error == cases[i].error &&
			answer->order_reply->version == cases[i].version_after,
		    cases[i].name,
		    answer ? kwb_error_name(answer->order_reply->error)
			   : "none");
		kwb_frame_free(answer);
	}
	client_close(&client);
	check(cluster_get_control(cluster, "engine-1", "orders_old") == 0,
	    "no order with an old token reached the engine", "");
	/* After a restart the agent knows the highest token from the table
	 * only. */
	cluster_kill_process(cluster, "llm-1");
	cluster_set_control(cluster, "platform", "down", 1);
	cluster_start_process(cluster, "llm-1");
	kwb_clock_sleep_ns(500 * KWB_MS_NS);
	client_open(&client, LLM_AGENT_PORT_OFFSET);
	{
		Kwb__Wire__Order order = KWB__WIRE__ORDER__INIT;
		KWB_FRAME_DECLARE(frame, ORDER, order, order);
		Kwb__Wire__Frame *answer;

		order.request = 1;
		order.plan = "quotes";
		order.model = "m";
		order.version = 9;
		order.fencing_token = 99;
		client_send(&client, &frame);
		answer = client_wait_frame(&client,
		    KWB__WIRE__FRAME__BODY_ORDER_REPLY, 1, ANSWER_TIMEOUT_MS);
		check(answer != NULL &&
			answer->order_reply->error ==
			    KWB_ERR_WEIGHTS_FENCE_UNKNOWN,
		    "a restarted agent refuses orders until it knows the token",
		    "");
		kwb_frame_free(answer);
	}
	client_close(&client);
	cluster_set_control(cluster, "platform", "down", 0);
	cluster_wait_settled(cluster, 15000);
}

/* Once an agent has seen a step's attempt 2, it refuses runs of attempt 1. */
static void
check_attempt_fencing(void)
{
	static const struct {
		const char *name;
		uint32_t find_attempt; /* sends a Find, unless 0 */
		uint32_t run_attempt;  /* sends a Run otherwise */
		int error;
	} cases[] = {
	    {"attempt 1 starts", 0, 1, 0},
	    {"attempt 2 is announced", 2, 0, 0},
	    {"a run of attempt 1 is refused", 0, 1, KWB_ERR_CALL_FENCED},
	    {"a run of attempt 2 is accepted", 0, 2, 0},
	};
	struct client client;
	size_t i;

	client_open(&client, LLM_AGENT_PORT_OFFSET);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		Kwb__Wire__Run run = KWB__WIRE__RUN__INIT;
		KWB_FRAME_DECLARE(run_frame, RUN, run, run);
		Kwb__Wire__Find find = KWB__WIRE__FIND__INIT;
		KWB_FRAME_DECLARE(find_frame, FIND, find, find);
		Kwb__Wire__Slot slot = KWB__WIRE__SLOT__INIT;
		Kwb__Wire__Frame *answer;
		char key[16];

		snprintf(key, sizeof(key), "s%zu", i);
		slot.step = 7;
		slot.attempt = cases[i].run_attempt;
		slot.group = (uint32_t)i;
		run.request = find.request = i + 1;
		run.key = key;
		run.plan = find.plan = "quotes";
		run.model = "m";
		run.prompt = "p";
		run.max_tokens = 5;
		run.budget_ms = 2000;
		run.slot = &slot;
		run.lists_revision = client.revision;
		run.agent_incarnation = client.incarnation;
		find.step = 7;
		find.attempt = cases[i].find_attempt;
		client_send(
		    &client, cases[i].find_attempt ? &find_frame : &run_frame);
		answer = client_wait_frame(&client,
		    cases[i].find_attempt ? KWB__WIRE__FRAME__BODY_FOUND
					  : KWB__WIRE__FRAME__BODY_DONE,
		    i + 1, ANSWER_TIMEOUT_MS);
		check(answer != NULL &&
			(cases[i].find_attempt
				? answer->found->n_held == 1
				: answer->done->error == cases[i].error),
		    cases[i].name,
		    answer && !cases[i].find_attempt
			? kwb_error_name(answer->done->error)
			: "");
		kwb_frame_free(answer);
	}
	client_close(&client);
}

/*
 * A stream that is running while weights are swapped must run to its end and
 * report a span of tokens for each version.
 */
static void
check_stream_across_swap(void)
{
	Kwb__Wire__Run run = KWB__WIRE__RUN__INIT;
	KWB_FRAME_DECLARE(run_frame, RUN, run, run);
	Kwb__Wire__Order order = KWB__WIRE__ORDER__INIT;
	KWB_FRAME_DECLARE(order_frame, ORDER, order, order);
	Kwb__Wire__Frame *answer;
	struct client client;
	uint64_t first = 0, last = 0;
	uint32_t tokens = 0;

	client_open(&client, LLM_AGENT_PORT_OFFSET);
	run.request = 1;
	run.key = "across";
	run.plan = "quotes";
	run.model = "m";
	run.prompt = "p";
	run.seed = 4;
	run.max_tokens = 100;
	run.budget_ms = 5000;
	run.priority = 1;
	run.lists_revision = client.revision;
	run.agent_incarnation = client.incarnation;
	client_send(&client, &run_frame);
	kwb_clock_sleep_ns(60 * KWB_MS_NS);
	order.request = 2;
	order.plan = "quotes";
	order.model = "m";
	order.version = 20;
	order.fencing_token = 200;
	client_send(&client, &order_frame);
	while ((answer = client_wait_frame(&client,
		    KWB__WIRE__FRAME__BODY_PROGRESS, 1, 700)) != NULL) {
		const Kwb__Wire__Progress *progress = answer->progress;

		if (first == 0)
			first = progress->spans[0]->version;
		last = progress->spans[progress->n_spans - 1]->version;
		tokens += (uint32_t)progress->n_tokens;
		kwb_frame_free(answer);
	}
	check(client.last_outcome == KWB_OUTCOME_RAN,
	    "a stream across a swap runs to its end", "");
	check(first == 4 && last == 20 && tokens > 0,
	    "it reports spans of both versions", "");
	client_close(&client);
}

/*
 * An agent closes a link on which nothing comes for three heartbeat periods;
 * the entry sets the period.
 */
static void
check_silent_links(void)
{
	static const struct {
		const char *name;
		uint32_t period_ms;
		uint32_t after_ms; /* when to look at the link */
		bool is_open;
	} cases[] = {
	    {"open for three periods of 1000 ms", 1000, 2500, true},
	    {"closed after three periods of 1000 ms", 1000, 3600, false},
	    {"open for three periods of 1500 ms", 1500, 4000, true},
	    {"closed after three periods of 1500 ms", 1500, 5100, false},
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		Kwb__Wire__Heartbeat heartbeat = KWB__WIRE__HEARTBEAT__INIT;
		KWB_FRAME_DECLARE(frame, HEARTBEAT, heartbeat, heartbeat);
		struct client client;

		client_open(&client, LLM_AGENT_PORT_OFFSET);
		heartbeat.lists_revision = client.revision;
		heartbeat.period_ms = cases[i].period_ms;
		client_send(&client, &frame);
		client_wait_frame(
		    &client, KWB__WIRE__FRAME__BODY_DONE, 1, cases[i].after_ms);
		check((client.fd >= 0) == cases[i].is_open, cases[i].name, "");
		/* Frames that a cut path holds up must not come later. */
		check(client.is_reset != cases[i].is_open,
		    "a silent link is reset", cases[i].name);
		client_close(&client);
	}
}

struct cut_answer {
	int listen_fd;
	const char *bytes;
};

/* Thread: answers one request with the bytes, and closes. */
static void *
cut_answer_run(void *argument)
{
	const struct cut_answer *answer = argument;
	char request[4096];
	int fd = accept(answer->listen_fd, NULL, NULL);

	if (recv(fd, request, sizeof(request), 0) > 0 &&
	    send(fd, answer->bytes, strlen(answer->bytes), MSG_NOSIGNAL) < 0)
		perror("send");
	close(fd);
	return NULL;
}

/* Listens on a free port of loopback; returns the socket and prints its URL. */
static int
listen_on_loopback(char *url, size_t capacity)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t address_bytes = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
	    listen(fd, 1) != 0 ||
	    getsockname(fd, (struct sockaddr *)&address, &address_bytes) != 0)
		perror("listen");
	snprintf(
	    url, capacity, "http://127.0.0.1:%u/", ntohs(address.sin_port));
	return fd;
}

/* Guards against an answer cut off in its head that is taken for a whole one.
 */
static void
check_cut_answers(void)
{
	static const struct {
		const char *name;
		const char *bytes;
		bool is_whole;
	} cases[] = {
	    {"cut in a header's name", "HTTP/1.1 200 OK\r\nContent-Ty", false},
	    {"cut behind the status line", "HTTP/1.1 200 OK\r\n", false},
	    {"cut behind a header", "HTTP/1.1 200 OK\r\nETag: 1\r\n", false},
	    {"cut in the length", "HTTP/1.1 200 OK\r\nContent-Length: 1",
		false},
	    {"cut behind a 100", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200",
		false},
	    {"cut behind an interim head", "HTTP/1.1 100 Continue\r\n\r\n",
		false},
	    {"cut in the body",
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", false},
	    {"whole", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", true},
	    {"whole without a length", "HTTP/1.1 200 OK\r\n\r\nabc", true},
	};
	struct cut_answer answer;
	char url[64];
	size_t i;

	answer.listen_fd = listen_on_loopback(url, sizeof(url));
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct kwb_http_request request = {
		    .method = "GET", .url = url, .needs_new_connection = true};
		struct kwb_http_answer got;
		pthread_t thread;
		int error;

		answer.bytes = cases[i].bytes;
		pthread_create(&thread, NULL, cut_answer_run, &answer);
		error = kwb_http_do(&request, &got);
		pthread_join(thread, NULL);
		check((error == 0) == cases[i].is_whole && got.sent,
		    "an answer that is", cases[i].name);
		kwb_http_answer_finish(&got);
	}
	close(answer.listen_fd);
}

#define CLOSE_WAIT_MS 2000

struct raw_answer {
	int listen_fd;
	const char *bytes;
	bool is_closed; /* by the client, while the connection is kept here */
};

/* Thread: answers one request with the bytes, and waits for the client. */
static void *
raw_answer_run(void *argument)
{
	struct raw_answer *answer = argument;
	struct timeval limit = {.tv_sec = CLOSE_WAIT_MS / 1000};
	char request[4096];
	int fd = accept(answer->listen_fd, NULL, NULL);

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	if (recv(fd, request, sizeof(request), 0) > 0 &&
	    send(fd, answer->bytes, strlen(answer->bytes), MSG_NOSIGNAL) < 0)
		perror("send");
	answer->is_closed =
	    recv(fd, request, sizeof(request), 0) == 0 || errno == ECONNRESET;
	close(fd);
	return NULL;
}

#define OK_LINE "HTTP/1.1 200 OK\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n"

/* Guards against a broken answer that is taken for one of the upstream's. */
static void
check_broken_answers(void)
{
	static const struct {
		const char *name;
		const char *bytes;
		bool is_sound;
	} cases[] = {
	    {"status 000", "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nno",
		false},
	    {"an unasked 101",
		"HTTP/1.1 101 OK\r\nUpgrade: a\r\nConnection: upgrade\r\n\r\n",
		false},
	    {"status 600", "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nno",
		false},
	    {"status 999", "HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\nno",
		false},
	    {"another version",
		"HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nno", false},
	    {"a control byte in the reason",
		"HTTP/1.1 200 a\1\r\nContent-Length: 2\r\n\r\nno", false},
	    {"a blank in a name",
		OK_LINE "X A: b\r\nContent-Length: 2\r\n\r\nno", false},
	    {"a blank behind a name",
		OK_LINE "X-A : b\r\nContent-Length: 2\r\n\r\nno", false},
	    {"a blank ahead of a name",
		OK_LINE "Content-Length: 2\r\n X: b\r\n\r\nno", false},
	    {"a control byte in a name",
		OK_LINE "X\1A: b\r\nContent-Length: 2\r\n\r\nno", false},
	    {"a control byte in a value",
		OK_LINE "X: a\1\r\nContent-Length: 2\r\n\r\nno", false},
	    {"a blank behind the revision's name",
		OK_LINE "ETag: 7\r\nETag : 8\r\nContent-Length: 2\r\n\r\nno",
		false},
	    {"a list of lengths", OK_LINE "Content-Length: 2, 3\r\n\r\nno",
		false},
	    {"a length with a sign", OK_LINE "Content-Length: +2\r\n\r\nno",
		false},
	    {"an empty length", OK_LINE "Content-Length:\r\n\r\nno", false},
	    {"two lengths",
		OK_LINE "Content-Length: 2\r\nContent-Length: 3\r\n\r\nno",
		false},
	    {"a length beside chunks",
		OK_LINE "Content-Length: 2\r\n" CHUNKED
			"\r\n2\r\nno\r\n0\r\n\r\n",
		false},
	    {"a blank behind the coding's name",
		OK_LINE
		"Transfer-Encoding : chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
		false},
	    {"a chunk that goes on", OK_LINE CHUNKED "\r\n2\r\nnoxx0\r\n\r\n",
		false},
	    {"a broken trailer",
		OK_LINE CHUNKED "\r\n2\r\nno\r\n0\r\nX A: b\r\n\r\n", false},
	    {"a broken interim answer",
		"HTTP/1.1 103 OK\r\nX A: b\r\n\r\n" OK_LINE
		"Content-Length: 2\r\n\r\nno",
		false},
	    {"no reason", "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok", true},
	    {"status 599, high bytes",
		"HTTP/1.1 599 a\t\xff\r\nContent-Length:2 \r\n\r\nok", true},
	    {"any token as a name",
		OK_LINE
		"!#$%&'*+-.^_`|~: a\tb\xff\r\nContent-Length: 2\r\n\r\nok",
		true},
	    {"an interim answer",
		"HTTP/1.1 103 OK\r\nLink: a\r\nContent-Length: 0\r\n\r\n" OK_LINE
		"Content-Length: 2\r\n\r\nok",
		true},
	    {"a sound trailer",
		OK_LINE CHUNKED
		"\r\n2;a\r\nok\r\n0\r\nX-A: b\r\nContent-Length: 9\r\n\r\n",
		true},
	};
	struct raw_answer answer = {0};
	char url[64];
	size_t i;

	answer.listen_fd = listen_on_loopback(url, sizeof(url));
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct kwb_http_request request = {.method = "GET",
		    .url = url,
		    .timeout_ms = 500,
		    .needs_new_connection = cases[i].is_sound};
		struct kwb_http_answer got;
		pthread_t thread;
		int error;

		answer.bytes = cases[i].bytes;
		pthread_create(&thread, NULL, raw_answer_run, &answer);
		error = kwb_http_do(&request, &got);
		pthread_join(thread, NULL);
		if (cases[i].is_sound)
			check(error == 0 && got.status >= 200 &&
				strcmp(kwb_buf_text(&got.body), "ok") == 0,
			    "an answer is taken with", cases[i].name);
		else
			check(error != 0 && got.sent && got.status == 0 &&
				got.revision == 0 && answer.is_closed,
			    "no answer is one with", cases[i].name);
		kwb_http_answer_finish(&got);
	}
	close(answer.listen_fd);
}

struct endless_answer {
	int listen_fd;
	const char *begin;
	const char *unit; /* over and over */
};

/* Thread: answers one request with the begin and units until that fails. */
static void *
endless_answer_run(void *argument)
{
	const struct endless_answer *answer = argument;
	char request[4096];
	int fd = accept(answer->listen_fd, NULL, NULL);
	const char *bytes = answer->begin;

	if (recv(fd, request, sizeof(request), 0) > 0)
		while (send(fd, bytes, strlen(bytes), MSG_NOSIGNAL) >= 0)
			bytes = answer->unit;
	close(fd);
	return NULL;
}

#define ENDLESS_LIMIT_MS 1500 /* well before the request's own time is over */

/* Guards against an answer without end that is kept until memory runs out. */
static void
check_endless_answers(void)
{
	static const struct {
		const char *name;
		const char *begin;
		const char *unit;
	} cases[] = {
	    {"headers without end", "HTTP/1.1 200 OK\r\n", "X-A: aaaaaaaa\r\n"},
	    {"a header without end",
		"HTTP/1.1 200 OK\r\nX-A: ", "aaaaaaaaaaaa"},
	    {"interim answers without end", "HTTP/1.1 100 Continue\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\n"},
	    {"a body without end", "HTTP/1.1 200 OK\r\n\r\n", "aaaaaaaaaaaa"},
	};
	struct endless_answer answer;
	char url[64];
	size_t i;

	answer.listen_fd = listen_on_loopback(url, sizeof(url));
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct kwb_http_request request = {.method = "GET",
		    .url = url,
		    .timeout_ms = 60000,
		    .needs_new_connection = true};
		uint64_t begin_ns = kwb_clock_now_ns();
		struct kwb_http_answer got;
		pthread_t thread;
		int error;

		answer.begin = cases[i].begin;
		answer.unit = cases[i].unit;
		pthread_create(&thread, NULL, endless_answer_run, &answer);
		error = kwb_http_do(&request, &got);
		pthread_join(thread, NULL);
		check(error != 0 &&
			kwb_clock_now_ns() <
			    begin_ns + ENDLESS_LIMIT_MS * KWB_MS_NS,
		    "an answer ends", cases[i].name);
		kwb_http_answer_finish(&got);
	}
	close(answer.listen_fd);
}

static unsigned long
resident_peak_kb(pid_t pid)
{
	unsigned long kilobytes = 0;
	char path[64], line[256];
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	file = fopen(path, "r");
	while (file != NULL && fgets(line, sizeof(line), file) != NULL)
		sscanf(line, "VmHWM: %lu kB", &kilobytes);
	if (file != NULL)
		fclose(file);
	return kilobytes;
}

#define ENDLESS_GROWTH_KB (32ul * 1024)

/* Has a sequence generated; returns the answer, or NULL if there is none. */
static Kwb__Wire__Frame *
generate(struct client *client, uint32_t request, char *key)
{
	Kwb__Wire__Run run = KWB__WIRE__RUN__INIT;
	KWB_FRAME_DECLARE(run_frame, RUN, run, run);

	run.request = request;
	run.key = key;
	run.plan = "quotes";
	run.model = "m";
	run.prompt = "p";
	run.max_tokens = 50;
	run.budget_ms = 6000;
	run.priority = 1;
	run.lists_revision = client->revision;
	run.agent_incarnation = client->incarnation;
	client_send(client, &run_frame);
	return client_wait_frame(
	    client, KWB__WIRE__FRAME__BODY_DONE, request, ENDLESS_LIMIT_MS);
}

/* Guards against an engine's broken answer that an agent takes for a text. */
static void
check_broken_stream(struct cluster *cluster)
{
	Kwb__Wire__Frame *answer;
	struct client client;
	char key[] = "broken";

	client_open(&client, LLM_AGENT_PORT_OFFSET);
	cluster_set_control(cluster, "engine-1", "broken", 1);
	answer = generate(&client, 110, key);
	check(answer != NULL && answer->done->outcome == KWB_OUTCOME_PARTIAL &&
		answer->done->error == KWB_ERR_CALL_UPSTREAM,
	    "a broken stream is none", "");
	kwb_frame_free(answer);
	cluster_set_control(cluster, "engine-1", "broken", 0);
	client_close(&client);
}

/* Guards against an engine's stream without end that an agent keeps whole. */
static void
check_endless_streams(struct cluster *cluster)
{
	static const char *const names[] = {
	    "a line without end", "tokens without end"};
	pid_t agent = cluster_find_process(cluster, "llm-1")->pid;
	unsigned long before_kb, peak_kb;
	Kwb__Wire__Frame *answer;
	struct client client;
	uint32_t i;

	client_open(&client, LLM_AGENT_PORT_OFFSET);
	for (i = 0; i < 2; i++) {
		char key[16];

		snprintf(key, sizeof(key), "endless%u", i);
		cluster_set_control(cluster, "engine-1", "endless", i + 1);
		before_kb = resident_peak_kb(agent);
		answer = generate(&client, 100 + i, key);
		check(
		    answer != NULL && answer->done->outcome != KWB_OUTCOME_RAN,
		    "a stream is ended", names[i]);
		kwb_frame_free(answer);
		cluster_set_control(cluster, "engine-1", "endless", 0);
		peak_kb = resident_peak_kb(agent);
		check(peak_kb - before_kb < ENDLESS_GROWTH_KB,
		    "and is not kept", names[i]);
	}
	client_close(&client);
}

/* A client that uses a connection for as long as it may. */
struct stop_client {
	pthread_t thread;
	struct sockaddr_in to;
	unsigned answered;
	unsigned cut_off; /* sent whole, and no byte of an answer came */
	bool was_told;	  /* to close: its next request goes elsewhere */
};

#define STOP_CLIENTS 16
#define STOP_REQUEST                                                           \
	"POST /v1/plans/orders/call/stop HTTP/1.1\r\nHost: a\r\n"              \
	"Content-Length: 1\r\n\r\nx"

static void *
stop_client_run(void *argument)
{
	struct stop_client *client = argument;
	uint64_t end_ns = kwb_clock_now_ns() + 20000 * KWB_MS_NS;
	char answer[4096];
	int fd = -1;

	while (kwb_clock_now_ns() < end_ns) {
		ssize_t length;

		if (fd < 0) {
			fd = socket(AF_INET, SOCK_STREAM, 0);
			if (connect(fd, (struct sockaddr *)&client->to,
				sizeof(client->to)) != 0)
				break;
		}
		if (send(fd, STOP_REQUEST, strlen(STOP_REQUEST), MSG_NOSIGNAL) <
		    0) {
			close(fd);
			fd = -1;
			continue;
		}
		length = recv(fd, answer, sizeof(answer) - 1, 0);
		if (length > 0) {
			client->answered++;
			answer[length] = '\0';
			kwb_clock_sleep_ns(3 * KWB_MS_NS);
			if (strstr(answer, "Connection: close") == NULL)
				continue;
			client->was_told = true;
			break;
		} else {
			client->cut_off++;
		}
		close(fd);
		fd = -1;
	}
	if (fd >= 0)
		close(fd);
	return NULL;
}

/* Guards against requests that come at the end of a stop and get no answer. */
static void
check_stop_under_load(struct cluster *cluster)
{
	static struct stop_client clients[STOP_CLIENTS];
	unsigned answered = 0, cut_off = 0, told = 0, i;

	for (i = 0; i < STOP_CLIENTS; i++) {
		clients[i].to.sin_family = AF_INET;
		clients[i].to.sin_port = htons(
		    (uint16_t)cluster_find_process(cluster, "entry-1")->port);
		inet_pton(AF_INET, "127.0.0.1", &clients[i].to.sin_addr);
		pthread_create(
		    &clients[i].thread, NULL, stop_client_run, &clients[i]);
	}
	kwb_clock_sleep_ns(300 * KWB_MS_NS);
	cluster_signal_process(cluster, "entry-1", SIGTERM);
	for (i = 0; i < STOP_CLIENTS; i++) {
		pthread_join(clients[i].thread, NULL);
		answered += clients[i].answered;
		cut_off += clients[i].cut_off;
		told += clients[i].was_told;
	}
	check(answered > 0 && cut_off == 0, "a stop cuts no request off", "");
	check(told == STOP_CLIENTS, "clients are told to close", "");
	check(cluster_wait_process(cluster, "entry-1", 25000) == 0,
	    "the entry ends", "");
	cluster_start_process(cluster, "entry-1");
}

/*
 * While the table is down, a raised allowance gives an agent no more units:
 * other agents might take the same ones. Once it is back, the agent takes them.
 */
static void
check_share_in_outage(struct cluster *cluster)
{
	static const char raised[] =
	    "plans:\n"
	    "  - {name: quotes, customer: a, kind: training, pool: llm, "
	    "model: m}\n"
	    "  - {name: orders, customer: a, kind: service, pool: shop}\n"
	    "allowances:\n"
	    "  - {plan: quotes, concurrent: 4, queue: 4}\n"
	    "  - {plan: orders, concurrent: 9, queue: 4}\n";
	static const struct {
		const char *name;
		int is_down;
		uint32_t watch_ms; /* how long to read heartbeats */
		uint32_t units_max;
		uint32_t units_at_end;
	} cases[] = {
	    {"the units stay the same in an outage", 1, 6000, 2, 2},
	    {"the units rise after the outage", 0, 6000, 9, 9},
	};
	Kwb__Wire__Lists lists = KWB__WIRE__LISTS__INIT;
	KWB_FRAME_DECLARE(frame, LISTS, lists, lists);
	struct client client;
	size_t i;

	cluster_set_control(cluster, "platform", "down", 1);
	client_open(&client, SHOP_AGENT_PORT_OFFSET);
	lists.revision = client.revision + 1;
	lists.document.data = (uint8_t *)raised;
	lists.document.len = sizeof(raised) - 1;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		uint64_t until_ns =
		    kwb_clock_now_ns() + cases[i].watch_ms * KWB_MS_NS;
		uint32_t max = 0, last = 0;
		Kwb__Wire__Frame *heartbeat;
		char detail[64];

		cluster_set_control(
		    cluster, "platform", "down", cases[i].is_down);
		while (kwb_clock_now_ns() < until_ns) {
			client_send(&client, &frame); /* keeps the link alive */
			heartbeat = client_wait_frame(
			    &client, KWB__WIRE__FRAME__BODY_HEARTBEAT, 0, 2000);
			/* Not every heartbeat carries the agent's status. */
			if (heartbeat != NULL &&
			    heartbeat->heartbeat->status != NULL)
				last = units_held(
				    heartbeat->heartbeat->status, "orders");
			if (last > max)
				max = last;
			kwb_frame_free(heartbeat);
		}
		snprintf(detail, sizeof(detail), "max %u, last %u", max, last);
		check(
		    max <= cases[i].units_max && last == cases[i].units_at_end,
		    cases[i].name, detail);
	}
	client_close(&client);
}

/* Returns how many units of a plan's allowance the agent holds. */
static uint32_t
units_held(const Kwb__Wire__Status *status, const char *plan)
{
	size_t i;

	for (i = 0; i < status->n_plans; i++)
		if (strcmp(status->plans[i]->plan, plan) == 0)
			return status->plans[i]->units;
	return 0;
}

/* Malformed frames close the link, and the agent accepts new links after. */
static void
check_malformed_frames(void)
{
	static const struct {
		const char *name;
		const char *bytes;
		size_t length_bytes;
	} cases[] = {
	    {"an oversized frame", "\xff\xff\xff\xff....", 8},
	    {"a malformed frame", "\0\0\0\2\xff\xff", 6},
	    {"an empty frame", "\0\0\0\0", 4},
	};
	struct client client;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		client_open(&client, LLM_AGENT_PORT_OFFSET);
		check(send(client.fd, cases[i].bytes, cases[i].length_bytes,
			  MSG_NOSIGNAL) > 0 &&
			client_wait_frame(&client, KWB__WIRE__FRAME__BODY_DONE,
			    1, 1500) == NULL &&
			client.fd < 0,
		    cases[i].name, "");
		client_close(&client);
	}
	client_open(&client, LLM_AGENT_PORT_OFFSET);
	check(
	    client.incarnation != 0, "a new link gets a hello after these", "");
	client_close(&client);
}

/* Connects, sends a hello and waits for the agent's. */
static void
client_open(struct client *client, unsigned port)
{
	struct sockaddr_in in = {.sin_family = AF_INET};
	Kwb__Wire__Hello hello = KWB__WIRE__HELLO__INIT;
	KWB_FRAME_DECLARE(frame, HELLO, hello, hello);
	Kwb__Wire__Frame *answer;

	memset(client, 0, sizeof(*client));
	kwb_buf_init(&client->in);
	client->fd = socket(AF_INET, SOCK_STREAM, 0);
	in.sin_port = htons((uint16_t)(world.base_port + port));
	inet_pton(AF_INET, "127.0.0.1", &in.sin_addr);
	if (connect(client->fd, (struct sockaddr *)&in, sizeof(in)) != 0)
		return;
	hello.protocol = KWB_PROTOCOL;
	hello.vm = "client";
	client_send(client, &frame);
	answer =
	    client_wait_frame(client, KWB__WIRE__FRAME__BODY_HELLO, 0, 2000);
	if (answer != NULL) {
		client->incarnation = answer->hello->incarnation;
		client->revision = answer->hello->lists_revision;
	}
	kwb_frame_free(answer);
}

static void
client_close(struct client *client)
{
	if (client->fd >= 0)
		close(client->fd);
	kwb_buf_finish(&client->in);
}

static bool
client_send(struct client *client, Kwb__Wire__Frame *frame)
{
	struct kwb_buf out;
	ssize_t sent;

	kwb_buf_init(&out);
	kwb_frame_pack(frame, &out);
	sent = send(client->fd, out.data, out.used_bytes, MSG_NOSIGNAL);
	kwb_buf_finish(&out);
	return sent > 0;
}

/*
 * Returns the next frame of a kind, skipping others; of Done frames the one for
 * the request. NULL on timeout or when the agent closes the connection.
 */
static Kwb__Wire__Frame *
client_wait_frame(struct client *client, Kwb__Wire__Frame__BodyCase kind,
    uint64_t request, uint32_t timeout_ms)
{
	uint64_t deadline_ns = kwb_clock_now_ns() + timeout_ms * KWB_MS_NS;
	struct timeval wait = {0, 50000};
	Kwb__Wire__Frame *frame;
	char chunk[4096];
	ssize_t got;

	setsockopt(client->fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
	while (kwb_clock_now_ns() < deadline_ns) {
		while (kwb_frame_unpack(&client->in, &frame) == 1) {
			bool is_wanted = frame->body_case == kind;

			if (kind == KWB__WIRE__FRAME__BODY_DONE && is_wanted)
				is_wanted = frame->done->request == request;
			if (is_wanted)
				return frame;
			if (frame->body_case == KWB__WIRE__FRAME__BODY_DONE)
				client->last_outcome = frame->done->outcome;
			kwb_frame_free(frame);
		}
		got = recv(client->fd, chunk, sizeof(chunk), 0);
		if (got > 0)
			kwb_buf_add(&client->in, chunk, (size_t)got);
		client->is_reset |= got < 0 && errno == ECONNRESET;
		if (got == 0) {
			close(client->fd);
			client->fd = -1;
			return NULL;
		}
	}
	return NULL;
}

/* Counts a check; when it failed, prints its name and what was seen instead. */
static void
check(bool is_right, const char *name, const char *detail)
{
	if (is_right) {
		passed++;
		return;
	}
	failed++;
	printf("FAILED %s: %s\n", name, detail);
}
