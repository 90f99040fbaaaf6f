/*
 * Test cluster on loopback, for tests and benchmarks.
 */
#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <curl/curl.h>
#include <jansson.h>

#include "world.h"

/* Ports, counted from the base port of the cluster. */
#define PLATFORM_PORT_OFFSET 0
#define CLAIM_PORT_OFFSET 3 /* bound for as long as the ports are in use */
#define ENTRY_PORT_OFFSET 4
#define AGENT_PORT_OFFSET 16
#define UPSTREAM_PORT_OFFSET 56
#define RELAY_PORT_OFFSET 96
#define RELAY_CONTROL_PORT_OFFSET 148
#define METRICS_PORT_OFFSET 200
/* Relays before agents come first; from here on they are behind entries. */
#define ENTRY_RELAY_FIRST_INDEX 40
/* Above the ports of the testbed, below those that the kernel gives clients. */
#define FIRST_BASE_PORT 20000
#define LAST_BASE_PORT 32000
#define PLATFORM_START_MAX_MS 10000 /* allows for a busy machine */
#define SETTLE_MAX_MS 20000
#define BUILD_DIRECTORY_VARIABLE "KWB_BUILD"

static struct cluster_process *add_process(struct cluster *cluster,
    const char *name, const char *program, unsigned port_offset);
static void add_arguments(struct cluster_process *process, const char *format,
    ...) __attribute__((format(printf, 2, 3)));
static void add_upstream(
    struct cluster *cluster, unsigned index, bool is_engine);
static void add_agent(struct cluster *cluster, unsigned index, bool is_engine);
static void add_entry(struct cluster *cluster, unsigned index);
static void add_relay(struct cluster *cluster, const char *name,
    unsigned relay_index, unsigned target_port_offset);
static const char *print_failure_domain(
    const struct cluster *cluster, unsigned index, char *text);
static void write_file(
    const struct cluster *cluster, const char *name, const char *text);
static bool wait_for_platform(struct cluster *cluster);
static bool are_units_settled(struct cluster *cluster, json_t *expected_units);
static bool are_allowances_balanced(
    const struct cluster *cluster, json_t *agents, json_t *expected_units);
static bool is_running(const struct cluster *cluster, const char *name);
static pid_t spawn_process(const struct cluster *cluster,
    const struct cluster_process *process, const char *output);

/*
 * Binds one port of a free block, which other clusters then leave alone.
 * Returns 0, or -1 if all blocks are in use.
 */
static int
claim_ports(struct cluster *cluster)
{
	struct sockaddr_in in = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	unsigned base;

	for (base = FIRST_BASE_PORT; base <= LAST_BASE_PORT;
	     base += CLUSTER_PORTS_COUNT) {
		cluster->ports_claim =
		    socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		in.sin_port = htons((uint16_t)(base + CLAIM_PORT_OFFSET));
		if (bind(cluster->ports_claim, (struct sockaddr *)&in,
			sizeof(in)) == 0) {
			cluster->base_port = (uint16_t)base;
			return 0;
		}
		close(cluster->ports_claim);
	}
	cluster->ports_claim = -1;
	fprintf(stderr, "no free block of %u ports from %u on\n",
	    CLUSTER_PORTS_COUNT, FIRST_BASE_PORT);
	return -1;
}

int
cluster_start(struct cluster *cluster, const struct cluster_spec *spec)
{
	unsigned base_port;
	unsigned i;

	memset(cluster, 0, sizeof(*cluster));
	if (claim_ports(cluster) != 0)
		return -1;
	base_port = cluster->base_port;
	cluster->spec = *spec;
	snprintf(cluster->directory, sizeof(cluster->directory),
	    "/tmp/kwb-%d-%u", (int)getpid(), base_port);
	mkdir(cluster->directory, 0700);
	add_arguments(add_process(cluster, "platform", "fake-platform",
			  PLATFORM_PORT_OFFSET),
	    "--listen\n127.0.0.1:%u", base_port + PLATFORM_PORT_OFFSET);
	for (i = 0; i < spec->engines + spec->services; i++) {
		add_upstream(cluster, i, i < spec->engines);
		add_agent(cluster, i, i < spec->engines);
	}
	for (i = 0; i < spec->entries; i++)
		add_entry(cluster, i);
	cluster_start_process(cluster, "platform");
	if (!wait_for_platform(cluster))
		return -1;
	cluster_publish_vms(cluster);
	cluster_publish_weights(cluster, "m", 1);
	for (i = 0; i < cluster->processes_count; i++)
		if (cluster->processes[i].pid == 0)
			cluster_start_process(
			    cluster, cluster->processes[i].name);
	if (cluster_apply_lists(cluster, spec->lists) != 0)
		return -1;
	return cluster_wait_settled(cluster, SETTLE_MAX_MS) ? 0 : -1;
}

/* Requests sent before the platform listens would be lost. */
static bool
wait_for_platform(struct cluster *cluster)
{
	uint64_t deadline_ns =
	    kwb_clock_now_ns() + PLATFORM_START_MAX_MS * KWB_MS_NS;
	char url[128];

	cluster_print_url(cluster, "platform", url, sizeof(url));
	strcat(url, "/vms");
	while (cluster_http_request("GET", url, NULL, NULL, NULL, NULL, 500) !=
	    200) {
		if (kwb_clock_now_ns() >= deadline_ns)
			return false;
		kwb_clock_sleep_ns(20 * KWB_MS_NS);
	}
	return true;
}

void
cluster_stop(struct cluster *cluster)
{
	unsigned i;

	for (i = 0; i < cluster->processes_count; i++)
		cluster_kill_process(cluster, cluster->processes[i].name);
	if (cluster->ports_claim > 0)
		close(cluster->ports_claim);
	cluster->ports_claim = 0;
}

struct cluster_process *
cluster_find_process(struct cluster *cluster, const char *name)
{
	unsigned i;

	for (i = 0; i < cluster->processes_count; i++)
		if (strcmp(cluster->processes[i].name, name) == 0)
			return &cluster->processes[i];
	fprintf(stderr, "no process %s\n", name);
	abort();
}

void
cluster_start_process(struct cluster *cluster, const char *name)
{
	struct cluster_process *process = cluster_find_process(cluster, name);
	char log[256];

	if (process->pid != 0)
		return;
	snprintf(log, sizeof(log), "%s/%s.log", cluster->directory, name);
	process->pid = spawn_process(cluster, process, log);
}

void
cluster_kill_process(struct cluster *cluster, const char *name)
{
	struct cluster_process *process = cluster_find_process(cluster, name);

	if (process->pid == 0)
		return;
	kill(process->pid, SIGKILL);
	waitpid(process->pid, NULL, 0);
	process->pid = 0;
}

void
cluster_signal_process(struct cluster *cluster, const char *name, int number)
{
	const struct cluster_process *process =
	    cluster_find_process(cluster, name);

	if (process->pid != 0)
		kill(process->pid, number);
}

int
cluster_wait_process(
    struct cluster *cluster, const char *name, uint32_t timeout_ms)
{
	struct cluster_process *process = cluster_find_process(cluster, name);
	uint64_t deadline_ns = kwb_clock_now_ns() + timeout_ms * KWB_MS_NS;
	int status;

	if (process->pid == 0)
		return 0;
	while (waitpid(process->pid, &status, WNOHANG) == 0) {
		if (kwb_clock_now_ns() >= deadline_ns)
			return -1;
		kwb_clock_sleep_ns(10 * KWB_MS_NS);
	}
	process->pid = 0;
	return WIFEXITED(status) ? WEXITSTATUS(status) : 128;
}

int64_t
cluster_set_control(struct cluster *cluster, const char *name,
    const char *control, int64_t value)
{
	char url[128];
	struct kwb_buf answer;
	int64_t old;

	snprintf(url, sizeof(url), "http://127.0.0.1:%u/control?%s=%lld",
	    cluster_find_process(cluster, name)->port, control,
	    (long long)value);
	kwb_buf_init(&answer);
	cluster_http_request("POST", url, NULL, "", &answer, NULL, 2000);
	old = strtoll(kwb_buf_text(&answer), NULL, 10);
	kwb_buf_finish(&answer);
	return old;
}

int64_t
cluster_get_control(
    struct cluster *cluster, const char *name, const char *control)
{
	char url[128];
	struct kwb_buf answer;
	int64_t value = -1;

	snprintf(url, sizeof(url), "http://127.0.0.1:%u/control?%s",
	    cluster_find_process(cluster, name)->port, control);
	kwb_buf_init(&answer);
	if (cluster_http_request("GET", url, NULL, NULL, &answer, NULL, 1000) ==
	    200)
		value = strtoll(kwb_buf_text(&answer), NULL, 10);
	kwb_buf_finish(&answer);
	return value;
}

void
cluster_publish_vms(struct cluster *cluster)
{
	struct kwb_buf text;
	char url[128], domain[16];
	unsigned i, port, number, listed_count = 0;
	const char *role, *pool;

	kwb_buf_init(&text);
	kwb_buf_printf(&text, "[");
	for (i = 0; i < cluster->processes_count; i++) {
		const struct cluster_process *process = &cluster->processes[i];
		bool is_entry = strncmp(process->name, "entry-", 6) == 0;
		bool is_llm = strncmp(process->name, "llm-", 4) == 0;

		if ((!is_entry && !is_llm &&
			strncmp(process->name, "shop-", 5) != 0) ||
		    process->state[0] == '\0')
			continue;
		number = (unsigned)atoi(strchr(process->name, '-') + 1) - 1;
		port = cluster->base_port +
		    (is_entry			       ? ENTRY_PORT_OFFSET
			    : cluster->spec.has_relays ? RELAY_PORT_OFFSET
						       : AGENT_PORT_OFFSET) +
		    number;
		role = is_entry ? "entry" : "agent";
		pool = is_entry ? "" : is_llm ? "llm" : "shop";
		kwb_buf_printf(&text,
		    "%s{\"vm\":\"%s\",\"role\":\"%s\",\"pool\":\"%s\","
		    "\"address\":\"127.0.0.1:%u\",\"failure_domain\":\"%s\","
		    "\"state\":\"%s\"}",
		    listed_count++ ? "," : "", process->name, role, pool, port,
		    print_failure_domain(cluster, number, domain),
		    process->state);
	}
	kwb_buf_printf(&text, "]");
	snprintf(url, sizeof(url), "http://127.0.0.1:%u/vms",
	    cluster->base_port + PLATFORM_PORT_OFFSET);
	cluster_http_request("PUT", url, NULL, text.data, NULL, NULL, 2000);
	kwb_buf_finish(&text);
}

bool
cluster_publish_weights(
    struct cluster *cluster, const char *model, uint64_t version)
{
	char url[128], text[32];

	snprintf(url, sizeof(url), "http://127.0.0.1:%u/weights/%s",
	    cluster->base_port + PLATFORM_PORT_OFFSET, model);
	snprintf(text, sizeof(text), "%llu", (unsigned long long)version);
	return cluster_http_request("PUT", url, NULL, text, NULL, NULL, 2000) ==
	    200;
}

int
cluster_apply_lists(struct cluster *cluster, const char *lists)
{
	char path[256], output[256];
	const char *arguments[] = {"apply", path, NULL};

	snprintf(path, sizeof(path), "%s/lists.yaml", cluster->directory);
	snprintf(output, sizeof(output), "%s/apply.log", cluster->directory);
	write_file(cluster, "lists.yaml", lists);
	return cluster_run_kwbctl(cluster, arguments, output);
}

int
cluster_run_kwbctl(
    struct cluster *cluster, const char *const *arguments, const char *output)
{
	struct cluster_process process = {.name = "kwbctl"};
	int status = -1;
	pid_t pid;

	add_arguments(&process, "kwbctl\n--platform\nhttp://127.0.0.1:%u",
	    cluster->base_port + PLATFORM_PORT_OFFSET);
	for (; *arguments != NULL; arguments++)
		add_arguments(&process, "%s", *arguments);
	pid = spawn_process(cluster, &process, output);
	waitpid(pid, &status, 0);
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

bool
cluster_wait_settled(struct cluster *cluster, uint32_t timeout_ms)
{
	uint64_t deadline_ns = kwb_clock_now_ns() + timeout_ms * KWB_MS_NS;
	struct kwb_lists_source source = {"lists", cluster->spec.lists};
	struct kwb_faults faults = {0};
	struct kwb_lists *lists;
	json_t *expected_units = json_object();
	bool is_settled = false;
	uint32_t i;

	if (kwb_lists_parse(&lists, &source, &faults) != 0) {
		fprintf(stderr, "%s\n", faults.text[0]);
		return false;
	}
	for (i = 0; i < lists->allowances_count; i++)
		json_object_set_new(expected_units, lists->allowances[i].plan,
		    json_integer(lists->allowances[i].concurrent));
	kwb_lists_free(lists);
	while (!is_settled && kwb_clock_now_ns() < deadline_ns) {
		is_settled = are_units_settled(cluster, expected_units);
		if (!is_settled)
			kwb_clock_sleep_ns(100 * KWB_MS_NS);
	}
	json_decref(expected_units);
	return is_settled;
}

void
cluster_print_url(
    struct cluster *cluster, const char *name, char *url, size_t capacity_bytes)
{
	snprintf(url, capacity_bytes, "http://127.0.0.1:%u",
	    cluster_find_process(cluster, name)->port);
}

void
cluster_print_metrics_url(
    struct cluster *cluster, const char *name, char *url, size_t capacity_bytes)
{
	unsigned port = cluster_find_process(cluster, name)->port;

	if (strncmp(name, "entry-", 6) != 0)
		port += METRICS_PORT_OFFSET - AGENT_PORT_OFFSET;
	snprintf(url, capacity_bytes, "http://127.0.0.1:%u/metrics", port);
}

/*
 * Where the response to cluster_http_request goes. The test client uses libcurl
 * so that it shares no state with the HTTP client under test.
 */
struct answer_sink {
	struct kwb_buf *body;
	char *outcome;
};

static size_t
sink_on_body(char *data, size_t size, size_t count, void *context)
{
	struct answer_sink *sink = context;

	if (sink->body != NULL)
		kwb_buf_add(sink->body, data, size * count);
	return size * count;
}

static size_t
sink_on_header(char *data, size_t size, size_t count, void *context)
{
	struct answer_sink *sink = context;

	if (sink->outcome != NULL &&
	    strncasecmp(data, "X-Kwb-Outcome: ", 15) == 0)
		sscanf(data + 15, "%15s", sink->outcome);
	return size * count;
}

int
cluster_http_request(const char *method, const char *url, const char *header,
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
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, sink_on_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, &sink);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, sink_on_header);
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

static struct cluster_process *
add_process(struct cluster *cluster, const char *name, const char *program,
    unsigned port_offset)
{
	struct cluster_process *process =
	    &cluster->processes[cluster->processes_count++];

	kwb_text_copy(process->name, sizeof(process->name), name);
	process->port = (uint16_t)(cluster->base_port + port_offset);
	strcpy(process->state, "live");
	add_arguments(process, "%s", program);
	return process;
}

/* Adds command-line arguments; newlines separate them in the text. */
static void
add_arguments(struct cluster_process *process, const char *format, ...)
{
	char text[1024], *remaining = text, *argument;
	va_list args;

	va_start(args, format);
	vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	while ((argument = strsep(&remaining, "\n")) != NULL)
		kwb_text_copy(process->arguments[process->arguments_count++],
		    sizeof(process->arguments[0]), argument);
}

static void
add_upstream(struct cluster *cluster, unsigned index, bool is_engine)
{
	unsigned port = UPSTREAM_PORT_OFFSET + index;
	char name[CLUSTER_NAME_MAX_BYTES], engine_args[512],
	    *remaining = engine_args, *argument;
	struct cluster_process *process;

	snprintf(name, sizeof(name), is_engine ? "engine-%u" : "service-%u",
	    index + 1);
	process = add_process(
	    cluster, name, is_engine ? "fake-engine" : "fake-service", port);
	add_arguments(
	    process, "--listen\n127.0.0.1:%u", cluster->base_port + port);
	if (!is_engine)
		return;
	add_arguments(process,
	    "--models\n%s\n--platform\nhttp://127.0.0.1:%u\n--slots\n"
	    "%u",
	    cluster->spec.models, cluster->base_port + PLATFORM_PORT_OFFSET,
	    cluster->spec.slots);
	kwb_text_copy(engine_args, sizeof(engine_args),
	    cluster->spec.engine_args ? cluster->spec.engine_args : "");
	while ((argument = strsep(&remaining, " ")) != NULL)
		if (*argument != '\0')
			add_arguments(process, "%s", argument);
}

static void
add_agent(struct cluster *cluster, unsigned index, bool is_engine)
{
	char name[CLUSTER_NAME_MAX_BYTES], file[64], text[1024], domain[16];
	unsigned base = cluster->base_port;

	snprintf(
	    name, sizeof(name), is_engine ? "llm-%u" : "shop-%u", index + 1);
	snprintf(file, sizeof(file), "%s.yaml", name);
	snprintf(text, sizeof(text),
	    "vm: %s\nfailure_domain: %s\nlisten: 127.0.0.1:%u\n"
	    "platform: http://127.0.0.1:%u\npool: %s\n"
	    "upstream: http://127.0.0.1:%u\nupstream_kind: %s\nslots: %u\n"
	    "interactive_reserve: %u\ndrain_ms: 20000\n"
	    "metrics: 127.0.0.1:%u\n",
	    name, print_failure_domain(cluster, index, domain),
	    base + AGENT_PORT_OFFSET + index, base + PLATFORM_PORT_OFFSET,
	    is_engine ? "llm" : "shop", base + UPSTREAM_PORT_OFFSET + index,
	    is_engine ? "engine" : "service", cluster->spec.slots,
	    is_engine ? cluster->spec.interactive_reserve : 0,
	    base + METRICS_PORT_OFFSET + index);
	write_file(cluster, file, text);
	add_arguments(
	    add_process(cluster, name, "kwb-agent", AGENT_PORT_OFFSET + index),
	    "--settings\n%s/%s", cluster->directory, file);
	if (cluster->spec.has_relays) {
		snprintf(file, sizeof(file), "relay-%s", name);
		add_relay(cluster, file, index, AGENT_PORT_OFFSET + index);
	}
}

static void
add_entry(struct cluster *cluster, unsigned index)
{
	char name[CLUSTER_NAME_MAX_BYTES], file[64], text[2048], domain[16];
	unsigned relay_index = ENTRY_RELAY_FIRST_INDEX + index, i;
	struct kwb_buf seeds;

	snprintf(name, sizeof(name), "entry-%u", index + 1);
	snprintf(file, sizeof(file), "%s.yaml", name);
	kwb_buf_init(&seeds);
	for (i = 0; i < cluster->spec.engines + cluster->spec.services; i++)
		kwb_buf_printf(&seeds,
		    "%s  - {vm: %s-%u, address: '127.0.0.1:%u', "
		    "failure_domain: %s, pool: %s}\n",
		    i ? "" : "seeds:\n",
		    i < cluster->spec.engines ? "llm" : "shop", i + 1,
		    cluster->base_port +
			(cluster->spec.has_relays ? RELAY_PORT_OFFSET
						  : AGENT_PORT_OFFSET) +
			i,
		    print_failure_domain(cluster, i, domain),
		    i < cluster->spec.engines ? "llm" : "shop");
	snprintf(text, sizeof(text),
	    "vm: %s\nfailure_domain: %s\nlisten: 127.0.0.1:%u\n"
	    "platform: http://127.0.0.1:%u\nworkers: 128\ndrain_ms: 20000\n"
	    "%s%s\n%s",
	    name, print_failure_domain(cluster, index, domain),
	    cluster->base_port + ENTRY_PORT_OFFSET + index,
	    cluster->base_port +
		(cluster->spec.has_relays ? RELAY_PORT_OFFSET + relay_index
					  : PLATFORM_PORT_OFFSET),
	    cluster->spec.policy ? "policy: " : "",
	    cluster->spec.policy ? cluster->spec.policy : "",
	    kwb_buf_text(&seeds));
	kwb_buf_finish(&seeds);
	write_file(cluster, file, text);
	add_arguments(
	    add_process(cluster, name, "kwb-entry", ENTRY_PORT_OFFSET + index),
	    "--settings\n%s/%s", cluster->directory, file);
	if (cluster->spec.has_relays) {
		snprintf(file, sizeof(file), "relay-%s", name);
		add_relay(cluster, file, relay_index, PLATFORM_PORT_OFFSET);
	}
}

static void
add_relay(struct cluster *cluster, const char *name, unsigned relay_index,
    unsigned target_port_offset)
{
	add_arguments(add_process(cluster, name, "fake-relay",
			  RELAY_CONTROL_PORT_OFFSET + relay_index),
	    "--relay\n127.0.0.1:%u\n--target\n127.0.0.1:%u\n"
	    "--listen\n127.0.0.1:%u",
	    cluster->base_port + RELAY_PORT_OFFSET + relay_index,
	    cluster->base_port + target_port_offset,
	    cluster->base_port + RELAY_CONTROL_PORT_OFFSET + relay_index);
}

static const char *
print_failure_domain(const struct cluster *cluster, unsigned index, char *text)
{
	snprintf(text, 16, "fd-%u", index % cluster->spec.failure_domains + 1);
	return text;
}

static void
write_file(const struct cluster *cluster, const char *name, const char *text)
{
	char path[256];
	FILE *file;

	snprintf(path, sizeof(path), "%s/%s", cluster->directory, name);
	file = fopen(path, "w");
	fputs(text, file);
	fclose(file);
}

/* Whether every running entry sees all allowances held, in equal parts. */
static bool
are_units_settled(struct cluster *cluster, json_t *expected_units)
{
	char url[128], name[CLUSTER_NAME_MAX_BYTES];
	struct kwb_buf text;
	json_t *status;
	unsigned entry;
	bool is_settled = true;

	for (entry = 1; entry <= cluster->spec.entries; entry++) {
		snprintf(name, sizeof(name), "entry-%u", entry);
		if (cluster_find_process(cluster, name)->pid == 0)
			continue;
		cluster_print_url(cluster, name, url, sizeof(url));
		strcat(url, "/status");
		kwb_buf_init(&text);
		cluster_http_request("GET", url, NULL, NULL, &text, NULL, 1000);
		status = json_loads(kwb_buf_text(&text), 0, NULL);
		kwb_buf_finish(&text);
		if (!are_allowances_balanced(cluster,
			json_object_get(status, "agents"), expected_units))
			is_settled = false;
		json_decref(status);
	}
	return is_settled;
}

/*
 * Whether the agents hold each plan's whole allowance and none holds more than
 * an equal part, rounded up. An entry still reports the last units of an agent
 * that was killed; these are not counted.
 */
static bool
are_allowances_balanced(
    const struct cluster *cluster, json_t *agents, json_t *expected_units)
{
	json_t *agent, *allowance;
	const char *plan, *vm;
	size_t i;

	json_object_foreach (expected_units, plan, allowance) {
		json_int_t sum = 0, units_max = 0, holders_count = 0, units;

		json_array_foreach (agents, i, agent) {
			vm = json_string_value(json_object_get(agent, "vm"));
			if (vm == NULL || !is_running(cluster, vm))
				continue;
			units = json_integer_value(json_object_get(
			    json_object_get(agent, "units"), plan));
			sum += units;
			holders_count += units > 0;
			if (units > units_max)
				units_max = units;
		}
		if (sum != json_integer_value(allowance) ||
		    units_max > (sum + holders_count - 1) / holders_count)
			return false;
	}
	return true;
}

static bool
is_running(const struct cluster *cluster, const char *name)
{
	unsigned i;

	for (i = 0; i < cluster->processes_count; i++)
		if (strcmp(cluster->processes[i].name, name) == 0)
			return cluster->processes[i].pid != 0;
	return false;
}

static pid_t
spawn_process(const struct cluster *cluster,
    const struct cluster_process *process, const char *output)
{
	const char *build = getenv(BUILD_DIRECTORY_VARIABLE);
	char path[256];
	char *argv[32];
	unsigned i;
	sigset_t none;
	pid_t pid;
	int fd;

	(void)cluster;
	snprintf(path, sizeof(path), "%s/%s", build ? build : "build",
	    process->arguments[0]);
	for (i = 0; i < process->arguments_count; i++)
		argv[i] = (char *)process->arguments[i];
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
