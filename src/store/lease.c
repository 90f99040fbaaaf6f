/*
 * A lease that lets one node at a time do a job, kept in one row of the store
 * with a fencing token. The holder acts until half a term after the start of
 * its last renewal. Another node takes over one and a half terms after it first
 * read that renewal. So at least a whole term lies between the last order of
 * one holder and the first of the next, without comparing their clocks. Where
 * the receivers of orders check the token, two thirds of a term are enough,
 * because they refuse late orders of the old holder. All times are of the boot
 * clock, which runs on while a machine is suspended.
 *
 * A row's value is "HOLDER FENCE LAST_HOLDER"; HOLDER is "-" once the lease
 * has been released.
 */
#include <event2/event.h>
#include <stdio.h>
#include <string.h>

#include "kwb_node.h"

#define LEASE_TABLE "leases"
#define LEASE_VALUE_BYTES 160

static void
lease_schedule(struct kwb_store_lease *lease, uint64_t delay_ns)
{
	kwb_timer_arm(lease->timer, kwb_clock_now_ns() + delay_ns);
}

static void
set_fence(struct kwb_store_lease *lease, uint64_t fence, const char *reason)
{
	if (lease->fence == fence)
		return;
	lease->fence = fence;
	kwb_log(KWB_LOG_INFO, "lease",
	    "event=%s name=%s holder=%s fence=%llu reason=%s",
	    fence != 0 ? "acquired" : "lost", lease->name, lease->holder,
	    (unsigned long long)(fence ? fence : lease->row_fence), reason);
	lease->on_change(lease->context);
}

static void
lease_write(struct kwb_store_lease *lease, uint64_t fence, bool release)
{
	static struct kwb_tx tx;
	char value[LEASE_VALUE_BYTES];
	int length;

	memset(&tx, 0, sizeof(tx));
	length = snprintf(value, sizeof(value), "%s %llu %s",
	    release ? "-" : lease->holder, (unsigned long long)fence,
	    lease->holder);
	kwb_tx_expect(&tx, LEASE_TABLE, "", lease->name, lease->row_revision);
	kwb_tx_put(&tx, LEASE_TABLE, "", lease->name, value, (size_t)length);
	lease->started_ns = kwb_boot_now_ns();
	lease->writing = true;
	lease->row_fence = fence;
	if (lease->store->ops->transact(lease->store, &tx, &lease->call) != 0)
		lease_schedule(lease, lease->lease_ns / 3);
}

static void
lease_read(struct kwb_store_lease *lease)
{
	char end_key[KWB_NAME_MAX_BYTES + 1];
	struct kwb_range range = {.table = LEASE_TABLE,
	    .part = "",
	    .from = lease->name,
	    .to = end_key};

	snprintf(end_key, sizeof(end_key), "%s\x01", lease->name);
	lease->started_ns = kwb_boot_now_ns();
	lease->writing = false;
	if (lease->store->ops->range(lease->store, &range, &lease->call) != 0)
		lease_schedule(lease, lease->lease_ns / 3);
}

/* Takes the lease if the row read allows it, else schedules another read. */
static void
lease_take_if_free(struct kwb_store_lease *lease, const struct kwb_row *row)
{
	char holder[KWB_NAME_MAX_BYTES] = "";
	char last_holder[KWB_NAME_MAX_BYTES] = "";
	unsigned long long fence = 0;
	uint64_t now_ns = kwb_boot_now_ns();
	uint64_t takeover_ns =
	    lease->fenced ? lease->lease_ns * 2 / 3 : lease->lease_ns * 3 / 2;

	if (row != NULL &&
	    sscanf(row->value, "%63s %llu %63s", holder, &fence, last_holder) <
		2)
		kwb_log(KWB_LOG_WARN, "lease",
		    "event=unreadable name=%s revision=%llu", lease->name,
		    (unsigned long long)row->revision);
	if (lease->row_seen_ns == 0 ||
	    lease->row_revision != (row ? row->revision : 0)) {
		lease->row_revision = row ? row->revision : 0;
		lease->row_seen_ns = now_ns;
	}
	lease->row_fence = fence;
	if (strcmp(holder, "-") == 0)
		takeover_ns = lease->fenced ? 0 : lease->lease_ns;
	if (row == NULL || strcmp(last_holder, lease->holder) == 0 ||
	    now_ns - lease->row_seen_ns >= takeover_ns) {
		lease_write(lease, fence + 1, false);
		return;
	}
	lease_schedule(lease, lease->lease_ns / 6);
}

static void
lease_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_store_lease *lease = call->context;

	if (answer->error == 0 && lease->writing) {
		lease->row_revision = answer->revision;
		lease->row_seen_ns = kwb_boot_now_ns();
		lease->held_until_ns = lease->started_ns + lease->lease_ns / 2;
		if (lease->released) {
			set_fence(lease, 0, "released");
			return;
		}
		set_fence(lease, lease->row_fence, "written");
		lease_schedule(lease, lease->lease_ns / 4);
		return;
	}
	if (answer->error == 0) {
		lease_take_if_free(
		    lease, answer->rows_count > 0 ? &answer->rows[0] : NULL);
		return;
	}
	if (lease->writing && answer->error == KWB_ERR_STORE_CONFLICT)
		set_fence(lease, 0, "taken_by_another");
	if (lease->released)
		return;
	/* A write without an answer may have been done: read the row first. */
	if (lease->fence == 0 || answer->error != KWB_ERR_STORE_REFUSED)
		lease->writing = false;
	lease_schedule(lease, KWB_STORE_RETRY_NS);
}

static void
lease_on_timer(int fd, short what, void *context)
{
	struct kwb_store_lease *lease = context;

	(void)fd;
	(void)what;
	if (lease->fence != 0 && kwb_store_lease_fence(lease) == 0)
		set_fence(lease, 0, "not_renewed_in_time");
	if (lease->fence != 0 && lease->writing)
		lease_write(lease, lease->fence, false);
	else
		lease_read(lease);
}

int
kwb_store_lease_init(struct kwb_store_lease *lease, struct event_base *base,
    struct kwb_store *store, const char *name, const char *holder,
    uint64_t lease_ns, bool fenced, void (*on_change)(void *context),
    void *context)
{
	memset(lease, 0, sizeof(*lease));
	lease->store = store;
	lease->name = name;
	lease->holder = holder;
	lease->lease_ns = lease_ns;
	lease->fenced = fenced;
	lease->on_change = on_change;
	lease->context = context;
	lease->call.on_done = lease_on_answer;
	lease->call.context = lease;
	lease->timer = kwb_timer_new(base, lease_on_timer, lease);
	if (lease->timer == NULL)
		return KWB_ERR_MEMORY;
	lease_read(lease);
	return 0;
}

void
kwb_store_lease_finish(struct kwb_store_lease *lease)
{
	kwb_store_cancel(lease->store, &lease->call);
	event_free(lease->timer);
}

uint64_t
kwb_store_lease_fence(const struct kwb_store_lease *lease)
{
	if (lease->released || kwb_boot_now_ns() >= lease->held_until_ns)
		return 0;
	return lease->fence;
}

void
kwb_store_lease_step_down(struct kwb_store_lease *lease)
{
	uint64_t fence = lease->fence;

	if (lease->released)
		return;
	lease->released = true;
	event_del(lease->timer);
	if (fence == 0)
		return;
	kwb_store_cancel(lease->store, &lease->call);
	lease_write(lease, fence, true);
}

void
kwb_store_lease_mark_lost(struct kwb_store_lease *lease)
{
	if (lease->released || lease->fence == 0)
		return;
	lease->held_until_ns = 0;
	set_fence(lease, 0, "fenced_off");
	kwb_store_cancel(lease->store, &lease->call);
	lease->writing = false;
	lease_schedule(lease, lease->lease_ns);
}
