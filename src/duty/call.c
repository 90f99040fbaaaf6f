/*
 * Duty calls: one at a time, within the platform's rate, and only under the
 * lease. The token and the boot clock are checked right before the send, and a
 * call ends with the lease, so that a node that was suspended sends nothing
 * under an old token.
 */
#include <event2/buffer.h>
#include <string.h>

#include "kwb_node.h"

enum kwb_duty_outcome
kwb_duty_outcome(int error, uint16_t status)
{
	if (error != 0 || status == 408 || status == 429 || status >= 500)
		return KWB_DUTY_RETRY;
	if (status / 100 == 2)
		return KWB_DUTY_DONE;
	return status == 409 ? KWB_DUTY_FENCED : KWB_DUTY_REJECTED;
}

/* Load: a platform that is down or refuses, for seconds or minutes. */
uint64_t
kwb_duty_backoff_ns(uint32_t failures)
{
	uint64_t delay_ns = KWB_DUTY_RETRY_MIN_NS;

	while (failures-- > 1 && delay_ns < KWB_DUTY_RETRY_MAX_NS)
		delay_ns *= 2;
	return delay_ns < KWB_DUTY_RETRY_MAX_NS ? delay_ns
						: KWB_DUTY_RETRY_MAX_NS;
}

bool
kwb_duty_caller_is_free(const struct kwb_duty_caller *caller)
{
	return !caller->is_pending &&
	    kwb_clock_now_ns() >= caller->next_call_ns &&
	    kwb_store_lease_fence(caller->lease) != 0;
}

bool
kwb_duty_caller_stamp(
    const struct kwb_duty_caller *caller, struct kwb_duty_stamp *stamp)
{
	stamp->address = &caller->settings->duty_address;
	stamp->holder = caller->settings->node;
	stamp->fence = kwb_store_lease_fence(caller->lease);
	return stamp->fence != 0;
}

static void
exchange_on_done(struct kwb_exchange *exchange, int error)
{
	struct kwb_duty_caller *caller = exchange->context;
	uint16_t status =
	    error == 0 ? kwb_exchange_answer(exchange)->status : 0;
	enum kwb_duty_outcome outcome = kwb_duty_outcome(error, status);

	caller->is_pending = false;
	kwb_exchange_finish(exchange);
	if (outcome != KWB_DUTY_DONE)
		kwb_log(KWB_LOG_WARN, "duty",
		    "event=call_failed holder=%s fence=%llu status=%u error=%s",
		    caller->settings->node,
		    (unsigned long long)caller->lease->fence, status,
		    kwb_error_name(error));
	if (outcome == KWB_DUTY_FENCED || outcome == KWB_DUTY_REJECTED)
		kwb_metric_add(KWB_METRIC_DUTY_CALLS_REFUSED, 1);
	if (outcome == KWB_DUTY_FENCED)
		kwb_store_lease_mark_lost(caller->lease);
	caller->on_done(caller->context, outcome);
}

static const struct kwb_exchange_ops exchange_ops = {
    .on_done = exchange_on_done,
};

int
kwb_duty_caller_start(struct kwb_duty_caller *caller, struct evbuffer *request,
    void (*on_done)(void *context, enum kwb_duty_outcome outcome),
    void *context)
{
	uint32_t rate = caller->settings->duty_calls_per_s;
	uint64_t now_ns = kwb_clock_now_ns();
	uint64_t boot_ns = kwb_boot_now_ns();
	uint64_t left_ns;
	int code;

	if (!kwb_duty_caller_is_free(caller) ||
	    caller->lease->held_until_ns <= boot_ns)
		return KWB_ERR_ARGUMENT;
	left_ns = caller->lease->held_until_ns - boot_ns;
	memset(&caller->exchange, 0, sizeof(caller->exchange));
	caller->exchange.ops = &exchange_ops;
	caller->exchange.context = caller;
	caller->exchange.deadline_ns = now_ns +
	    (left_ns < KWB_DUTY_TIMEOUT_NS ? left_ns : KWB_DUTY_TIMEOUT_NS);
	caller->on_done = on_done;
	caller->context = context;
	code = kwb_exchange_start(&caller->exchange, caller->client,
	    &caller->settings->duty_address, request);
	if (code != 0)
		return code;
	caller->is_pending = true;
	if (rate != 0)
		caller->next_call_ns = now_ns + 1000 * KWB_MS_NS / rate;
	return 0;
}

void
kwb_duty_caller_cancel(struct kwb_duty_caller *caller)
{
	if (caller->is_pending)
		kwb_exchange_finish(&caller->exchange);
	caller->is_pending = false;
}
