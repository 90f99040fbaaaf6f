#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "world.h"

#define NODE_PROGRAM "target/kwb-node"
#define METRICS_PORT "9464" /* as in deploy/system.toml */
#define READY_TIMEOUT_MS 10000
#define PORT_FRONT 8149
#define PORT_READY 8141
#define PORT_CONTROL 8144
#define HEARTBEAT_NS (1200 * KWB_MS_NS) /* heartbeat-ms */

/* All servers whose entry was written write it again. */
static void
heartbeat_on_timer(int fd, short what, void *context)
{
	struct world *world = context;
	unsigned i;

	(void)fd;
	(void)what;
	for (i = 0; i < world->testbed.servers_count; i++)
		if (world->testbed.servers[i].is_published)
			world_publish(world, &world->testbed.servers[i]);
	kwb_timer_arm(world->heartbeat, kwb_clock_now_ns() + HEARTBEAT_NS);
}

void
world_init(struct world *world, int argc, char **argv)
{
	const char *trouble = getenv("TROUBLE");

	memset(world, 0, sizeof(*world));
	signal(SIGPIPE, SIG_IGN);
	world->memory_mb = 290;
	world->status_s = 120;
	world->has_trouble = trouble == NULL || strcmp(trouble, "0") != 0;
	world->started_ns = kwb_clock_now_ns();
	world->record = argc > 1 ? fopen(argv[1], "w") : NULL;
	snprintf(world->folder, sizeof(world->folder), "%s/review2-XXXXXX",
	    getenv("TMPDIR") && strlen(getenv("TMPDIR")) < 40 ? getenv("TMPDIR")
							      : "/tmp");
	if (world->record == NULL || mkdtemp(world->folder) == NULL ||
	    access(NODE_PROGRAM, X_OK) != 0) {
		fprintf(stderr,
		    "run it in the repository, after the build, with the path "
		    "of record.txt\n");
		exit(CASE_NOT_RUN);
	}
	kwb_log_init("stand-in", KWB_LOG_ERROR);
	testbed_init(&world->testbed);
	world->heartbeat =
	    kwb_timer_new(world->testbed.base, heartbeat_on_timer, world);
	kwb_timer_arm(world->heartbeat, kwb_clock_now_ns() + HEARTBEAT_NS);
	world_record(world, "begins, trouble=%d", world->has_trouble);
}

void
world_end(struct world *world, int code, const char *verdict)
{
	char command[128];
	unsigned i;

	for (i = 0; i < world->nodes_count; i++)
		if (world->nodes[i].pid != 0)
			world_node_kill(world, &world->nodes[i]);
	world_record(world, "verdict: %s (exit code %d)", verdict, code);
	printf("%s\n", verdict);
	fclose(world->record);
	if (getenv("REVIEW2_KEEP") == NULL) {
		snprintf(command, sizeof(command), "rm -rf '%s'", world->folder);
		if (system(command) != 0)
			fprintf(stderr, "%s stays\n", world->folder);
	}
	exit(code);
}

uint64_t
world_now_ms(const struct world *world)
{
	return (kwb_clock_now_ns() - world->started_ns) / KWB_MS_NS;
}

void
world_record(struct world *world, const char *format, ...)
{
	va_list args;
	uint64_t now_ms = world_now_ms(world);

	fprintf(world->record, "%3llu.%03llu ",
	    (unsigned long long)(now_ms / 1000),
	    (unsigned long long)(now_ms % 1000));
	va_start(args, format);
	vfprintf(world->record, format, args);
	va_end(args);
	fputc('\n', world->record);
	fflush(world->record);
}

void
world_run_until(struct world *world, uint64_t at_ms)
{
	while (world_now_ms(world) < at_ms)
		testbed_run_for(&world->testbed, 1);
}

/* ---- Nodes -------------------------------------------------------------- */

/* Each node has a loopback address of its own, so all use the same ports. */
struct world_node *
world_node_add(struct world *world, const char *name)
{
	struct world_node *node = &world->nodes[world->nodes_count++];

	kwb_text_copy(node->name, sizeof(node->name), name);
	snprintf(node->ip, sizeof(node->ip), "127.%u.%u.%u",
	    100 + (unsigned)getpid() / 250 % 100, 1 + (unsigned)getpid() % 250,
	    10 + world->nodes_count);
	kwb_text_copy(node->front.ip, sizeof(node->front.ip), node->ip);
	node->front.port = PORT_FRONT;
	kwb_text_copy(node->ready.ip, sizeof(node->ready.ip), node->ip);
	node->ready.port = PORT_READY;
	return node;
}

static void
write_settings(
    const struct world *world, const struct world_node *node, const char *path)
{
	FILE *file = fopen(path, "w");

	if (file == NULL)
		exit(CASE_NOT_RUN);
	fprintf(file,
	    "node-name=%s\nrole=node\nmachine-class=frontend\nserves=frontend\n"
	    "ip=%s\nzone=z1\nregion=r1\nzones.z1=r1\n"
	    "listen.front=%s:%d\nlisten.ready=%s:%d\nlisten.control=%s:%d\n"
	    "port-range=7660,7675\nseeds=\nbootstrap=false\n"
	    "in-fault-budget=false\nlimits.cpu-share=0.5\nlimits.cores=1\n"
	    "limits.memory-mb=%u\nlimits.max-fds=8200\n"
	    "limits.link-mbps=1000.0\nlimits.disk-mb=0\n"
	    "discovery=platform\nentry=vip\nheartbeat-ms=1200\n"
	    "contracts=base,drain,config,cost,recover,samples,stream,engine,"
	    "batch,platform\n"
	    "fault-tolerance.machines=1\nfault-tolerance.zones=0\n"
	    "fault-tolerance.regions=0\nbounds.seed-lag-s=3\n"
	    "bounds.addr-reuse-s=2\nbounds.stable-ms=3000\nbounds.ack-ms=4000\n"
	    "bounds.catch-up-s=4.6\nbounds.drain-ms=2000\nbounds.grace-s=8\n"
	    "bounds.loss-slack-ms=200\nbounds.config-apply-ms=2000\n"
	    "bounds.downgrade-slack-ms=250\nbounds.partition-slack-ms=5000\n"
	    "bounds.recover-s=12\nbounds.pass-ms=120\nbounds.retry-after-s=0\n"
	    "bounds.finish-s=10\nbounds.status-s=%u\nbounds.cancel-ms=3000\n"
	    "bounds.settle-ms=1000\nbounds.quota-overshoot=0.1\n"
	    "bounds.fencing-enforced=true\nbounds.lease-ms=3000\n"
	    "bounds.thaw-ms=300\nplatform.addr=%s:%u\nplatform.form=table\n"
	    "platform.writes-per-s=800\nplatform.reads-per-s=2000\n"
	    "platform.tx-ms=6.0\nplatform.part-writes-s=200\n"
	    "platform.row-bytes=65536\nplatform.across=false\n"
	    "platform.history-s=20\nplatform.blob-bytes=8388608\n"
	    "platform.blob-ms=25.0\nplatform.blob-mb-s=80.0\n",
	    node->name, node->ip, node->ip, PORT_FRONT, node->ip, PORT_READY,
	    node->ip, PORT_CONTROL, world->memory_mb, world->status_s,
	    world->testbed.store.port.address.ip,
	    world->testbed.store.port.address.port);
	fclose(file);
}

void
world_node_start(struct world *world, struct world_node *node)
{
	char settings[160], log[160], variable[240];
	char *const arguments[] = {
	    (char *)NODE_PROGRAM, (char *)"--metrics", (char *)METRICS_PORT, NULL};
	char *const environment[] = {
	    (char *)"PATH=/usr/bin:/bin", (char *)"LANG=C", variable, NULL};
	int out;

	snprintf(settings, sizeof(settings), "%s/%s.conf", world->folder,
	    node->name);
	snprintf(log, sizeof(log), "%s/%s.log", world->folder, node->name);
	snprintf(variable, sizeof(variable), "KNAPWEEDBARROW_NODE_FILE=%s",
	    settings);
	write_settings(world, node, settings);
	node->pid = fork();
	if (node->pid == 0) {
		/* Ends with this process, should that abort. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		out = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
		dup2(out, STDOUT_FILENO);
		dup2(out, STDERR_FILENO);
		execve(NODE_PROGRAM, arguments, environment);
		_exit(127);
	}
	world_record(world, "node %s starts", node->name);
}

void
world_node_kill(struct world *world, struct world_node *node)
{
	if (node->pid == 0)
		return;
	kill(node->pid, SIGKILL);
	waitpid(node->pid, NULL, 0);
	node->pid = 0;
	world_record(world, "node %s is killed", node->name);
}

bool
world_node_runs(struct world *world, struct world_node *node, int *status)
{
	if (node->pid == 0 || waitpid(node->pid, status, WNOHANG) != node->pid)
		return node->pid != 0;
	node->pid = 0;
	world_record(world, "node %s has ended by itself, status %d", node->name,
	    *status);
	return false;
}

unsigned
world_node_peak_mb(const struct world_node *node)
{
	char path[64], line[256];
	unsigned long kilobytes = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)node->pid);
	file = fopen(path, "r");
	while (file != NULL && fgets(line, sizeof(line), file) != NULL)
		sscanf(line, "VmHWM: %lu kB", &kilobytes);
	if (file != NULL)
		fclose(file);
	return (unsigned)(kilobytes / 1024);
}

void
world_node_wait_ready(struct world *world, struct world_node *node)
{
	uint64_t end_ms = world_now_ms(world) + READY_TIMEOUT_MS;
	struct world_call call;
	unsigned status;

	do {
		world_call_run(world, &call, &node->ready, "GET", "/readyz", "",
		    "", 0, 500);
		status = call.status;
		world_call_finish(&call);
		world_run_until(world, world_now_ms(world) + 50);
	} while (status != 200 && world_now_ms(world) < end_ms);
	if (status != 200)
		world_end(world, CASE_NOT_RUN, "a node is not ready in time");
	world_record(world, "node %s is ready", node->name);
}

/* ---- Calls -------------------------------------------------------------- */

static void
call_on_done(struct kwb_exchange *exchange, int error)
{
	struct world_call *call = exchange->context;

	call->done = true;
	call->error = error;
}

static const struct kwb_exchange_ops call_ops = {.on_done = call_on_done};

void
world_call_start(struct world *world, struct world_call *call,
    const struct kwb_address *to, const char *method, const char *target,
    const char *headers, const void *body, size_t body_bytes)
{
	struct evbuffer *out = evbuffer_new();

	memset(call, 0, sizeof(*call));
	call->exchange.ops = &call_ops;
	call->exchange.context = call;
	call->exchange.wants_new_conn = true;
	call->started_ms = world_now_ms(world);
	evbuffer_add_printf(out,
	    "%s %s HTTP/1.1\r\nHost: " WORLD_HOST "\r\n%sContent-Length: "
	    "%zu\r\n\r\n",
	    method, target, headers, body_bytes);
	evbuffer_add(out, body, body_bytes);
	if (kwb_exchange_start(
		&call->exchange, &world->testbed.client, to, out) != 0)
		call->done = true;
	evbuffer_free(out);
}

void
world_call_take(struct world_call *call)
{
	struct kwb_message *answer;
	const char *receipt;

	if (!call->done || call->error != 0)
		return;
	answer = kwb_exchange_answer(&call->exchange);
	call->status = answer->status;
	receipt = kwb_message_header(answer, "Server-Stamp");
	kwb_text_copy(
	    call->receipt, sizeof(call->receipt), receipt ? receipt : "");
	kwb_buf_add(&call->body, kwb_buf_text(&answer->body),
	    answer->body.used_bytes);
}

void
world_call_run(struct world *world, struct world_call *call,
    const struct kwb_address *to, const char *method, const char *target,
    const char *headers, const void *body, size_t body_bytes, unsigned ms)
{
	uint64_t end_ms = world_now_ms(world) + ms;

	world_call_start(
	    world, call, to, method, target, headers, body, body_bytes);
	while (!call->done && world_now_ms(world) < end_ms)
		testbed_run_for(&world->testbed, 1);
	world_call_take(call);
}

void
world_call_finish(struct world_call *call)
{
	kwb_exchange_finish(&call->exchange);
	kwb_buf_finish(&call->body);
}

/* ---- Servers ------------------------------------------------------------ */

void
world_publish(struct world *world, struct testbed_server *server)
{
	char models[96] = "";
	char text[640];

	if (server->is_model_server)
		snprintf(models, sizeof(models),
		    ",\"models\":[{\"name\":\"m\",\"version\":%llu,"
		    "\"adapters\":[]}]",
		    (unsigned long long)server->version);
	snprintf(text, sizeof(text),
	    "{\"service\":\"%s\",\"addr\":\"%s:%u\",\"zone\":\"z1\","
	    "\"version\":\"v1\",\"slots\":%u,\"state\":\"%s\","
	    "\"cold-left-ms\":0,\"seq\":%llu,\"born\":%llu%s}",
	    server->service, server->port.address.ip, server->port.address.port,
	    server->slots, server->is_draining ? "draining" : "ready",
	    (unsigned long long)server->seq,
	    (unsigned long long)server->born_ms, models);
	testbed_store_put(
	    &world->testbed.store, "servers", server->name, text);
	server->is_published = true;
}

struct testbed_server *
world_server(struct world *world, const char *name, const char *service,
    bool is_model_server, unsigned slots)
{
	struct testbed_server *server = testbed_server(&world->testbed, name);

	kwb_text_copy(server->service, sizeof(server->service), service);
	server->is_model_server = is_model_server;
	server->slots = slots;
	server->version = 1;
	server->pace_ms = 40;
	server->load_duration_ms = 900;
	testbed_server_open(server, &world->testbed);
	world_publish(world, server);
	return server;
}
