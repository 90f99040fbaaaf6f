/*
 * Unit tests, without processes or sockets: decisions over tables of cases,
 * frames, lists, settings and the log.
 */
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>

#include "../src/wire/wire.h"
#include "../src/core/yaml.h"
#include "kwb.h"

#define LOG_LINES 20000
#define LOG_LINE_MAX_NS                                                        \
	(50 * 1000) /* ten times the usual time, for busy machines */
#define COUNT(table) (sizeof(table) / sizeof((table)[0]))

static void
test_route(void)
{
	static const struct {
		const char *name;
		struct kwb_route_query route;
		struct kwb_candidate candidates[3];
		int index;
		int error;
	} cases[] = {
	    {"no upstream is usable", {.exclude = -1}, {{.vm = "a"}}, -1,
		KWB_ERR_ROUTE_NO_UPSTREAM},
	    {"weights are too old", {.exclude = -1, .min_version = 5},
		{{.vm = "a",
		    .usable = true,
		    .version = 4,
		    .units = 1,
		    .slots = 1}},
		-1, KWB_ERR_ROUTE_NO_UPSTREAM},
	    {"the plan's units are used up", {.exclude = -1},
		{{.vm = "a",
		    .usable = true,
		    .units = 2,
		    .plan_in_flight = 2,
		    .slots = 9}},
		-1, KWB_ERR_ROUTE_FULL},
	    {"a swapping upstream is skipped", {.exclude = -1},
		{{.vm = "a",
		     .usable = true,
		     .units = 2,
		     .slots = 9,
		     .swapping = true},
		    {.vm = "b", .usable = true, .units = 2, .slots = 9}},
		1, 0},
	    {"the excluded upstream is skipped", {.exclude = 1},
		{{.vm = "a", .usable = true, .units = 2, .slots = 9},
		    {.vm = "b", .usable = true, .units = 2, .slots = 9}},
		0, 0},
	    {"least load", {.exclude = -1, .policy = KWB_POLICY_LEAST_LOAD},
		{{.vm = "a",
		     .usable = true,
		     .units = 9,
		     .slots = 9,
		     .in_flight = 4},
		    {.vm = "b",
			.usable = true,
			.units = 9,
			.slots = 9,
			.in_flight = 2},
		    {.vm = "c",
			.usable = true,
			.units = 9,
			.slots = 9,
			.in_flight = 3}},
		1, 0},
	    {"full slots don't stop priority requests",
		{.exclude = -1, .priority = true},
		{{.vm = "a",
		    .usable = true,
		    .units = 9,
		    .slots = 4,
		    .in_flight = 4}},
		0, 0},
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct kwb_choice choice =
		    kwb_route_pick(&cases[i].route, cases[i].candidates, 3);

		if (choice.index != cases[i].index ||
		    choice.error != cases[i].error)
			fprintf(stderr, "route: %s\n", cases[i].name);
		CU_ASSERT_EQUAL(choice.index, cases[i].index);
		CU_ASSERT_EQUAL(choice.error, cases[i].error);
		CU_ASSERT_PTR_NOT_NULL(choice.reason);
	}
}

/*
 * The samples of a group share a prompt: whatever the random number, they go to
 * the same upstream, so that its prefix cache is used, until that has too much
 * load.
 */
static void
test_route_affinity(void)
{
	struct kwb_candidate candidates[8] = {0};
	struct kwb_route_query route = {
	    .affinity_key = "a prompt", .exclude = -1};
	static const char *const names[] = {
	    "a", "b", "c", "d", "e", "f", "g", "h"};
	int first = -1;
	unsigned i;

	for (i = 0; i < 8; i++) {
		candidates[i].vm = names[i];
		candidates[i].usable = true;
		candidates[i].units = 8;
		candidates[i].slots = 8;
	}
	for (i = 0; i < 50; i++) {
		struct kwb_choice choice;

		route.random = i * 0x9e3779b97f4a7c15ull;
		choice = kwb_route_pick(&route, candidates, 8);
		if (first < 0)
			first = choice.index;
		CU_ASSERT_EQUAL(choice.index, first);
	}
	candidates[first].in_flight = 7;
	CU_ASSERT_NOT_EQUAL(kwb_route_pick(&route, candidates, 8).index, first);
}

/*
 * Agents update their units one at a time, in any order and under any load.
 * Their sum must never exceed the allowance, unless that was lowered, and must
 * reach it once no requests run.
 */
static void
test_share_sum(void)
{
	unsigned seed, state;

	for (seed = 1; seed <= 200; seed++) {
		struct kwb_share_member members[12] = {0};
		unsigned count = 1 + seed % 12, i, round;
		uint32_t allowance = seed % 50, sum, running[12] = {0};

		/* One agent holds all units at first, as after a cold start. */
		members[0].units = allowance;
		state = seed;
		for (i = 0; i < count; i++)
			snprintf(
			    members[i].vm, sizeof(members[i].vm), "vm-%u", i);
		for (round = 0; round < 400; round++) {
			unsigned self = (unsigned)rand_r(&state) % count;
			uint32_t units = members[self].units;

			if (round == 200)
				allowance = allowance * 2 / 3;
			if (round < 50)
				running[self] = units;
			else if (units > 0 && round < 300)
				running[self] =
				    (uint32_t)rand_r(&state) % (units + 1);
			else
				running[self] = 0;
			members[self].units = kwb_share_next(allowance,
			    "quotes", members, count, self, running[self]);
			sum = 0;
			for (i = 0; i < count; i++)
				sum += members[i].units;
			if (round < 200)
				CU_ASSERT(sum <= allowance);
		}
		CU_ASSERT_EQUAL(sum, allowance);
	}
}

static void
test_share_holders(void)
{
	static const struct {
		uint32_t allowance;
		unsigned members;
		uint32_t holders;
	} cases[] = {
	    {24, 8, 8},
	    {64, 9, 9},
	    {2048, 3400, 256},
	    {100, 3400, 32},
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++)
		CU_ASSERT_EQUAL(
		    kwb_share_holders(cases[i].allowance, cases[i].members),
		    cases[i].holders);
}

/* Retries stay within KWB_RETRY_PERCENT of the calls, plus a burst. */
static void
test_retry_budget(void)
{
	struct kwb_retry_budget budget;
	unsigned i, retries = 0;

	kwb_retry_budget_init(&budget);
	for (i = 0; i < 1000; i++) {
		kwb_retry_budget_add_try(&budget);
		while (kwb_retry_budget_take(&budget))
			retries++;
	}
	CU_ASSERT(retries <= 1000 * KWB_RETRY_PERCENT / 100 + KWB_RETRY_BURST);
	CU_ASSERT(retries >= 1000 * KWB_RETRY_PERCENT / 100);
	kwb_retry_budget_finish(&budget);
}

static void
test_sample_freshness(void)
{
	static const struct {
		struct kwb_sample_age age;
		bool fresh;
	} cases[] = {
	    {{5, 5, 0}, true},
	    {{5, 4, 0}, false},
	    {{5, 3, 2}, true},
	    {{5, 2, 2}, false},
	    {{1, 9, 0}, true},
	    {{5, UINT64_MAX - 9, 1}, true},
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++)
		CU_ASSERT_EQUAL(
		    kwb_sample_is_fresh(&cases[i].age), cases[i].fresh);
}

static void
test_hedge(void)
{
	static const struct kwb_hedge_input usual = {.idle_units = 1,
	    .silent_ns = 2000 * KWB_MS_NS,
	    .token_ns = 3 * KWB_MS_NS,
	    .generated_tokens = 1000};
	struct kwb_hedge_input input = usual;

	CU_ASSERT(kwb_hedge_is_due(&input));
	input.unstarted = 1;
	CU_ASSERT_FALSE(kwb_hedge_is_due(&input));
	input = usual;
	input.idle_units = 0;
	CU_ASSERT_FALSE(kwb_hedge_is_due(&input));
	input = usual;
	input.silent_ns = 100 * KWB_MS_NS;
	CU_ASSERT_FALSE(kwb_hedge_is_due(&input));
	input = usual;
	input.wasted_tokens = 1000;
	CU_ASSERT_FALSE(kwb_hedge_is_due(&input));
}

static void
test_swap_order(void)
{
	static const struct {
		const char *name;
		struct kwb_swap swap;
		struct kwb_swap_server servers[4];
		int index;
	} cases[] = {
	    {"least in flight first", {2, 0, KWB_OBJECTIVE_IDLE},
		{{true, false, 1, 5}, {true, false, 1, 2}, {true, false, 1, 9},
		    {true, false, 1, 3}},
		1},
	    {"at most a quarter swaps at a time", {2, 0, KWB_OBJECTIVE_IDLE},
		{{true, true, 1, 5}, {true, false, 1, 2}, {true, false, 1, 9},
		    {true, false, 1, 3}},
		-1},
	    {"at most half swap, to limit staleness",
		{2, 0, KWB_OBJECTIVE_STALENESS},
		{{true, true, 1, 5}, {true, false, 1, 2}, {true, false, 1, 9},
		    {true, false, 1, 3}},
		1},
	    {"a failed swap is repeated", {2, 0, KWB_OBJECTIVE_IDLE},
		{{true, false, 2, 5}, {false, false, 1, 2}, {true, false, 2, 9},
		    {true, false, 0, 30}},
		3},
	    {"a busy server waits", {3, 1, KWB_OBJECTIVE_IDLE},
		{{true, false, 2, 5}, {true, false, 2, 1}, {true, false, 2, 9},
		    {true, false, 3, 0}},
		-1},
	    {"an idle server doesn't wait", {3, 1, KWB_OBJECTIVE_IDLE},
		{{true, false, 2, 5}, {true, false, 2, 1}, {true, false, 2, 0},
		    {true, false, 3, 0}},
		2},
	    {"a server without slack doesn't wait", {3, 1, KWB_OBJECTIVE_IDLE},
		{{true, false, 1, 5}, {true, false, 2, 1}, {true, false, 2, 9},
		    {true, false, 3, 0}},
		0},
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		int index = kwb_swap_pick(&cases[i].swap, cases[i].servers, 4);

		if (index != cases[i].index)
			fprintf(stderr, "swap: %s\n", cases[i].name);
		CU_ASSERT_EQUAL(index, cases[i].index);
	}
}

/*
 * An entry's subset of agents: three quarters in its own failure domain, the
 * others in every other domain, and the same choice on each call.
 */
static void
test_subset(void)
{
	static struct kwb_vms vms;
	uint32_t chosen[64], again[64];
	unsigned i, count, same_domain_count = 0;
	bool has_domain[5] = {false};

	vms.count = 100;
	for (i = 0; i < 100; i++) {
		snprintf(vms.vms[i].vm, sizeof(vms.vms[i].vm), "llm-%u", i);
		snprintf(vms.vms[i].failure_domain,
		    sizeof(vms.vms[i].failure_domain), "fd-%u", i % 5);
		strcpy(vms.vms[i].role, "agent");
		strcpy(vms.vms[i].pool, "llm");
	}
	count = kwb_subset_select(&vms, "entry-1", "fd-3", 16, chosen, 64);
	CU_ASSERT_EQUAL(count, 16);
	for (i = 0; i < count; i++) {
		same_domain_count += chosen[i] % 5 == 3;
		has_domain[chosen[i] % 5] = true;
	}
	CU_ASSERT_EQUAL(same_domain_count, 12);
	for (i = 0; i < 5; i++)
		CU_ASSERT(has_domain[i]);
	CU_ASSERT_EQUAL(
	    kwb_subset_select(&vms, "entry-1", "fd-3", 16, again, 64), 16);
	CU_ASSERT_EQUAL(memcmp(chosen, again, 16 * sizeof(*chosen)), 0);
	CU_ASSERT_EQUAL(
	    kwb_holders_select(&vms, "llm", "quotes", 8, chosen, 64), 8);
	CU_ASSERT_EQUAL(
	    kwb_holders_select(&vms, "shop", "quotes", 8, chosen, 64), 0);
}

/* Two entries that start in the same millisecond must make different keys. */
static void
test_key_uniqueness(void)
{
	static const struct kwb_origin origins[] = {
	    {"entry-1", 1764841500000123ull}, {"entry-2", 1764841500000123ull}};
	char name[KWB_NAME_MAX_BYTES], calls[2][KWB_KEY_MAX_BYTES];
	char starts[2][KWB_KEY_MAX_BYTES];
	struct kwb_origin longest = {name, UINT64_MAX};
	unsigned i;

	for (i = 0; i < 2; i++) {
		kwb_call_key_print(
		    calls[i], sizeof(calls[i]), &origins[i], "orders", 7);
		kwb_generation_key_print(
		    starts[i], sizeof(starts[i]), &origins[i], "s/quotes/1", 1);
	}
	CU_ASSERT_STRING_NOT_EQUAL(calls[0], calls[1]);
	CU_ASSERT_STRING_NOT_EQUAL(starts[0], starts[1]);
	/* With names of full length, the number must not be cut off. */
	memset(name, 'n', sizeof(name) - 1);
	name[sizeof(name) - 1] = '\0';
	kwb_call_key_print(
	    calls[0], sizeof(calls[0]), &longest, name, UINT64_MAX);
	kwb_call_key_print(
	    calls[1], sizeof(calls[1]), &longest, name, UINT64_MAX - 1);
	CU_ASSERT_STRING_NOT_EQUAL(calls[0], calls[1]);
}

/* A ticket that is printed is parsed again; malformed ones are refused. */
static void
test_ticket(void)
{
	static const char *const bad[] = {"", "kwb1", "kwb1.a.1.2.",
	    "kwb2.a.1.2.k", "kwb1.a.x.2.k", "kwb1..1.2.k",
	    "kwb1.a.1.2.k and more"};
	struct kwb_pin pin = {"shop-1", 17, 1234, "m/orders/1.2/3"}, back;
	struct kwb_buf text;
	size_t i;

	kwb_buf_init(&text);
	kwb_ticket_print(&pin, &text);
	CU_ASSERT_EQUAL(kwb_ticket_parse(&back, text.data), 0);
	CU_ASSERT_STRING_EQUAL(back.vm, pin.vm);
	CU_ASSERT_STRING_EQUAL(back.key, pin.key);
	CU_ASSERT_EQUAL(back.incarnation, pin.incarnation);
	CU_ASSERT_EQUAL(back.minted_ms, pin.minted_ms);
	kwb_buf_finish(&text);
	for (i = 0; i < COUNT(bad); i++)
		CU_ASSERT_EQUAL(
		    kwb_ticket_parse(&back, bad[i]), KWB_ERR_ARGUMENT);
}

/* A frame that arrives byte by byte; oversized, malformed and partial ones. */
static void
test_frames(void)
{
	static const struct {
		const char *bytes;
		size_t length_bytes;
		int result;
	} bad[] = {
	    {"\xff\xff\xff\xff", 4, KWB_ERR_WIRE_SIZE},
	    {"\0\0\0\2\xff\xff", 6, KWB_ERR_WIRE_FRAME},
	    {"\0\0\0\0", 4, KWB_ERR_WIRE_FRAME},
	    {"\0\0\0\5\x22", 5, 0},
	    {"\0\0", 2, 0},
	};
	Kwb__Wire__Query query = KWB__WIRE__QUERY__INIT;
	KWB_FRAME_DECLARE(frame, QUERY, query, query);
	Kwb__Wire__Frame *out;
	struct kwb_buf packed, in;
	size_t i;
	int result = 0;

	query.request = 7;
	query.key = "k";
	kwb_buf_init(&packed);
	kwb_buf_init(&in);
	CU_ASSERT_EQUAL(kwb_frame_pack(&frame, &packed), 0);
	for (i = 0; i < packed.used_bytes; i++) {
		CU_ASSERT_EQUAL(result, 0);
		kwb_buf_add(&in, packed.data + i, 1);
		result = kwb_frame_unpack(&in, &out);
	}
	CU_ASSERT_EQUAL(result, 1);
	CU_ASSERT_EQUAL(out->query->request, 7);
	kwb_frame_free(out);
	CU_ASSERT_EQUAL(in.used_bytes, 0);
	for (i = 0; i < COUNT(bad); i++) {
		in.used_bytes = 0;
		kwb_buf_add(&in, bad[i].bytes, bad[i].length_bytes);
		CU_ASSERT_EQUAL(kwb_frame_unpack(&in, &out), bad[i].result);
		CU_ASSERT_PTR_NULL(out);
	}
	kwb_buf_finish(&packed);
	kwb_buf_finish(&in);
}

/* Frames of random bytes: no crash, and every frame is consumed. */
static void
test_frames_random(void)
{
	unsigned state = 5, round;

	for (round = 0; round < 20000; round++) {
		struct kwb_buf in;
		Kwb__Wire__Frame *out;
		unsigned length = 1 + (unsigned)rand_r(&state) % 64, i;
		char header[4] = {0, 0, 0, (char)length};
		char byte;

		kwb_buf_init(&in);
		kwb_buf_add(&in, header, 4);
		for (i = 0; i < length; i++) {
			byte = (char)rand_r(&state);
			kwb_buf_add(&in, &byte, 1);
		}
		if (kwb_frame_unpack(&in, &out) == 1)
			kwb_frame_free(out);
		CU_ASSERT_EQUAL(in.used_bytes, 0);
		kwb_buf_finish(&in);
	}
}

static const char good_lists[] =
    "plans:\n"
    "  - {name: quotes, customer: a, kind: training, pool: llm, model: m}\n"
    "  - {name: orders, customer: a, kind: service, pool: shop}\n"
    "allowances:\n"
    "  - {plan: quotes, concurrent: 8, queue: 4}\n"
    "  - {plan: orders, concurrent: 2, queue: 4}\n";

static struct kwb_lists *
parse_lists(const char *text)
{
	struct kwb_lists_source source = {"lists.yaml", text};
	struct kwb_faults faults = {0};
	struct kwb_lists *lists = NULL;

	CU_ASSERT_EQUAL_FATAL(kwb_lists_parse(&lists, &source, &faults), 0);
	return lists;
}

/* A check reports all faults at once, each with file, line and field. */
static void
test_lists_faults(void)
{
	static const char text[] = "plans:\n"
				   "  - name: quotes\n"
				   "    customer: a\n"
				   "    kind: training\n"
				   "    pool: llm\n"
				   "  - name: quotes\n"
				   "    customer: a\n"
				   "    kind: service\n"
				   "    rules:\n"
				   "      - {method: POST, path: orders}\n"
				   "allowances:\n"
				   "  - plan: quotes\n"
				   "    concurrent: 0\n"
				   "  - plan: nothing\n"
				   "    concurrent: 3\n";
	static const char *const expected[] = {
	    "lists.yaml:2: plans[0].model: missing",
	    "lists.yaml:6: plans[1].name: duplicate name",
	    "lists.yaml:6: plans[1].pool: missing",
	    "lists.yaml:10: plans[1].path: must begin with '/'",
	    "lists.yaml:13: allowances[0].concurrent: must be 1 to 1000000 "
	    "requests",
	    "lists.yaml:14: allowances[1].plan: refers to no plan",
	};
	struct kwb_lists_source source = {"lists.yaml", text};
	struct kwb_faults faults = {0};
	struct kwb_lists *lists = parse_lists(text);
	size_t i;

	CU_ASSERT_EQUAL(
	    kwb_lists_check(lists, &source, 1, &faults), KWB_ERR_LISTS_INVALID);
	CU_ASSERT_EQUAL(faults.count, COUNT(expected));
	for (i = 0; i < COUNT(expected); i++) {
		if (strcmp(faults.text[i], expected[i]) != 0)
			fprintf(stderr, "lists: %s\n", faults.text[i]);
		CU_ASSERT_STRING_EQUAL(faults.text[i], expected[i]);
	}
	kwb_lists_free(lists);
}

/* Unknown fields and wrong types are reported with file and line. */
static void
test_lists_schema(void)
{
	static const struct {
		const char *text;
		const char *fault;
	} cases[] = {
	    {"plans:\n  - name: a\n    colour: red\n",
		"f:3: colour: unknown field"},
	    {"allowances:\n  - plan: a\n    concurrent: many\n", "f:3: "},
	    {"allowances:\n  - plan: a\n    concurrent: -1\n", "f:3: "},
	    {"plans:\n  - name: a\n    kind: batch\n", "f:3: "},
	    {"plans: 5\n", "f:1: "},
	    {"a: [\n", "f"},
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct kwb_lists_source source = {"f", cases[i].text};
		struct kwb_faults faults = {0};
		struct kwb_lists *lists;

		CU_ASSERT_EQUAL(kwb_lists_parse(&lists, &source, &faults),
		    KWB_ERR_LISTS_INVALID);
		CU_ASSERT(faults.count >= 1);
		kwb_lists_free(lists);
		if (strncmp(faults.text[0], cases[i].fault,
			strlen(cases[i].fault)) != 0)
			fprintf(stderr, "lists: %s", faults.text[0]);
		CU_ASSERT_EQUAL(strncmp(faults.text[0], cases[i].fault,
				    strlen(cases[i].fault)),
		    0);
	}
}

/* Lists that are printed and parsed again must be the same. */
static void
test_lists_round_trip(void)
{
	struct kwb_lists *lists = parse_lists(good_lists), *again;
	struct kwb_buf text, diff;

	kwb_buf_init(&text);
	kwb_buf_init(&diff);
	CU_ASSERT_EQUAL(kwb_lists_print(lists, &text), 0);
	again = parse_lists(text.data);
	CU_ASSERT_EQUAL(kwb_lists_diff(lists, again, &diff), 0);
	again->plans[0].max_tokens = 7;
	CU_ASSERT_EQUAL(kwb_lists_diff(lists, again, &diff), 1);
	kwb_buf_finish(&text);
	kwb_buf_finish(&diff);
	kwb_lists_free(lists);
	kwb_lists_free(again);
}

/* Edits of different allowances merge; edits of the same one conflict. */
static void
test_lists_merge(void)
{
	struct kwb_lists *base = parse_lists(good_lists);
	struct kwb_lists *theirs = parse_lists(good_lists);
	struct kwb_lists *ours = parse_lists(good_lists), *merged = NULL;
	struct kwb_buf conflicts;

	kwb_buf_init(&conflicts);
	theirs->allowances[0].queue = 50;
	ours->allowances[1].queue = 60;
	CU_ASSERT_EQUAL_FATAL(
	    kwb_lists_merge(&merged, base, theirs, ours, &conflicts), 0);
	CU_ASSERT_EQUAL(kwb_lists_find_allowance(merged, "quotes")->queue, 50);
	CU_ASSERT_EQUAL(kwb_lists_find_allowance(merged, "orders")->queue, 60);
	kwb_lists_free(merged);
	ours->allowances[0].queue = 70;
	CU_ASSERT_EQUAL(
	    kwb_lists_merge(&merged, base, theirs, ours, &conflicts),
	    KWB_ERR_LISTS_CONFLICT);
	CU_ASSERT_PTR_NOT_NULL(strstr(conflicts.data, "queue=50"));
	CU_ASSERT_PTR_NOT_NULL(strstr(conflicts.data, "queue=70"));
	kwb_buf_finish(&conflicts);
	kwb_lists_free(base);
	kwb_lists_free(theirs);
	kwb_lists_free(ours);
}

/* The revision of the lists in force must never decrease. */
static void
test_lists_in_force(void)
{
	static const struct {
		uint64_t offered;
		int taken;
		uint64_t in_force;
	} cases[] = {{3, 1, 3}, {2, 0, 3}, {3, 0, 3}, {9, 1, 9}, {8, 0, 9}};
	size_t i;

	kwb_current_lists_init();
	kwb_current_lists_register_thread();
	for (i = 0; i < COUNT(cases); i++) {
		CU_ASSERT_EQUAL(kwb_current_lists_update(good_lists,
				    strlen(good_lists), cases[i].offered),
		    cases[i].taken);
		CU_ASSERT_EQUAL(
		    kwb_current_lists_revision(), cases[i].in_force);
	}
	CU_ASSERT_EQUAL(
	    kwb_current_lists_update("plans: 1", 8, 99), KWB_ERR_LISTS_INVALID);
	CU_ASSERT_EQUAL(kwb_current_lists_revision(), 9);
	CU_ASSERT_PTR_NOT_NULL(
	    kwb_lists_find_plan(kwb_current_lists_read_lock(), "orders"));
	kwb_current_lists_read_unlock();
	kwb_current_lists_unregister_thread();
	kwb_current_lists_finish();
}

/* Loading settings reports all five faults at once. */
static void
test_settings(void)
{
	static const char text[] = "vm: ''\nlisten: 127.0.0.1\n"
				   "platform: ftp://x\nworkers: 1\n";
	struct kwb_entry_settings *settings;
	struct kwb_faults faults = {0};
	char path[] = "/tmp/kwb-unit-XXXXXX";
	int fd = mkstemp(path);
	FILE *file = fdopen(fd, "w");

	fputs(text, file);
	fclose(file);
	CU_ASSERT_EQUAL(kwb_entry_settings_load(&settings, path, &faults),
	    KWB_ERR_SETTINGS);
	CU_ASSERT_EQUAL(faults.count, 5);
	remove(path);
}

/*
 * Logs lines of two levels into the file; called in a child process. Returns
 * the time that the calls took, in nanoseconds.
 */
static uint64_t
log_burst(int fd, unsigned lines)
{
	uint64_t begin_ns = kwb_clock_now_ns();
	uint64_t taken_ns;
	unsigned i;

	dup2(fd, STDOUT_FILENO);
	kwb_log_init("burst", KWB_LOG_INFO);
	kwb_log_enable_buffering();
	for (i = 0; i < lines; i++)
		kwb_log(i % 2 ? KWB_LOG_INFO : KWB_LOG_WARN, "burst",
		    "event=line number=%u", i);
	taken_ns = kwb_clock_now_ns() - begin_ns;
	kwb_log_flush();
	return taken_ns;
}

static int
exit_code(pid_t pid)
{
	int status = -1;

	waitpid(pid, &status, 0);
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

/* Logging must not block when the pipe it writes to is full and never read. */
static void
test_log_without_reader(void)
{
	char chunk[4096] = {0};
	int ends[2], flags;
	pid_t pid;

	CU_ASSERT_EQUAL_FATAL(pipe(ends), 0);
	flags = fcntl(ends[1], F_GETFL);
	fcntl(ends[1], F_SETFL, flags | O_NONBLOCK);
	while (write(ends[1], chunk, sizeof(chunk)) > 0)
		continue;
	fcntl(ends[1], F_SETFL, flags);
	pid = fork();
	if (pid == 0) {
		alarm(20); /* a write that blocks never ends */
		_exit(log_burst(ends[1], LOG_LINES) >
		    LOG_LINES * LOG_LINE_MAX_NS);
	}
	CU_ASSERT_EQUAL(exit_code(pid), 0);
	close(ends[0]);
	close(ends[1]);
}

/*
 * The lines logged per second are limited, for each of the two levels, and a
 * line reports how many were dropped.
 */
static void
test_log_rate_limit(void)
{
	char path[] = "/tmp/kwb-unit-XXXXXX";
	int fd = mkstemp(path);
	unsigned lines = 0, seconds;
	uint64_t begin_ms = kwb_clock_wall_ms();
	struct kwb_buf text;
	const char *at;
	pid_t pid = fork();

	if (pid == 0) {
		log_burst(fd, LOG_LINES);
		kwb_clock_sleep_ns(1100 * KWB_MS_NS);
		kwb_log(KWB_LOG_INFO, "burst", "event=end");
		kwb_log_flush();
		_exit(0);
	}
	CU_ASSERT_EQUAL(exit_code(pid), 0);
	seconds = (unsigned)((kwb_clock_wall_ms() - begin_ms) / 1000) + 1;
	kwb_buf_init(&text);
	kwb_file_read(path, &text);
	for (at = text.data; at != NULL && (at = strchr(at, '\n')) != NULL;
	     at++)
		lines++;
	CU_ASSERT(lines > 2);
	CU_ASSERT(lines <= (2 * KWB_LOG_LINES_PER_S + 1) * seconds);
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(kwb_buf_text(&text), "event=lines_dropped count="));
	CU_ASSERT_PTR_NOT_NULL(strstr(kwb_buf_text(&text), "event=end"));
	kwb_buf_finish(&text);
	close(fd);
	remove(path);
}

int
main(void)
{
	static const CU_TestInfo tests[] = {
	    {"route table", test_route},
	    {"route affinity", test_route_affinity},
	    {"sum of shares", test_share_sum},
	    {"share holders", test_share_holders},
	    {"retry budget", test_retry_budget},
	    {"sample freshness", test_sample_freshness},
	    {"hedge", test_hedge},
	    {"swap order", test_swap_order},
	    {"subset", test_subset},
	    {"key uniqueness", test_key_uniqueness},
	    {"ticket", test_ticket},
	    {"frames", test_frames},
	    {"frames of random bytes", test_frames_random},
	    {"lists faults", test_lists_faults},
	    {"lists schema", test_lists_schema},
	    {"lists printed and parsed", test_lists_round_trip},
	    {"lists merge", test_lists_merge},
	    {"lists in force", test_lists_in_force},
	    {"settings faults", test_settings},
	    {"log without a reader", test_log_without_reader},
	    {"log rate limit", test_log_rate_limit},
	    CU_TEST_INFO_NULL,
	};
	CU_SuiteInfo suites[] = {
	    {"unit", NULL, NULL, NULL, NULL, (CU_TestInfo *)tests},
	    CU_SUITE_INFO_NULL,
	};
	unsigned failures;

	kwb_log_init("unit", KWB_LOG_ERROR + 1);
	CU_initialize_registry();
	CU_register_suites(suites);
	CU_basic_set_mode(CU_BRM_NORMAL);
	CU_basic_run_tests();
	printf("unit tests: %u passed, %u failed\n",
	    CU_get_number_of_tests_run() - CU_get_number_of_tests_failed(),
	    CU_get_number_of_tests_failed());
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures > 0;
}
