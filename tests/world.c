/*
 * A small deployment on loopback for tests and measurements.
 */
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <curl/curl.h>
#include <jansson.h>

#include "world.h"

#define PLATFORM_PORT 0
#define ENTRY_PORT 4
#define AGENT_PORT 16
#define UPSTREAM_PORT 56
#define RELAY_PORT 96
#define RELAY_CONTROL_PORT 148
#define METRICS_PORT 200
#define RELAY_ENTRY_SLOT 40
#define START_MS 10000 /* of a process, on a busy machine */
#define SETTLE_MS 20000
#define BUILD_ENV "KWB_BUILD"

static struct world_proc *proc_add(struct world *world, const char *name,
    const char *program, unsigned control);
static void argue(struct world_proc *proc, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
static void add_upstream(struct world *world, unsigned index, bool engine);
static void add_agent(struct world *world, unsigned index, bool engine);
static void add_entry(struct world *world, unsigned index);
static void add_relay(
    struct world *world, const char *name, unsigned slot, unsigned target);
static const char *domain_of(
    const struct world *world, unsigned index, char *text);
static void file_write(
    const struct world *world, const char *name, const char *text);
static bool platform_answers(struct world *world);
static bool units_settled(struct world *world, json_t *wanted);
static bool parts_equal(
    const struct world *world, json_t *agents, json_t *wanted);
static bool is_running(const struct world *world, const char *name);
static pid_t spawn(const struct world *world, const struct world_proc *proc,
    const char *output);

int
world_start(
    struct world *world, const struct world_shape *shape, uint16_t base_port)
{
	unsigned i;

	memset(world, 0, sizeof(*world));
	world->shape = *shape;
	world->base_port = base_port;
	snprintf(world->directory, sizeof(world->directory), "/tmp/kwb-%d-%u",
	    (int)getpid(), base_port);
	mkdir(world->directory, 0700);
	argue(proc_add(world, "platform", "fake-platform", PLATFORM_PORT),
	    "--listen\n127.0.0.1:%u", base_port + PLATFORM_PORT);
	for (i = 0; i < shape->engines + shape->services; i++) {
		add_upstream(world, i, i < shape->engines);
		add_agent(world, i, i < shape->engines);
	}
	for (i = 0; i < shape->entries; i++)
		add_entry(world, i);
	world_run(world, "platform");
	if (!platform_answers(world))
		return -1;
	world_list_vms(world);
	world_publish(world, "m", 1);
	for (i = 0; i < world->procs_count; i++)
		if (world->procs[i].pid == 0)
			world_run(world, world->procs[i].name);
	if (world_apply(world, shape->lists) != 0)
		return -1;
	return world_settled(world, SETTLE_MS) ? 0 : -1;
}

/* What is told to a platform that does not listen yet is lost. */
static bool
platform_answers(struct world *world)
{
	uint64_t deadline_ns = kwb_clock_now_ns() + START_MS * KWB_MS_NS;
	char url[128];

	world_url(world, "platform", url, sizeof(url));
	strcat(url, "/vms");
	while (world_http("GET", url, NULL, NULL, NULL, NULL, 500) != 200) {
		if (kwb_clock_now_ns() >= deadline_ns)
			return false;
		kwb_clock_sleep_ns(20 * KWB_MS_NS);
	}
	return true;
}

void
world_stop(struct world *world)
{
	unsigned i;

	for (i = 0; i < world->procs_count; i++)
		world_kill(world, world->procs[i].name);
}

struct world_proc *
world_proc(struct world *world, const char *name)
{
	unsigned i;

	for (i = 0; i < world->procs_count; i++)
		if (strcmp(world->procs[i].name, name) == 0)
			return &world->procs[i];
	fprintf(stderr, "no process %s\n", name);
	abort();
}

void
world_run(struct world *world, const char *name)
{
	struct world_proc *proc = world_proc(world, name);
	char log[256];

	if (proc->pid != 0)
		return;
	snprintf(log, sizeof(log), "%s/%s.log", world->directory, name);
	proc->pid = spawn(world, proc, log);
}

void
world_kill(struct world *world, const char *name)
{
	struct world_proc *proc = world_proc(world, name);

	if (proc->pid == 0)
		return;
	kill(proc->pid, SIGKILL);
	waitpid(proc->pid, NULL, 0);
	proc->pid = 0;
}

void
world_signal(struct world *world, const char *name, int number)
{
	const struct world_proc *proc = world_proc(world, name);

	if (proc->pid != 0)
		kill(proc->pid, number);
}

int
world_wait(struct world *world, const char *name, uint32_t timeout_ms)
{
	struct world_proc *proc = world_proc(world, name);
	uint64_t deadline_ns = kwb_clock_now_ns() + timeout_ms * KWB_MS_NS;
	int status;

	if (proc->pid == 0)
		return 0;
	while (waitpid(proc->pid, &status, WNOHANG) == 0) {
		if (kwb_clock_now_ns() >= deadline_ns)
			return -1;
		kwb_clock_sleep_ns(10 * KWB_MS_NS);
	}
	proc->pid = 0;
	return WIFEXITED(status) ? WEXITSTATUS(status) : 128;
}

int64_t
world_set(
    struct world *world, const char *name, const char *control, int64_t value)
{
	char url[128];
	struct kwb_buf answer;
	int64_t old;

	snprintf(url, sizeof(url), "http://127.0.0.1:%u/control?%s=%lld",
	    world_proc(world, name)->control_port, control, (long long)value);
	kwb_buf_init(&answer);
	world_http("POST", url, NULL, "", &answer, NULL, 2000);
	old = strtoll(kwb_buf_text(&answer), NULL, 10);
	kwb_buf_finish(&answer);
	return old;
}

int64_t
world_get(struct world *world, const char *name, const char *control)
{
	char url[128];
	struct kwb_buf answer;
	int64_t value = -1;

	snprintf(url, sizeof(url), "http://127.0.0.1:%u/control?%s",
	    world_proc(world, name)->control_port, control);
	kwb_buf_init(&answer);
	if (world_http("GET", url, NULL, NULL, &answer, NULL, 1000) == 200)
		value = strtoll(kwb_buf_text(&answer), NULL, 10);
	kwb_buf_finish(&answer);
	return value;
}

/* Publishes the VM list; a process with an empty state is not in it. */
void
world_list_vms(struct world *world)
{
	struct kwb_buf text;
	char url[128], domain[16];
	unsigned i, port, number, listed = 0;
	const char *role, *pool;

	kwb_buf_init(&text);
	kwb_buf_printf(&text, "[");
	for (i = 0; i < world->procs_count; i++) {
		const struct world_proc *proc = &world->procs[i];
		bool entry = strncmp(proc->name, "entry-", 6) == 0;
		bool llm = strncmp(proc->name, "llm-", 4) == 0;

		if ((!entry && !llm && strncmp(proc->name, "shop-", 5) != 0) ||
		    proc->state[0] == '\0')
			continue;
		number = (unsigned)atoi(strchr(proc->name, '-') + 1) - 1;
		port = world->base_port +
		    (entry			  ? ENTRY_PORT
			    : world->shape.relays ? RELAY_PORT
						  : AGENT_PORT) +
		    number;
		role = entry ? "entry" : "agent";
		pool = entry ? "" : llm ? "llm" : "shop";
		kwb_buf_printf(&text,
		    "%s{\"vm\":\"%s\",\"role\":\"%s\",\"pool\":\"%s\","
		    "\"address\":\"127.0.0.1:%u\",\"failure_domain\":\"%s\","
		    "\"state\":\"%s\"}",
		    listed++ ? "," : "", proc->name, role, pool, port,
		    domain_of(world, number, domain), proc->state);
	}
	kwb_buf_printf(&text, "]");
	snprintf(url, sizeof(url), "http://127.0.0.1:%u/vms",
	    world->base_port + PLATFORM_PORT);
	world_http("PUT", url, NULL, text.data, NULL, NULL, 2000);
	kwb_buf_finish(&text);
}

bool
world_publish(struct world *world, const char *model, uint64_t version)
{
	char url[128], text[32];

	snprintf(url, sizeof(url), "http://127.0.0.1:%u/weights/%s",
	    world->base_port + PLATFORM_PORT, model);
	snprintf(text, sizeof(text), "%llu", (unsigned long long)version);
	return world_http("PUT", url, NULL, text, NULL, NULL, 2000) == 200;
}

int
world_apply(struct world *world, const char *lists)
{
	char path[256], output[256];
	const char *arguments[] = {"apply", path, NULL};

	snprintf(path, sizeof(path), "%s/lists.yaml", world->directory);
	snprintf(output, sizeof(output), "%s/apply.log", world->directory);
	file_write(world, "lists.yaml", lists);
	return world_ctl(world, arguments, output);
}

int
world_ctl(struct world *world, const char *const *arguments, const char *output)
{
	struct world_proc proc = {.name = "kwbctl"};
	int status = -1;
	pid_t pid;

	argue(&proc, "kwbctl\n--platform\nhttp://127.0.0.1:%u",
	    world->base_port + PLATFORM_PORT);
	for (; *arguments != NULL; arguments++)
		argue(&proc, "%s", *arguments);
	pid = spawn(world, &proc, output);
	waitpid(pid, &status, 0);
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

/* Waits until the agents hold the whole allowance of each plan. */
bool
world_settled(struct world *world, uint32_t timeout_ms)
{
	uint64_t deadline_ns = kwb_clock_now_ns() + timeout_ms * KWB_MS_NS;
	struct kwb_lists_source source = {"lists", world->shape.lists};
	struct kwb_faults faults = {0};
	struct kwb_lists *lists;
	json_t *wanted = json_object();
	bool settled = false;
	uint32_t i;

	if (kwb_lists_parse(&lists, &source, &faults) != 0) {
		fprintf(stderr, "%s\n", faults.text[0]);
		return false;
	}
	for (i = 0; i < lists->allowances_count; i++)
		json_object_set_new(wanted, lists->allowances[i].plan,
		    json_integer(lists->allowances[i].concurrent));
	kwb_lists_free(lists);
	while (!settled && kwb_clock_now_ns() < deadline_ns) {
		settled = units_settled(world, wanted);
		if (!settled)
			kwb_clock_sleep_ns(100 * KWB_MS_NS);
	}
	json_decref(wanted);
	return settled;
}

void
world_url(struct world *world, const char *name, char *url, size_t room_bytes)
{
	snprintf(url, room_bytes, "http://127.0.0.1:%u",
	    world_proc(world, name)->control_port);
}

void
world_metrics_url(
    struct world *world, const char *name, char *url, size_t room_bytes)
{
	unsigned port = world_proc(world, name)->control_port;

	if (strncmp(name, "entry-", 6) != 0)
		port += METRICS_PORT - AGENT_PORT;
	snprintf(url, room_bytes, "http://127.0.0.1:%u/metrics", port);
}

/* A client of its own, so that it shares no state with the one under test. */
struct answer_sink {
	struct kwb_buf *body;
	char *outcome;
};

static size_t
sink_body(char *data, size_t size, size_t count, void *context)
{
	struct answer_sink *sink = context;

	if (sink->body != NULL)
		kwb_buf_add(sink->body, data, size * count);
	return size * count;
}

static size_t
sink_header(char *data, size_t size, size_t count, void *context)
{
	struct answer_sink *sink = context;

	if (sink->outcome != NULL &&
	    strncasecmp(data, "X-Kwb-Outcome: ", 15) == 0)
		sscanf(data + 15, "%15s", sink->outcome);
	return size * count;
}

int
world_http(const char *method, const char *url, const char *header,
    const char *body, struct kwb_buf *answer, char *outcome,
    uint32_t timeout_ms)
{
	struct answer_sink sink = {answer, outcome};
	struct curl_slist *headers = curl_slist_append(NULL, "Expect:");
	CURL *curl = curl_easy_init();
	long status = 0;

	if (outcome != NULL)
		outcome[0] = '\0';
	if (header != NULL)
		headers = curl_slist_append(headers, header);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
	curl_easy_setopt(curl, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, sink_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, &sink);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, sink_header);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, &sink);
	if (body != NULL)
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
	if (curl_easy_perform(curl) == CURLE_OK)
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(curl);
	curl_slist_free_all(headers);
	return (int)status;
}

static struct world_proc *
proc_add(struct world *world, const char *name, const char *program,
    unsigned control)
{
	struct world_proc *proc = &world->procs[world->procs_count++];

	kwb_text_copy(proc->name, sizeof(proc->name), name);
	proc->control_port = (uint16_t)(world->base_port + control);
	strcpy(proc->state, "live");
	argue(proc, "%s", program);
	return proc;
}

/* Adds arguments, one a line of the text. */
static void
argue(struct world_proc *proc, const char *format, ...)
{
	char text[1024], *rest = text, *one;
	va_list args;

	va_start(args, format);
	vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	while ((one = strsep(&rest, "\n")) != NULL)
		kwb_text_copy(proc->arguments[proc->arguments_count++],
		    sizeof(proc->arguments[0]), one);
}

static void
add_upstream(struct world *world, unsigned index, bool engine)
{
	unsigned port = UPSTREAM_PORT + index;
	char name[WORLD_NAME_BYTES], extra[512], *rest = extra, *one;
	struct world_proc *proc;

	snprintf(
	    name, sizeof(name), engine ? "engine-%u" : "service-%u", index + 1);
	proc = proc_add(
	    world, name, engine ? "fake-engine" : "fake-service", port);
	argue(proc, "--listen\n127.0.0.1:%u", world->base_port + port);
	if (!engine)
		return;
	argue(proc,
	    "--models\n%s\n--platform\nhttp://127.0.0.1:%u\n--slots\n"
	    "%u",
	    world->shape.models, world->base_port + PLATFORM_PORT,
	    world->shape.slots);
	kwb_text_copy(extra, sizeof(extra),
	    world->shape.engine_args ? world->shape.engine_args : "");
	while ((one = strsep(&rest, " ")) != NULL)
		if (*one != '\0')
			argue(proc, "%s", one);
}

static void
add_agent(struct world *world, unsigned index, bool engine)
{
	char name[WORLD_NAME_BYTES], file[64], text[1024], domain[16];
	unsigned base = world->base_port;

	snprintf(name, sizeof(name), engine ? "llm-%u" : "shop-%u", index + 1);
	snprintf(file, sizeof(file), "%s.yaml", name);
	snprintf(text, sizeof(text),
	    "vm: %s\nfailure_domain: %s\nlisten: 127.0.0.1:%u\n"
	    "platform: http://127.0.0.1:%u\npool: %s\n"
	    "upstream: http://127.0.0.1:%u\nupstream_kind: %s\nslots: %u\n"
	    "interactive_reserve: %u\ndrain_ms: 20000\n"
	    "metrics: 127.0.0.1:%u\n",
	    name, domain_of(world, index, domain), base + AGENT_PORT + index,
	    base + PLATFORM_PORT, engine ? "llm" : "shop",
	    base + UPSTREAM_PORT + index, engine ? "engine" : "service",
	    world->shape.slots, engine ? world->shape.reserve : 0,
	    base + METRICS_PORT + index);
	file_write(world, file, text);
	argue(proc_add(world, name, "kwb-agent", AGENT_PORT + index),
	    "--settings\n%s/%s", world->directory, file);
	if (world->shape.relays) {
		snprintf(file, sizeof(file), "relay-%s", name);
		add_relay(world, file, index, AGENT_PORT + index);
	}
}

static void
add_entry(struct world *world, unsigned index)
{
	char name[WORLD_NAME_BYTES], file[64], text[2048], domain[16];
	unsigned slot = RELAY_ENTRY_SLOT + index, i;
	struct kwb_buf seeds;

	snprintf(name, sizeof(name), "entry-%u", index + 1);
	snprintf(file, sizeof(file), "%s.yaml", name);
	kwb_buf_init(&seeds);
	for (i = 0; i < world->shape.engines + world->shape.services; i++)
		kwb_buf_printf(&seeds,
		    "%s  - {vm: %s-%u, address: '127.0.0.1:%u', "
		    "failure_domain: %s, pool: %s}\n",
		    i ? "" : "seeds:\n",
		    i < world->shape.engines ? "llm" : "shop", i + 1,
		    world->base_port +
			(world->shape.relays ? RELAY_PORT : AGENT_PORT) + i,
		    domain_of(world, i, domain),
		    i < world->shape.engines ? "llm" : "shop");
	snprintf(text, sizeof(text),
	    "vm: %s\nfailure_domain: %s\nlisten: 127.0.0.1:%u\n"
	    "platform: http://127.0.0.1:%u\nworkers: 128\ndrain_ms: 20000\n"
	    "%s%s\n%s",
	    name, domain_of(world, index, domain),
	    world->base_port + ENTRY_PORT + index,
	    world->base_port +
		(world->shape.relays ? RELAY_PORT + slot : PLATFORM_PORT),
	    world->shape.policy ? "policy: " : "",
	    world->shape.policy ? world->shape.policy : "",
	    kwb_buf_text(&seeds));
	kwb_buf_finish(&seeds);
	file_write(world, file, text);
	argue(proc_add(world, name, "kwb-entry", ENTRY_PORT + index),
	    "--settings\n%s/%s", world->directory, file);
	if (world->shape.relays) {
		snprintf(file, sizeof(file), "relay-%s", name);
		add_relay(world, file, slot, PLATFORM_PORT);
	}
}

static void
add_relay(struct world *world, const char *name, unsigned slot, unsigned target)
{
	argue(proc_add(world, name, "fake-relay", RELAY_CONTROL_PORT + slot),
	    "--relay\n127.0.0.1:%u\n--target\n127.0.0.1:%u\n"
	    "--listen\n127.0.0.1:%u",
	    world->base_port + RELAY_PORT + slot, world->base_port + target,
	    world->base_port + RELAY_CONTROL_PORT + slot);
}

static const char *
domain_of(const struct world *world, unsigned index, char *text)
{
	snprintf(text, 16, "fd-%u", index % world->shape.domains + 1);
	return text;
}

static void
file_write(const struct world *world, const char *name, const char *text)
{
	char path[256];
	FILE *file;

	snprintf(path, sizeof(path), "%s/%s", world->directory, name);
	file = fopen(path, "w");
	fputs(text, file);
	fclose(file);
}

/* Whether each entry sees every plan's allowance held, in equal parts. */
static bool
units_settled(struct world *world, json_t *wanted)
{
	char url[128], name[WORLD_NAME_BYTES];
	struct kwb_buf text;
	json_t *status;
	unsigned entry;
	bool settled = true;

	for (entry = 1; entry <= world->shape.entries; entry++) {
		snprintf(name, sizeof(name), "entry-%u", entry);
		if (world_proc(world, name)->pid == 0)
			continue;
		world_url(world, name, url, sizeof(url));
		strcat(url, "/status");
		kwb_buf_init(&text);
		world_http("GET", url, NULL, NULL, &text, NULL, 1000);
		status = json_loads(kwb_buf_text(&text), 0, NULL);
		kwb_buf_finish(&text);
		if (!parts_equal(
			world, json_object_get(status, "agents"), wanted))
			settled = false;
		json_decref(status);
	}
	return settled;
}

/* What an entry last heard of an agent that was killed is held by nobody. */
static bool
parts_equal(const struct world *world, json_t *agents, json_t *wanted)
{
	json_t *agent, *allowance;
	const char *plan, *vm;
	size_t i;

	json_object_foreach (wanted, plan, allowance) {
		json_int_t sum = 0, most = 0, holders = 0, units;

		json_array_foreach (agents, i, agent) {
			vm = json_string_value(json_object_get(agent, "vm"));
			if (vm == NULL || !is_running(world, vm))
				continue;
			units = json_integer_value(json_object_get(
			    json_object_get(agent, "units"), plan));
			sum += units;
			holders += units > 0;
			if (units > most)
				most = units;
		}
		if (sum != json_integer_value(allowance) ||
		    most > (sum + holders - 1) / holders)
			return false;
	}
	return true;
}

static bool
is_running(const struct world *world, const char *name)
{
	unsigned i;

	for (i = 0; i < world->procs_count; i++)
		if (strcmp(world->procs[i].name, name) == 0)
			return world->procs[i].pid != 0;
	return false;
}

static pid_t
spawn(const struct world *world, const struct world_proc *proc,
    const char *output)
{
	const char *build = getenv(BUILD_ENV);
	char path[256];
	char *argv[32];
	unsigned i;
	sigset_t none;
	pid_t pid;
	int fd;

	(void)world;
	snprintf(path, sizeof(path), "%s/%s", build ? build : "build",
	    proc->arguments[0]);
	for (i = 0; i < proc->arguments_count; i++)
		argv[i] = (char *)proc->arguments[i];
	argv[i] = NULL;
	pid = fork();
	if (pid != 0)
		return pid;
	sigemptyset(&none);
	sigprocmask(SIG_SETMASK, &none, NULL);
	fd = open(output, O_WRONLY | O_CREAT | O_APPEND, 0600);
	dup2(fd, STDOUT_FILENO);
	dup2(fd, STDERR_FILENO);
	for (fd = 3; fd < 256; fd++)
		close(fd);
	execv(path, argv);
	_exit(127);
}
