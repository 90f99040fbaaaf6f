/*
 * Unit tests of the account of memory and descriptors.
 */
#include <event2/event.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <CUnit/CUnit.h>

#include "kwb_node.h"

#define MB (1024u * 1024u)
#define COUNT(table) (sizeof(table) / sizeof((table)[0]))

/* A crowd of large bodies on a VM of 120 MB. */
static void
test_account(void)
{
	struct kwb_memory memory;
	unsigned taken = 0;

	kwb_memory_init(&memory, 120);
	CU_ASSERT_EQUAL(memory.budget_bytes, 80 * MB);
	CU_ASSERT_TRUE(kwb_memory_can_ever_take(&memory, 32 * MB));
	CU_ASSERT_FALSE(kwb_memory_can_ever_take(&memory, 80 * MB));
	while (taken < 48 && kwb_memory_take(&memory, KWB_MEMORY_CALLS, 8 * MB))
		taken++;
	CU_ASSERT_TRUE(taken >= 4 && taken <= 7);
	CU_ASSERT_FALSE(kwb_memory_is_over(&memory));
	kwb_memory_release(&memory, KWB_MEMORY_CALLS, 8 * MB);
	CU_ASSERT_TRUE(kwb_memory_take(&memory, KWB_MEMORY_CALLS, 8 * MB));
	CU_ASSERT_EQUAL(kwb_memory_used_bytes(&memory), taken * 8ull * MB);
}

/* Takes large bodies until none fits; 1000 if there is no end to it. */
static unsigned
take_all(struct kwb_memory *memory, enum kwb_memory_use use)
{
	unsigned taken = 0;

	while (taken < 1000 && kwb_memory_take(memory, use, MB))
		taken++;
	return taken;
}

/* Beside that crowd: small bodies, submissions and answers go on. */
static void
test_guaranteed_parts(void)
{
	struct kwb_memory memory;

	kwb_memory_init(&memory, 120);
	CU_ASSERT_TRUE(take_all(&memory, KWB_MEMORY_CALLS) < 80);
	CU_ASSERT_TRUE(kwb_memory_take(&memory, KWB_MEMORY_CALLS, 1000));
	CU_ASSERT_TRUE(kwb_memory_take(&memory, KWB_MEMORY_BATCHES, 4 * MB));
	CU_ASSERT_TRUE(kwb_memory_take(&memory, KWB_MEMORY_ANSWERS, 4 * MB));
	kwb_memory_init(&memory, 120);
	CU_ASSERT_TRUE(take_all(&memory, KWB_MEMORY_BATCHES) < 80);
	CU_ASSERT_TRUE(kwb_memory_take(&memory, KWB_MEMORY_CALLS, 4 * MB));
}

/* Answers are there, whether they fit or not. */
static void
test_over_budget(void)
{
	struct kwb_memory memory;

	kwb_memory_init(&memory, 120);
	kwb_memory_charge(&memory, KWB_MEMORY_ANSWERS, 80 * MB);
	CU_ASSERT_FALSE(kwb_memory_is_over(&memory));
	CU_ASSERT_FALSE(kwb_memory_take(&memory, KWB_MEMORY_CALLS, 1));
	kwb_memory_charge(&memory, KWB_MEMORY_ANSWERS, 1);
	CU_ASSERT_TRUE(kwb_memory_is_over(&memory));
	CU_ASSERT_FALSE(kwb_memory_is_critical(&memory));
	kwb_memory_charge(&memory, KWB_MEMORY_ANSWERS, 10 * MB);
	CU_ASSERT_TRUE(kwb_memory_is_critical(&memory));
	kwb_memory_init(&memory, 24); /* less than the reserve */
	CU_ASSERT_EQUAL(memory.budget_bytes, 6 * MB);
}

static void
test_stalled_holders(void)
{
	uint64_t now_ns = 100 * KWB_HOLDER_STALL_NS;
	struct kwb_holder short_of_end = {
	    .bytes = 8 * MB, .progress_ns = now_ns - KWB_HOLDER_STALL_NS};
	struct kwb_holder sending = {
	    .bytes = 8 * MB, .progress_ns = now_ns - KWB_HOLDER_STALL_NS / 2};
	struct kwb_holder held = short_of_end;
	struct kwb_holder empty = short_of_end;

	held.is_protected = true;
	empty.bytes = 0;
	CU_ASSERT_TRUE(kwb_holder_is_stalled(&short_of_end, now_ns));
	CU_ASSERT_FALSE(kwb_holder_is_stalled(&sending, now_ns));
	CU_ASSERT_FALSE(kwb_holder_is_stalled(&held, now_ns));
	CU_ASSERT_FALSE(kwb_holder_is_stalled(&empty, now_ns));
}

static void
test_yielding_order(void)
{
	/* In the order in which they give way. */
	static const struct kwb_holder holders[] = {
	    {.progress_ns = 5, .is_idle = true},
	    {.progress_ns = 9, .is_idle = true},
	    {.progress_ns = 2, .bytes = 1000},
	    {.progress_ns = 8, .bytes = 8 * MB},
	    {.progress_ns = 1, .bytes = 8 * MB, .is_protected = true}};
	size_t i, j;

	for (i = 0; i < COUNT(holders); i++)
		for (j = i + 1; j < COUNT(holders); j++) {
			CU_ASSERT_TRUE(
			    kwb_holder_yields_before(&holders[i], &holders[j]));
			CU_ASSERT_FALSE(
			    kwb_holder_yields_before(&holders[j], &holders[i]));
		}
}

/* Few descriptors in the settings, or by the kernel, and usual ones. */
static void
test_socket_shares(void)
{
	static const struct {
		uint32_t limit;
		uint64_t kernel_limit;
		uint32_t sockets;
	} cases[] = {{300, 1 << 20, 100}, {3075, 1 << 20, 2875},
	    {8200, 1024, 1024 - KWB_FDS_OWN}, {1000, 64, 64 - KWB_FDS_OWN},
	    {8200, UINT64_MAX, 8000}, {100, 1 << 20, 50}};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct kwb_socket_shares shares =
		    kwb_socket_shares_of(cases[i].limit, cases[i].kernel_limit);

		CU_ASSERT_EQUAL(shares.callers, cases[i].sockets * 3 / 8);
		CU_ASSERT_TRUE(shares.callers + shares.upstreams +
			2 * shares.checks + 2 * shares.relay_pairs + 4 <=
		    cases[i].sockets);
		CU_ASSERT_TRUE(shares.callers > 0 && shares.checks > 0);
	}
}

struct held_conn {
	bool has_room;
	bool is_whole;
};

static bool
held_may_grow(struct kwb_conn *conn, uint64_t body_bytes)
{
	const struct held_conn *held = conn->context;

	(void)body_bytes;
	return held->has_room;
}

static void
held_on_message(struct kwb_conn *conn)
{
	struct held_conn *held = conn->context;

	held->is_whole = true;
}

static void
held_on_close(struct kwb_conn *conn, int error)
{
	(void)conn;
	CU_ASSERT_EQUAL(error, 0);
}

static void
loop_some(struct event_base *base, int fd, const char *data, size_t bytes)
{
	size_t sent_bytes = 0;
	ssize_t count;
	int i;

	for (i = 0; i < 100; i++) {
		count = send(fd, data + sent_bytes, bytes - sent_bytes,
		    MSG_DONTWAIT | MSG_NOSIGNAL);
		if (count > 0)
			sent_bytes += (size_t)count;
		event_base_loop(base, EVLOOP_NONBLOCK);
	}
}

/* A body that waits for room keeps its bytes and leaves the loop idle. */
static void
test_held_conn(void)
{
	static const struct kwb_conn_ops ops = {.may_grow = held_may_grow,
	    .on_message = held_on_message,
	    .on_close = held_on_close};
	static char request[100000];
	struct held_conn held = {0};
	struct event_base *base = event_base_new();
	struct kwb_conn conn;
	int fds[2];
	int head = snprintf(request, sizeof(request),
	    "POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n", 90000);

	memset(request + head, 'x', sizeof(request) - (size_t)head);
	alarm(20); /* a loop that is kept busy never returns */
	CU_ASSERT_EQUAL_FATAL(socketpair(AF_UNIX, SOCK_STREAM, 0, fds), 0);
	evutil_make_socket_nonblocking(fds[0]);
	CU_ASSERT_EQUAL_FATAL(
	    kwb_conn_accept(&conn, base, fds[0], &ops, &held), 0);
	loop_some(base, fds[1], request, (size_t)head + 90000);
	CU_ASSERT_TRUE(conn.is_held);
	CU_ASSERT_FALSE(held.is_whole);
	held.has_room = true;
	kwb_conn_resume(&conn);
	loop_some(base, fds[1], request, 0);
	CU_ASSERT_TRUE(held.is_whole);
	CU_ASSERT_EQUAL(conn.message.body.used_bytes, 90000);
	/* Whole, and not read on: neither does what follows keep it busy. */
	loop_some(base, fds[1], request, sizeof(request));
	kwb_conn_finish(&conn);
	close(fds[1]);
	event_base_loop(base, EVLOOP_NONBLOCK);
	alarm(0);
	event_base_free(base);
}

extern unsigned memory_tests_add(CU_pSuite suite);

unsigned
memory_tests_add(CU_pSuite suite)
{
	static const struct {
		const char *name;
		void (*run)(void);
	} tests[] = {{"memory_account", test_account},
	    {"memory_guaranteed_parts", test_guaranteed_parts},
	    {"memory_over_budget", test_over_budget},
	    {"stalled_holders", test_stalled_holders},
	    {"yielding_order", test_yielding_order},
	    {"socket_shares", test_socket_shares},
	    {"held_conn", test_held_conn}};
	unsigned i;

	for (i = 0; i < COUNT(tests); i++)
		if (CU_add_test(suite, tests[i].name, tests[i].run) == NULL)
			return i;
	return i;
}
