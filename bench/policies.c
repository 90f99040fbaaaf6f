/*
 * Compares the routing policy kwb with the baselines round_robin and least, at
 * the sizes of both deployments. Times of the fake engines are a tenth of real
 * ones: a token takes 3 ms for a sequence that runs alone. Seeds are fixed.
 *
 *   policies                 all scenarios, all policies
 *   policies SCENARIO        one: step, kill, mixed, overload, weights
 *   policies SCENARIO POLICY one policy: round_robin, least, kwb
 */
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../fakes/text.h"
#include "../fakes/trainer.h"
#include "measure.h"

#define TOKEN_US 3000
#define BATCH_US 30
#define LENGTH_MEDIAN 100 /* tokens */
#define LENGTH_SPREAD 70  /* percent, of the logarithm */
#define MAX_TOKENS 800
#define GROUPS 24
#define SAMPLES 4 /* of each group */
#define STEPS 6
#define CALLS_MAX 20000 /* recorded in all; each caller: an eighth */

/* Sizes of one of the users' deployments. */
struct deployment {
	const char *name;
	unsigned engines;
	unsigned services;
	unsigned failure_domains;
	const char *objective;
	unsigned units; /* concurrent requests of each training plan */
};

static const struct deployment deployments[] = {
    {"kurogane", 8, 4, 4, "idle", 64},
    {"kerala", 9, 3, 3, "staleness", 72},
};

static const char *const policies[] = {"round_robin", "least", "kwb"};
static const char *only_policy = "";

/* Totals over the steps of one trainer. */
struct run_result {
	double idle_ns;	       /* trainer waiting for samples */
	double total_ns;       /* waiting or training */
	double step_ns;	       /* mean */
	double lower_bound_ns; /* mean; see step_lower_bound_ns() */
	double age_sum;	       /* versions behind, summed over samples */
	double age_max;
	double samples;
	double wrong; /* samples that are wrong, doubled or stale */
	double wasted;
	double tokens;
};

struct trainer_thread {
	struct cluster *cluster;
	const char *plan;
	const char *model;
	unsigned units;
	unsigned steps;
	unsigned kill_in_step; /* kills engine-2 in it; 0 for none */
	struct run_result run_result;
	pthread_t thread;
};

struct caller_thread {
	struct cluster *cluster;
	_Atomic bool *is_stopping;
	uint64_t pause_ns; /* after each request */
	unsigned index;
	unsigned answered;
	unsigned refused;
	double latency_ms[CALLS_MAX / 8];
	double refusal_ms[CALLS_MAX / 8];
	pthread_t thread;
};

static const char *format_lists(const struct deployment *deployment);
static void start_bench_cluster(struct cluster *cluster,
    const struct deployment *deployment, const char *policy);
static void scenario_step(const struct deployment *deployment, bool kill);
static void scenario_mixed(const struct deployment *deployment);
static void scenario_overload(const struct deployment *deployment);
static void scenario_weights(const struct deployment *deployment);
static void *trainer_run(void *argument);
static void pull_step(struct trainer_thread *trainer, uint64_t step,
    uint64_t version, struct trainer_result *result);
static double step_lower_bound_ns(
    const struct trainer_thread *trainer, uint64_t step);
static void *kill_engine(void *argument);
static void *caller_run(void *argument);
static void callers_start(struct cluster *cluster,
    struct caller_thread *callers, unsigned count, uint64_t pause_ns,
    _Atomic bool *is_stopping);
static void callers_print(struct caller_thread *callers, unsigned count);
static double cache_hit_ratio(struct cluster *cluster);

int
main(int argc, char **argv)
{
	const char *only_scenario = argc > 1 ? argv[1] : "";
	size_t i;

	if (argc > 2)
		only_policy = argv[2];
	kwb_log_init("policies", KWB_LOG_ERROR);
	kwb_http_init();
	signal(SIGPIPE, SIG_IGN);
	setvbuf(stdout, NULL, _IOLBF, 0);
	for (i = 0; i < sizeof(deployments) / sizeof(deployments[0]); i++) {
		if (only_scenario[0] == '\0' ||
		    strcmp(only_scenario, "step") == 0)
			scenario_step(&deployments[i], false);
		if (only_scenario[0] == '\0' ||
		    strcmp(only_scenario, "kill") == 0)
			scenario_step(&deployments[i], true);
		if (only_scenario[0] == '\0' ||
		    strcmp(only_scenario, "mixed") == 0)
			scenario_mixed(&deployments[i]);
		if (only_scenario[0] == '\0' ||
		    strcmp(only_scenario, "overload") == 0)
			scenario_overload(&deployments[i]);
		if (only_scenario[0] == '\0' ||
		    strcmp(only_scenario, "weights") == 0)
			scenario_weights(&deployments[i]);
	}
	return 0;
}

/*
 * One trainer alone: duration of a step against the lower bound, which only a
 * scheduler that knows all lengths in advance could reach. With kill, an engine
 * is killed during step 3 and only this step is timed.
 */
static void
scenario_step(const struct deployment *deployment, bool kill)
{
	static struct cluster world;
	size_t i;

	for (i = 0; i < 3; i++) {
		struct trainer_thread trainer = {.cluster = &world,
		    .plan = "quotes",
		    .model = "m",
		    .units = deployment->units,
		    .steps = STEPS,
		    .kill_in_step = kill ? 3 : 0};
		struct run_result *run_result = &trainer.run_result;

		if (only_policy[0] && strcmp(only_policy, policies[i]) != 0)
			continue;
		start_bench_cluster(&world, deployment, policies[i]);
		trainer_run(&trainer);
		printf("%-5s %-9s %-12s step_ms=%.0f bound_ms=%.0f "
		       "ratio=%.2f idle=%.0f%% age_mean=%.2f age_max=%.0f "
		       "wasted=%.1f%% cache=%.0f%% wrong=%.0f\n",
		    kill ? "kill" : "step", deployment->name, policies[i],
		    run_result->step_ns / 1e6, run_result->lower_bound_ns / 1e6,
		    run_result->step_ns / run_result->lower_bound_ns,
		    100 * run_result->idle_ns / run_result->total_ns,
		    run_result->age_sum / run_result->samples,
		    run_result->age_max,
		    100 * run_result->wasted / run_result->tokens,
		    100 * cache_hit_ratio(&world), run_result->wrong);
		cluster_stop(&world);
	}
}

/* Interactive callers alone, then beside two trainers. */
static void
scenario_mixed(const struct deployment *deployment)
{
	static struct caller_thread alone[4], beside[4];
	static struct cluster world;
	size_t i;
	unsigned t;

	for (i = 0; i < 3; i++) {
		struct trainer_thread trainers[2] = {
		    {.cluster = &world,
			.plan = "quotes",
			.model = "m",
			.units = deployment->units,
			.steps = STEPS},
		    {.cluster = &world,
			.plan = "shades",
			.model = "n",
			.units = deployment->units,
			.steps = STEPS},
		};
		_Atomic bool is_stopping = false;
		struct run_result sum = {0};

		if (only_policy[0] && strcmp(only_policy, policies[i]) != 0)
			continue;
		start_bench_cluster(&world, deployment, policies[i]);
		callers_start(&world, alone, 4, 0, &is_stopping);
		kwb_clock_sleep_ns(4000 * KWB_MS_NS);
		is_stopping = true;
		for (t = 0; t < 4; t++)
			pthread_join(alone[t].thread, NULL);
		is_stopping = false;
		callers_start(&world, beside, 4, 0, &is_stopping);
		for (t = 0; t < 2; t++)
			pthread_create(&trainers[t].thread, NULL, trainer_run,
			    &trainers[t]);
		for (t = 0; t < 2; t++) {
			struct run_result *run_result = &trainers[t].run_result;

			pthread_join(trainers[t].thread, NULL);
			sum.idle_ns += run_result->idle_ns;
			sum.total_ns += run_result->total_ns;
			sum.age_sum += run_result->age_sum;
			sum.samples += run_result->samples;
			sum.wrong += run_result->wrong;
			if (run_result->age_max > sum.age_max)
				sum.age_max = run_result->age_max;
			sum.step_ns += run_result->step_ns / 2;
		}
		is_stopping = true;
		for (t = 0; t < 4; t++)
			pthread_join(beside[t].thread, NULL);
		printf("mixed %-9s %-12s step_ms=%.0f idle=%.0f%% "
		       "age_mean=%.2f age_max=%.0f cache=%.0f%% wrong=%.0f\n",
		    deployment->name, policies[i], sum.step_ns / 1e6,
		    100 * sum.idle_ns / sum.total_ns, sum.age_sum / sum.samples,
		    sum.age_max, 100 * cache_hit_ratio(&world), sum.wrong);
		printf("      callers alone:  ");
		callers_print(alone, 4);
		printf("      with trainers:  ");
		callers_print(beside, 4);
		cluster_stop(&world);
	}
}

/*
 * 8 callers, then 40, then 8 again, of a plan that may run 16 requests and
 * queue 4 at each entry: overload, and recovery from it.
 */
static void
scenario_overload(const struct deployment *deployment)
{
	static struct caller_thread callers[64];
	static const unsigned counts[] = {8, 40, 8};
	static struct cluster world;
	unsigned phase, t;

	start_bench_cluster(&world, deployment, "kwb");
	for (phase = 0; phase < 3; phase++) {
		_Atomic bool is_stopping = false;
		uint64_t started_ns = kwb_clock_now_ns();
		unsigned answered = 0;

		callers_start(&world, callers, counts[phase], 0, &is_stopping);
		kwb_clock_sleep_ns(5000 * KWB_MS_NS);
		is_stopping = true;
		for (t = 0; t < counts[phase]; t++) {
			pthread_join(callers[t].thread, NULL);
			answered += callers[t].answered;
		}
		printf("over  %-9s %2u callers answered_per_s=%.1f ",
		    deployment->name, counts[phase],
		    answered * 1e9 / (double)(kwb_clock_now_ns() - started_ns));
		callers_print(callers, counts[phase]);
	}
	cluster_stop(&world);
}

/* Time from publishing a version until all engines serve it. */
static void
scenario_weights(const struct deployment *deployment)
{
	static struct cluster world;
	unsigned round, i, done;
	uint64_t started_ns;

	start_bench_cluster(&world, deployment, "kwb");
	cluster_set_control(&world, "platform", "weights_mb_s", 20);
	for (round = 0; round < 3; round++) {
		started_ns = kwb_clock_now_ns();
		cluster_publish_weights(&world, "m", round + 2);
		do {
			char name[CLUSTER_NAME_MAX_BYTES], url[160], mark[64];
			struct kwb_buf text;

			snprintf(mark, sizeof(mark),
			    "\"m\":{\"version\":%u,"
			    "\"swapping\":false",
			    round + 2);
			for (i = 1, done = 0; i <= deployment->engines; i++) {
				snprintf(name, sizeof(name), "engine-%u", i);
				cluster_print_url(&world, name, url, 64);
				strcat(url, "/load");
				kwb_buf_init(&text);
				cluster_http_request(
				    "GET", url, NULL, NULL, &text, NULL, 500);
				done +=
				    strstr(kwb_buf_text(&text), mark) != NULL;
				kwb_buf_finish(&text);
			}
			kwb_clock_sleep_ns(5 * KWB_MS_NS);
		} while (done < deployment->engines &&
		    kwb_clock_now_ns() < started_ns + 30000 * KWB_MS_NS);
		printf("swap  %-9s all of %u after_ms=%.0f "
		       "ideal_ms=%u (20 fetches a second, 100 ms a swap)\n",
		    deployment->name, deployment->engines,
		    (double)(kwb_clock_now_ns() - started_ns) / 1e6,
		    deployment->engines * 50 + 100);
	}
	cluster_stop(&world);
}

/*
 * Thread: a trainer that pulls the next step while it trains on the last one.
 * Training is taken to last as long as the step's lower bound, so the trainer
 * is idle for the time by which a pull exceeds it.
 */
static void *
trainer_run(void *argument)
{
	struct trainer_thread *trainer = argument;
	struct run_result *run_result = &trainer->run_result;
	struct trainer_result result;
	pthread_t killer;
	unsigned step;

	for (step = 1; step <= trainer->steps; step++) {
		double lower_bound_ns = step_lower_bound_ns(trainer, step);
		double elapsed_ns;

		if (step == trainer->kill_in_step)
			pthread_create(
			    &killer, NULL, kill_engine, trainer->cluster);
		pull_step(trainer, step, step, &result);
		if (step == trainer->kill_in_step)
			pthread_join(killer, NULL);
		elapsed_ns = (double)result.elapsed_ns;
		cluster_publish_weights(
		    trainer->cluster, trainer->model, step + 1);
		run_result->samples += result.received;
		run_result->age_sum += (double)result.age_sum;
		run_result->wrong +=
		    result.wrong + result.doubled + result.stale;
		run_result->tokens += (double)result.tokens;
		if ((double)result.age_max > run_result->age_max)
			run_result->age_max = (double)result.age_max;
		if (trainer->kill_in_step != 0 && step != trainer->kill_in_step)
			continue;
		run_result->step_ns += elapsed_ns;
		run_result->lower_bound_ns += lower_bound_ns;
		run_result->idle_ns += elapsed_ns > lower_bound_ns
		    ? elapsed_ns - lower_bound_ns
		    : 0;
		run_result->total_ns +=
		    elapsed_ns > lower_bound_ns ? elapsed_ns : lower_bound_ns;
	}
	if (trainer->kill_in_step == 0) {
		run_result->step_ns /= trainer->steps;
		run_result->lower_bound_ns /= trainer->steps;
	}
	return NULL;
}

static void
pull_step(struct trainer_thread *trainer, uint64_t step, uint64_t version,
    struct trainer_result *result)
{
	char urls[2][64];
	struct trainer pull = {.entries = {urls[0], urls[1]},
	    .entries_count = 2,
	    .plan = trainer->plan,
	    .groups = GROUPS,
	    .samples = SAMPLES,
	    .max_tokens = MAX_TOKENS,
	    .weight_version = version,
	    .staleness_bound_versions = 2,
	    .length_median = LENGTH_MEDIAN,
	    .length_spread_percent = LENGTH_SPREAD,
	    .deadline_ns = kwb_clock_now_ns() + 120000 * KWB_MS_NS};

	cluster_print_url(
	    trainer->cluster, "entry-1", urls[0], sizeof(urls[0]));
	cluster_print_url(
	    trainer->cluster, "entry-2", urls[1], sizeof(urls[1]));
	trainer_pull_step(&pull, step, result);
}

/*
 * The least time that a step can take: max(total tokens / capacity, longest
 * sample). Capacity is that of all the plan's units, spread evenly over the
 * engines; the longest sample is taken to run alone on its engine.
 */
static double
step_lower_bound_ns(const struct trainer_thread *trainer, uint64_t step)
{
	double total = 0, longest = 0, length, per_engine, pace_ns;
	unsigned group, sample;
	char prompt[256];

	for (group = 0; group < GROUPS; group++) {
		trainer_format_prompt(
		    prompt, sizeof(prompt), trainer->plan, step, group);
		for (sample = 0; sample < SAMPLES; sample++) {
			length = fake_sequence_length(
			    fake_sequence_hash(prompt, group * 16384 + sample),
			    LENGTH_MEDIAN, LENGTH_SPREAD);
			if (length > MAX_TOKENS)
				length = MAX_TOKENS;
			total += length;
			if (length > longest)
				longest = length;
		}
	}
	per_engine = (double)trainer->units / trainer->cluster->spec.engines;
	pace_ns = (TOKEN_US + BATCH_US * per_engine) * 1000;
	length = total / trainer->units * pace_ns;
	longest *= (TOKEN_US + BATCH_US) * 1000.0;
	return length > longest ? length : longest;
}

/* Thread: kills an engine 300 ms into the step. */
static void *
kill_engine(void *argument)
{
	struct cluster *cluster = argument;

	kwb_clock_sleep_ns(300 * KWB_MS_NS);
	cluster_kill_process(cluster, "engine-2");
	return NULL;
}

/* Thread: sends requests to both entries in turn until it is stopped. */
static void *
caller_run(void *argument)
{
	struct caller_thread *caller = argument;
	char url[160], body[160], entry[CLUSTER_NAME_MAX_BYTES];
	unsigned count;

	for (count = 0; !*caller->is_stopping; count++) {
		uint64_t started_ns = kwb_clock_now_ns();
		double elapsed_ms;
		int status;

		snprintf(entry, sizeof(entry), "entry-%u",
		    (caller->index + count) % 2 + 1);
		cluster_print_url(caller->cluster, entry, url, 64);
		strcat(url, "/v1/plans/search/completions");
		snprintf(body, sizeof(body),
		    "{\"prompt\":\"search %u\",\"seed\":%u,\"max_tokens\":40,"
		    "\"stream\":true}",
		    count % 32, caller->index * 1000 + count);
		status = cluster_http_request("POST", url,
		    "X-Kwb-Timeout-Ms: 2000", body, NULL, NULL, 5000);
		elapsed_ms = (double)(kwb_clock_now_ns() - started_ns) / 1e6;
		if (status == 200 && caller->answered < CALLS_MAX / 8)
			caller->latency_ms[caller->answered++] = elapsed_ms;
		if (status != 200 && caller->refused < CALLS_MAX / 8)
			caller->refusal_ms[caller->refused++] = elapsed_ms;
		if (status != 200)
			kwb_clock_sleep_ns(50 * KWB_MS_NS);
		kwb_clock_sleep_ns(caller->pause_ns);
	}
	return NULL;
}

/* Starts callers that run until *is_stopping. */
static void
callers_start(struct cluster *cluster, struct caller_thread *callers,
    unsigned count, uint64_t pause_ns, _Atomic bool *is_stopping)
{
	unsigned i;

	for (i = 0; i < count; i++) {
		memset(&callers[i], 0, sizeof(callers[i]));
		callers[i].cluster = cluster;
		callers[i].is_stopping = is_stopping;
		callers[i].pause_ns = pause_ns;
		callers[i].index = i;
		pthread_create(
		    &callers[i].thread, NULL, caller_run, &callers[i]);
	}
}

static void
callers_print(struct caller_thread *callers, unsigned count)
{
	static double latency[CALLS_MAX], refusal[CALLS_MAX];
	unsigned i, j, answered = 0, refused = 0;

	for (i = 0; i < count; i++) {
		for (j = 0; j < callers[i].answered && answered < CALLS_MAX;
		     j++)
			latency[answered++] = callers[i].latency_ms[j];
		for (j = 0; j < callers[i].refused && refused < CALLS_MAX; j++)
			refusal[refused++] = callers[i].refusal_ms[j];
	}
	printf("answered=%u p50_ms=%.0f p99_ms=%.0f refused=%u "
	       "refusal_p99_ms=%.0f\n",
	    answered, percentile(latency, answered, 0.5),
	    percentile(latency, answered, 0.99), refused,
	    percentile(refusal, refused, 0.99));
}

/* Hits of the prompt caches of all running engines, from 0 to 1. */
static double
cache_hit_ratio(struct cluster *cluster)
{
	double hits = 0, misses = 0;
	char name[CLUSTER_NAME_MAX_BYTES];
	unsigned i;

	for (i = 1; i <= cluster->spec.engines; i++) {
		snprintf(name, sizeof(name), "engine-%u", i);
		if (cluster_find_process(cluster, name)->pid == 0)
			continue;
		hits +=
		    (double)cluster_get_control(cluster, name, "cache_hits");
		misses +=
		    (double)cluster_get_control(cluster, name, "cache_misses");
	}
	return hits + misses > 0 ? hits / (hits + misses) : 0;
}

/* Starts the deployment; exits the process on failure. */
static void
start_bench_cluster(struct cluster *cluster,
    const struct deployment *deployment, const char *policy)
{
	char extra[256];
	struct cluster_spec spec = {.entries = 2,
	    .engines = deployment->engines,
	    .services = deployment->services,
	    .failure_domains = deployment->failure_domains,
	    .models = "m,n,c",
	    .slots = 32,
	    .interactive_reserve = 4,
	    .engine_args = extra,
	    .policy = policy};

	snprintf(extra, sizeof(extra),
	    "--token_us %d --batch_us %d --prefill_us 300 --length_median %d "
	    "--length_spread %d",
	    TOKEN_US, BATCH_US, LENGTH_MEDIAN, LENGTH_SPREAD);
	spec.lists = format_lists(deployment);
	if (cluster_start(cluster, &spec) == 0) {
		cluster_publish_weights(cluster, "n", 1);
		return;
	}
	fprintf(stderr, "the test deployment did not start\n");
	cluster_stop(cluster);
	exit(1);
}

static const char *
format_lists(const struct deployment *deployment)
{
	static char text[2048];

	snprintf(text, sizeof(text),
	    "plans:\n"
	    "  - {name: quotes, customer: c, kind: training, pool: llm, "
	    "model: m, objective: %s, staleness_versions: 2, "
	    "mixed_versions: yes, max_tokens: 800}\n"
	    "  - {name: shades, customer: c, kind: training, pool: llm, "
	    "model: n, objective: %s, staleness_versions: 2, "
	    "mixed_versions: yes, max_tokens: 800}\n"
	    "  - {name: search, customer: c, kind: interactive, pool: llm, "
	    "model: c, max_tokens: 200}\n"
	    "  - {name: orders, customer: c, kind: service, pool: shop}\n"
	    "allowances:\n"
	    "  - {plan: quotes, concurrent: %u, queue: 1000}\n"
	    "  - {plan: shades, concurrent: %u, queue: 1000}\n"
	    "  - {plan: search, concurrent: 16, queue: 4}\n"
	    "  - {plan: orders, concurrent: 8, queue: 100}\n",
	    deployment->objective, deployment->objective, deployment->units,
	    deployment->units);
	return text;
}
