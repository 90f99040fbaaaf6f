/*
 * Watches for a store that falls silent: connections stay open and nothing is
 * answered. Without this, calls sent during the silence wait for their own
 * timeouts long after the store is back. A probe finds its return, and what was
 * sent before that probe and is not answered soon after it is given up, to be
 * read back or sent again. While others are answered, calls that wait too long
 * are sent a second time.
 */
#include <event2/event.h>
#include <string.h>

#include "kwb_node.h"

static void
probe_answer(struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_store_watchdog *watch = call->context;

	if (answer->error != 0)
		return;
	watch->silent = false;
	watch->back_ns = watch->probe_ns;
	kwb_timer_at(watch->timer, kwb_clock_now_ns() + KWB_GIVE_UP_DELAY_NS);
}

static void
probe_start(struct kwb_store_watchdog *watch)
{
	watch->probe_ns = kwb_clock_now_ns();
	watch->probe.on_done = probe_answer;
	watch->probe.context = watch;
	if (kwb_store_probe(watch->store, &watch->probe) != 0)
		kwb_log(KWB_LOG_WARN, "store", "event=probe_not_sent");
}

static void
watch_time(int fd, short what, void *context)
{
	static const struct kwb_store_answer none = {
	    .error = KWB_ERR_STORE_UNKNOWN};
	struct kwb_store_watchdog *watch = context;
	uint64_t now_ns = kwb_clock_now_ns();
	uint64_t quiet_ns = now_ns - watch->store->last_answer_ns;
	uint64_t most_ns = quiet_ns >= KWB_STORE_SILENT_NS
	    ? KWB_STORE_WATCHDOG_NS
	    : KWB_PROBE_TIMEOUT_NS; /* others are answered: it is only slow */

	(void)fd;
	(void)what;
	if (watch->back_ns != 0)
		kwb_store_give_up(watch->store, watch->back_ns);
	watch->back_ns = 0;
	if (watch->probe.pending != NULL &&
	    now_ns - watch->probe_ns >= most_ns) {
		kwb_store_cancel(watch->store, &watch->probe);
		kwb_store_record_answer(watch->store, &none, false);
	}
	if (quiet_ns >= KWB_STORE_SILENT_NS)
		watch->silent = true;
	if (watch->silent && watch->probe.pending == NULL)
		probe_start(watch);
	if (!watch->silent)
		watch->store->ops->resend_overdue(watch->store);
	kwb_timer_at(watch->timer, now_ns + KWB_STORE_WATCHDOG_NS);
}

int
kwb_store_watchdog_init(struct kwb_store_watchdog *watch,
    struct event_base *base, struct kwb_store *store)
{
	memset(watch, 0, sizeof(*watch));
	watch->store = store;
	watch->timer = kwb_timer_new(base, watch_time, watch);
	if (watch->timer == NULL)
		return KWB_ERR_MEMORY;
	kwb_timer_at(watch->timer, kwb_clock_now_ns() + KWB_STORE_SILENT_NS);
	return 0;
}

void
kwb_store_watchdog_finish(struct kwb_store_watchdog *watch)
{
	kwb_store_cancel(watch->store, &watch->probe);
	event_free(watch->timer);
}
