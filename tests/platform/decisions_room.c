/*
 * Tests of the room's decisions: loads as tables, played against places that
 * each serve one request at a time, and checked by what each caller gets.
 */
#include <CUnit/CUnit.h>
#include <event2/event.h>
#include <string.h>

#include "kwb_node.h"

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))
#define CALLERS_MAX 2048
#define WORK_MS 25
#define DEADLINE_MS 800

enum caller_state { CALLER_NEW, CALLER_WAITING, CALLER_SERVED, CALLER_REFUSED };

struct caller {
	uint32_t at_ms;
	uint32_t rank;
	char workspace[8];
	uint32_t deadline_ms; /* after at_ms */
	enum caller_state state;
	uint32_t started_ms;
	uint32_t refused_ms;
};

/* A service with places, and callers that ask for them. */
struct load {
	struct caller callers[CALLERS_MAX];
	uint32_t callers_count;
	struct kwb_room_shares shares;
	uint32_t places;
	uint32_t busy_until_ms[64];
};

static struct load load;

static uint32_t
share_of(struct kwb_room_shares *shares, const char *workspace)
{
	return kwb_room_shares_index(shares, workspace, 0);
}

static void
load_begin(uint32_t places)
{
	kwb_room_shares_finish(&load.shares);
	memset(&load, 0, sizeof(load));
	load.places = places;
}

static struct caller *
add_caller(uint32_t at_ms, uint32_t rank, const char *workspace)
{
	struct caller *caller = &load.callers[load.callers_count++];

	CU_ASSERT_FATAL(load.callers_count <= CALLERS_MAX);
	*caller = (struct caller){
	    .at_ms = at_ms, .rank = rank, .deadline_ms = DEADLINE_MS};
	kwb_text_copy(caller->workspace, sizeof(caller->workspace), workspace);
	return caller;
}

static struct kwb_room_claim
claim_of(const struct caller *caller, uint64_t now_ns)
{
	return (struct kwb_room_claim){.rank = caller->rank,
	    .share_milli = kwb_room_shares_get(&load.shares,
		share_of(&load.shares, caller->workspace), now_ns),
	    .since_ns = caller->at_ms * KWB_MS_NS,
	    .deadline_ns = (caller->at_ms + caller->deadline_ms) * KWB_MS_NS};
}

static void
arrive(struct caller *caller, uint32_t free_places, uint64_t now_ns)
{
	struct kwb_room_admission input = {.room = {.places = load.places,
					       .free_places = free_places,
					       .least_slots = load.places,
					       .pace_ns = WORK_MS * KWB_MS_NS},
	    .now_ns = now_ns,
	    .deadline_ns = (caller->at_ms + caller->deadline_ms) * KWB_MS_NS};
	struct kwb_room_claim own = claim_of(caller, now_ns);
	uint32_t i;

	for (i = 0; i < load.callers_count; i++) {
		struct kwb_room_claim other =
		    claim_of(&load.callers[i], now_ns);

		input.ahead += load.callers[i].state == CALLER_WAITING &&
		    kwb_room_compare(&other, &own, now_ns) <= 0;
	}
	caller->state = kwb_room_admit(&input) == KWB_ROOM_REFUSE
	    ? CALLER_REFUSED
	    : CALLER_WAITING;
	caller->refused_ms = (uint32_t)(now_ns / KWB_MS_NS);
}

static struct caller *
first_waiting(uint64_t now_ns)
{
	struct caller *best = NULL;
	uint32_t i;

	for (i = 0; i < load.callers_count; i++) {
		struct caller *caller = &load.callers[i];
		struct kwb_room_claim claim = claim_of(caller, now_ns);
		struct kwb_room_claim best_claim;

		if (caller->state != CALLER_WAITING)
			continue;
		if (best != NULL)
			best_claim = claim_of(best, now_ns);
		if (best == NULL ||
		    kwb_room_compare(&claim, &best_claim, now_ns) < 0)
			best = caller;
	}
	return best;
}

static void
load_play(uint32_t until_ms)
{
	struct caller *caller;
	uint32_t free_places;
	uint32_t now_ms;
	uint32_t i;

	for (now_ms = 0; now_ms < until_ms; now_ms++) {
		uint64_t now_ns = now_ms * KWB_MS_NS;

		for (i = 0; i < load.callers_count; i++) {
			uint32_t j;

			caller = &load.callers[i];
			if (caller->at_ms != now_ms)
				continue;
			for (free_places = 0, j = 0; j < load.places; j++)
				free_places += load.busy_until_ms[j] <= now_ms;
			arrive(caller, free_places, now_ns);
		}
		for (i = 0; i < load.places; i++) {
			if (load.busy_until_ms[i] > now_ms ||
			    (caller = first_waiting(now_ns)) == NULL)
				continue;
			caller->state = CALLER_SERVED;
			caller->started_ms = now_ms;
			load.busy_until_ms[i] = now_ms + WORK_MS;
			kwb_room_shares_add(&load.shares,
			    share_of(&load.shares, caller->workspace), now_ns);
		}
	}
}

static uint32_t
count_served(const char *workspace, uint32_t rank)
{
	uint32_t served = 0;
	uint32_t i;

	for (i = 0; i < load.callers_count; i++) {
		const struct caller *caller = &load.callers[i];

		served += caller->state == CALLER_SERVED &&
		    caller->rank == rank &&
		    strcmp(caller->workspace, workspace) == 0;
	}
	return served;
}

/* Nobody is held for long and then lost, and nobody is served too late. */
static void
check_promises(void)
{
	uint32_t i;

	for (i = 0; i < load.callers_count; i++) {
		const struct caller *caller = &load.callers[i];

		CU_ASSERT(caller->state == CALLER_SERVED ||
		    caller->state == CALLER_REFUSED);
		if (caller->state == CALLER_REFUSED)
			CU_ASSERT_EQUAL(caller->refused_ms, caller->at_ms);
	}
}

/* One workspace of one rank, at once: those that can't be served are told. */
static void
test_room_burst(void)
{
	uint32_t i;

	load_begin(6);
	for (i = 0; i < 300; i++)
		add_caller(1, 0, "w");
	load_play(2000);
	check_promises();
	/* 6 places and 31 turns of 25 ms in 800 ms. */
	CU_ASSERT(count_served("w", 0) >= 180);
	for (i = 0; i < load.callers_count; i++)
		CU_ASSERT(load.callers[i].state == CALLER_REFUSED ||
		    load.callers[i].started_ms + WORK_MS <= 1 + DEADLINE_MS);
}

/* The burst comes first; the small ones still get what they ask for. */
static void
test_room_one_large_among_eighty(void)
{
	char name[8];
	uint32_t i;

	load_begin(6);
	for (i = 0; i < 100; i++)
		add_caller(1, 0, "large");
	for (i = 0; i < 80; i++) {
		snprintf(name, sizeof(name), "w%u", i);
		add_caller(2 + i, 0, name);
	}
	load_play(2000);
	for (i = 0; i < 80; i++) {
		snprintf(name, sizeof(name), "w%u", i);
		CU_ASSERT_EQUAL(count_served(name, 0), 1);
	}
	/* As soon as if they were alone, but for the work in progress. */
	for (i = 100; i < 180; i++)
		CU_ASSERT(load.callers[i].started_ms <=
		    2 + WORK_MS + 80 * WORK_MS / 6);
	/* What the others leave unused goes on to the large one. */
	CU_ASSERT_EQUAL(count_served("large", 0), 100);
}

/* Three ranks at a load of so many percent of the room, a third each. */
static void
play_ranks(uint32_t percent, uint32_t served[3], uint32_t *asked)
{
	const uint32_t places = 6;
	uint32_t interval_us = 3 * WORK_MS * 1000 * 100 / (places * percent);
	uint32_t at_us;
	uint32_t rank;

	load_begin(places);
	for (at_us = 1000; at_us < 2000000; at_us += interval_us)
		for (rank = 0; rank < 3; rank++)
			add_caller(at_us / 1000, rank, "w");
	*asked = load.callers_count / 3;
	load_play(4000);
	for (rank = 0; rank < 3; rank++)
		served[rank] = count_served("w", rank);
}

static void
test_room_three_ranks(void)
{
	uint32_t served[3];
	uint32_t asked;

	play_ranks(90, served, &asked);
	CU_ASSERT(
	    served[0] == asked && served[1] == asked && served[2] == asked);
	play_ranks(110, served, &asked);
	check_promises();
	CU_ASSERT_EQUAL(served[0], asked);
	CU_ASSERT(served[1] >= served[2] && served[2] > 0);
	play_ranks(150, served, &asked);
	check_promises();
	CU_ASSERT_EQUAL(served[0], asked);
	CU_ASSERT(served[1] >= served[2] && served[2] > 0);
}

static void
test_room_order(void)
{
	const struct kwb_room_claim urgent = {
	    .since_ns = 100 * KWB_MS_NS, .deadline_ns = 900 * KWB_MS_NS};
	struct kwb_room_claim other = urgent;

	other.rank = 1;
	CU_ASSERT(kwb_room_compare(&urgent, &other, 110 * KWB_MS_NS) < 0);
	other.since_ns = 0;
	other.deadline_ns = 800 * KWB_MS_NS;
	CU_ASSERT(kwb_room_compare(&urgent, &other, 399 * KWB_MS_NS) < 0);
	CU_ASSERT(kwb_room_compare(&urgent, &other, 400 * KWB_MS_NS) > 0);
	/* A long deadline doesn't mean a long wait behind others. */
	other.deadline_ns = 60000 * KWB_MS_NS;
	CU_ASSERT(!kwb_room_is_overdue(&other, KWB_ROOM_OVERDUE_NS - 1));
	CU_ASSERT(kwb_room_is_overdue(&other, KWB_ROOM_OVERDUE_NS));
	CU_ASSERT(kwb_room_priority(0) < kwb_room_priority(1));
	CU_ASSERT(kwb_room_priority(9) < KWB_PRIORITY_STARTED);
}

/* Nothing is refused while there is room, or when nothing is known. */
static void
test_room_is_free(void)
{
	struct kwb_room_admission input = {.room = {.places = 6,
					       .free_places = 1,
					       .least_slots = 6,
					       .pace_ns = 500 * KWB_MS_NS},
	    .now_ns = 100 * KWB_MS_NS,
	    .deadline_ns = 110 * KWB_MS_NS};

	CU_ASSERT_EQUAL(kwb_room_admit(&input), KWB_ROOM_START);
	input.room.free_places = 0;
	CU_ASSERT_EQUAL(kwb_room_admit(&input), KWB_ROOM_REFUSE);
	input.room.pace_ns = 0;
	CU_ASSERT_EQUAL(kwb_room_admit(&input), KWB_ROOM_START);
	input.ahead = 1;
	CU_ASSERT_EQUAL(kwb_room_admit(&input), KWB_ROOM_WAIT);
}

/* A refused crowd: after the expected time, over as much time again. */
static void
test_room_returns_are_spread(void)
{
	const uint64_t expected_ns = 80 * KWB_MS_NS;
	uint32_t slices[4] = {0};
	uint64_t at_ns;
	uint32_t i;

	for (i = 0; i < 400; i++) {
		at_ns = kwb_room_return_ns(expected_ns, 900 * KWB_MS_NS,
		    (uint64_t)i * 6364136223846793005ull >> 20);
		CU_ASSERT_FATAL(
		    at_ns >= expected_ns && at_ns <= 2 * expected_ns);
		slices[(at_ns - expected_ns) * 4 / (expected_ns + 1)]++;
	}
	for (i = 0; i < COUNT(slices); i++)
		CU_ASSERT(slices[i] > 50 && slices[i] < 150);
	CU_ASSERT(kwb_room_return_ns(expected_ns, 90 * KWB_MS_NS, 7) <=
	    30 * KWB_MS_NS);
	/* A node without config and store sends those on that can't wait. */
	CU_ASSERT_EQUAL(kwb_room_return_unready_ns(
			    KWB_STORE_SILENT_NS - 1, 800 * KWB_MS_NS),
	    KWB_ROOM_RETURN_CONFIG_NS);
	CU_ASSERT_EQUAL(
	    kwb_room_return_unready_ns(KWB_STORE_SILENT_NS, 800 * KWB_MS_NS),
	    KWB_ROOM_RETURN_MIN_NS);
	CU_ASSERT_EQUAL(
	    kwb_room_return_unready_ns(KWB_STORE_SILENT_NS, 12000 * KWB_MS_NS),
	    KWB_ROOM_RETURN_CONFIG_NS);
}

static void
test_room_shares_are_bounded(void)
{
	struct kwb_room_shares shares = {0};
	char name[16];
	uint32_t i;

	for (i = 0; i < 2 * KWB_ROOM_SHARES_MAX; i++) {
		snprintf(name, sizeof(name), "w%u", i);
		kwb_room_shares_add(&shares, share_of(&shares, name), 0);
	}
	CU_ASSERT_EQUAL(shares.count, KWB_ROOM_SHARES_MAX);
	CU_ASSERT_EQUAL(
	    kwb_room_shares_get(&shares, share_of(&shares, "w0"), 0), 1000);
	CU_ASSERT_EQUAL(kwb_room_shares_get(&shares, share_of(&shares, "w0"),
			    KWB_ROOM_SHARE_HALF_NS),
	    500);
	CU_ASSERT(
	    kwb_room_shares_get(&shares, share_of(&shares, name), 0) > 1000);
	CU_ASSERT_EQUAL(kwb_room_shares_get(&shares, share_of(&shares, "w0"),
			    100 * KWB_ROOM_SHARE_HALF_NS),
	    0);
	kwb_room_shares_finish(&shares);
}

/* A load report counts while it is recent and can be true. */
static void
test_room_load_reports(void)
{
	const uint64_t now_ns = 10000 * KWB_MS_NS;
	const uint64_t old_ns = now_ns - KWB_REPORT_TTL_NS;
	const struct {
		uint32_t reported_load;
		uint64_t reported_ns;
		uint32_t free_places;
		uint32_t backlog;
	} cases[] = {{0, 0, 5, 0}, {4, now_ns, 2, 0}, {20, now_ns, 0, 14},
	    {20, old_ns, 5, 0}, {1000000, now_ns, 5, 0}};
	struct kwb_upstream_status status = {
	    .id = "a", .service = "s", .failure_domain = "z", .slots = 6};
	struct kwb_room_places places;
	struct kwb_upstream *upstream;
	struct kwb_registry registry;
	size_t i;

	kwb_registry_init(&registry);
	upstream = kwb_registry_put(&registry, &status);
	CU_ASSERT_PTR_NOT_NULL_FATAL(upstream);
	upstream->in_flight = 1;
	for (i = 0; i < COUNT(cases); i++) {
		upstream->reported_load = cases[i].reported_load;
		upstream->reported_ns = cases[i].reported_ns;
		kwb_room_measure(&registry, "s", now_ns, &places);
		CU_ASSERT_EQUAL(places.free_places, cases[i].free_places);
		CU_ASSERT_EQUAL(places.least_backlog, cases[i].backlog);
	}
	upstream->is_leaving = true;
	kwb_room_measure(&registry, "s", now_ns, &places);
	CU_ASSERT_EQUAL(places.places, 0);
	kwb_registry_finish(&registry);
}

static struct kwb_room_outcome
answer_after(uint32_t taken_ms, bool has_others)
{
	return (struct kwb_room_outcome){.taken_ns = taken_ms * KWB_MS_NS,
	    .had_ns = DEADLINE_MS * KWB_MS_NS,
	    .has_others = has_others};
}

/* Answers are late: fewer at a time if others wait there, not otherwise. */
static void
test_room_limit(void)
{
	struct kwb_room_outcome late = answer_after(700, false);
	struct kwb_room_outcome soon = answer_after(30, true);
	uint64_t now_ns = 5000 * KWB_MS_NS;
	struct kwb_room_limit limit;
	uint32_t lowered_milli;
	uint32_t i;

	kwb_room_limit_init(&limit);
	limit.in_flight = 8;
	for (i = 0; i < 20; i++)
		kwb_room_limit_update(&limit, &late, now_ns += KWB_MS_NS);
	CU_ASSERT_EQUAL(limit.limit_milli, KWB_ROOM_LIMIT_MAX_MILLI);
	late.has_others = true;
	/* One that takes long among many that don't is no sign either. */
	for (i = 0; i < 8; i++)
		kwb_room_limit_update(&limit, &soon, now_ns += KWB_MS_NS);
	kwb_room_limit_update(&limit, &late, now_ns += KWB_MS_NS);
	CU_ASSERT_EQUAL(limit.limit_milli, KWB_ROOM_LIMIT_MAX_MILLI);
	kwb_room_limit_update(&limit, &late, now_ns += KWB_MS_NS);
	kwb_room_limit_update(&limit, &late, now_ns += KWB_MS_NS);
	CU_ASSERT_EQUAL(limit.limit_milli, 7000);
	CU_ASSERT(!kwb_room_limit_has_room(&limit));
	/* Those that were there at the same time tell nothing more. */
	kwb_room_limit_update(&limit, &late, now_ns += KWB_MS_NS);
	CU_ASSERT_EQUAL(limit.limit_milli, 7000);
	for (i = 0; i < 40; i++)
		kwb_room_limit_update(&limit, &late, now_ns += late.taken_ns);
	CU_ASSERT_EQUAL(limit.limit_milli, KWB_ROOM_LIMIT_MIN_MILLI);
	limit.in_flight = 0;
	CU_ASSERT(kwb_room_limit_has_room(&limit));
	/* One more for each round of answers in time. */
	lowered_milli = limit.limit_milli;
	kwb_room_limit_update(&limit, &soon, now_ns += KWB_MS_NS);
	CU_ASSERT_EQUAL(limit.limit_milli, lowered_milli + 1000);
	kwb_room_limit_update(&limit, &soon, now_ns += KWB_MS_NS);
	CU_ASSERT_EQUAL(limit.limit_milli, lowered_milli + 1500);
}

/* At the limit a request waits, or is refused if answers take too long. */
static void
test_room_limit_admits(void)
{
	struct kwb_room_limit limit;
	struct kwb_room_admission input = {.limit = &limit,
	    .now_ns = 1000 * KWB_MS_NS,
	    .deadline_ns = 1800 * KWB_MS_NS};

	kwb_room_limit_init(&limit);
	limit.limit_milli = 2000;
	limit.in_flight = 1;
	limit.taken_ns = 700 * KWB_MS_NS;
	CU_ASSERT_EQUAL(kwb_room_admit(&input), KWB_ROOM_START);
	limit.in_flight = 2;
	CU_ASSERT_EQUAL(kwb_room_admit(&input), KWB_ROOM_REFUSE);
	CU_ASSERT_EQUAL(kwb_room_expected_wait_ns(&input), 350 * KWB_MS_NS);
	limit.taken_ns = 200 * KWB_MS_NS;
	CU_ASSERT_EQUAL(kwb_room_admit(&input), KWB_ROOM_WAIT);
	input.ahead = 8;
	CU_ASSERT_EQUAL(kwb_room_admit(&input), KWB_ROOM_REFUSE);
}

/* A request in the queue; it starts once there is a place. */
struct queued {
	struct kwb_room_waiter waiter; /* first, so that it can be cast */
	bool was_refused;
	uint32_t turn; /* in which it has started; 0 for not */
};

static uint32_t queue_places;
static uint32_t queue_turn;

static bool
queued_start(struct kwb_room_waiter *waiter)
{
	if (queue_places == 0)
		return false;
	queue_places--;
	((struct queued *)waiter)->turn = ++queue_turn;
	return true;
}

static void
queued_refuse(struct kwb_room_waiter *waiter, uint64_t expected_ns)
{
	((struct queued *)waiter)->was_refused = true;
}

/* Waiters start in order, also when they come in another; one leaves. */
static void
test_room_queue(void)
{
	static const struct kwb_room_waiter_ops ops = {
	    .start = queued_start, .refuse = queued_refuse};
	const uint32_t ranks[] = {2, 1, 0, 1};
	struct event_base *base = event_base_new();
	struct kwb_registry registry;
	struct queued queued[4] = {0};
	struct kwb_room room;
	size_t i;

	queue_places = queue_turn = 0;
	kwb_registry_init(&registry);
	CU_ASSERT_EQUAL_FATAL(kwb_room_init(&room, base, &registry), 0);
	for (i = 0; i < COUNT(ranks); i++) {
		queued[i].waiter = (struct kwb_room_waiter){.ops = &ops,
		    .service = "s",
		    .workspace = "w",
		    .id = "id",
		    .rank = ranks[i],
		    .deadline_ns = kwb_clock_now_ns() + 60000 * KWB_MS_NS};
		kwb_room_enter(&room, &queued[i].waiter);
	}
	CU_ASSERT_EQUAL(room.waiting_count, 4);
	kwb_room_leave(&room, &queued[3].waiter);
	queue_places = 2;
	kwb_room_wake(&room);
	event_base_loop(base, EVLOOP_ONCE);
	CU_ASSERT_EQUAL(queued[2].turn, 1);
	CU_ASSERT_EQUAL(queued[1].turn, 2);
	CU_ASSERT_EQUAL(queued[0].turn, 0);
	CU_ASSERT_EQUAL(room.waiting_count, 1);
	/* Another that comes now has to wait behind it. */
	queue_places = 1;
	kwb_room_leave(&room, &queued[3].waiter);
	queued[3].waiter.rank = 3;
	kwb_room_enter(&room, &queued[3].waiter);
	CU_ASSERT(queued[3].waiter.is_waiting && queue_places == 1);
	kwb_room_leave(&room, &queued[3].waiter);
	kwb_room_leave(&room, &queued[0].waiter);
	kwb_room_finish(&room);
	kwb_registry_finish(&registry);
	event_base_free(base);
}

/* A service without places doesn't keep requests of another one waiting. */
static void
test_room_services(void)
{
	static const struct kwb_room_waiter_ops ops = {
	    .start = queued_start, .refuse = queued_refuse};
	struct event_base *base = event_base_new();
	struct kwb_registry registry;
	struct queued queued[41] = {0};
	struct kwb_room room;
	size_t i;

	queue_places = queue_turn = 0;
	kwb_registry_init(&registry);
	CU_ASSERT_EQUAL_FATAL(kwb_room_init(&room, base, &registry), 0);
	for (i = 0; i < COUNT(queued); i++) {
		queued[i].waiter = (struct kwb_room_waiter){.ops = &ops,
		    .service = i < 40 ? "full" : "s",
		    .workspace = "w",
		    .id = "id",
		    .rank = i < 40 ? 0 : 3,
		    .deadline_ns = kwb_clock_now_ns() + 60000 * KWB_MS_NS};
		kwb_room_enter(&room, &queued[i].waiter);
	}
	room.services[0].limit.limit_milli = KWB_ROOM_LIMIT_MIN_MILLI;
	room.services[0].limit.in_flight = 1;
	queue_places = 40;
	kwb_room_wake(&room);
	event_base_loop(base, EVLOOP_ONCE);
	CU_ASSERT_EQUAL(queued[40].turn, 1);
	CU_ASSERT_EQUAL(room.waiting_count, 40);
	for (i = 0; i < 40; i++)
		kwb_room_leave(&room, &queued[i].waiter);
	kwb_room_finish(&room);
	kwb_registry_finish(&registry);
	event_base_free(base);
}

/* Plain requests at their limit keep no stream of their service waiting. */
static void
test_room_streams(void)
{
	static const struct kwb_room_waiter_ops ops = {
	    .start = queued_start, .refuse = queued_refuse};
	struct event_base *base = event_base_new();
	struct kwb_registry registry;
	struct queued queued[3] = {0};
	struct kwb_room room;
	size_t i;

	queue_places = queue_turn = 0;
	kwb_registry_init(&registry);
	CU_ASSERT_EQUAL_FATAL(kwb_room_init(&room, base, &registry), 0);
	for (i = 0; i < COUNT(queued); i++) {
		queued[i].waiter = (struct kwb_room_waiter){.ops = &ops,
		    .service = "s",
		    .workspace = "w",
		    .id = "id",
		    .is_stream = i == 2,
		    .deadline_ns = kwb_clock_now_ns() + 60000 * KWB_MS_NS};
		kwb_room_enter(&room, &queued[i].waiter);
	}
	room.services[0].limit.limit_milli = KWB_ROOM_LIMIT_MIN_MILLI;
	room.services[0].limit.in_flight = 1;
	queue_places = 3;
	kwb_room_wake(&room);
	event_base_loop(base, EVLOOP_ONCE);
	CU_ASSERT_EQUAL(queued[2].turn, 1);
	CU_ASSERT_EQUAL(room.waiting_count, 2);
	for (i = 0; i < COUNT(queued); i++)
		kwb_room_leave(&room, &queued[i].waiter);
	kwb_room_finish(&room);
	kwb_registry_finish(&registry);
	event_base_free(base);
}

/* A place is given back once, also when its request ends in two ways. */
static void
test_room_place_is_given_back(void)
{
	const struct kwb_room_outcome soon = answer_after(30, false);
	static const struct kwb_room_waiter_ops ops = {
	    .start = queued_start, .refuse = queued_refuse};
	struct event_base *base = event_base_new();
	struct kwb_registry registry;
	struct queued queued = {
	    .waiter = {
		.ops = &ops, .service = "s", .workspace = "w", .id = "id"}};
	struct kwb_room room;

	queue_places = 1;
	kwb_registry_init(&registry);
	CU_ASSERT_EQUAL_FATAL(kwb_room_init(&room, base, &registry), 0);
	queued.waiter.deadline_ns = kwb_clock_now_ns() + 800 * KWB_MS_NS;
	kwb_room_enter(&room, &queued.waiter);
	CU_ASSERT_EQUAL(room.services[0].limit.in_flight, 1);
	kwb_room_end(&room, &queued.waiter, &soon);
	kwb_room_end(&room, &queued.waiter, &soon);
	CU_ASSERT_EQUAL(room.services[0].limit.in_flight, 0);
	/* Nor does a request hold one that no upstream takes. */
	kwb_room_enter(&room, &queued.waiter);
	CU_ASSERT_EQUAL(room.services[0].limit.in_flight, 0);
	kwb_room_leave(&room, &queued.waiter);
	kwb_room_finish(&room);
	kwb_registry_finish(&registry);
	event_base_free(base);
}

unsigned room_tests_add(CU_pSuite suite);

/* Returns the number of tests added. */
unsigned
room_tests_add(CU_pSuite suite)
{
	static const struct {
		const char *name;
		void (*run)(void);
	} tests[] = {{"room_burst", test_room_burst},
	    {"room_one_large_among_eighty", test_room_one_large_among_eighty},
	    {"room_three_ranks", test_room_three_ranks},
	    {"room_order", test_room_order},
	    {"room_is_free", test_room_is_free},
	    {"room_returns_are_spread", test_room_returns_are_spread},
	    {"room_shares_are_bounded", test_room_shares_are_bounded},
	    {"room_load_reports", test_room_load_reports},
	    {"room_limit", test_room_limit},
	    {"room_limit_admits", test_room_limit_admits},
	    {"room_place_is_given_back", test_room_place_is_given_back},
	    {"room_services", test_room_services},
	    {"room_streams", test_room_streams},
	    {"room_queue", test_room_queue}};
	unsigned i;

	for (i = 0; i < COUNT(tests); i++)
		CU_add_test(suite, tests[i].name, tests[i].run);
	return COUNT(tests);
}
