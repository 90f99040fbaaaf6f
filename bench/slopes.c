/*
 * Measures what each role costs per connection, request, token, stream, change
 * and plan: the slopes in docs/CAPACITY.md, each over at least four points.
 *
 *   slopes            all measurements
 *   slopes NAME       one: links, requests, tokens, streams, changes, plans,
 *                     platform, lists, overhead
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "measure.h"

#define IDLE_PERIOD_NS (6000 * KWB_MS_NS)
#define CALLERS 8

static const char *const engine_args =
    "--token_us 300 --batch_us 1 --prefill_us 1 --length_median 4000 "
    "--length_spread 1";

/* Requests that several callers send until the given number is reached. */
struct request_load {
	struct cluster *cluster;
	unsigned requests;
	unsigned max_tokens;
	_Atomic unsigned next; /* number of the next request */
};

static void slope_links(void);
static void slope_requests(void);
static void slope_tokens(void);
static void slope_streams(void);
static void slope_changes(void);
static void slope_plans(void);
static void slope_platform(void);
static void slope_lists(void);
static void slope_overhead(void);
static void start_bench_cluster(struct cluster *cluster, unsigned entries,
    unsigned engines, unsigned plans);
static void format_lists(struct kwb_buf *text, unsigned plans);
static void run_requests(struct cluster *cluster, unsigned callers,
    unsigned requests, unsigned max_tokens);
static void *caller_run(void *argument);
static double measure_idle(
    struct cluster *cluster, const char *name, struct usage *idle);

int
main(int argc, char **argv)
{
	static const struct {
		const char *name;
		void (*run)(void);
	} slopes[] = {
	    {"links", slope_links},
	    {"requests", slope_requests},
	    {"tokens", slope_tokens},
	    {"streams", slope_streams},
	    {"changes", slope_changes},
	    {"plans", slope_plans},
	    {"platform", slope_platform},
	    {"lists", slope_lists},
	    {"overhead", slope_overhead},
	};
	unsigned i;

	kwb_log_init("slopes", KWB_LOG_ERROR);
	kwb_http_init();
	signal(SIGPIPE, SIG_IGN);
	for (i = 0; i < sizeof(slopes) / sizeof(slopes[0]); i++)
		if (argc < 2 || strcmp(argv[1], slopes[i].name) == 0)
			slopes[i].run();
	return 0;
}

/*
 * Cost of connections: an idle entry by its number of agents, an idle agent by
 * its number of entries.
 */
static void
slope_links(void)
{
	static const unsigned agents[] = {4, 8, 16, 24};
	static const unsigned entries[] = {1, 2, 4, 8};
	struct series cpu = {0}, rss = {0}, bytes = {0};
	struct usage usage;
	static struct cluster world;
	unsigned i;

	for (i = 0; i < 4; i++) {
		start_bench_cluster(&world, 1, agents[i], 2);
		series_add(
		    &cpu, agents[i], measure_idle(&world, "entry-1", &usage));
		series_add(&rss, agents[i], usage.rss_kb);
		series_add(&bytes, agents[i], usage.control_bytes);
		cluster_stop(&world);
	}
	line_print(&cpu, "entry idle, core", "agent", "%");
	line_print(&rss, "entry idle, memory", "agent", "KB");
	line_print(&bytes, "entry idle, control sent", "agent", "bytes/s");
	memset(&cpu, 0, sizeof(cpu));
	memset(&rss, 0, sizeof(rss));
	memset(&bytes, 0, sizeof(bytes));
	for (i = 0; i < 4; i++) {
		start_bench_cluster(&world, entries[i], 2, 2);
		series_add(
		    &cpu, entries[i], measure_idle(&world, "llm-1", &usage));
		series_add(&rss, entries[i], usage.rss_kb);
		series_add(&bytes, entries[i], usage.control_bytes);
		cluster_stop(&world);
	}
	line_print(&cpu, "agent idle, core", "entry", "%");
	line_print(&rss, "agent idle, memory", "entry", "KB");
	line_print(&bytes, "agent idle, control sent", "entry", "bytes/s");
}

/* Cost of requests that are answered with a single token. */
static void
slope_requests(void)
{
	static const unsigned requests[] = {500, 1000, 2000, 4000};
	struct series entry = {0}, agent = {0}, rate = {0};
	struct usage before, after, agent_before, agent_after;
	static struct cluster world;
	uint64_t started_ns;
	unsigned i;

	start_bench_cluster(&world, 1, 1, 2);
	for (i = 0; i < 4; i++) {
		usage_read(&world, "entry-1", &before);
		usage_read(&world, "llm-1", &agent_before);
		started_ns = kwb_clock_now_ns();
		run_requests(&world, CALLERS, requests[i], 1);
		series_add(&rate, requests[i],
		    requests[i] * 1e9 /
			(double)(kwb_clock_now_ns() - started_ns));
		usage_read(&world, "entry-1", &after);
		usage_read(&world, "llm-1", &agent_after);
		series_add(&entry, requests[i], after.cpu_ms - before.cpu_ms);
		series_add(&agent, requests[i],
		    agent_after.cpu_ms - agent_before.cpu_ms);
	}
	line_print(&entry, "entry, short answers", "request", "ms");
	line_print(&agent, "agent, short answers", "request", "ms");
	line_print(&rate, "requests a second, 8 callers", "request", "1/s");
	cluster_stop(&world);
}

/* Cost of streamed tokens. */
static void
slope_tokens(void)
{
	static const unsigned tokens[] = {50, 100, 200, 400};
	struct series entry = {0}, agent = {0};
	struct usage before, after, agent_before, agent_after;
	static struct cluster world;
	unsigned i;

	start_bench_cluster(&world, 1, 1, 2);
	for (i = 0; i < 4; i++) {
		usage_read(&world, "entry-1", &before);
		usage_read(&world, "llm-1", &agent_before);
		run_requests(&world, CALLERS, 64, tokens[i]);
		usage_read(&world, "entry-1", &after);
		usage_read(&world, "llm-1", &agent_after);
		series_add(&entry, 64.0 * tokens[i],
		    (after.cpu_ms - before.cpu_ms) * 1000);
		series_add(&agent, 64.0 * tokens[i],
		    (agent_after.cpu_ms - agent_before.cpu_ms) * 1000);
	}
	line_print(&entry, "entry, streamed answers", "token", "us");
	line_print(&agent, "agent, streamed answers", "token", "us");
	cluster_stop(&world);
}

/* Memory by the number of open streams. */
static void
slope_streams(void)
{
	static const unsigned streams[] = {8, 16, 32, 64};
	struct series entry = {0}, agent = {0};
	struct usage usage;
	static struct cluster world;
	unsigned i;

	for (i = 0; i < 4; i++) {
		pthread_t threads[64];
		struct request_load request_load = {
		    &world, streams[i], 4000, 0};
		unsigned j;

		start_bench_cluster(&world, 1, 1, 2);
		for (j = 0; j < streams[i]; j++)
			pthread_create(
			    &threads[j], NULL, caller_run, &request_load);
		kwb_clock_sleep_ns(1000 * KWB_MS_NS);
		usage_read(&world, "entry-1", &usage);
		series_add(&entry, streams[i], usage.rss_kb);
		usage_read(&world, "llm-1", &usage);
		series_add(&agent, streams[i], usage.rss_kb);
		for (j = 0; j < streams[i]; j++)
			pthread_join(threads[j], NULL);
		cluster_stop(&world);
	}
	line_print(&entry, "entry, open streams, memory", "stream", "KB");
	line_print(&agent, "agent, open streams, memory", "stream", "KB");
}

/*
 * Cost of changes to the lists, less what the processes use when idle for the
 * same time.
 */
static void
slope_changes(void)
{
	static const unsigned changes[] = {10, 20, 40, 80};
	struct series cpu = {0}, bytes = {0}, agent_cpu = {0};
	struct usage before, after, agent_before, agent_after;
	static struct cluster world;
	char assignment[32];
	const char *arguments[] = {
	    "--wait-ms", "0", "edit", "allowance", "search", assignment, NULL};
	double idle, idle_bytes, agent_idle, elapsed_s;
	uint64_t started_ns;
	unsigned i, j;

	start_bench_cluster(&world, 1, 4, 16);
	idle = measure_idle(&world, "entry-1", &before);
	idle_bytes = before.control_bytes;
	agent_idle = measure_idle(&world, "llm-1", &before);
	for (i = 0; i < 4; i++) {
		usage_read(&world, "entry-1", &before);
		usage_read(&world, "llm-1", &agent_before);
		started_ns = kwb_clock_now_ns();
		for (j = 0; j < changes[i]; j++) {
			snprintf(assignment, sizeof(assignment), "queue=%u",
			    100 + i * 100 + j);
			cluster_run_kwbctl(&world, arguments, "/dev/null");
		}
		kwb_clock_sleep_ns(1500 * KWB_MS_NS);
		elapsed_s = (double)(kwb_clock_now_ns() - started_ns) / 1e9;
		usage_read(&world, "entry-1", &after);
		usage_read(&world, "llm-1", &agent_after);
		series_add(&cpu, changes[i],
		    after.cpu_ms - before.cpu_ms - idle * 10 * elapsed_s);
		series_add(&agent_cpu, changes[i],
		    agent_after.cpu_ms - agent_before.cpu_ms -
			agent_idle * 10 * elapsed_s);
		series_add(&bytes, changes[i],
		    after.control_bytes - before.control_bytes -
			idle_bytes * elapsed_s);
	}
	line_print(&cpu, "entry, changes, 16 plans", "change", "ms");
	line_print(&agent_cpu, "agent, changes, 16 plans", "change", "ms");
	line_print(
	    &bytes, "entry, changes, sent to 4 agents", "change", "bytes");
	cluster_stop(&world);
}

/* Cost of plans without requests. */
static void
slope_plans(void)
{
	static const unsigned plans[] = {2, 8, 24, 48};
	struct series cpu = {0}, rss = {0}, bytes = {0}, agent_cpu = {0},
		      agent_bytes = {0};
	struct usage usage;
	static struct cluster world;
	unsigned i;

	for (i = 0; i < 4; i++) {
		start_bench_cluster(&world, 1, 4, plans[i]);
		series_add(
		    &cpu, plans[i], measure_idle(&world, "entry-1", &usage));
		series_add(&rss, plans[i], usage.rss_kb);
		series_add(&bytes, plans[i], usage.control_bytes);
		series_add(&agent_cpu, plans[i],
		    measure_idle(&world, "llm-1", &usage));
		series_add(&agent_bytes, plans[i], usage.control_bytes);
		cluster_stop(&world);
	}
	line_print(&cpu, "entry idle, core", "plan", "%");
	line_print(&rss, "entry idle, memory", "plan", "KB");
	line_print(&bytes, "entry idle, control sent", "plan", "bytes/s");
	line_print(&agent_cpu, "agent idle, core", "plan", "%");
	line_print(&agent_bytes, "agent idle, control sent", "plan", "bytes/s");
}

/* Table reads and writes a second, by number of entries and of agents. */
static void
slope_platform(void)
{
	static const unsigned entries[] = {1, 2, 4, 8};
	static const unsigned agents[] = {4, 8, 16, 24};
	struct series reads = {0}, writes = {0}, agent_reads = {0};
	static struct cluster world;
	int64_t read, written;
	double seconds = IDLE_PERIOD_NS / 1e9;
	unsigned i, pass;

	for (pass = 0; pass < 2; pass++)
		for (i = 0; i < 4; i++) {
			start_bench_cluster(&world, pass ? 1 : entries[i],
			    pass ? agents[i] : 2, 2);
			read = cluster_get_control(&world, "platform", "reads");
			written =
			    cluster_get_control(&world, "platform", "writes");
			kwb_clock_sleep_ns(IDLE_PERIOD_NS);
			read =
			    cluster_get_control(&world, "platform", "reads") -
			    read;
			written =
			    cluster_get_control(&world, "platform", "writes") -
			    written;
			if (pass)
				series_add(&agent_reads, agents[i],
				    (double)read / seconds);
			else
				series_add(
				    &reads, entries[i], (double)read / seconds);
			if (!pass)
				series_add(&writes, entries[i],
				    (double)written / seconds);
			cluster_stop(&world);
		}
	line_print(&reads, "table reads", "entry", "1/s");
	line_print(&writes, "table writes", "entry", "1/s");
	line_print(&agent_reads, "table reads", "agent", "1/s");
}

/* Duration of the functions whose input grows with the number of VMs. */
static void
slope_lists(void)
{
	static const unsigned sizes[] = {425, 850, 1700, 3400};
	static struct kwb_share_member members[KWB_VMS_MAX];
	static struct kwb_vms vms;
	struct series subset = {0}, holders = {0}, share = {0};
	uint32_t chosen[KWB_PEERS_MAX];
	uint64_t started_ns;
	unsigned i, j;

	for (i = 0; i < 4; i++) {
		vms.count = sizes[i];
		for (j = 0; j < sizes[i]; j++) {
			struct kwb_vm *vm = &vms.vms[j];

			snprintf(vm->vm, sizeof(vm->vm), "llm-%u", j);
			snprintf(vm->failure_domain, sizeof(vm->failure_domain),
			    "fd-%u", j % 14);
			strcpy(vm->role, "agent");
			strcpy(vm->pool, "llm");
			strcpy(members[j].vm, vm->vm);
		}
		started_ns = kwb_clock_now_ns();
		for (j = 0; j < 10; j++)
			kwb_subset_select(
			    &vms, "entry-1", "fd-1", 24, chosen, KWB_PEERS_MAX);
		series_add(&subset, sizes[i],
		    (double)(kwb_clock_now_ns() - started_ns) / 1e4);
		started_ns = kwb_clock_now_ns();
		for (j = 0; j < 10; j++)
			kwb_holders_select(
			    &vms, "llm", "quotes", 256, chosen, KWB_PEERS_MAX);
		series_add(&holders, sizes[i],
		    (double)(kwb_clock_now_ns() - started_ns) / 1e4);
		started_ns = kwb_clock_now_ns();
		for (j = 0; j < 10; j++)
			kwb_share_next(2048, "quotes", members, sizes[i], 1, 0);
		series_add(&share, sizes[i],
		    (double)(kwb_clock_now_ns() - started_ns) / 1e4);
	}
	line_print(&subset, "entry, subset of a changed list", "VM", "us");
	line_print(&holders, "entry, holders of a plan", "VM", "us");
	line_print(&share, "agent, share of a plan", "VM", "us");
}

/*
 * Latency that entry and agent add: each request is sent to the engine directly
 * and then through both, so that both see the same conditions.
 */
static void
slope_overhead(void)
{
	static double direct[2000], through[2000];
	static struct cluster world;
	char engine[160], entry[160];
	unsigned i;

	start_bench_cluster(&world, 1, 1, 2);
	cluster_print_url(&world, "engine-1", engine, 64);
	strcat(engine, "/v1/completions");
	cluster_print_url(&world, "entry-1", entry, 64);
	strcat(entry, "/v1/plans/search/completions");
	for (i = 0; i < 2000; i++) {
		char body[160];
		uint64_t started_ns = kwb_clock_now_ns();

		snprintf(body, sizeof(body),
		    "{\"model\":\"c\",\"prompt\":\"find it\",\"seed\":%u,"
		    "\"max_tokens\":10,\"stream\":true}",
		    i);
		cluster_http_request(
		    "POST", engine, NULL, body, NULL, NULL, 5000);
		direct[i] = (double)(kwb_clock_now_ns() - started_ns) / 1e6;
		started_ns = kwb_clock_now_ns();
		cluster_http_request(
		    "POST", entry, NULL, body, NULL, NULL, 5000);
		through[i] = (double)(kwb_clock_now_ns() - started_ns) / 1e6;
	}
	printf("answers of 10 tokens, 2000 in turn: direct p50 %.2f p99 %.2f "
	       "ms, through entry and agent p50 %.2f p99 %.2f ms\n",
	    percentile(direct, 2000, 0.5), percentile(direct, 2000, 0.99),
	    percentile(through, 2000, 0.5), percentile(through, 2000, 0.99));
	cluster_stop(&world);
}

/* Starts a deployment with the given sizes; exits the process on failure. */
static void
start_bench_cluster(
    struct cluster *cluster, unsigned entries, unsigned engines, unsigned plans)
{
	static struct kwb_buf lists;
	struct cluster_spec spec = {.entries = entries,
	    .engines = engines,
	    .failure_domains = 2,
	    .models = "m,c",
	    .slots = 64,
	    .interactive_reserve = 2,
	    .engine_args = engine_args};

	lists.used_bytes = 0;
	format_lists(&lists, plans);
	spec.lists = lists.data;
	if (cluster_start(cluster, &spec) == 0)
		return;
	fprintf(stderr, "the test deployment did not start\n");
	cluster_stop(cluster);
	exit(1);
}

/* Prints one interactive plan, and training plans up to the given number. */
static void
format_lists(struct kwb_buf *text, unsigned plans)
{
	unsigned i;

	kwb_buf_printf(text,
	    "plans:\n  - {name: search, customer: a, kind: interactive, "
	    "pool: llm, model: c, max_tokens: 4000}\n");
	for (i = 1; i < plans; i++)
		kwb_buf_printf(text,
		    "  - {name: train-%u, customer: a, kind: training, "
		    "pool: llm, model: m, staleness_versions: 2}\n",
		    i);
	kwb_buf_printf(text,
	    "allowances:\n"
	    "  - {plan: search, concurrent: 64, "
	    "queue: 1000}\n");
	for (i = 1; i < plans; i++)
		kwb_buf_printf(text,
		    "  - {plan: train-%u, concurrent: 48, queue: 10}\n", i);
}

/* Sends all requests from concurrent callers and waits for them. */
static void
run_requests(struct cluster *cluster, unsigned callers, unsigned requests,
    unsigned max_tokens)
{
	struct request_load request_load = {cluster, requests, max_tokens, 0};
	pthread_t threads[64];
	unsigned i;

	for (i = 0; i < callers; i++)
		pthread_create(&threads[i], NULL, caller_run, &request_load);
	for (i = 0; i < callers; i++)
		pthread_join(threads[i], NULL);
}

/* Thread: a caller that sends one request after the other. */
static void *
caller_run(void *argument)
{
	struct request_load *request_load = argument;
	char url[160], body[128];
	unsigned number;

	cluster_print_url(request_load->cluster, "entry-1", url, sizeof(url));
	strcat(url, "/v1/plans/search/completions");
	while ((number = request_load->next++) < request_load->requests) {
		snprintf(body, sizeof(body),
		    "{\"prompt\":\"find it\",\"seed\":%u,\"max_tokens\":%u,"
		    "\"stream\":true}",
		    number, request_load->max_tokens);
		cluster_http_request(
		    "POST", url, NULL, body, NULL, NULL, 30000);
	}
	return NULL;
}

/*
 * Returns percent of a core used over IDLE_PERIOD_NS without requests. idle
 * gets the usage at its end, with control_bytes per second.
 */
static double
measure_idle(struct cluster *cluster, const char *name, struct usage *idle)
{
	struct usage before;
	double seconds = IDLE_PERIOD_NS / 1e9;

	usage_read(cluster, name, &before);
	kwb_clock_sleep_ns(IDLE_PERIOD_NS);
	usage_read(cluster, name, idle);
	idle->control_bytes =
	    (idle->control_bytes - before.control_bytes) / seconds;
	return (idle->cpu_ms - before.cpu_ms) / (seconds * 10);
}
