/* Unit tests of duties: plans, counts and calls, on tables of cases. */
#include <event2/buffer.h>
#include <string.h>

#include <CUnit/CUnit.h>

#include "../../platform/platform.h"
#include "kwb_node.h"

#define COUNT(table) (sizeof(table) / sizeof((table)[0]))

extern unsigned duty_tests_add(CU_pSuite suite);

static void
test_usage_counts(void)
{
	static const char *const unreadable[] = {
	    "a 1\n", "1 a", "1a\n", "1\n", "1 \n", "-1 a\n", "2 b\nx\n", "\n"};
	struct kwb_usage_counts counts;
	struct kwb_buf text;
	char name[KWB_NAME_MAX_BYTES];
	char long_name[4001];
	unsigned i;

	kwb_usage_counts_init(&counts);
	kwb_buf_init(&text);
	CU_ASSERT_EQUAL(kwb_usage_counts_add(&counts, "b", 2), 0);
	CU_ASSERT_EQUAL(
	    kwb_usage_counts_decode(&counts, "1 a b\n3 b\n", 10), 0);
	CU_ASSERT_EQUAL(kwb_usage_counts_encode(&counts, &text), 0);
	CU_ASSERT_STRING_EQUAL(kwb_buf_text(&text), "5 b\n1 a b\n");
	for (i = 0; i < COUNT(unreadable); i++)
		CU_ASSERT_EQUAL(kwb_usage_counts_decode(&counts, unreadable[i],
				    strlen(unreadable[i])),
		    KWB_ERR_STORE_UNREADABLE);
	CU_ASSERT_EQUAL(counts.count, 2);
	for (i = 0; i < 500; i++) {
		snprintf(name, sizeof(name), "w%u", i % 250);
		kwb_usage_counts_add(&counts, name, 1);
	}
	CU_ASSERT_EQUAL(counts.count, 252);
	CU_ASSERT_EQUAL(counts.entries[251]->requests, 2);
	kwb_usage_counts_finish(&counts);
	kwb_buf_finish(&text);
	/* Guards against a count that is cut or lost for its name's length. */
	memset(long_name, 'w', sizeof(long_name));
	long_name[sizeof(long_name) - 1] = '\0';
	kwb_usage_counts_init(&counts);
	CU_ASSERT_EQUAL(kwb_usage_counts_add(&counts, long_name, 3), 0);
	CU_ASSERT_EQUAL(kwb_usage_counts_encode(&counts, &text), 0);
	CU_ASSERT(counts.text_bytes >= text.used_bytes);
	CU_ASSERT_EQUAL(kwb_usage_counts_decode(
			    &counts, kwb_buf_text(&text), text.used_bytes),
	    0);
	CU_ASSERT_EQUAL(counts.count, 1);
	CU_ASSERT_EQUAL(counts.entries[0]->requests, 6);
	CU_ASSERT_STRING_EQUAL(counts.entries[0]->workspace, long_name);
	kwb_usage_counts_finish(&counts);
	kwb_buf_finish(&text);
}

/* Guards against a row of the store that long names make too large. */
static void
test_usage_row_bytes(void)
{
	struct kwb_node_settings settings;
	struct kwb_usage_meter meter;
	char name[4001];
	unsigned counted = 0;
	unsigned i;

	kwb_node_settings_init(&settings);
	settings.usage_window_ms = 5000;
	kwb_usage_meter_init(&meter, NULL, &settings, 1);
	memset(name, 'w', sizeof(name));
	name[sizeof(name) - 1] = '\0';
	for (i = 0; i < 26; i++) {
		name[0] = (char)('a' + i);
		kwb_usage_meter_count(&meter, name, 1000000);
	}
	for (i = 0; i < KWB_USAGE_WINDOWS_MAX; i++) {
		CU_ASSERT(meter.windows[i].counts.text_bytes <=
		    KWB_STORE_VALUE_MAX_BYTES);
		counted += meter.windows[i].counts.count;
	}
	CU_ASSERT_EQUAL(counted, 26);
	kwb_usage_meter_finish(&meter);
}

/* Windows of 5 s whose reports are due after 10 s. */
static void
test_usage_plan(void)
{
	static const struct {
		const char *name;
		uint64_t now_ms;
		bool has_floor;
		uint64_t floor;
		uint64_t oldest_part;
		uint64_t recovered_ms;
		uint64_t window;
		uint64_t decide_ms;
		bool is_first;
	} cases[] = {{"first start", 1002000, false, 0, 0, 0, 198, 0, true},
	    {"first, parts came before", 1002000, false, 0, 197, 0, 197, 0,
		true},
	    {"next window, not over", 1002000, true, 199, 200, 0, 200, 1007500,
		false},
	    {"the window after it has begun", 1008000, true, 199, 200, 0, 200,
		1007500, false},
	    {"a part came after its report", 1008000, true, 199, 198, 0, 200,
		1007500, false},
	    {"empty window", 1008000, true, 199, 0, 0, 200, 1007500, false},
	    {"store back before it is due", 1008000, true, 199, 200, 1006000,
		200, 1007500, false},
	    {"store just back", 1009900, true, 199, 200, 1009500, 200, 1010500,
		false},
	    {"clock behind", 990000, true, 199, 0, 0, 200, 1007500, false},
	    {"outage of all nodes, no parts", 2000000, true, 199, 0, 0, 386,
		1937500, false},
	    {"outage of all nodes, old parts", 2000000, true, 199, 200, 0, 200,
		1007500, false},
	    {"then the newer windows", 2000000, true, 200, 399, 0, 386, 1937500,
		false}};
	unsigned i;

	for (i = 0; i < COUNT(cases); i++) {
		struct kwb_usage_plan_input input = {.now_ms = cases[i].now_ms,
		    .window_ms = 5000,
		    .late_ms = 10000,
		    .has_floor = cases[i].has_floor,
		    .floor = cases[i].floor,
		    .oldest_part = cases[i].oldest_part,
		    .recovered_ms = cases[i].recovered_ms};
		struct kwb_usage_plan plan;

		kwb_usage_plan(&input, &plan);
		CU_ASSERT_EQUAL(plan.window, cases[i].window);
		CU_ASSERT_EQUAL(plan.decide_ms, cases[i].decide_ms);
		CU_ASSERT_EQUAL(plan.is_first, cases[i].is_first);
	}
}

/*
 * Load: each node of a fleet has requests all the time. Together they write at
 * most 50 times a second, and a window's end is written before its report is
 * decided, within what a partition of the store takes.
 */
static void
test_usage_writes(void)
{
	static const uint32_t fleets[] = {1, 35, 100, 410, 1000};
	unsigned i;

	for (i = 0; i < COUNT(fleets); i++) {
		uint64_t delay_ns = kwb_usage_write_delay_ns(fleets[i], 5000);
		uint64_t spread_ns = kwb_usage_final_spread_ns(fleets[i]);

		CU_ASSERT_TRUE(delay_ns >= 500 * KWB_MS_NS);
		CU_ASSERT_TRUE(delay_ns <= 5000 * KWB_MS_NS);
		if (delay_ns < 5000 * KWB_MS_NS)
			CU_ASSERT_TRUE(
			    fleets[i] * 1000 * KWB_MS_NS / delay_ns <= 50);
		CU_ASSERT_TRUE(
		    spread_ns + KWB_USAGE_WRITE_MIN_NS <= 2500 * KWB_MS_NS);
		if (fleets[i] <= 410)
			CU_ASSERT_TRUE(
			    fleets[i] * 1000 * KWB_MS_NS <= 210 * spread_ns);
	}
}

static void
test_duty_calls(void)
{
	static const struct {
		int error;
		uint16_t status;
		enum kwb_duty_outcome outcome;
	} cases[] = {{0, 200, KWB_DUTY_DONE}, {0, 202, KWB_DUTY_DONE},
	    {0, 409, KWB_DUTY_FENCED}, {0, 400, KWB_DUTY_REJECTED},
	    {0, 404, KWB_DUTY_REJECTED}, {0, 429, KWB_DUTY_RETRY},
	    {0, 408, KWB_DUTY_RETRY}, {0, 500, KWB_DUTY_RETRY},
	    {0, 503, KWB_DUTY_RETRY}, {KWB_ERR_NET_TIMEOUT, 0, KWB_DUTY_RETRY},
	    {KWB_ERR_NET_CONNECT, 0, KWB_DUTY_RETRY},
	    {KWB_ERR_NET_RESET, 409, KWB_DUTY_RETRY}};
	static const uint64_t delays_ms[] = {200, 200, 400, 800, 1600, 1600};
	unsigned i;

	for (i = 0; i < COUNT(cases); i++)
		CU_ASSERT_EQUAL(
		    kwb_duty_outcome(cases[i].error, cases[i].status),
		    cases[i].outcome);
	for (i = 0; i < COUNT(delays_ms); i++)
		CU_ASSERT_EQUAL(
		    kwb_duty_backoff_ns(i), delays_ms[i] * KWB_MS_NS);
	CU_ASSERT_EQUAL(kwb_duty_backoff_ns(UINT32_MAX), 1600 * KWB_MS_NS);
}

/* A call starts only while the lease is held and the rate allows it. */
static void
test_duty_caller(void)
{
	struct kwb_node_settings settings = {.node = "n1"};
	struct kwb_store_lease lease = {.fence = 7};
	struct kwb_duty_caller caller = {
	    .settings = &settings, .lease = &lease};
	struct kwb_duty_stamp stamp;

	lease.held_until_ns = kwb_boot_now_ns() + 1000 * KWB_MS_NS;
	CU_ASSERT_TRUE(kwb_duty_caller_is_free(&caller));
	CU_ASSERT_TRUE(kwb_duty_caller_stamp(&caller, &stamp));
	CU_ASSERT_EQUAL(stamp.fence, 7);
	caller.next_call_ns = kwb_clock_now_ns() + 1000 * KWB_MS_NS;
	CU_ASSERT_FALSE(kwb_duty_caller_is_free(&caller));
	caller.next_call_ns = 0;
	caller.is_pending = true;
	CU_ASSERT_FALSE(kwb_duty_caller_is_free(&caller));
	caller.is_pending = false;
	lease.held_until_ns = kwb_boot_now_ns(); /* suspended until then */
	CU_ASSERT_FALSE(kwb_duty_caller_is_free(&caller));
	CU_ASSERT_FALSE(kwb_duty_caller_stamp(&caller, &stamp));
	CU_ASSERT_EQUAL(
	    kwb_duty_caller_start(&caller, NULL, NULL, NULL), KWB_ERR_ARGUMENT);
}

static void
test_duty_codec(void)
{
	static const struct kwb_address address = {
	    .ip = "10.0.0.1", .port = 80};
	static const struct kwb_duty_stamp stamp = {
	    .address = &address, .holder = "n1", .fence = 12};
	static const struct kwb_scale_order order = {
	    .service = "shop", .failure_domain = "z1", .upstreams = 6};
	static const char *const texts[] = {
	    "POST /usage HTTP/1.1\r\nHost: 10.0.0.1:80\r\nDuty-Holder: n1\r\n"
	    "Fencing-Token: 12\r\nContent-Type: application/json\r\n"
	    "Content-Length: 42\r\n\r\n"
	    "{\"window-id\":353445120,\"counts\":{\"a\":412}}",
	    "POST /scale HTTP/1.1\r\nHost: 10.0.0.1:80\r\nDuty-Holder: n1\r\n"
	    "Fencing-Token: 12\r\nContent-Type: application/json\r\n"
	    "Content-Length: 48\r\n\r\n"
	    "{\"service\":\"shop\",\"zone\":\"z1\",\"target-groups\":6}"};
	struct kwb_usage_counts counts;
	struct evbuffer *out = evbuffer_new();
	unsigned i;

	kwb_usage_counts_init(&counts);
	kwb_usage_counts_add(&counts, "a", 412);
	for (i = 0; i < COUNT(texts); i++) {
		if (i == 0)
			platform_duty_codec.write_usage(
			    &stamp, 353445120, &counts, out);
		else
			platform_duty_codec.write_scale(&stamp, &order, out);
		evbuffer_add(out, "", 1);
		CU_ASSERT_STRING_EQUAL(evbuffer_pullup(out, -1), texts[i]);
		evbuffer_drain(out, evbuffer_get_length(out));
	}
	evbuffer_free(out);
	kwb_usage_counts_finish(&counts);
}

/* Three failure domains with 10 upstreams of 10 slots each, unless said. */
static void
test_scale_need(void)
{
	static const struct {
		const char *name;
		struct kwb_scale_load here;
		uint64_t requests_elsewhere; /* in each other domain */
		uint32_t domains;
		uint32_t need;
	} cases[] = {{"even load", {10, 10, 42, 100}, 42, 3, 7},
	    {"here more than elsewhere", {10, 10, 90, 100}, 10, 3, 13},
	    {"loss of another domain", {10, 10, 60, 100}, 60, 3, 10},
	    {"one domain", {10, 10, 60, 100}, 0, 1, 9},
	    {"full, half as many again", {10, 10, 100, 100}, 100, 3, 17},
	    {"what waits counts", {10, 10, 150, 100}, 100, 3, 22},
	    {"half unknown, like the others", {10, 5, 30, 50}, 60, 3, 10},
	    {"too few known", {10, 4, 30, 40}, 60, 3, 0},
	    {"none known", {10, 0, 0, 0}, 60, 3, 0},
	    {"no upstream here", {0, 0, 0, 0}, 60, 3, 0},
	    {"slots not told", {10, 10, 60, 0}, 60, 3, 0},
	    {"idle, at least the minimum", {10, 10, 0, 100}, 0, 3, 2},
	    {"at most the maximum", {10, 10, 900, 100}, 900, 3, 40}};
	unsigned i;

	for (i = 0; i < COUNT(cases); i++) {
		struct kwb_scale_load load[3] = {cases[i].here,
		    {10, 10, cases[i].requests_elsewhere, 100},
		    {10, 10, cases[i].requests_elsewhere, 100}};
		struct kwb_scale_input input = {.min = 2,
		    .max = 40,
		    .load = load,
		    .domains = cases[i].domains};

		CU_ASSERT_EQUAL(kwb_scale_need(&input), cases[i].need);
	}
}

/* Load: a need that changes each second, with upstreams that boot for 5 s. */
static void
test_scale_hysteresis(void)
{
	struct kwb_scale_state state = {0};
	unsigned changes = 0;
	uint32_t before;
	unsigned second;

	kwb_scale_decide(&state, 0, 8, 5000, 0);
	CU_ASSERT_EQUAL(state.target, 0); /* stale: nothing is decided */
	kwb_scale_decide(&state, 8, 8, 5000, 0);
	CU_ASSERT_EQUAL(state.target, 8);
	kwb_scale_decide(&state, 11, 8, 5000, 1000 * KWB_MS_NS);
	CU_ASSERT_EQUAL(state.target, 11); /* at once */
	/* The need swings between 6 and 10: one decrease, to 10. */
	for (second = 2; second < 100; second++) {
		before = state.target;
		kwb_scale_decide(&state, second % 2 == 0 ? 6 : 10, 11, 5000,
		    second * 1000 * KWB_MS_NS);
		changes += state.target != before;
	}
	CU_ASSERT_EQUAL(changes, 1);
	CU_ASSERT_EQUAL(state.target, 10);
	/* Falls by a quarter at a time, 20 s apart, and holds while stale. */
	for (; second < 200; second++)
		kwb_scale_decide(&state, second < 150 ? 2 : 0, 10, 5000,
		    second * 1000 * KWB_MS_NS);
	CU_ASSERT_EQUAL(state.target, 6);
}

unsigned
duty_tests_add(CU_pSuite suite)
{
	static const struct {
		const char *name;
		void (*run)(void);
	} tests[] = {{"usage_counts", test_usage_counts},
	    {"usage_row_bytes", test_usage_row_bytes},
	    {"usage_plan", test_usage_plan},
	    {"usage_writes", test_usage_writes},
	    {"duty_calls", test_duty_calls}, {"duty_caller", test_duty_caller},
	    {"duty_codec", test_duty_codec}, {"scale_need", test_scale_need},
	    {"scale_hysteresis", test_scale_hysteresis}};
	unsigned i;

	for (i = 0; i < COUNT(tests); i++)
		CU_add_test(suite, tests[i].name, tests[i].run);
	return COUNT(tests);
}
