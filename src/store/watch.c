/*
 * Watchdog for a store that is silent: connections stay open, but nothing is
 * answered. Calls sent during the silence would otherwise wait for their own
 * timeouts long after the store is back. Probes find out when it answers again;
 * calls that were sent before the answered probe and remain unanswered shortly
 * after it end as unknown, so that their callers read back or send again. While
 * other calls are answered, a call that waits too long is sent a second time.
 */
#include <event2/event.h>
#include <string.h>

#include "kwb_node.h"

static void
probe_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_store_watchdog *watchdog = call->context;

	if (answer->error != 0)
		return;
	watchdog->silent = false;
	watchdog->give_up_before_ns = watchdog->probe_sent_ns;
	kwb_timer_arm(
	    watchdog->timer, kwb_clock_now_ns() + KWB_GIVE_UP_DELAY_NS);
}

static void
probe_send(struct kwb_store_watchdog *watchdog)
{
	watchdog->probe_sent_ns = kwb_clock_now_ns();
	watchdog->probe.on_done = probe_on_answer;
	watchdog->probe.context = watchdog;
	if (kwb_store_probe(watchdog->store, &watchdog->probe) != 0)
		kwb_log(KWB_LOG_WARN, "store", "event=probe_not_sent");
}

static void
watchdog_on_timer(int fd, short what, void *context)
{
	static const struct kwb_store_answer unanswered = {
	    .error = KWB_ERR_STORE_NO_ANSWER};
	struct kwb_store_watchdog *watchdog = context;
	uint64_t now_ns = kwb_clock_now_ns();
	uint64_t silence_ns = now_ns - watchdog->store->last_answer_ns;
	uint64_t timeout_ns = silence_ns >= KWB_STORE_SILENT_NS
	    ? KWB_STORE_WATCHDOG_NS
	    : KWB_PROBE_TIMEOUT_NS; /* others are answered: it is slow */

	(void)fd;
	(void)what;
	if (watchdog->give_up_before_ns != 0)
		kwb_store_give_up(watchdog->store, watchdog->give_up_before_ns);
	watchdog->give_up_before_ns = 0;
	if (watchdog->probe.pending != NULL &&
	    now_ns - watchdog->probe_sent_ns >= timeout_ns) {
		kwb_store_cancel(watchdog->store, &watchdog->probe);
		kwb_store_record_answer(watchdog->store, &unanswered, false);
	}
	if (silence_ns >= KWB_STORE_SILENT_NS)
		watchdog->silent = true;
	if (watchdog->silent && watchdog->probe.pending == NULL)
		probe_send(watchdog);
	if (!watchdog->silent)
		watchdog->store->ops->resend_overdue(watchdog->store);
	kwb_timer_arm(watchdog->timer, now_ns + KWB_STORE_WATCHDOG_NS);
}

int
kwb_store_watchdog_init(struct kwb_store_watchdog *watchdog,
    struct event_base *base, struct kwb_store *store)
{
	memset(watchdog, 0, sizeof(*watchdog));
	watchdog->store = store;
	watchdog->timer = kwb_timer_new(base, watchdog_on_timer, watchdog);
	if (watchdog->timer == NULL)
		return KWB_ERR_MEMORY;
	kwb_timer_arm(
	    watchdog->timer, kwb_clock_now_ns() + KWB_STORE_SILENT_NS);
	return 0;
}

void
kwb_store_watchdog_finish(struct kwb_store_watchdog *watchdog)
{
	kwb_store_cancel(watchdog->store, &watchdog->probe);
	event_free(watchdog->timer);
}
