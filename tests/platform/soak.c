/*
 * Fault soak: real kwb-node processes before stand-ins of the platform, under
 * random faults from outside, while callers and trainers check what they were
 * promised. A seed decides the faults; times are real.
 *
 *   soak SEED [SEED ...]        plays these seeds
 *   soak --count N [FIRST]      N seeds from FIRST on
 *
 * SOAK_KEEP=1 keeps the directory with settings and logs, and names it.
 */
#include <dirent.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "stage.h"

#define NODES 3
#define PLAIN 2
#define ENGINES 3
#define SERVERS (PLAIN + ENGINES)
#define CALLERS 6
#define TRAINERS 2
#define CALLS_MAX 4096
#define BATCHES_MAX 64
#define ITEMS 8
#define EVENTS 12
#define PLAY_MS 7000	/* with faults */
#define SETTLE_MS 14000 /* after them, until everything accepted is whole */
#define GRACE_MS 8000
#define LEASE_MS 3000
#define NAME_MS 900 /* between versions that a trainer names */

struct node {
	char name[16];
	char path[160];
	struct kwb_address front;
	struct kwb_address ready;
	struct kwb_address peers;
	struct proxy proxy; /* to the store */
	pid_t pid;	    /* 0 while it does not run */
	bool stopped;	    /* SIGSTOP */
	bool leaving;	    /* SIGTERM */
	uint64_t kill_ns;   /* grace ends */
	uint64_t start_ns;  /* started again then */
};

struct call {
	char id[24];
	bool once; /* may run only once */
	uint16_t status;
};

struct batch {
	char id[24];
	bool accepted;
	bool in_doubt; /* an answer that promises nothing */
	bool ended;
	unsigned next;
	char *results[ITEMS];
};

struct soak;

struct actor {
	struct soak *soak;
	struct kwb_exchange exchange;
	struct event *timer;
	bool busy;
	bool trainer;
	struct call *call;
	struct batch *batch;
	struct node *node;
	enum { ASK_SUBMIT, ASK_RESULTS, ASK_END } ask;
	unsigned after;
};

struct soak {
	unsigned seed;
	unsigned state;
	char directory[128];
	struct testbed testbed;
	struct node nodes[NODES];
	struct proxy proxies[SERVERS];
	struct actor actors[CALLERS + TRAINERS];
	struct call calls[CALLS_MAX];
	unsigned calls_count;
	struct batch batches[BATCHES_MAX];
	unsigned batches_count;
	bool fenced; /* servers check fencing tokens */
	unsigned version;
	uint64_t name_ns; /* the next version is named then */
	uint64_t fault_ns;
	uint64_t end_ns;
	bool calm;
	unsigned failures;
	unsigned faults;
};

static unsigned
draw(struct soak *soak, unsigned below)
{
	return (unsigned)rand_r(&soak->state) % below;
}

static void
fail(struct soak *soak, const char *format, ...)
{
	va_list args;

	soak->failures++;
	printf("seed %u: ", soak->seed);
	va_start(args, format);
	vprintf(format, args);
	va_end(args);
	printf("\n");
}

/* ---- Nodes -----------------------------------------------------------------
 */

static void
node_settings(struct soak *soak, struct node *node)
{
	FILE *file;

	snprintf(node->path, sizeof(node->path), "%s/%s.conf", soak->directory,
	    node->name);
	file = fopen(node->path, "w");
	if (file == NULL)
		abort();
	fprintf(file,
	    "node-name=%s\nzone=z1\nlisten.front=127.0.0.1:%u\n"
	    "listen.ready=127.0.0.1:%u\nplatform.addr=127.0.0.1:%u\n"
	    "bounds.grace-s=8\nbounds.fencing-enforced=%s\n"
	    "bounds.lease-ms=%u\nip=127.0.0.1\nport-range=%u,%u\n",
	    node->name, node->front.port, node->ready.port,
	    node->proxy.address.port, soak->fenced ? "true" : "false", LEASE_MS,
	    node->peers.port, node->peers.port);
	fclose(file);
}

static void
node_start(struct soak *soak, struct node *node)
{
	const char *build = getenv("KWB_BUILD");
	char program[256];
	char log[192];
	int fd;

	snprintf(
	    program, sizeof(program), "%s/kwb-node", build ? build : "build");
	snprintf(log, sizeof(log), "%s/%s.log", soak->directory, node->name);
	node->pid = fork();
	if (node->pid < 0)
		abort();
	if (node->pid == 0) {
		fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		for (fd = 3; fd < 1024; fd++)
			close(fd);
		setenv(PLATFORM_SETTINGS_VARIABLE, node->path, 1);
		execl(program, program, (char *)NULL);
		_exit(127);
	}
	node->stopped = false;
	node->leaving = false;
	node->start_ns = 0;
}

static void
node_signal(struct node *node, int number)
{
	if (node->pid > 0)
		kill(node->pid, number);
}

static void
node_kill(struct soak *soak, struct node *node, unsigned down_ms)
{
	if (node->pid <= 0)
		return;
	node_signal(node, SIGKILL);
	waitpid(node->pid, NULL, 0);
	node->pid = 0;
	node->start_ns = kwb_clock_now_ns() + down_ms * KWB_MS_NS;
	(void)soak;
}

/* Ended processes: by themselves only after SIGTERM, within the grace. */
static void
nodes_look(struct soak *soak)
{
	uint64_t now_ns = kwb_clock_now_ns();
	struct node *node;
	int status;
	unsigned i;

	for (i = 0; i < NODES; i++) {
		node = &soak->nodes[i];
		if (node->pid == 0 && node->start_ns != 0 &&
		    now_ns >= node->start_ns)
			node_start(soak, node);
		if (node->pid <= 0)
			continue;
		if (waitpid(node->pid, &status, WNOHANG) == node->pid) {
			if (!node->leaving)
				fail(soak, "%s ended by itself, status %d",
				    node->name, status);
			node->pid = 0;
			node->start_ns = now_ns + 200 * KWB_MS_NS;
		} else if (node->leaving && now_ns >= node->kill_ns) {
			if (!node->stopped)
				fail(soak, "%s did not end in its grace",
				    node->name);
			node_kill(soak, node, 200);
		}
	}
}

/* ---- Callers and trainers
 * ----------------------------------------------------- */

static void
actor_wait(struct actor *actor, unsigned wait_ms)
{
	kwb_timer_arm(actor->timer, kwb_clock_now_ns() + wait_ms * KWB_MS_NS);
}

static void
actor_send(struct actor *actor, const char *method, const char *target,
    const char *id, const char *body)
{
	struct soak *soak = actor->soak;
	struct evbuffer *out = evbuffer_new();

	actor->node = &soak->nodes[draw(soak, NODES)];
	evbuffer_add_printf(out,
	    "%s %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\n"
	    "Deadline-Ms: 1500\r\nWait-Ms: 300\r\nContent-Length: %zu\r\n\r\n"
	    "%s",
	    method, target, id, strlen(body), body);
	actor->busy = true;
	actor->exchange.deadline_ns = kwb_clock_now_ns() + 2500 * KWB_MS_NS;
	if (kwb_exchange_start(&actor->exchange, &soak->testbed.client,
		&actor->node->front, out) != 0) {
		actor->busy = false;
		actor_wait(actor, 50);
	}
	evbuffer_free(out);
}

static void
call_next(struct actor *actor)
{
	struct soak *soak = actor->soak;
	struct call *call;
	char body[48];

	if (soak->calm || soak->calls_count == CALLS_MAX)
		return;
	call = &soak->calls[soak->calls_count];
	snprintf(call->id, sizeof(call->id), "c%u", soak->calls_count++);
	call->once = draw(soak, 2) == 0;
	actor->call = call;
	snprintf(body, sizeof(body), "body of %s", call->id);
	actor_send(
	    actor, "POST", call->once ? "/once/x" : "/web/x", call->id, body);
}

static void
call_answered(struct actor *actor, int error)
{
	struct kwb_message *answer = kwb_exchange_answer(&actor->exchange);
	struct call *call = actor->call;
	char body[48];

	call->status = error == 0 ? answer->status : 0;
	snprintf(body, sizeof(body), "body of %s", call->id);
	if (call->status == 200 &&
	    (strcmp(kwb_buf_text(&answer->body), body) != 0 ||
		kwb_message_header(answer, "Server-Stamp") == NULL))
		fail(actor->soak, "%s got the answer '%s'", call->id,
		    kwb_buf_text(&answer->body));
	if (call->status == 404 || call->status == 400)
		fail(actor->soak, "%s was denied with %u", call->id,
		    call->status);
	actor_wait(actor, 10 + draw(actor->soak, 60));
}

static char *
batch_text(const struct batch *batch)
{
	json_t *requests = json_array();
	char text[32];
	char id[48];
	char score[48];
	char group[16];
	json_t *document;
	struct kwb_buf body;
	unsigned i;
	char *out;

	for (i = 0; i < ITEMS; i++) {
		kwb_buf_init(&body);
		snprintf(text, sizeof(text), "events=%u", EVENTS);
		snprintf(id, sizeof(id), "%s-i%u", batch->id, i);
		snprintf(score, sizeof(score), "%s-s%u", batch->id, i);
		snprintf(group, sizeof(group), "g%u", i / 2);
		kwb_base64_encode(&body, text, strlen(text));
		json_array_append_new(requests,
		    json_pack("{s:s, s:s, s:{s:s}, s:s, s:i, s:s, s:{s:s, s:s, "
			      "s:s, s:s}}",
			"id", id, "path", "/gen/x", "headers", "Model", "m",
			"body", body.data, "tokens", 100, "group", group,
			"scorer", "id", score, "hostname", "h", "path",
			"/web/s", "body", "c2NvcmU="));
		kwb_buf_finish(&body);
	}
	document = json_pack("{s:i, s:s, s:i, s:i, s:o}", "step", 0, "model",
	    "m", "min-version", 1, "target-groups", ITEMS / 2, "requests",
	    requests);
	out = json_dumps(document, JSON_COMPACT);
	json_decref(document);
	return out;
}

static void
trainer_next(struct actor *actor)
{
	struct soak *soak = actor->soak;
	struct batch *batch = actor->batch;
	char target[96];
	char *text;

	if (batch == NULL) {
		if (soak->calm || soak->batches_count == BATCHES_MAX)
			return;
		batch = &soak->batches[soak->batches_count];
		snprintf(
		    batch->id, sizeof(batch->id), "b%u", soak->batches_count++);
		actor->batch = batch;
		actor->ask = ASK_SUBMIT;
	}
	switch (actor->ask) {
	case ASK_SUBMIT:
		text = batch_text(batch);
		actor_send(actor, "POST", "/gen/x", batch->id, text);
		free(text);
		return;
	case ASK_RESULTS:
		/* At times from an earlier position, which must not change. */
		actor->after = draw(soak, 4) == 0 ? draw(soak, batch->next + 1)
						  : batch->next;
		snprintf(target, sizeof(target), "/lots/%s?after=%u", batch->id,
		    actor->after);
		actor_send(actor, "GET", target, "", "");
		return;
	case ASK_END:
		snprintf(target, sizeof(target), "/lots/%s", batch->id);
		actor_send(actor, "DELETE", target, "", "");
		return;
	}
}

static void
check_result(struct soak *soak, const struct batch *batch, const json_t *result)
{
	const char *output =
	    json_string_value(json_object_get(result, "output"));
	const char *state = json_string_value(json_object_get(result, "state"));
	struct kwb_buf text;
	unsigned i;

	kwb_buf_init(&text);
	for (i = 1; i <= EVENTS; i++)
		kwb_buf_printf(&text, "%sword%u", i > 1 ? "\n" : "", i);
	if (strcmp(state, "completed") != 0)
		fail(soak, "%s: an item was given up", batch->id);
	else if (strcmp(output, text.data) != 0 ||
	    json_object_get(result, "score") == NULL ||
	    json_array_size(json_object_get(result, "versions")) == 0)
		fail(
		    soak, "%s: a result is not whole: '%s'", batch->id, output);
	kwb_buf_finish(&text);
}

static void
take_results(struct actor *actor, const struct kwb_message *answer)
{
	struct soak *soak = actor->soak;
	struct batch *batch = actor->batch;
	json_t *document = json_loads(kwb_buf_text(&answer->body), 0, NULL);
	const json_t *result;
	unsigned position = actor->after;
	size_t i;
	char *text;
	unsigned k;

	json_array_foreach (json_object_get(document, "results"), i, result) {
		if (position >= ITEMS) {
			fail(soak, "%s: more results than items", batch->id);
			break;
		}
		text = json_dumps(result, JSON_COMPACT | JSON_SORT_KEYS);
		if (batch->results[position] == NULL) {
			for (k = 0; k < ITEMS; k++)
				if (batch->results[k] != NULL &&
				    strcmp(batch->results[k], text) == 0)
					fail(soak, "%s: an item twice",
					    batch->id);
			check_result(soak, batch, result);
			batch->results[position] = text;
		} else {
			if (strcmp(batch->results[position], text) != 0)
				fail(soak, "%s: position %u has changed",
				    batch->id, position);
			free(text);
		}
		position++;
	}
	json_decref(document);
	if (position > batch->next)
		batch->next = position;
}

static void
trainer_answered(struct actor *actor, int error)
{
	struct kwb_message *answer = kwb_exchange_answer(&actor->exchange);
	struct batch *batch = actor->batch;
	uint16_t status = error == 0 ? answer->status : 0;

	if (actor->ask == ASK_SUBMIT) {
		batch->accepted |= status == 202;
		batch->in_doubt |= status != 202 && status != 503;
		if (status == 202)
			actor->ask = ASK_RESULTS;
	} else if (status == 404) {
		fail(actor->soak, "%s: accepted, and not known at %s",
		    batch->id, actor->node->name);
	} else if (actor->ask == ASK_RESULTS && status == 200) {
		take_results(actor, answer);
		if (batch->next == ITEMS)
			actor->ask = ASK_END;
	} else if (actor->ask == ASK_END && status == 200) {
		batch->ended = true;
		actor->batch = NULL;
	}
	actor_wait(actor, 20 + draw(actor->soak, 120));
}

static void
actor_done(struct kwb_exchange *exchange, int error)
{
	struct actor *actor = exchange->context;

	actor->busy = false;
	if (actor->trainer)
		trainer_answered(actor, error);
	else
		call_answered(actor, error);
	kwb_exchange_finish(exchange);
}

static const struct kwb_exchange_ops actor_ops = {
    .on_done = actor_done,
};

static void
actor_time(int fd, short what, void *context)
{
	struct actor *actor = context;

	(void)fd;
	(void)what;
	if (actor->busy)
		return;
	memset(&actor->exchange, 0, sizeof(actor->exchange));
	actor->exchange.ops = &actor_ops;
	actor->exchange.context = actor;
	if (actor->trainer)
		trainer_next(actor);
	else
		call_next(actor);
}

/* ---- Faults
 * ----------------------------------------------------------------------- */

static void
fault_process(struct soak *soak)
{
	struct node *node = &soak->nodes[draw(soak, NODES)];
	unsigned kind = draw(soak, 5);
	unsigned i;

	switch (kind) {
	case 0:
		node_kill(soak, node, draw(soak, 1500));
		break;
	case 1:
		if (node->pid > 0 && !node->leaving) {
			node_signal(node, SIGTERM);
			node->leaving = true;
			node->kill_ns =
			    kwb_clock_now_ns() + GRACE_MS * KWB_MS_NS;
		}
		break;
	case 2:
		node_signal(node, SIGSTOP);
		node->stopped = true;
		break;
	case 3:
		node_signal(node, SIGHUP);
		break;
	default:
		for (i = 0; i < NODES; i++) /* all at once */
			if (draw(soak, 3) > 0)
				node_kill(soak, &soak->nodes[i], 300);
	}
}

static void
fault_network(struct soak *soak)
{
	enum proxy_mode mode = (enum proxy_mode)draw(soak, PROXY_MODE_COUNT);

	if (draw(soak, 2) == 0)
		proxy_set_mode(&soak->nodes[draw(soak, NODES)].proxy, mode);
	else
		proxy_set_mode(&soak->proxies[draw(soak, SERVERS)], mode);
}

static void
fault_server(struct soak *soak)
{
	static const enum server_fault faults[] = {SERVER_FAULT_REFUSE,
	    SERVER_FAULT_RESET, SERVER_FAULT_SILENT, SERVER_FAULT_WRONG_ID,
	    SERVER_FAULT_TRUNCATE, SERVER_FAULT_EXTRA_ANSWER,
	    SERVER_FAULT_NOT_HTTP, SERVER_FAULT_NO_RECEIPT,
	    SERVER_FAULT_MISDIRECTED};
	struct testbed_server *server =
	    &soak->testbed.servers[draw(soak, SERVERS)];

	server->fault = faults[draw(soak, 9)];
	if (server->is_model_server && server->fault != SERVER_FAULT_REFUSE &&
	    server->fault != SERVER_FAULT_MISDIRECTED)
		server->fault = SERVER_FAULT_TRUNCATE;
	server->fault_remaining = 1 + draw(soak, 6);
}

static void
fault_store(struct soak *soak)
{
	soak->testbed.store.fault =
	    (enum store_fault)draw(soak, STORE_FAULT_DELAY_WRITE + 1);
	soak->testbed.store.fault_remaining =
	    soak->testbed.store.fault >= STORE_FAULT_LOSE_ANSWER
	    ? 1 + draw(soak, 4)
	    : 0;
	if (draw(soak, 4) == 0)
		soak->testbed.store.history_from_revision =
		    soak->testbed.store.revision;
}

static void
heal(struct soak *soak)
{
	unsigned i;

	soak->testbed.store.fault = STORE_FAULT_NONE;
	for (i = 0; i < NODES; i++) {
		proxy_set_mode(&soak->nodes[i].proxy, PROXY_FORWARD);
		if (soak->nodes[i].stopped)
			node_signal(&soak->nodes[i], SIGCONT);
		soak->nodes[i].stopped = false;
	}
	for (i = 0; i < SERVERS; i++) {
		proxy_set_mode(&soak->proxies[i], PROXY_FORWARD);
		soak->testbed.servers[i].fault = SERVER_FAULT_NONE;
	}
}

static void
fault_next(struct soak *soak)
{
	soak->faults++;
	if (draw(soak, 3) == 0)
		heal(soak); /* faults come in series, and overlap */
	switch (draw(soak, 4)) {
	case 0:
		fault_process(soak);
		break;
	case 1:
		fault_network(soak);
		break;
	case 2:
		fault_server(soak);
		break;
	default:
		fault_store(soak);
	}
	soak->fault_ns =
	    kwb_clock_now_ns() + (100 + draw(soak, 700)) * KWB_MS_NS;
}

/* ---- Play
 * ---------------------------------------------------------------------------
 */

static unsigned
runs_of(const struct soak *soak, const char *id)
{
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < soak->testbed.runs_count; i++)
		count += strcmp(soak->testbed.runs[i].id, id) == 0;
	return count;
}

static void
check_calls(struct soak *soak)
{
	const struct call *call;
	unsigned runs;
	unsigned i;

	for (i = 0; i < soak->calls_count; i++) {
		call = &soak->calls[i];
		runs = runs_of(soak, call->id);
		if (call->once && runs > 1)
			fail(soak, "%s ran %u times", call->id, runs);
		if (call->once && call->status == 503 && runs > 0)
			fail(soak, "%s was refused and ran", call->id);
	}
}

static void
check_batches(struct soak *soak)
{
	const struct batch *batch;
	char item[48];
	unsigned i;

	for (i = 0; i < soak->batches_count; i++) {
		batch = &soak->batches[i];
		snprintf(item, sizeof(item), "%s-i0", batch->id);
		if (batch->accepted && !batch->ended && batch->next < ITEMS)
			fail(soak, "%s: accepted, %u of %u listed at the end",
			    batch->id, batch->next, ITEMS);
		if (!batch->accepted && !batch->in_doubt &&
		    runs_of(soak, item) > 0)
			fail(soak, "%s: always refused, and runs", batch->id);
	}
}

/* A submission that is not answered when the play ends promises nothing. */
static void
note_unanswered(struct soak *soak)
{
	unsigned i;

	for (i = 0; i < CALLERS + TRAINERS; i++)
		if (soak->actors[i].trainer && soak->actors[i].busy &&
		    soak->actors[i].ask == ASK_SUBMIT)
			soak->actors[i].batch->in_doubt = true;
}

/*
 * One holder gives orders: no two with one token, and where servers don't
 * check tokens, none with a lower one than before and none within a lease of
 * another holder's.
 */
static void
check_order(struct soak *soak, unsigned at)
{
	const struct recorded_order *order = &soak->testbed.orders[at];
	const struct recorded_order *before;
	unsigned i;

	for (i = 0; i < at; i++) {
		before = &soak->testbed.orders[i];
		if (before->fence == order->fence &&
		    strcmp(before->holder, order->holder) != 0)
			fail(soak, "%s and %s order with token %llu",
			    before->holder, order->holder,
			    (unsigned long long)order->fence);
		if (soak->fenced || before->server != order->server)
			continue;
		if (before->fence > order->fence)
			fail(soak, "%s: token %llu after %llu", order->holder,
			    (unsigned long long)order->fence,
			    (unsigned long long)before->fence);
		if (strcmp(before->holder, order->holder) != 0 &&
		    order->received_ns - before->received_ns <
			LEASE_MS * KWB_MS_NS)
			fail(soak, "%s orders %llu ms after %s", order->holder,
			    (unsigned long long)((order->received_ns -
						     before->received_ns) /
				KWB_MS_NS),
			    before->holder);
	}
}

static void
check_orders(struct soak *soak)
{
	unsigned i;

	for (i = 0; i < soak->testbed.orders_count; i++)
		check_order(soak, i);
}

/* As a trainer does after each step. */
static void
version_next(struct soak *soak)
{
	char text[64];

	snprintf(text, sizeof(text), "{\"model\":\"m\",\"version\":%u}",
	    ++soak->version);
	testbed_store_put(&soak->testbed.store, "op", "version/m", text);
	soak->name_ns = kwb_clock_now_ns() + NAME_MS * KWB_MS_NS;
}

static bool
is_settled(const struct soak *soak)
{
	unsigned i;

	for (i = 0; i < soak->batches_count; i++)
		if (soak->batches[i].accepted && !soak->batches[i].ended)
			return false;
	return true;
}

static void
soak_begin(struct soak *soak)
{
	static const char config[] =
	    "{\"version\":1,\"route-table\":["
	    "{\"name\":\"web\",\"hostname\":\"h\",\"path-prefix\":\"/web/\","
	    "\"route-kind\":\"idempotent\",\"service\":\"shop\","
	    "\"max-attempts\":4,\"timeout-ms\":1500,\"target-latency-ms\":100},"
	    "{\"name\":\"once\",\"hostname\":\"h\",\"path-prefix\":\"/once/\","
	    "\"route-kind\":\"non_idempotent\",\"service\":\"shop\","
	    "\"max-attempts\":3,\"timeout-ms\":1500,\"target-latency-ms\":100},"
	    "{\"name\":\"gen\",\"hostname\":\"h\",\"path-prefix\":\"/gen/\","
	    "\"route-kind\":\"rollout\",\"service\":\"engine\","
	    "\"max-attempts\":1000,\"item-ttl-s\":60}],\"services\":[{\"name\":"
	    "\"shop\"},{\"name\":\"engine\",\"engine\":{\"slots\":4,\"models\":"
	    "[{\"name\":\"m\"}]}}],\"limits\":{}}";
	struct testbed_server *server;
	char name[16];
	unsigned i;

	testbed_init(&soak->testbed);
	for (i = 0; i < SERVERS; i++) {
		snprintf(name, sizeof(name), "s%u", i);
		server = testbed_server(&soak->testbed, name);
		server->is_model_server = i >= PLAIN;
		server->slots = 4;
		server->pace_ms = 25;
		server->load_duration_ms = 300;
		server->version = 1;
		server->ignores_fences = !soak->fenced;
		kwb_text_copy(server->service, sizeof(server->service),
		    server->is_model_server ? "engine" : "shop");
		testbed_server_open(server, &soak->testbed);
		if (proxy_open(&soak->proxies[i], soak->testbed.base,
			&server->port.address) != 0)
			abort();
		server->advertised = soak->proxies[i].address;
		testbed_server_publish(server);
	}
	testbed_store_put(&soak->testbed.store, "op", "config", config);
	for (i = 0; i < NODES; i++) {
		struct node *node = &soak->nodes[i];

		snprintf(node->name, sizeof(node->name), "n%u", i);
		testbed_pick_address(&node->front);
		testbed_pick_address(&node->ready);
		testbed_pick_address(&node->peers);
		if (proxy_open(&node->proxy, soak->testbed.base,
			&soak->testbed.store.port.address) != 0)
			abort();
		node_settings(soak, node);
		node_start(soak, node);
	}
	testbed_run_for(&soak->testbed, 400);
	for (i = 0; i < CALLERS + TRAINERS; i++) {
		struct actor *actor = &soak->actors[i];

		actor->soak = soak;
		actor->trainer = i >= CALLERS;
		actor->timer =
		    kwb_timer_new(soak->testbed.base, actor_time, actor);
		actor_wait(actor, i * 10);
	}
}

static void
soak_finish(struct soak *soak)
{
	char command[192];
	unsigned i;
	unsigned k;

	for (i = 0; i < CALLERS + TRAINERS; i++) {
		kwb_exchange_finish(&soak->actors[i].exchange);
		event_free(soak->actors[i].timer);
	}
	for (i = 0; i < NODES; i++) {
		node_kill(soak, &soak->nodes[i], 0);
		proxy_close(&soak->nodes[i].proxy);
	}
	for (i = 0; i < SERVERS; i++)
		proxy_close(&soak->proxies[i]);
	for (i = 0; i < soak->batches_count; i++)
		for (k = 0; k < ITEMS; k++)
			free(soak->batches[i].results[k]);
	testbed_finish(&soak->testbed);
	if (getenv("SOAK_KEEP") != NULL || soak->failures > 0) {
		printf("seed %u: logs in %s\n", soak->seed, soak->directory);
		return;
	}
	snprintf(command, sizeof(command), "rm -rf %s", soak->directory);
	if (system(command) != 0)
		printf("seed %u: %s stays\n", soak->seed, soak->directory);
}

static unsigned
soak_play(unsigned seed)
{
	static struct soak soak;
	unsigned finished = 0;
	unsigned i;

	memset(&soak, 0, sizeof(soak));
	soak.seed = seed;
	soak.state = seed;
	soak.fenced = seed % 2 == 0;
	soak.version = 1;
	snprintf(
	    soak.directory, sizeof(soak.directory), "/tmp/kwb-soak-XXXXXX");
	if (mkdtemp(soak.directory) == NULL)
		abort();
	soak_begin(&soak);
	soak.end_ns = kwb_clock_now_ns() + PLAY_MS * KWB_MS_NS;
	soak.fault_ns = kwb_clock_now_ns() + 500 * KWB_MS_NS;
	while (kwb_clock_now_ns() < soak.end_ns) {
		testbed_run_for(&soak.testbed, 5);
		nodes_look(&soak);
		if (kwb_clock_now_ns() >= soak.fault_ns)
			fault_next(&soak);
		if (kwb_clock_now_ns() >= soak.name_ns)
			version_next(&soak);
	}
	heal(&soak);
	soak.calm = true;
	soak.end_ns = kwb_clock_now_ns() + SETTLE_MS * KWB_MS_NS;
	while (kwb_clock_now_ns() < soak.end_ns && !is_settled(&soak)) {
		testbed_run_for(&soak.testbed, 5);
		nodes_look(&soak);
	}
	check_calls(&soak);
	note_unanswered(&soak);
	check_batches(&soak);
	check_orders(&soak);
	for (i = 0; i < soak.batches_count; i++)
		finished += soak.batches[i].ended;
	printf("%s soak %u   faults=%u calls=%u batches=%u whole=%u "
	       "orders=%u\n",
	    soak.failures == 0 ? "ok" : "FAILED", seed, soak.faults,
	    soak.calls_count, soak.batches_count, finished,
	    soak.testbed.orders_count);
	fflush(stdout);
	soak_finish(&soak);
	return soak.failures;
}

int
main(int argc, char **argv)
{
	unsigned count = 0;
	unsigned first = 1;
	unsigned passed = 0;
	unsigned failed = 0;
	int i;

	signal(SIGPIPE, SIG_IGN);
	kwb_log_init("soak", KWB_LOG_ERROR + 1);
	if (argc > 2 && strcmp(argv[1], "--count") == 0) {
		count = (unsigned)atoi(argv[2]);
		first = argc > 3 ? (unsigned)atoi(argv[3]) : 1;
	}
	for (; count > 0; count--, first++)
		*(soak_play(first) == 0 ? &passed : &failed) += 1;
	for (i = 1; i < argc && strcmp(argv[1], "--count") != 0; i++)
		*(soak_play((unsigned)atoi(argv[i])) == 0 ? &passed
							  : &failed) += 1;
	printf("%u passed, %u failed\n", passed, failed);
	return failed == 0 ? 0 : 1;
}
