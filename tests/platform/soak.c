/*
 * Fault soak: real kwb-node processes with stand-ins for the platform's store
 * and servers run under random faults, while callers and trainers check the
 * node's guarantees. The seed starts the random sequence from which faults and
 * requests are drawn; time is real, so two runs of a seed may differ.
 *
 *   soak SEED [SEED ...]        runs these seeds
 *   soak --count N [FIRST]      runs N seeds from FIRST on
 *
 * SOAK_KEEP=1 keeps the directory with settings and logs, and prints its path.
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
#define SERVICE_SERVERS 2
#define MODEL_SERVERS 3
#define SERVERS (SERVICE_SERVERS + MODEL_SERVERS)
#define CALLERS 6
#define TRAINERS 2
#define CALLS_MAX 4096
#define BATCHES_MAX 64
#define BATCH_ITEMS 8
#define ITEM_EVENTS 12
#define FAULTS_MS 7000	  /* duration of the phase with faults */
#define RECOVERY_MS 14000 /* then at most until accepted batches are ended */
#define GRACE_MS 8000
#define LEAVE_PERIOD_MS 6000 /* a server leaves so long after its start */
#define LEAVING_MS 1200	     /* and starts again after that */
#define LEASE_MS 3000
#define VERSION_PERIOD_MS 900 /* between published weight versions */
#define KEYS_MAX 32	      /* of workspace w1, one after the other */
#define KEY_PERIOD_MS 1100    /* then it gets another one instead */
#define REVOKE_MS 1500
#define DUTY_FAULT_PERIOD_MS 700
#define REPORTS_MS 2600 /* until the last window is reported */
/*
 * The holder of the duties may have stopped last. Without fences the next one
 * waits for a whole lease from when it has read the release, and reads it six
 * times a lease. With fences it waits for two thirds of a lease from when it
 * has read the last renewal.
 */
#define HAND_OVER_MS (LEASE_MS + LEASE_MS / 6)
#define FENCED_HAND_OVER_MS (LEASE_MS / 6 + LEASE_MS * 2 / 3 + LEASE_MS / 6)

struct node {
	char name[16];
	char settings_path[160];
	struct kwb_address front_address; /* takes requests */
	struct kwb_address ready_address; /* answers health checks */
	struct kwb_address relay_address; /* takes connections of peers */
	struct proxy proxy;		  /* to the store */
	pid_t pid;			  /* 0 while it does not run */
	bool is_paused;			  /* by SIGSTOP */
	bool is_terminating;		  /* by SIGTERM */
	uint64_t grace_until_ns;	  /* after SIGTERM; killed then */
	uint64_t restart_due_ns;	  /* 0 for none */
	unsigned memory_number;		  /* rises when it starts */
};

struct call {
	char id[24];
	bool is_non_idempotent; /* must not run twice */
	uint16_t status;	/* of the answer; 0 for none */
	uint64_t sent_ns;
	unsigned key;		 /* of w1, from 1; 0: that of w0, which stays */
	unsigned barred_servers; /* bits: its node knew that they leave */
};

/* A server that leaves and starts again under its id, by turns. */
struct server_life {
	uint64_t started_ns;
	uint64_t leave_due_ns;
	uint64_t restart_due_ns; /* 0 while it doesn't leave */
	/* By node: the memory that has passed on the sign; 0 for none. */
	unsigned told_memory[NODES];
};

struct batch {
	char id[24];
	bool is_accepted;
	bool may_be_accepted; /* a submission failed without a clear refusal */
	bool is_ended;
	unsigned next_position; /* results received so far */
	char *results[BATCH_ITEMS];
};

struct soak;

/* A caller or a trainer; it has one request in flight at a time. */
struct client {
	struct soak *soak;
	struct kwb_exchange exchange;
	struct event *timer;
	bool is_busy; /* a request is in flight */
	bool is_trainer;
	struct call *call;   /* of a caller: the newest */
	struct batch *batch; /* of a trainer: the open one, or NULL */
	struct node *node;   /* to which the newest request went */
	enum {
		TRAINER_SUBMIT,
		TRAINER_READ_RESULTS,
		TRAINER_END_BATCH
	} trainer_step;
	unsigned after_position; /* from which results were asked for */
};

struct soak {
	unsigned seed;
	unsigned random_state;
	char directory[128];
	struct testbed testbed;
	struct node nodes[NODES];
	struct proxy proxies[SERVERS];
	struct client clients[CALLERS + TRAINERS];
	struct call calls[CALLS_MAX];
	unsigned calls_count;
	struct batch batches[BATCHES_MAX];
	unsigned batches_count;
	bool is_fencing_enforced; /* servers check fencing tokens */
	unsigned version;	  /* of the weights, newest published */
	uint64_t next_version_ns; /* when the next one is published */
	uint64_t next_fault_ns;	  /* when the next fault is injected */
	uint64_t phase_until_ns;  /* end of the phase of faults or recovery */
	bool is_recovering;	  /* no more faults, calls and new batches */
	struct server_life lives[SERVERS];
	unsigned leaving_random_state; /* of its own: keeps seeds' faults */
	unsigned leaves;	       /* servers that left */
	uint64_t next_key_ns;	       /* when w1 gets its next key */
	uint64_t key_removed_ns[KEYS_MAX + 1]; /* 0 while it is held */
	unsigned keys_count;		       /* that w1 has had */
	unsigned keys_random_state;	       /* likewise */
	uint64_t next_duty_fault_ns;
	unsigned duty_random_state; /* likewise */
	unsigned reported;	    /* requests of w1 */
	unsigned ran;		    /* likewise, at servers */
	unsigned revoked_calls;	    /* sent too late with a removed key */
	unsigned failures;	    /* broken guarantees */
	unsigned faults;	    /* injected */
};

/* A random number from 0 to below - 1, from the seed's sequence. */
static unsigned
random_below(struct soak *soak, unsigned below)
{
	return (unsigned)rand_r(&soak->random_state) % below;
}

/* Counts and prints a broken guarantee. */
static void
report_failure(struct soak *soak, const char *format, ...)
{
	va_list args;

	soak->failures++;
	printf("seed %u: ", soak->seed);
	va_start(args, format);
	vprintf(format, args);
	va_end(args);
	printf("\n");
}

/* ---- Nodes --------------------------------------------------------------- */

static void
node_write_settings(struct soak *soak, struct node *node)
{
	FILE *file;

	snprintf(node->settings_path, sizeof(node->settings_path), "%s/%s.conf",
	    soak->directory, node->name);
	file = fopen(node->settings_path, "w");
	if (file == NULL)
		abort();
	fprintf(file,
	    "bounds.strict-revocation=true\nbounds.revoke-ms=%u\n"
	    "node-name=%s\nzone=z1\nlisten.front=127.0.0.1:%u\n"
	    "listen.ready=127.0.0.1:%u\nplatform.addr=127.0.0.1:%u\n"
	    "bounds.grace-s=8\nbounds.fencing-enforced=%s\n"
	    "bounds.lease-ms=%u\nip=127.0.0.1\nport-range=%u,%u\n"
	    "cloud.addr=127.0.0.1:%u\ncloud.duties=usage\n"
	    "cloud.duty-per-s=20\nbounds.report-window-s=1\n"
	    "bounds.usage-late-s=3\n",
	    REVOKE_MS, node->name, node->front_address.port,
	    node->ready_address.port, node->proxy.address.port,
	    soak->is_fencing_enforced ? "true" : "false", LEASE_MS,
	    node->relay_address.port, node->relay_address.port,
	    soak->testbed.duty.port.address.port);
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
		setenv(PLATFORM_SETTINGS_VARIABLE, node->settings_path, 1);
		execl(program, program, (char *)NULL);
		_exit(127);
	}
	node->memory_number++;
	node->is_paused = false;
	node->is_terminating = false;
	node->restart_due_ns = 0;
}

static void
node_signal(struct node *node, int number)
{
	if (node->pid > 0)
		kill(node->pid, number);
}

/* Kills a node that runs and schedules its restart after down_ms. */
static void
node_kill(struct soak *soak, struct node *node, unsigned down_ms)
{
	if (node->pid <= 0)
		return;
	node_signal(node, SIGKILL);
	waitpid(node->pid, NULL, 0);
	node->pid = 0;
	node->restart_due_ns = kwb_clock_now_ns() + down_ms * KWB_MS_NS;
	(void)soak;
}

/*
 * Starts nodes whose restart is due and checks those that run: a node may exit
 * only after SIGTERM, and then must exit within its grace period.
 */
static void
nodes_poll(struct soak *soak)
{
	uint64_t now_ns = kwb_clock_now_ns();
	struct node *node;
	int status;
	unsigned i;

	for (i = 0; i < NODES; i++) {
		node = &soak->nodes[i];
		if (node->pid == 0 && node->restart_due_ns != 0 &&
		    now_ns >= node->restart_due_ns)
			node_start(soak, node);
		if (node->pid <= 0)
			continue;
		if (waitpid(node->pid, &status, WNOHANG) == node->pid) {
			if (!node->is_terminating)
				report_failure(soak,
				    "%s exited without SIGTERM, wait status %d",
				    node->name, status);
			node->pid = 0;
			node->restart_due_ns = now_ns + 200 * KWB_MS_NS;
		} else if (node->is_terminating &&
		    now_ns >= node->grace_until_ns) {
			if (!node->is_paused)
				report_failure(soak,
				    "%s did not exit within its grace period",
				    node->name);
			node_kill(soak, node, 200);
		}
	}
}

/* ---- Callers and trainers ------------------------------------------------ */

/* Schedules the client's next request. */
static void
client_schedule(struct client *client, unsigned wait_ms)
{
	kwb_timer_arm(client->timer, kwb_clock_now_ns() + wait_ms * KWB_MS_NS);
}

/* Sends a request to a random node; retries soon if it cannot be sent. */
static void
client_send(struct client *client, const char *method, const char *target,
    const char *id, const char *body)
{
	struct soak *soak = client->soak;
	struct evbuffer *out = evbuffer_new();
	unsigned key = client->is_trainer ? 0 : client->call->key;

	client->node = &soak->nodes[random_below(soak, NODES)];
	evbuffer_add_printf(out,
	    "%s %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\n"
	    "Api-Key: " TESTBED_KEY_PREFIX "%u\r\nDeadline-Ms: 1500\r\n"
	    "Wait-Ms: 300\r\nContent-Length: %zu\r\n\r\n%s",
	    method, target, id, key, strlen(body), body);
	client->is_busy = true;
	client->exchange.deadline_ns = kwb_clock_now_ns() + 2500 * KWB_MS_NS;
	if (kwb_exchange_start(&client->exchange, &soak->testbed.client,
		&client->node->front_address, out) != 0) {
		client->is_busy = false;
		client_schedule(client, 50);
	}
	evbuffer_free(out);
}

/* Notes which servers the node that gets the call must not send it to. */
static void
call_bar_leaving(struct soak *soak, struct call *call, const struct node *node)
{
	unsigned node_index = (unsigned)(node - soak->nodes);
	unsigned i;

	call->sent_ns = kwb_clock_now_ns();
	for (i = 0; i < SERVERS; i++)
		if (soak->lives[i].told_memory[node_index] ==
		    node->memory_number)
			call->barred_servers |= 1u << i;
}

/* A node has passed an answer on that says that its server leaves. */
static void
note_leaving_answer(struct client *client, const struct kwb_message *answer)
{
	struct soak *soak = client->soak;
	const char *leaving = kwb_message_header(answer, "Server-Leaving");
	const char *receipt = kwb_message_header(answer, "Server-Stamp");
	unsigned node_index = (unsigned)(client->node - soak->nodes);
	struct server_life *life;
	unsigned i;

	if (leaving == NULL || strcmp(leaving, "1") != 0 || receipt == NULL ||
	    sscanf(receipt, "stamp-s%u-", &i) != 1 || i >= SERVERS)
		return;
	life = &soak->lives[i];
	if (life->restart_due_ns != 0 &&
	    client->call->sent_ns >= life->started_ns)
		life->told_memory[node_index] = client->node->memory_number;
}

/* The key that stays, the newest of the others, or any of them. */
static unsigned
choose_key(struct soak *soak)
{
	unsigned drawn = (unsigned)rand_r(&soak->keys_random_state);

	if (drawn % 3 == 0)
		return 0;
	return drawn % 3 == 1 ? soak->keys_count
			      : 1 + drawn / 3 % soak->keys_count;
}

static void
caller_send(struct client *client)
{
	struct soak *soak = client->soak;
	struct call *call;
	char body[48];

	if (soak->is_recovering || soak->calls_count == CALLS_MAX)
		return;
	call = &soak->calls[soak->calls_count];
	snprintf(call->id, sizeof(call->id), "c%u", soak->calls_count++);
	call->is_non_idempotent = random_below(soak, 2) == 0;
	client->call = call;
	call->key = choose_key(soak);
	snprintf(body, sizeof(body), "body of %s", call->id);
	client_send(client, "POST",
	    call->is_non_idempotent ? "/once/x" : "/web/x", call->id, body);
	call_bar_leaving(soak, call, client->node);
}

static void
caller_on_answer(struct client *client, int error)
{
	struct kwb_message *answer = kwb_exchange_answer(&client->exchange);
	struct call *call = client->call;
	char body[48];

	call->status = error == 0 ? answer->status : 0;
	if (call->status == 200)
		note_leaving_answer(client, answer);
	snprintf(body, sizeof(body), "body of %s", call->id);
	if (call->status == 200 &&
	    (strcmp(kwb_buf_text(&answer->body), body) != 0 ||
		kwb_message_header(answer, "Server-Stamp") == NULL))
		report_failure(client->soak,
		    "%s got a wrong body or no receipt: '%s'", call->id,
		    kwb_buf_text(&answer->body));
	if (call->status == 401 && client->soak->key_removed_ns[call->key] == 0)
		report_failure(client->soak, "%s: key %u is held, but unknown",
		    call->id, call->key);
	if (call->status == 404 || call->status == 400)
		report_failure(client->soak, "%s was rejected with status %u",
		    call->id, call->status);
	client_schedule(client, 10 + random_below(client->soak, 60));
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

	for (i = 0; i < BATCH_ITEMS; i++) {
		kwb_buf_init(&body);
		snprintf(text, sizeof(text), "events=%u", ITEM_EVENTS);
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
	    "m", "min-version", 1, "target-groups", BATCH_ITEMS / 2, "requests",
	    requests);
	out = json_dumps(document, JSON_COMPACT);
	json_decref(document);
	return out;
}

static void
trainer_send(struct client *client)
{
	struct soak *soak = client->soak;
	struct batch *batch = client->batch;
	char target[96];
	char *text;

	if (batch == NULL) {
		if (soak->is_recovering || soak->batches_count == BATCHES_MAX)
			return;
		batch = &soak->batches[soak->batches_count];
		snprintf(
		    batch->id, sizeof(batch->id), "b%u", soak->batches_count++);
		client->batch = batch;
		client->trainer_step = TRAINER_SUBMIT;
	}
	switch (client->trainer_step) {
	case TRAINER_SUBMIT:
		text = batch_text(batch);
		client_send(client, "POST", "/gen/x", batch->id, text);
		free(text);
		return;
	case TRAINER_READ_RESULTS:
		/* One in four reads earlier results, which must not change. */
		client->after_position = random_below(soak, 4) == 0
		    ? random_below(soak, batch->next_position + 1)
		    : batch->next_position;
		snprintf(target, sizeof(target), "/lots/%s?after=%u", batch->id,
		    client->after_position);
		client_send(client, "GET", target, "", "");
		return;
	case TRAINER_END_BATCH:
		snprintf(target, sizeof(target), "/lots/%s", batch->id);
		client_send(client, "DELETE", target, "", "");
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
	for (i = 1; i <= ITEM_EVENTS; i++)
		kwb_buf_printf(&text, "%sword%u", i > 1 ? "\n" : "", i);
	if (strcmp(state, "completed") != 0)
		report_failure(soak, "%s: an item is not completed", batch->id);
	else if (strcmp(output, text.data) != 0 ||
	    json_object_get(result, "score") == NULL ||
	    json_array_size(json_object_get(result, "versions")) == 0)
		report_failure(soak, "%s: a result is incomplete: '%s'",
		    batch->id, output);
	kwb_buf_finish(&text);
}

/* Checks a page of results and keeps those that are new. */
static void
collect_results(struct client *client, const struct kwb_message *answer)
{
	struct soak *soak = client->soak;
	struct batch *batch = client->batch;
	json_t *document = json_loads(kwb_buf_text(&answer->body), 0, NULL);
	const json_t *result;
	unsigned position = client->after_position;
	size_t i;
	char *text;
	unsigned k;

	json_array_foreach (json_object_get(document, "results"), i, result) {
		if (position >= BATCH_ITEMS) {
			report_failure(
			    soak, "%s: more results than items", batch->id);
			break;
		}
		text = json_dumps(result, JSON_COMPACT | JSON_SORT_KEYS);
		if (batch->results[position] == NULL) {
			for (k = 0; k < BATCH_ITEMS; k++)
				if (batch->results[k] != NULL &&
				    strcmp(batch->results[k], text) == 0)
					report_failure(soak,
					    "%s: a result was listed twice",
					    batch->id);
			check_result(soak, batch, result);
			batch->results[position] = text;
		} else {
			if (strcmp(batch->results[position], text) != 0)
				report_failure(soak,
				    "%s: the result at %u has changed",
				    batch->id, position);
			free(text);
		}
		position++;
	}
	json_decref(document);
	if (position > batch->next_position)
		batch->next_position = position;
}

static void
trainer_on_answer(struct client *client, int error)
{
	struct kwb_message *answer = kwb_exchange_answer(&client->exchange);
	struct batch *batch = client->batch;
	uint16_t status = error == 0 ? answer->status : 0;

	if (client->trainer_step == TRAINER_SUBMIT) {
		batch->is_accepted |= status == 202;
		batch->may_be_accepted |= status != 202 && status != 503;
		if (status == 202)
			client->trainer_step = TRAINER_READ_RESULTS;
	} else if (status == 404) {
		report_failure(client->soak, "%s: accepted, but unknown to %s",
		    batch->id, client->node->name);
	} else if (client->trainer_step == TRAINER_READ_RESULTS &&
	    status == 200) {
		collect_results(client, answer);
		if (batch->next_position == BATCH_ITEMS)
			client->trainer_step = TRAINER_END_BATCH;
	} else if (client->trainer_step == TRAINER_END_BATCH && status == 200) {
		batch->is_ended = true;
		client->batch = NULL;
	}
	client_schedule(client, 20 + random_below(client->soak, 120));
}

static void
client_on_done(struct kwb_exchange *exchange, int error)
{
	struct client *client = exchange->context;

	client->is_busy = false;
	if (client->is_trainer)
		trainer_on_answer(client, error);
	else
		caller_on_answer(client, error);
	kwb_exchange_finish(exchange);
}

static const struct kwb_exchange_ops client_ops = {
    .on_done = client_on_done,
};

static void
client_on_timer(int fd, short what, void *context)
{
	struct client *client = context;

	(void)fd;
	(void)what;
	if (client->is_busy)
		return;
	memset(&client->exchange, 0, sizeof(client->exchange));
	client->exchange.ops = &client_ops;
	client->exchange.context = client;
	if (client->is_trainer)
		trainer_send(client);
	else
		caller_send(client);
}

/* ---- Faults -------------------------------------------------------------- */

static void
inject_process_fault(struct soak *soak)
{
	struct node *node = &soak->nodes[random_below(soak, NODES)];
	unsigned kind = random_below(soak, 5);
	unsigned i;

	switch (kind) {
	case 0:
		node_kill(soak, node, random_below(soak, 1500));
		break;
	case 1:
		if (node->pid > 0 && !node->is_terminating) {
			node_signal(node, SIGTERM);
			node->is_terminating = true;
			node->grace_until_ns =
			    kwb_clock_now_ns() + GRACE_MS * KWB_MS_NS;
		}
		break;
	case 2:
		node_signal(node, SIGSTOP);
		node->is_paused = true;
		break;
	case 3:
		node_signal(node, SIGHUP);
		break;
	default:
		/* Kills several at once. */
		for (i = 0; i < NODES; i++)
			if (random_below(soak, 3) > 0)
				node_kill(soak, &soak->nodes[i], 300);
	}
}

static void
inject_network_fault(struct soak *soak)
{
	enum proxy_mode mode =
	    (enum proxy_mode)random_below(soak, PROXY_MODE_COUNT);

	if (random_below(soak, 2) == 0)
		proxy_set_mode(
		    &soak->nodes[random_below(soak, NODES)].proxy, mode);
	else
		proxy_set_mode(
		    &soak->proxies[random_below(soak, SERVERS)], mode);
}

static void
inject_server_fault(struct soak *soak)
{
	static const enum server_fault faults[] = {SERVER_FAULT_REFUSE,
	    SERVER_FAULT_RESET, SERVER_FAULT_SILENT, SERVER_FAULT_WRONG_ID,
	    SERVER_FAULT_TRUNCATE, SERVER_FAULT_EXTRA_ANSWER,
	    SERVER_FAULT_NOT_HTTP, SERVER_FAULT_NO_RECEIPT,
	    SERVER_FAULT_MISDIRECTED};
	struct testbed_server *server =
	    &soak->testbed.servers[random_below(soak, SERVERS)];

	server->fault = faults[random_below(soak, 9)];
	/* Model servers get only these two faults or a cut stream. */
	if (server->is_model_server && server->fault != SERVER_FAULT_REFUSE &&
	    server->fault != SERVER_FAULT_MISDIRECTED)
		server->fault = SERVER_FAULT_TRUNCATE;
	server->fault_remaining = 1 + random_below(soak, 6);
}

static void
inject_store_fault(struct soak *soak)
{
	soak->testbed.store.fault =
	    (enum store_fault)random_below(soak, STORE_FAULT_DELAY_WRITE + 1);
	soak->testbed.store.fault_remaining =
	    soak->testbed.store.fault >= STORE_FAULT_LOSE_ANSWER
	    ? 1 + random_below(soak, 4)
	    : 0;
	/* Feeds from earlier revisions then get status 410. */
	if (random_below(soak, 4) == 0)
		soak->testbed.store.history_from_revision =
		    soak->testbed.store.revision;
}

/* A new life under the same id: what was known of the old one is void. */
static void
server_restart(struct soak *soak, unsigned index)
{
	struct testbed_server *server = &soak->testbed.servers[index];
	struct server_life *life = &soak->lives[index];
	unsigned i;

	server->is_leaving = false;
	server->is_draining = false;
	server->born_ms++;
	testbed_server_publish(server);
	memset(life, 0, sizeof(*life));
	life->started_ns = kwb_clock_now_ns();
	life->leave_due_ns = life->started_ns +
	    ((uint64_t)rand_r(&soak->leaving_random_state) % LEAVE_PERIOD_MS) *
		KWB_MS_NS;
	for (i = 0; i < CALLERS; i++)
		if (soak->clients[i].is_busy && soak->clients[i].call != NULL)
			soak->clients[i].call->barred_servers &= ~(1u << index);
}

/* Servers leave, half of them with a report, too, and start again. */
static void
servers_poll(struct soak *soak)
{
	uint64_t now_ns = kwb_clock_now_ns();
	struct testbed_server *server;
	struct server_life *life;
	unsigned i;

	for (i = 0; i < SERVERS; i++) {
		server = &soak->testbed.servers[i];
		life = &soak->lives[i];
		if (life->restart_due_ns != 0 &&
		    (now_ns >= life->restart_due_ns || soak->is_recovering)) {
			server_restart(soak, i);
		} else if (life->restart_due_ns == 0 &&
		    now_ns >= life->leave_due_ns && !soak->is_recovering) {
			soak->leaves++;
			life->restart_due_ns = now_ns + LEAVING_MS * KWB_MS_NS;
			server->is_leaving = true;
			server->is_draining =
			    rand_r(&soak->leaving_random_state) % 2 == 0;
			testbed_server_publish(server);
		}
	}
}

static void
clear_faults(struct soak *soak)
{
	unsigned i;

	soak->testbed.store.fault = STORE_FAULT_NONE;
	for (i = 0; i < NODES; i++) {
		proxy_set_mode(&soak->nodes[i].proxy, PROXY_FORWARD);
		if (soak->nodes[i].is_paused)
			node_signal(&soak->nodes[i], SIGCONT);
		soak->nodes[i].is_paused = false;
	}
	for (i = 0; i < SERVERS; i++) {
		proxy_set_mode(&soak->proxies[i], PROXY_FORWARD);
		soak->testbed.servers[i].fault = SERVER_FAULT_NONE;
	}
}

static void
inject_fault(struct soak *soak)
{
	soak->faults++;
	if (random_below(soak, 3) == 0)
		clear_faults(soak); /* faults overlap until then */
	switch (random_below(soak, 4)) {
	case 0:
		inject_process_fault(soak);
		break;
	case 1:
		inject_network_fault(soak);
		break;
	case 2:
		inject_server_fault(soak);
		break;
	default:
		inject_store_fault(soak);
	}
	soak->next_fault_ns =
	    kwb_clock_now_ns() + (100 + random_below(soak, 700)) * KWB_MS_NS;
}

/* ---- Checks and the run of a seed ---------------------------------------- */

/* A call must not reach a server that its node knew to be leaving. */
static void
check_barred_servers(struct soak *soak, const struct call *call)
{
	const struct recorded_run *run;
	unsigned server;
	unsigned i;

	for (i = 0; call->barred_servers != 0 && i < soak->testbed.runs_count;
	     i++) {
		run = &soak->testbed.runs[i];
		if (strcmp(run->id, call->id) == 0 &&
		    sscanf(run->server, "s%u", &server) == 1 &&
		    (call->barred_servers >> server & 1) != 0)
			report_failure(soak,
			    "%s reached %s, which was known to leave", call->id,
			    run->server);
	}
}

/* Each run names its workspace, and none follows a removal of its key. */
static void
check_keys(struct soak *soak)
{
	const struct recorded_run *run;
	const struct call *call;
	uint64_t removed_ns;
	bool is_call;
	unsigned i;

	for (i = 0; i < soak->testbed.runs_count; i++) {
		run = &soak->testbed.runs[i];
		is_call = run->id[0] == 'c';
		call = &soak->calls[is_call ? atoi(run->id + 1) : 0];
		if (run->has_key ||
		    strcmp(run->workspace,
			strstr(run->id, "-s") != NULL	? "" /* a reward */
			    : is_call && call->key != 0 ? "w1"
							: "w0") != 0)
			report_failure(soak, "%s ran for '%s'%s", run->id,
			    run->workspace, run->has_key ? " with a key" : "");
		removed_ns = is_call ? soak->key_removed_ns[call->key] : 0;
		if (removed_ns != 0 &&
		    call->sent_ns > removed_ns + REVOKE_MS * KWB_MS_NS)
			report_failure(soak,
			    "%s ran, %llu ms after key %u was taken away",
			    run->id,
			    (unsigned long long)((call->sent_ns - removed_ns) /
				KWB_MS_NS),
			    call->key);
	}
	for (i = 0; i < soak->calls_count; i++) {
		removed_ns = soak->key_removed_ns[soak->calls[i].key];
		soak->revoked_calls += removed_ns != 0 &&
		    soak->calls[i].sent_ns > removed_ns + REVOKE_MS * KWB_MS_NS;
	}
}

/* How often the servers have run the request with this id. */
static unsigned
count_runs(const struct soak *soak, const char *id)
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
		runs = count_runs(soak, call->id);
		check_barred_servers(soak, call);
		if (call->is_non_idempotent && runs > 1)
			report_failure(soak,
			    "%s is not idempotent, but ran %u times", call->id,
			    runs);
		if (call->is_non_idempotent && call->status == 503 && runs > 0)
			report_failure(
			    soak, "%s was refused with 503, but ran", call->id);
	}
}

static void
check_batches(struct soak *soak)
{
	const struct batch *batch;
	char item_id[48];
	unsigned i;

	for (i = 0; i < soak->batches_count; i++) {
		batch = &soak->batches[i];
		snprintf(item_id, sizeof(item_id), "%s-i0", batch->id);
		if (batch->is_accepted && !batch->is_ended &&
		    batch->next_position < BATCH_ITEMS)
			report_failure(soak,
			    "%s: accepted, but %u of %u results listed",
			    batch->id, batch->next_position, BATCH_ITEMS);
		if (!batch->is_accepted && !batch->may_be_accepted &&
		    count_runs(soak, item_id) > 0)
			report_failure(soak,
			    "%s: always refused, but its first item ran",
			    batch->id);
	}
}

/* A submission still in flight at the end may have been accepted. */
static void
mark_unanswered_submissions(struct soak *soak)
{
	unsigned i;

	for (i = 0; i < CALLERS + TRAINERS; i++)
		if (soak->clients[i].is_trainer && soak->clients[i].is_busy &&
		    soak->clients[i].trainer_step == TRAINER_SUBMIT)
			soak->clients[i].batch->may_be_accepted = true;
}

/*
 * Only one lease holder at a time may send weight orders: two holders must not
 * use the same fencing token. Where servers don't check tokens, a server must
 * also see no token lower than an earlier one, and no order of a holder within
 * a lease period of another holder's.
 */
static void
check_weight_order(struct soak *soak, unsigned index)
{
	const struct recorded_order *order = &soak->testbed.orders[index];
	const struct recorded_order *earlier;
	unsigned i;

	for (i = 0; i < index; i++) {
		earlier = &soak->testbed.orders[i];
		if (earlier->fence == order->fence &&
		    strcmp(earlier->holder, order->holder) != 0)
			report_failure(soak,
			    "%s and %s sent orders with token %llu",
			    earlier->holder, order->holder,
			    (unsigned long long)order->fence);
		if (soak->is_fencing_enforced ||
		    earlier->server != order->server)
			continue;
		if (earlier->fence > order->fence)
			report_failure(soak,
			    "%s sent an order with token %llu after %llu",
			    order->holder, (unsigned long long)order->fence,
			    (unsigned long long)earlier->fence);
		if (strcmp(earlier->holder, order->holder) != 0 &&
		    order->received_ns - earlier->received_ns <
			LEASE_MS * KWB_MS_NS)
			report_failure(soak,
			    "%s sent an order %llu ms after %s", order->holder,
			    (unsigned long long)((order->received_ns -
						     earlier->received_ns) /
				KWB_MS_NS),
			    earlier->holder);
	}
}

static bool
has_run(const struct soak *soak, unsigned call)
{
	char id[16];
	unsigned i;

	snprintf(id, sizeof(id), "c%u", call);
	for (i = 0; i < soak->testbed.runs_count; i++)
		if (strcmp(soak->testbed.runs[i].id, id) == 0)
			return true;
	return false;
}

/* A fault of the duties' interface for the next call, or for some time. */
static void
change_duty_fault(struct soak *soak)
{
	struct testbed_duty *duty = &soak->testbed.duty;

	if (kwb_clock_now_ns() < soak->next_duty_fault_ns)
		return;
	soak->next_duty_fault_ns =
	    kwb_clock_now_ns() + DUTY_FAULT_PERIOD_MS * KWB_MS_NS;
	duty->fault = soak->is_recovering
	    ? DUTY_FAULT_NONE
	    : (enum duty_fault)((unsigned)rand_r(&soak->duty_random_state) %
		  (DUTY_FAULT_LATE + 1));
	duty->fault_remaining = (unsigned)rand_r(&soak->duty_random_state) % 3;
}

static bool
has_reports(const struct soak *soak)
{
	json_t *sums = testbed_duty_sum(&soak->testbed.duty);
	bool has_any = json_integer_value(json_object_get(sums, "w1")) > 0;

	json_decref(sums);
	return has_any;
}

/*
 * A window has one report, no token is used by two holders, and no more is
 * reported than servers ran; less, as killed nodes lose their newest counts.
 */
static void
check_duties(struct soak *soak)
{
	struct testbed_duty *duty = &soak->testbed.duty;
	json_t *sums = testbed_duty_sum(duty);
	json_int_t reported = json_integer_value(json_object_get(sums, "w1"));
	unsigned ran = 0;
	unsigned i;

	for (i = 0; i < soak->calls_count; i++)
		ran += soak->calls[i].key != 0 && has_run(soak, i);
	if (duty->differing_reports > 0)
		report_failure(soak, "%u reports differ from another one",
		    duty->differing_reports);
	if (duty->same_tokens > 0)
		report_failure(soak, "%u duty calls with another's token",
		    duty->same_tokens);
	if (reported > ran)
		report_failure(soak, "%lld requests reported, %u ran",
		    (long long)reported, ran);
	if (reported == 0 && ran > 0)
		report_failure(soak, "none of %u requests reported", ran);
	soak->reported = (unsigned)reported;
	soak->ran = ran;
	json_decref(sums);
}

static void
check_weight_orders(struct soak *soak)
{
	unsigned i;

	for (i = 0; i < soak->testbed.orders_count; i++)
		check_weight_order(soak, i);
}

/* Publishes the next weight version, as a trainer does after a step. */
static void
publish_version(struct soak *soak)
{
	char text[64];

	snprintf(text, sizeof(text), "{\"model\":\"m\",\"version\":%u}",
	    ++soak->version);
	testbed_store_put(&soak->testbed.store, "op", "version/m", text);
	soak->next_version_ns =
	    kwb_clock_now_ns() + VERSION_PERIOD_MS * KWB_MS_NS;
}

/* Publishes a config in which w1 has another key instead of the one before. */
static void
publish_next_key(struct soak *soak)
{
	static const char config[] =
	    "{\"version\":%u,\"tenants\":["
	    "{\"name\":\"w0\",\"api-keys\":[\"" TESTBED_KEY_PREFIX "0\"]},"
	    "{\"name\":\"w1\",\"api-keys\":[\"" TESTBED_KEY_PREFIX "%u\"]}],"
	    "\"route-table\":["
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
	char text[sizeof(config) + 32];

	soak->next_key_ns = kwb_clock_now_ns() + KEY_PERIOD_MS * KWB_MS_NS;
	if (soak->keys_count == KEYS_MAX)
		return;
	soak->keys_count++;
	snprintf(
	    text, sizeof(text), config, soak->keys_count, soak->keys_count);
	testbed_store_put(&soak->testbed.store, "op", "config", text);
	soak->key_removed_ns[soak->keys_count - 1] =
	    soak->keys_count > 1 ? kwb_clock_now_ns() : 0;
}

/* Whether the trainers have ended all accepted batches. */
static bool
is_settled(const struct soak *soak)
{
	unsigned i;

	for (i = 0; i < soak->batches_count; i++)
		if (soak->batches[i].is_accepted && !soak->batches[i].is_ended)
			return false;
	return true;
}

static void
soak_start(struct soak *soak)
{
	struct testbed_server *server;
	char name[16];
	unsigned i;

	testbed_init(&soak->testbed);
	soak->testbed.duty.ignores_fences = !soak->is_fencing_enforced;
	for (i = 0; i < SERVERS; i++) {
		snprintf(name, sizeof(name), "s%u", i);
		server = testbed_server(&soak->testbed, name);
		server->is_model_server = i >= SERVICE_SERVERS;
		server->slots = 4;
		server->pace_ms = 25;
		server->load_duration_ms = 300;
		server->version = 1;
		server->ignores_fences = !soak->is_fencing_enforced;
		kwb_text_copy(server->service, sizeof(server->service),
		    server->is_model_server ? "engine" : "shop");
		testbed_server_open(server, &soak->testbed);
		if (proxy_open(&soak->proxies[i], soak->testbed.base,
			&server->port.address) != 0)
			abort();
		server->advertised = soak->proxies[i].address;
		testbed_server_publish(server);
	}
	publish_next_key(soak);
	for (i = 0; i < NODES; i++) {
		struct node *node = &soak->nodes[i];

		snprintf(node->name, sizeof(node->name), "n%u", i);
		testbed_pick_address(&node->front_address);
		testbed_pick_address(&node->ready_address);
		testbed_pick_address(&node->relay_address);
		if (proxy_open(&node->proxy, soak->testbed.base,
			&soak->testbed.store.port.address) != 0)
			abort();
		node_write_settings(soak, node);
		node_start(soak, node);
	}
	testbed_run_for(&soak->testbed, 400);
	for (i = 0; i < CALLERS + TRAINERS; i++) {
		struct client *client = &soak->clients[i];

		client->soak = soak;
		client->is_trainer = i >= CALLERS;
		client->timer =
		    kwb_timer_new(soak->testbed.base, client_on_timer, client);
		client_schedule(client, i * 10);
	}
}

static void
soak_finish(struct soak *soak)
{
	char command[192];
	unsigned i;
	unsigned k;

	for (i = 0; i < CALLERS + TRAINERS; i++) {
		kwb_exchange_finish(&soak->clients[i].exchange);
		event_free(soak->clients[i].timer);
	}
	for (i = 0; i < NODES; i++) {
		node_kill(soak, &soak->nodes[i], 0);
		proxy_close(&soak->nodes[i].proxy);
	}
	for (i = 0; i < SERVERS; i++)
		proxy_close(&soak->proxies[i]);
	for (i = 0; i < soak->batches_count; i++)
		for (k = 0; k < BATCH_ITEMS; k++)
			free(soak->batches[i].results[k]);
	testbed_finish(&soak->testbed);
	if (getenv("SOAK_KEEP") != NULL || soak->failures > 0) {
		printf("seed %u: logs in %s\n", soak->seed, soak->directory);
		return;
	}
	snprintf(command, sizeof(command), "rm -rf %s", soak->directory);
	if (system(command) != 0)
		printf(
		    "seed %u: cannot remove %s\n", soak->seed, soak->directory);
}

/* Runs on without faults, and starts nodes again, at most until is_done. */
static void
soak_recover(struct soak *soak, unsigned duration_ms,
    bool (*is_done)(const struct soak *soak))
{
	soak->phase_until_ns = kwb_clock_now_ns() + duration_ms * KWB_MS_NS;
	do {
		change_duty_fault(soak);
		testbed_run_for(&soak->testbed, 5);
		nodes_poll(soak);
		servers_poll(soak);
	} while (kwb_clock_now_ns() < soak->phase_until_ns &&
	    (is_done == NULL || !is_done(soak)));
}

static unsigned
soak_run(unsigned seed)
{
	static struct soak soak;
	unsigned ended_count = 0;
	unsigned i;

	memset(&soak, 0, sizeof(soak));
	soak.seed = seed;
	soak.random_state = seed;
	soak.leaving_random_state = seed;
	soak.keys_random_state = seed;
	soak.duty_random_state = seed;
	soak.is_fencing_enforced = seed % 2 == 0;
	soak.version = 1;
	snprintf(
	    soak.directory, sizeof(soak.directory), "/tmp/kwb-soak-XXXXXX");
	if (mkdtemp(soak.directory) == NULL)
		abort();
	soak_start(&soak);
	for (i = 0; i < SERVERS; i++)
		soak.lives[i].leave_due_ns = kwb_clock_now_ns() +
		    ((uint64_t)rand_r(&soak.leaving_random_state) %
			LEAVE_PERIOD_MS) *
			KWB_MS_NS;
	soak.phase_until_ns = kwb_clock_now_ns() + FAULTS_MS * KWB_MS_NS;
	soak.next_fault_ns = kwb_clock_now_ns() + 500 * KWB_MS_NS;
	while (kwb_clock_now_ns() < soak.phase_until_ns) {
		testbed_run_for(&soak.testbed, 5);
		nodes_poll(&soak);
		servers_poll(&soak);
		if (kwb_clock_now_ns() >= soak.next_fault_ns)
			inject_fault(&soak);
		if (kwb_clock_now_ns() >= soak.next_version_ns)
			publish_version(&soak);
		if (kwb_clock_now_ns() >= soak.next_key_ns)
			publish_next_key(&soak);
		change_duty_fault(&soak);
	}
	clear_faults(&soak);
	soak.is_recovering = true;
	soak.next_duty_fault_ns = 0;
	soak_recover(&soak, RECOVERY_MS, is_settled);
	check_calls(&soak);
	check_keys(&soak);
	mark_unanswered_submissions(&soak);
	check_batches(&soak);
	check_weight_orders(&soak);
	soak_recover(&soak, REPORTS_MS, NULL);
	if (!has_reports(&soak))
		soak_recover(&soak,
		    soak.is_fencing_enforced ? FENCED_HAND_OVER_MS
					     : HAND_OVER_MS,
		    NULL);
	check_duties(&soak);
	for (i = 0; i < soak.batches_count; i++)
		ended_count += soak.batches[i].is_ended;
	printf("%s soak %u   faults=%u calls=%u batches=%u ended=%u "
	       "orders=%u leaves=%u keys=%u revoked=%u used=%u of %u\n",
	    soak.failures == 0 ? "ok" : "FAILED", seed, soak.faults,
	    soak.calls_count, soak.batches_count, ended_count,
	    soak.testbed.orders_count, soak.leaves, soak.keys_count,
	    soak.revoked_calls, soak.reported, soak.ran);
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
		*(soak_run(first) == 0 ? &passed : &failed) += 1;
	for (i = 1; i < argc && strcmp(argv[1], "--count") != 0; i++)
		*(soak_run((unsigned)atoi(argv[i])) == 0 ? &passed : &failed) +=
		    1;
	printf("%u passed, %u failed\n", passed, failed);
	return failed == 0 ? 0 : 1;
}
