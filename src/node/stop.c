/*
 * A planned stop. The node refuses what would end too late, waits for requests
 * in progress and for those that are still arriving, and at its deadline
 * answers the ones that are left.
 */
#include <event2/buffer.h>
#include <event2/event.h>

#include "caller.h"

/* Whether a caller has not yet read all of its answer. */
static bool
has_unread_answer(const struct kwb_node *node)
{
	struct kwb_caller *caller;

	TAILQ_FOREACH (caller, &node->callers, entry)
		if (evbuffer_get_length(kwb_conn_output(&caller->conn)) > 0)
			return true;
	return false;
}

/* Whether a part of a request has arrived. */
static bool
is_arriving(const struct kwb_caller *caller)
{
	return caller->port == CALLER_PORT_REQUESTS && !caller->is_busy &&
	    !caller->conn.is_closing && caller->conn.head_bytes > 0 &&
	    !caller->conn.is_complete;
}

static bool
has_arriving_request(const struct kwb_node *node)
{
	const struct kwb_caller *caller;

	TAILQ_FOREACH (caller, &node->callers, entry)
		if (is_arriving(caller))
			return true;
	return false;
}

/*
 * The final answer to a request in progress: 503 only if no upstream has had
 * it and no batch may come of it. A stream that has begun must look cut off.
 */
static void
answer_unfinished(struct kwb_caller *caller)
{
	const struct kwb_forward *forward = caller->forward;

	if (caller->is_waiting) {
		caller->is_waiting = false;
		TAILQ_REMOVE(
		    &caller->node->waiting_callers, caller, waiting_entry);
		event_del(caller->timer);
	}
	if (forward != NULL && forward->head_sent)
		return;
	if (forward != NULL && forward->sent_count > 0)
		answer_error(caller, 502, "stopping");
	else
		answer_error(
		    caller, caller->accept != NULL ? 504 : 503, "stopping");
}

/* Answers take some time to be written; see KWB_STOP_MARGIN_MS. */
static void
answer_all_unfinished(struct kwb_node *node)
{
	struct kwb_caller *caller;
	uint32_t busy = node->busy_callers_count;
	uint32_t arriving = 0;

	TAILQ_FOREACH (caller, &node->callers, entry) {
		if (caller->is_busy) {
			answer_unfinished(caller);
		} else if (is_arriving(caller)) {
			arriving++;
			caller_refuse(caller, 503, "stopping");
		}
	}
	kwb_log(KWB_LOG_INFO, "node",
	    "event=stop_deadline busy=%u arriving=%u left=%u", busy, arriving,
	    node->busy_callers_count);
}

bool
node_check_stop(struct kwb_node *node, uint64_t now_ns)
{
	if (now_ns >= node->stop_deadline_ns && !node->has_answered_all) {
		node->has_answered_all = true;
		answer_all_unfinished(node);
		return false;
	}
	if (now_ns >= node->stop_deadline_ns)
		return !has_unread_answer(node) ||
		    now_ns >= node->stop_deadline_ns + KWB_STOP_WRITE_NS;
	return now_ns - node->stop_started_ns >= KWB_STOP_MIN_NS &&
	    node->busy_callers_count == 0 && !has_unread_answer(node) &&
	    !has_arriving_request(node) && kwb_batches_is_idle(&node->batches);
}

void
kwb_node_stop(struct kwb_node *node)
{
	uint64_t now_ns = kwb_clock_now_ns();

	if (node->stop_deadline_ns != 0)
		return;
	node->stop_started_ns = now_ns;
	node->stop_deadline_ns = now_ns +
	    (uint64_t)(node->settings->grace_ms > KWB_STOP_MARGIN_MS
		    ? node->settings->grace_ms - KWB_STOP_MARGIN_MS
		    : 0) *
		KWB_MS_NS;
	kwb_log(KWB_LOG_INFO, "node", "event=stopping busy=%u grace_ms=%u",
	    node->busy_callers_count, node->settings->grace_ms);
	kwb_relay_stop(&node->relay);
	kwb_duties_stop(&node->duties);
	kwb_weight_updater_step_down(&node->weight_updater);
	kwb_batches_hand_over(&node->batches);
}
