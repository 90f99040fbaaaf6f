/*
 * Unit tests of placement: expected ends, moves and causes of connections, on
 * tables of cases and in a small simulation of uneven upstreams.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <CUnit/CUnit.h>

#include "../../platform/platform.h"
#include "kwb_node.h"

#define COUNT(table) (sizeof(table) / sizeof((table)[0]))
#define MS KWB_MS_NS

static void
test_pace_run(void)
{
	static const struct {
		const char *name;
		struct kwb_pace_view view;
		uint64_t expected_ms; /* for 40 units */
	} cases[] = {
	    {"nothing known", {.slots = 4}, 0},
	    {"service's pace", {.service_ns = 30 * MS, .slots = 4}, 1200},
	    {"own speed before the service's",
		{.usual_ns = 50 * MS, .service_ns = 30 * MS, .slots = 4}, 2000},
	    {"full", {.usual_ns = 20 * MS, .load = 4, .slots = 4}, 1280},
	    {"a new slow phase ends soon",
		{.usual_ns = 20 * MS,
		    .recent_ns = 50 * MS,
		    .slow_ns = 200 * MS,
		    .slots = 4},
		920},
	    {"an old one goes on",
		{.usual_ns = 20 * MS,
		    .recent_ns = 50 * MS,
		    .slow_ns = 3000 * MS,
		    .slots = 4},
		2000},
	    {"not measured since",
		{.usual_ns = 20 * MS,
		    .recent_ns = 50 * MS,
		    .slow_ns = 200 * MS,
		    .recent_age_ns = 300 * MS,
		    .slots = 4},
		800},
	    {"reported slow",
		{.usual_ns = 20 * MS,
		    .percent = 250,
		    .usual_percent = 100,
		    .slots = 4},
		1040},
	    {"that report is old",
		{.usual_ns = 20 * MS,
		    .percent = 250,
		    .usual_percent = 100,
		    .percent_age_ns = 2 * KWB_REPORT_TTL_NS,
		    .slots = 4},
		800},
	    {"reported fast, which draws no work",
		{.usual_ns = 20 * MS,
		    .percent = 1,
		    .usual_percent = 1,
		    .slots = 4},
		800},
	    {"absurd report, which counts for a moment",
		{.usual_ns = 20 * MS,
		    .percent = 4000000000u,
		    .usual_percent = 1,
		    .slots = 4},
		1100},
	};
	unsigned i;

	for (i = 0; i < COUNT(cases); i++)
		if (kwb_pace_run_ns(&cases[i].view, 40) / MS !=
		    cases[i].expected_ms)
			CU_FAIL(cases[i].name);
}

static void
test_units_left(void)
{
	static const struct {
		uint64_t hint;
		uint64_t per_unit;
		uint64_t done;
		uint64_t left;
	} cases[] = {{1000, 50, 0, 20}, {1000, 50, 8, 12}, {1000, 50, 20, 11},
	    {1000, 50, 40, 21}, {0, 50, 0, 1}, {1000, 0, 10, 6}};
	unsigned i;

	for (i = 0; i < COUNT(cases); i++)
		CU_ASSERT_EQUAL(kwb_units_left(cases[i].hint, cases[i].per_unit,
				    cases[i].done),
		    cases[i].left);
}

static void
test_move_pays(void)
{
	static const struct {
		const char *name;
		struct kwb_move_terms terms;
		bool pays;
	} cases[] = {
	    {"far sooner", {.stay_ns = 2000 * MS, .move_ns = 800 * MS}, true},
	    {"hardly sooner", {.stay_ns = 1000 * MS, .move_ns = 850 * MS},
		false},
	    {"short", {.stay_ns = 120 * MS, .move_ns = 40 * MS}, false},
	    {"the step takes longer anyhow",
		{.stay_ns = 2000 * MS,
		    .move_ns = 800 * MS,
		    .step_least_ns = 2500 * MS},
		false},
	    {"moved often",
		{.stay_ns = 2000 * MS,
		    .move_ns = 800 * MS,
		    .moves = KWB_MOVES_MAX},
		false},
	};
	unsigned i;

	for (i = 0; i < COUNT(cases); i++)
		if (kwb_move_pays(&cases[i].terms) != cases[i].pays)
			CU_FAIL(cases[i].name);
}

/* A service whose upstreams tell nothing of their pace is served as before. */
static void
test_reports_slowness(void)
{
	struct kwb_upstream_status status = {
	    .id = "u1", .service = "engine", .failure_domain = "z"};
	struct kwb_upstream_answer answer = {
	    .has_load = true, .running = 1, .slots = 4};
	struct kwb_registry registry;
	struct kwb_upstream *upstream;

	kwb_registry_init(&registry);
	upstream = kwb_registry_put(&registry, &status);
	kwb_upstream_record_report(upstream, &answer);
	CU_ASSERT(!kwb_registry_reports_slowness(&registry, "engine"));
	answer.slowness_percent = 130;
	kwb_upstream_record_report(upstream, &answer);
	CU_ASSERT(kwb_registry_reports_slowness(&registry, "engine"));
	CU_ASSERT(!kwb_registry_reports_slowness(&registry, "other"));
	answer.slowness_percent = 0;
	kwb_upstream_record_report(upstream, &answer);
	CU_ASSERT(kwb_registry_reports_slowness(&registry, "engine"));
	kwb_registry_finish(&registry);
}

/*
 * A step of long and short texts at upstreams of two speeds, each slowed to
 * 2.5 times its pace for 0.6 s now and then, one for good.
 */
#define SIM_UPSTREAMS 12
#define SIM_ITEMS 48
#define SIM_TICK_MS 50
#define SIM_RUNS 20

struct sim_upstream {
	uint64_t usual_ns;
	uint64_t slow_since_ms;
	uint64_t slow_until_ms;
};

struct sim_item {
	double left; /* units */
	unsigned upstream;
	uint32_t moves;
};

static uint64_t
sim_pace_ns(const struct sim_upstream *upstream, uint64_t now_ms)
{
	return now_ms < upstream->slow_until_ms ? upstream->usual_ns * 5 / 2
						: upstream->usual_ns;
}

static uint64_t
sim_run_ns(const struct sim_upstream *upstream, double units, uint64_t now_ms)
{
	struct kwb_pace_view view = {.usual_ns = upstream->usual_ns,
	    .recent_ns = sim_pace_ns(upstream, now_ms),
	    .slots = 6};

	if (now_ms < upstream->slow_until_ms)
		view.slow_ns = (now_ms - upstream->slow_since_ms) * MS;
	return kwb_pace_run_ns(&view, (uint64_t)units + 1);
}

static bool
sim_moves(const struct sim_upstream *from, const struct sim_upstream *to,
    const struct sim_item *item, uint64_t least_ns, uint64_t now_ms,
    bool by_end)
{
	struct kwb_move_input input = {.pace_ns = sim_pace_ns(from, now_ms),
	    .best_pace_ns = sim_pace_ns(to, now_ms),
	    .moves = item->moves,
	    .elapsed_ns = KWB_MOVE_MIN_NS};
	struct kwb_move_terms terms = {
	    .stay_ns = sim_run_ns(from, item->left, now_ms),
	    .move_ns = sim_run_ns(to, item->left, now_ms) + KWB_MOVE_START_NS,
	    .step_least_ns = least_ns,
	    .moves = item->moves};

	return by_end ? kwb_move_pays(&terms) : kwb_move_is_worthwhile(&input);
}

/* Returns when the step ends, in ms. */
static uint64_t
simulate_step(unsigned seed, bool by_end, unsigned *moves)
{
	struct sim_upstream upstreams[SIM_UPSTREAMS] = {{0}};
	struct sim_item items[SIM_ITEMS] = {{0}};
	uint64_t now_ms;
	unsigned open = 1;
	unsigned i;

	for (i = 0; i < SIM_UPSTREAMS; i++)
		upstreams[i].usual_ns = i % 3 == 0 ? 50 * MS : 21 * MS;
	upstreams[1].slow_until_ms = UINT64_MAX; /* for good */
	for (i = 0; i < SIM_ITEMS; i++)
		items[i] = (struct sim_item){
		    .left = i % 8 == 0 ? 90 : 5 + (double)(rand_r(&seed) % 40),
		    .upstream = i % SIM_UPSTREAMS};
	for (now_ms = 0; open > 0; now_ms += SIM_TICK_MS) {
		double longest = 0;

		for (i = 0; i < SIM_UPSTREAMS; i++)
			if (now_ms >= upstreams[i].slow_until_ms &&
			    rand_r(&seed) % 40 == 0) {
				upstreams[i].slow_since_ms = now_ms;
				upstreams[i].slow_until_ms = now_ms + 600;
			}
		for (i = 0; i < SIM_ITEMS; i++)
			if (items[i].left > longest)
				longest = items[i].left;
		for (i = open = 0; i < SIM_ITEMS; i++) {
			struct sim_item *item = &items[i];
			unsigned to = rand_r(&seed) % SIM_UPSTREAMS;

			if (item->left <= 0)
				continue;
			open++;
			if (now_ms % 200 == 0 &&
			    sim_moves(&upstreams[item->upstream],
				&upstreams[to], item,
				(uint64_t)(longest * 21 * MS), now_ms,
				by_end)) {
				item->upstream = to;
				item->moves++;
				(*moves)++;
				continue; /* it reads its prompt again */
			}
			item->left -= SIM_TICK_MS * (double)MS /
			    (double)sim_pace_ns(
				&upstreams[item->upstream], now_ms);
		}
	}
	return now_ms;
}

static void
test_moves_under_uneven_pace(void)
{
	unsigned moves_by_pace = 0;
	unsigned moves_by_end = 0;
	uint64_t by_pace_ms = 0;
	uint64_t by_end_ms = 0;
	unsigned i;

	for (i = 1; i <= SIM_RUNS; i++) {
		by_pace_ms += simulate_step(i, false, &moves_by_pace);
		by_end_ms += simulate_step(i, true, &moves_by_end);
	}
	/* Half of the moves, and steps that end as soon. */
	CU_ASSERT(moves_by_end * 2 < moves_by_pace);
	CU_ASSERT(by_end_ms * 100 <= by_pace_ms * 105);
	if (getenv("KWB_PLAY") != NULL)
		printf("moves: by pace %u, steps %llu ms; by end %u, %llu ms\n",
		    moves_by_pace, (unsigned long long)by_pace_ms / SIM_RUNS,
		    moves_by_end, (unsigned long long)by_end_ms / SIM_RUNS);
}

static void
fill_upstream(struct kwb_registry *registry, const char *id,
    uint64_t incarnation_ms, uint64_t baseline_ms)
{
	struct kwb_upstream_model model = {.name = "m"};
	struct kwb_upstream_status status = {.id = (char *)id,
	    .service = "s",
	    .failure_domain = "z",
	    .slots = 4,
	    .incarnation_ms = incarnation_ms,
	    .models = {.list = &model, .count = 1}};
	struct kwb_upstream *upstream;

	upstream = kwb_registry_put(registry, &status);
	if (baseline_ms == 0)
		return;
	upstream->baseline_pace_ns = baseline_ms * MS;
	upstream->pace_ns = upstream->baseline_pace_ns;
	upstream->pace_updated_ns = kwb_clock_now_ns() - 2 * KWB_PACE_TTL_NS;
}

/*
 * An upstream that is slow by nature is not chosen after a pause without
 * measurements, until it restarts and is unknown again.
 */
static void
test_speed_of_a_life(void)
{
	struct kwb_upstream_answer slow = {
	    .has_load = true, .slowness_percent = 170};
	struct kwb_pick_criteria pick = {
	    .service = "s", .model = "m", .units = 20};
	struct kwb_registry registry;
	struct kwb_upstream *upstream;
	unsigned i;

	kwb_registry_init(&registry);
	fill_upstream(&registry, "slow", 1, 50);
	fill_upstream(&registry, "fast", 1, 20);
	pick.now_ns = kwb_clock_now_ns();
	for (i = 0; i < 4; i++) {
		pick.random = i;
		upstream = kwb_upstream_pick(&registry, &pick);
		CU_ASSERT_STRING_EQUAL(upstream->status.id, "fast");
	}
	upstream = kwb_registry_find(&registry, "slow");
	kwb_upstream_record_report(upstream, &slow);
	CU_ASSERT_EQUAL(upstream->usual_percent, 170);
	fill_upstream(&registry, "slow", 2, 0);
	CU_ASSERT_EQUAL(upstream->baseline_pace_ns, 0);
	CU_ASSERT_EQUAL(upstream->usual_percent, 0);
	kwb_registry_finish(&registry);
}

/*
 * Short and long prompts together at upstreams that read prompts in turn, and
 * generate at half their pace meanwhile. Aims are for the first event.
 */
#define MIX_UPSTREAMS 8
#define MIX_SLOTS 6
#define MIX_MS 20000
#define MIX_TOKENS_PER_MS 200
#define MIX_UNIT_MS 20
#define MIX_UNITS 15
#define MIX_SHORT_TOKENS 200
#define MIX_LONG_TOKENS 40000
#define MIX_SHORT_AIM_MS 150
#define MIX_LONG_AIM_MS 700

struct mix_request {
	struct kwb_upstream *upstream; /* NULL when not in use */
	uint64_t start_ms;
	uint64_t unread;
	double units;
	bool is_long;
};

struct mix_result {
	unsigned count[2]; /* by is_long */
	unsigned in_aim[2];
};

static struct kwb_upstream *
mix_pick(const struct kwb_registry *registry, bool is_long, bool by_prompt,
    unsigned *seed)
{
	struct kwb_pick_criteria pick = {.service = "s",
	    .model = "m",
	    .units = MIX_UNITS,
	    .needs_free_slot = true,
	    .now_ns = kwb_clock_now_ns(),
	    .random = (uint64_t)rand_r(seed)};

	if (by_prompt)
		pick.prompt_tokens =
		    is_long ? MIX_LONG_TOKENS : MIX_SHORT_TOKENS;
	return kwb_upstream_pick(registry, &pick);
}

static void
mix_start(struct mix_request *request, struct kwb_upstream *upstream,
    bool is_long, bool by_prompt, uint64_t now_ms)
{
	*request = (struct mix_request){.upstream = upstream,
	    .start_ms = now_ms,
	    .unread = is_long ? MIX_LONG_TOKENS : MIX_SHORT_TOKENS,
	    .units = MIX_UNITS,
	    .is_long = is_long};
	upstream->in_flight++;
	if (by_prompt)
		upstream->unread_tokens += request->unread;
}

/* One ms of one upstream: reads the oldest prompt, generates for the others. */
static void
mix_step(struct mix_request *requests, unsigned count,
    const struct kwb_upstream *upstream, bool by_prompt, uint64_t now_ms,
    struct mix_result *result)
{
	struct mix_request *reading = NULL;
	uint64_t read;
	unsigned i;

	for (i = 0; i < count; i++)
		if (requests[i].upstream == upstream &&
		    requests[i].unread > 0 &&
		    (reading == NULL ||
			requests[i].start_ms < reading->start_ms))
			reading = &requests[i];
	if (reading != NULL) {
		read = reading->unread < MIX_TOKENS_PER_MS ? reading->unread
							   : MIX_TOKENS_PER_MS;
		reading->unread -= read;
		if (by_prompt)
			reading->upstream->unread_tokens -= read;
		if (reading->unread == 0) {
			result->count[reading->is_long]++;
			result->in_aim[reading->is_long] +=
			    now_ms - reading->start_ms + MIX_UNIT_MS <=
			    (reading->is_long ? MIX_LONG_AIM_MS
					      : MIX_SHORT_AIM_MS);
		}
	}
	for (i = 0; i < count; i++) {
		if (requests[i].upstream != upstream || requests[i].unread > 0)
			continue;
		requests[i].units -=
		    (reading != NULL ? 0.5 : 1.0) / MIX_UNIT_MS;
		if (requests[i].units > 0)
			continue;
		requests[i].upstream->in_flight--;
		requests[i].upstream = NULL;
	}
}

static void
mix_play(unsigned percent, bool by_prompt, struct mix_result *result)
{
	struct mix_request requests[MIX_UPSTREAMS * MIX_SLOTS] = {{0}};
	struct kwb_registry registry;
	unsigned seed = percent;
	uint64_t now_ms;
	unsigned i;

	memset(result, 0, sizeof(*result));
	kwb_registry_init(&registry);
	for (i = 0; i < MIX_UPSTREAMS; i++) {
		char id[8] = {(char)('a' + i), '\0'};

		fill_upstream(&registry, id, 1, MIX_UNIT_MS);
		registry.upstreams[i]->status.slots = MIX_SLOTS;
		registry.upstreams[i]->read_ns_per_token =
		    MS / MIX_TOKENS_PER_MS;
	}
	for (now_ms = 0; now_ms < MIX_MS; now_ms++) {
		/* A generation holds a slot for 0.4 s or so. */
		bool arrives = (unsigned)rand_r(&seed) % 40000 < percent * 48;
		bool is_long = rand_r(&seed) % 10 == 0;
		struct kwb_upstream *upstream = arrives
		    ? mix_pick(&registry, is_long, by_prompt, &seed)
		    : NULL;

		for (i = 0; upstream != NULL && i < COUNT(requests); i++)
			if (requests[i].upstream == NULL) {
				mix_start(&requests[i], upstream, is_long,
				    by_prompt, now_ms);
				break;
			}
		for (i = 0; i < MIX_UPSTREAMS; i++)
			mix_step(requests, COUNT(requests),
			    registry.upstreams[i], by_prompt, now_ms, result);
	}
	kwb_registry_finish(&registry);
}

static void
test_long_and_short_prompts(void)
{
	static const unsigned loads[] = {30, 50, 70};
	struct mix_result blind;
	struct mix_result aware;
	unsigned i;
	unsigned kind;

	for (i = 0; i < COUNT(loads); i++) {
		mix_play(loads[i], false, &blind);
		mix_play(loads[i], true, &aware);
		if (getenv("KWB_PLAY") != NULL)
			for (kind = 0; kind < 2; kind++)
				printf("prompts: load %u %s: in aim %u of %u, "
				       "by prompt %u of %u\n",
				    loads[i], kind ? "long" : "short",
				    blind.in_aim[kind], blind.count[kind],
				    aware.in_aim[kind], aware.count[kind]);
		/* 98 % of either kind meet their aims at each load. */
		for (kind = 0; kind < 2; kind++)
			CU_ASSERT(
			    aware.in_aim[kind] * 100 >= aware.count[kind] * 98);
	}
}

static void
test_load_header(void)
{
	static const struct {
		const char *text;
		bool has_load;
		uint32_t slowness_percent;
	} cases[] = {{"3,1,6,170", true, 170}, {"3,1,6", true, 0},
	    {"3,1,6,", true, 0}, {"3,1,6,x", true, 0}, {"3,1", false, 0},
	    {"", false, 0}};
	struct kwb_message message;
	struct kwb_upstream_answer answer;
	unsigned i;

	for (i = 0; i < COUNT(cases); i++) {
		kwb_message_init(&message);
		kwb_message_add_header(&message, "Server-Load", cases[i].text);
		platform_message_codec.parse_answer(&message, &answer);
		CU_ASSERT_EQUAL(answer.has_load, cases[i].has_load);
		CU_ASSERT_EQUAL(
		    answer.slowness_percent, cases[i].slowness_percent);
		kwb_message_finish(&message);
	}
}

static void
test_conn_causes(void)
{
	static struct kwb_conn_history history;
	struct kwb_address a = {.ip = "127.0.0.1", .port = 1};
	struct kwb_address b = {.ip = "127.0.0.1", .port = 2};

	CU_ASSERT_EQUAL(
	    kwb_conn_history_open(&history, &a, false), KWB_CONN_FIRST);
	CU_ASSERT_EQUAL(
	    kwb_conn_history_open(&history, &a, false), KWB_CONN_BUSY);
	kwb_conn_history_end(&history, &a, KWB_CONN_CUT);
	CU_ASSERT_EQUAL(
	    kwb_conn_history_open(&history, &a, false), KWB_CONN_CUT);
	kwb_conn_history_end(&history, &a, KWB_CONN_IDLE);
	CU_ASSERT_EQUAL(
	    kwb_conn_history_open(&history, &a, true), KWB_CONN_NOT_REPEATABLE);
	CU_ASSERT_EQUAL(
	    kwb_conn_history_open(&history, &b, false), KWB_CONN_FIRST);
}

extern unsigned placement_tests_add(CU_pSuite suite);

unsigned
placement_tests_add(CU_pSuite suite)
{
	static const struct {
		const char *name;
		void (*run)(void);
	} tests[] = {{"pace_run", test_pace_run},
	    {"units_left", test_units_left}, {"move_pays", test_move_pays},
	    {"moves_under_uneven_pace", test_moves_under_uneven_pace},
	    {"speed_of_a_life", test_speed_of_a_life},
	    {"long_and_short_prompts", test_long_and_short_prompts},
	    {"load_header", test_load_header},
	    {"reports_slowness", test_reports_slowness},
	    {"conn_causes", test_conn_causes}};
	unsigned i;

	for (i = 0; i < COUNT(tests); i++)
		if (CU_add_test(suite, tests[i].name, tests[i].run) == NULL)
			abort();
	return COUNT(tests);
}
