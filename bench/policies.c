/*
 * Policies under load, at both deployments' sizes of today, against baselines
 * in one run. Time in the fake engines is scaled down by ten: a token takes
 * 3 ms alone. Seeds are fixed.
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

#define BASE_PORT 25000
#define TOKEN_US 3000
#define BATCH_US 30
#define LENGTH_MEDIAN 100
#define LENGTH_SPREAD 70
#define MAX_TOKENS 800
#define GROUPS 24
#define SAMPLES 4
#define STEPS 6
#define CALLS_MAX 20000

/* One of the users' deployments. */
struct deployment {
	const char *name;
	unsigned engines;
	unsigned services;
	unsigned domains;
	const char *objective;
	unsigned units; /* of each training plan */
};

static const struct deployment deployments[] = {
    {"kurogane", 8, 4, 4, "idle", 64},
    {"kerala", 9, 3, 3, "staleness", 72},
};

static const char *const policies[] = {"round_robin", "least", "kwb"};
static const char *only_policy = "";

/* What one run gave. */
struct outcome {
	double idle_ns;
	double total_ns;
	double step_ns; /* mean */
	double bound_ns;
	double age_sum;
	double age_max;
	double samples;
	double wrong;
	double wasted;
	double tokens;
};

struct trainer_thread {
	struct world *world;
	const char *plan;
	const char *model;
	unsigned units;
	unsigned steps;
	unsigned kill_in_step; /* 0 for none */
	struct outcome outcome;
	pthread_t thread;
};

struct caller_thread {
	struct world *world;
	_Atomic bool *stopping;
	uint64_t gap_ns;
	unsigned number;
	unsigned answered;
	unsigned refused;
	double latency_ms[CALLS_MAX / 8];
	double refusal_ms[CALLS_MAX / 8];
	pthread_t thread;
};

static const char *domain_lists(const struct deployment *deployment);
static void world_make(struct world *world, const struct deployment *deployment,
    const char *policy);
static void scenario_step(const struct deployment *deployment, bool kill);
static void scenario_mixed(const struct deployment *deployment);
static void scenario_overload(const struct deployment *deployment);
static void scenario_weights(const struct deployment *deployment);
static void *train(void *argument);
static void train_step(struct trainer_thread *trainer, uint64_t step,
    uint64_t version, struct trainer_result *result);
static double step_bound_ns(
    const struct trainer_thread *trainer, uint64_t step);
static void *kill_one(void *argument);
static void *call(void *argument);
static void callers_run(struct world *world, struct caller_thread *callers,
    unsigned count, uint64_t gap_ns, _Atomic bool *stopping);
static void callers_print(struct caller_thread *callers, unsigned count);
static double cache_share(struct world *world);

int
main(int argc, char **argv)
{
	const char *only = argc > 1 ? argv[1] : "";
	size_t i;

	if (argc > 2)
		only_policy = argv[2];
	kwb_log_init("policies", KWB_LOG_ERROR);
	kwb_http_init();
	signal(SIGPIPE, SIG_IGN);
	setvbuf(stdout, NULL, _IOLBF, 0);
	for (i = 0; i < sizeof(deployments) / sizeof(deployments[0]); i++) {
		if (only[0] == '\0' || strcmp(only, "step") == 0)
			scenario_step(&deployments[i], false);
		if (only[0] == '\0' || strcmp(only, "kill") == 0)
			scenario_step(&deployments[i], true);
		if (only[0] == '\0' || strcmp(only, "mixed") == 0)
			scenario_mixed(&deployments[i]);
		if (only[0] == '\0' || strcmp(only, "overload") == 0)
			scenario_overload(&deployments[i]);
		if (only[0] == '\0' || strcmp(only, "weights") == 0)
			scenario_weights(&deployments[i]);
	}
	return 0;
}

/* One trainer alone: time of a step against the clairvoyant bound. */
static void
scenario_step(const struct deployment *deployment, bool kill)
{
	static struct world world;
	size_t i;

	for (i = 0; i < 3; i++) {
		struct trainer_thread trainer = {.world = &world,
		    .plan = "quotes",
		    .model = "m",
		    .units = deployment->units,
		    .steps = STEPS,
		    .kill_in_step = kill ? 3 : 0};
		struct outcome *outcome = &trainer.outcome;

		if (only_policy[0] && strcmp(only_policy, policies[i]) != 0)
			continue;
		world_make(&world, deployment, policies[i]);
		train(&trainer);
		printf("%-5s %-9s %-12s step_ms=%.0f bound_ms=%.0f "
		       "ratio=%.2f idle=%.0f%% age_mean=%.2f age_max=%.0f "
		       "wasted=%.1f%% cache=%.0f%% wrong=%.0f\n",
		    kill ? "kill" : "step", deployment->name, policies[i],
		    outcome->step_ns / 1e6, outcome->bound_ns / 1e6,
		    outcome->step_ns / outcome->bound_ns,
		    100 * outcome->idle_ns / outcome->total_ns,
		    outcome->age_sum / outcome->samples, outcome->age_max,
		    100 * outcome->wasted / outcome->tokens,
		    100 * cache_share(&world), outcome->wrong);
		world_stop(&world);
	}
}

/* Two trainers with callers and orders beside them. */
static void
scenario_mixed(const struct deployment *deployment)
{
	static struct caller_thread alone[4], beside[4];
	static struct world world;
	size_t i;
	unsigned t;

	for (i = 0; i < 3; i++) {
		struct trainer_thread trainers[2] = {
		    {.world = &world,
			.plan = "quotes",
			.model = "m",
			.units = deployment->units,
			.steps = STEPS},
		    {.world = &world,
			.plan = "shades",
			.model = "n",
			.units = deployment->units,
			.steps = STEPS},
		};
		_Atomic bool stopping = false;
		struct outcome sum = {0};

		if (only_policy[0] && strcmp(only_policy, policies[i]) != 0)
			continue;
		world_make(&world, deployment, policies[i]);
		callers_run(&world, alone, 4, 0, &stopping);
		kwb_clock_sleep_ns(4000 * KWB_MS_NS);
		stopping = true;
		for (t = 0; t < 4; t++)
			pthread_join(alone[t].thread, NULL);
		stopping = false;
		callers_run(&world, beside, 4, 0, &stopping);
		for (t = 0; t < 2; t++)
			pthread_create(
			    &trainers[t].thread, NULL, train, &trainers[t]);
		for (t = 0; t < 2; t++) {
			struct outcome *outcome = &trainers[t].outcome;

			pthread_join(trainers[t].thread, NULL);
			sum.idle_ns += outcome->idle_ns;
			sum.total_ns += outcome->total_ns;
			sum.age_sum += outcome->age_sum;
			sum.samples += outcome->samples;
			sum.wrong += outcome->wrong;
			if (outcome->age_max > sum.age_max)
				sum.age_max = outcome->age_max;
			sum.step_ns += outcome->step_ns / 2;
		}
		stopping = true;
		for (t = 0; t < 4; t++)
			pthread_join(beside[t].thread, NULL);
		printf("mixed %-9s %-12s step_ms=%.0f idle=%.0f%% "
		       "age_mean=%.2f age_max=%.0f cache=%.0f%% wrong=%.0f\n",
		    deployment->name, policies[i], sum.step_ns / 1e6,
		    100 * sum.idle_ns / sum.total_ns, sum.age_sum / sum.samples,
		    sum.age_max, 100 * cache_share(&world), sum.wrong);
		printf("      callers alone:  ");
		callers_print(alone, 4);
		printf("      callers beside: ");
		callers_print(beside, 4);
		world_stop(&world);
	}
}

/* Callers at the plan's capacity, at twice that, and at capacity again. */
static void
scenario_overload(const struct deployment *deployment)
{
	static struct caller_thread callers[64];
	static const unsigned counts[] = {8, 40, 8};
	static struct world world;
	unsigned phase, t;

	world_make(&world, deployment, "kwb");
	for (phase = 0; phase < 3; phase++) {
		_Atomic bool stopping = false;
		uint64_t begun_ns = kwb_clock_now_ns();
		unsigned answered = 0;

		callers_run(&world, callers, counts[phase], 0, &stopping);
		kwb_clock_sleep_ns(5000 * KWB_MS_NS);
		stopping = true;
		for (t = 0; t < counts[phase]; t++) {
			pthread_join(callers[t].thread, NULL);
			answered += callers[t].answered;
		}
		printf("over  %-9s %2u callers answered_per_s=%.1f ",
		    deployment->name, counts[phase],
		    answered * 1e9 / (double)(kwb_clock_now_ns() - begun_ns));
		callers_print(callers, counts[phase]);
	}
	world_stop(&world);
}

/* Time until all upstreams serve a new version. */
static void
scenario_weights(const struct deployment *deployment)
{
	static struct world world;
	unsigned round, i, done;
	uint64_t begun_ns;

	world_make(&world, deployment, "kwb");
	world_set(&world, "platform", "weights_mb_s", 20);
	for (round = 0; round < 3; round++) {
		begun_ns = kwb_clock_now_ns();
		world_publish(&world, "m", round + 2);
		do {
			char name[WORLD_NAME_BYTES], url[160], mark[64];
			struct kwb_buf text;

			snprintf(mark, sizeof(mark),
			    "\"m\":{\"version\":%u,"
			    "\"swapping\":false",
			    round + 2);
			for (i = 1, done = 0; i <= deployment->engines; i++) {
				snprintf(name, sizeof(name), "engine-%u", i);
				world_url(&world, name, url, 64);
				strcat(url, "/load");
				kwb_buf_init(&text);
				world_http(
				    "GET", url, NULL, NULL, &text, NULL, 500);
				done +=
				    strstr(kwb_buf_text(&text), mark) != NULL;
				kwb_buf_finish(&text);
			}
			kwb_clock_sleep_ns(5 * KWB_MS_NS);
		} while (done < deployment->engines &&
		    kwb_clock_now_ns() < begun_ns + 30000 * KWB_MS_NS);
		printf("swap  %-9s all of %u after_ms=%.0f "
		       "ideal_ms=%u (20 fetches a second, 100 ms a swap)\n",
		    deployment->name, deployment->engines,
		    (double)(kwb_clock_now_ns() - begun_ns) / 1e6,
		    deployment->engines * 50 + 100);
	}
	world_stop(&world);
}

/*
 * A trainer one step off: while it trains on a step it pulls the next. It is
 * idle when a pull takes longer than its training, which takes the bound.
 */
static void *
train(void *argument)
{
	struct trainer_thread *trainer = argument;
	struct outcome *outcome = &trainer->outcome;
	struct trainer_result result;
	pthread_t killer;
	unsigned step;

	for (step = 1; step <= trainer->steps; step++) {
		double bound_ns = step_bound_ns(trainer, step);
		double elapsed_ns;

		if (step == trainer->kill_in_step)
			pthread_create(&killer, NULL, kill_one, trainer->world);
		train_step(trainer, step, step, &result);
		if (step == trainer->kill_in_step)
			pthread_join(killer, NULL);
		elapsed_ns = (double)result.elapsed_ns;
		world_publish(trainer->world, trainer->model, step + 1);
		outcome->samples += result.received;
		outcome->age_sum += (double)result.age_sum;
		outcome->wrong += result.wrong + result.doubled + result.stale;
		outcome->tokens += (double)result.tokens;
		if ((double)result.age_max > outcome->age_max)
			outcome->age_max = (double)result.age_max;
		if (trainer->kill_in_step != 0 && step != trainer->kill_in_step)
			continue;
		outcome->step_ns += elapsed_ns;
		outcome->bound_ns += bound_ns;
		outcome->idle_ns +=
		    elapsed_ns > bound_ns ? elapsed_ns - bound_ns : 0;
		outcome->total_ns +=
		    elapsed_ns > bound_ns ? elapsed_ns : bound_ns;
	}
	if (trainer->kill_in_step == 0) {
		outcome->step_ns /= trainer->steps;
		outcome->bound_ns /= trainer->steps;
	}
	return NULL;
}

static void
train_step(struct trainer_thread *trainer, uint64_t step, uint64_t version,
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

	world_url(trainer->world, "entry-1", urls[0], sizeof(urls[0]));
	world_url(trainer->world, "entry-2", urls[1], sizeof(urls[1]));
	trainer_pull_step(&pull, step, result);
}

/*
 * max(total work / capacity, longest sample): capacity is the plan's units,
 * each at the pace of an engine with its part of them running; the longest
 * runs alone.
 */
static double
step_bound_ns(const struct trainer_thread *trainer, uint64_t step)
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
	per_engine = (double)trainer->units / trainer->world->shape.engines;
	pace_ns = (TOKEN_US + BATCH_US * per_engine) * 1000;
	length = total / trainer->units * pace_ns;
	longest *= (TOKEN_US + BATCH_US) * 1000.0;
	return length > longest ? length : longest;
}

static void *
kill_one(void *argument)
{
	struct world *world = argument;

	kwb_clock_sleep_ns(300 * KWB_MS_NS);
	world_kill(world, "engine-2");
	return NULL;
}

static void *
call(void *argument)
{
	struct caller_thread *caller = argument;
	char url[160], body[160], entry[WORLD_NAME_BYTES];
	unsigned count;

	for (count = 0; !*caller->stopping; count++) {
		uint64_t begun_ns = kwb_clock_now_ns();
		double passed_ms;
		int status;

		snprintf(entry, sizeof(entry), "entry-%u",
		    (caller->number + count) % 2 + 1);
		world_url(caller->world, entry, url, 64);
		strcat(url, "/v1/plans/search/completions");
		snprintf(body, sizeof(body),
		    "{\"prompt\":\"search %u\",\"seed\":%u,\"max_tokens\":40,"
		    "\"stream\":true}",
		    count % 32, caller->number * 1000 + count);
		status = world_http("POST", url, "X-Kwb-Timeout-Ms: 2000", body,
		    NULL, NULL, 5000);
		passed_ms = (double)(kwb_clock_now_ns() - begun_ns) / 1e6;
		if (status == 200 && caller->answered < CALLS_MAX / 8)
			caller->latency_ms[caller->answered++] = passed_ms;
		if (status != 200 && caller->refused < CALLS_MAX / 8)
			caller->refusal_ms[caller->refused++] = passed_ms;
		if (status != 200)
			kwb_clock_sleep_ns(50 * KWB_MS_NS);
		kwb_clock_sleep_ns(caller->gap_ns);
	}
	return NULL;
}

static void
callers_run(struct world *world, struct caller_thread *callers, unsigned count,
    uint64_t gap_ns, _Atomic bool *stopping)
{
	unsigned i;

	for (i = 0; i < count; i++) {
		memset(&callers[i], 0, sizeof(callers[i]));
		callers[i].world = world;
		callers[i].stopping = stopping;
		callers[i].gap_ns = gap_ns;
		callers[i].number = i;
		pthread_create(&callers[i].thread, NULL, call, &callers[i]);
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

static double
cache_share(struct world *world)
{
	double hits = 0, misses = 0;
	char name[WORLD_NAME_BYTES];
	unsigned i;

	for (i = 1; i <= world->shape.engines; i++) {
		snprintf(name, sizeof(name), "engine-%u", i);
		if (world_proc(world, name)->pid == 0)
			continue;
		hits += (double)world_get(world, name, "cache_hits");
		misses += (double)world_get(world, name, "cache_misses");
	}
	return hits + misses > 0 ? hits / (hits + misses) : 0;
}

static void
world_make(struct world *world, const struct deployment *deployment,
    const char *policy)
{
	char extra[256];
	struct world_shape shape = {.entries = 2,
	    .engines = deployment->engines,
	    .services = deployment->services,
	    .domains = deployment->domains,
	    .models = "m,n,c",
	    .slots = 32,
	    .reserve = 4,
	    .engine_args = extra,
	    .policy = policy};

	snprintf(extra, sizeof(extra),
	    "--token_us %d --batch_us %d --prefill_us 300 --length_median %d "
	    "--length_spread %d",
	    TOKEN_US, BATCH_US, LENGTH_MEDIAN, LENGTH_SPREAD);
	shape.lists = domain_lists(deployment);
	if (world_start(world, &shape, BASE_PORT) == 0) {
		world_publish(world, "n", 1);
		return;
	}
	fprintf(stderr, "the world did not start\n");
	world_stop(world);
	exit(1);
}

static const char *
domain_lists(const struct deployment *deployment)
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
