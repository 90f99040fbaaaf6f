/*
 * Plain calls. A non-idempotent call goes to one agent under one key. If its
 * outcome is unknown, that agent is asked; an agent that never saw the key bars
 * it, so that it can't run later. Only a call that surely did not run is sent
 * to another agent.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../entry/entry.h"

#define OUTCOME_WAIT_NS (500 * KWB_MS_NS) /* after the call's deadline */
#define RETRY_DELAY_NS (2 * KWB_MS_NS)

/* A call while it is sent to agents, one after another, and answered. */
struct dispatch {
	struct kwb_entry *entry;
	struct call *call;
	struct call_answer *answer;
	struct inbox inbox;
	struct target target;
	uint64_t request; /* id of the current request on the link */
	uint64_t outcome_deadline_ns;
};

enum next_action { ACTION_STOP, ACTION_RETRY };

static enum next_action call_attempt(struct dispatch *dispatch);
static int call_reserve_target(struct dispatch *dispatch);
static int run_send(struct dispatch *dispatch);
static int query_send(struct dispatch *dispatch);
static void bar_key(struct dispatch *dispatch);
static void wait_for_outcome(struct dispatch *dispatch);
static void dispatch_on_done(
    struct dispatch *dispatch, const Kwb__Wire__Done *done);
static void query_after_reconnect(struct dispatch *dispatch);
static bool can_retry(const struct dispatch *dispatch);
static void answer_set(
    struct call_answer *answer, enum kwb_outcome outcome, int error);

/*
 * Runs a call to its outcome, with retries until its deadline. The caller frees
 * the answer's body.
 */
void
call_run(struct kwb_entry *entry, struct call *call, struct call_answer *answer)
{
	struct plan_state *gate = entry_plan_state(entry, call->plan);
	struct dispatch dispatch = {
	    .entry = entry,
	    .call = call,
	    .answer = answer,
	    .outcome_deadline_ns = call->deadline_ns + OUTCOME_WAIT_NS,
	};
	bool is_retry = false, was_full;

	memset(answer, 0, sizeof(*answer));
	kwb_buf_init(&answer->body);
	inbox_init(&dispatch.inbox);
	kwb_retry_budget_add_try(&gate->retry_budget);
	do {
		/* A refusal for lack of room costs no retry: nothing ran. */
		was_full = answer->error == KWB_ERR_ROUTE_FULL ||
		    answer->error == KWB_ERR_CALL_BUSY;
		if (is_retry && !was_full &&
		    !kwb_retry_budget_take(&gate->retry_budget))
			break;
		if (is_retry)
			kwb_clock_sleep_ns(RETRY_DELAY_NS);
		is_retry = true;
	} while (call_attempt(&dispatch) == ACTION_RETRY &&
	    kwb_clock_now_ns() < call->deadline_ns);
	if (call->is_named && answer->outcome == KWB_OUTCOME_NOT_RUN &&
	    answer->error != KWB_ERR_CALL_BARRED)
		bar_key(&dispatch);
	inbox_finish(&dispatch.inbox);
}

/* Pins a key, new if pin has none, to an agent that can take a call now. */
int
call_pin_create(struct kwb_entry *entry, const char *plan, const char *pool,
    struct kwb_pin *pin)
{
	struct kwb_route_query query = {
	    .random = entry_random(), .exclude = -1, .priority = true};
	struct target target;
	int error = peers_pick(entry, &query, plan, NULL, pin->key, &target);

	(void)pool;
	if (error != 0)
		return error;
	kwb_text_copy(pin->vm, sizeof(pin->vm), target.vm);
	pin->incarnation = target.incarnation;
	pin->minted_ms = kwb_clock_wall_ms();
	if (pin->key[0] == '\0')
		kwb_call_key_print(pin->key, sizeof(pin->key), &entry->origin,
		    plan, atomic_fetch_add(&entry->registry.next_id, 1));
	peers_release(entry, &target, 0);
	return 0;
}

static enum next_action
call_attempt(struct dispatch *dispatch)
{
	struct kwb_entry *entry = dispatch->entry;
	struct call_answer *answer = dispatch->answer;
	int error = call_reserve_target(dispatch);

	if (error != 0) {
		answer_set(answer, KWB_OUTCOME_NOT_RUN, error);
		return ACTION_RETRY;
	}
	kwb_text_copy(answer->vm, sizeof(answer->vm), dispatch->target.vm);
	error = run_send(dispatch);
	if (error == 0)
		wait_for_outcome(dispatch);
	else
		answer_set(answer, KWB_OUTCOME_NOT_RUN, error);
	registry_close_request(&entry->registry, dispatch->request);
	peers_release(entry, &dispatch->target, answer->error);
	if (answer->outcome == KWB_OUTCOME_RAN)
		return ACTION_STOP;
	return can_retry(dispatch) ? ACTION_RETRY : ACTION_STOP;
}

/*
 * Reserves a slot at the agent that the call is pinned to; a call without a
 * pin is first pinned to a chosen agent under a new key.
 */
static int
call_reserve_target(struct dispatch *dispatch)
{
	struct call *call = dispatch->call;
	int error;

	if (!call->is_named && call->pin.vm[0] == '\0') {
		error = call_pin_create(
		    dispatch->entry, call->plan, call->pool, &call->pin);
		if (error != 0)
			return error;
	}
	error = peers_reserve(
	    dispatch->entry, call->pin.vm, call->plan, NULL, &dispatch->target);
	if (error != 0 && !call->is_named)
		memset(&call->pin, 0, sizeof(call->pin));
	return error;
}

static int
run_send(struct dispatch *dispatch)
{
	Kwb__Wire__Run run = KWB__WIRE__RUN__INIT;
	KWB_FRAME_DECLARE(frame, RUN, run, run);
	struct call *call = dispatch->call;
	struct target *target = &dispatch->target;

	dispatch->request = registry_open_request(
	    &dispatch->entry->registry, &dispatch->inbox, target->link, NULL);
	run.request = dispatch->request;
	run.key = call->pin.key;
	run.plan = (char *)call->plan;
	run.lists_revision = kwb_current_lists_revision();
	run.agent_incarnation = call->pin.incarnation;
	run.minted_ms = call->pin.minted_ms;
	run.budget_ms = (uint32_t)kwb_clock_remaining_ms(call->deadline_ns);
	run.slack_ms = run.budget_ms;
	run.priority = 1;
	run.idempotent = call->idempotent;
	run.method = (char *)call->method;
	run.path = (char *)call->path;
	run.content_type = (char *)call->content_type;
	run.body.data = (uint8_t *)call->body;
	run.body.len = call->body_bytes;
	return kwb_link_send(&dispatch->entry->loop, target->link, &frame);
}

/*
 * Waits for the answer to the current request. If the link is lost, the agent
 * is asked over a new one, unless the call is idempotent and can just be
 * repeated.
 */
static void
wait_for_outcome(struct dispatch *dispatch)
{
	struct event *event;

	answer_set(
	    dispatch->answer, KWB_OUTCOME_UNKNOWN, KWB_ERR_CALL_DEADLINE);
	while ((event = inbox_wait(
		    &dispatch->inbox, dispatch->outcome_deadline_ns)) != NULL) {
		bool is_own = event->request_id == dispatch->request;
		bool link_lost = event->kind == EVENT_LINK_LOST;

		if (is_own && !link_lost &&
		    event->frame->body_case == KWB__WIRE__FRAME__BODY_DONE) {
			dispatch_on_done(dispatch, event->frame->done);
			inbox_event_free(event);
			return;
		}
		inbox_event_free(event);
		if (!is_own || !link_lost)
			continue;
		answer_set(
		    dispatch->answer, KWB_OUTCOME_UNKNOWN, KWB_ERR_WIRE_CLOSED);
		if (dispatch->call->idempotent)
			return;
		query_after_reconnect(dispatch);
		if (dispatch->answer->error != 0)
			return;
	}
}

static void
dispatch_on_done(struct dispatch *dispatch, const Kwb__Wire__Done *done)
{
	struct call_answer *answer = dispatch->answer;

	answer_set(answer, done->outcome, done->error);
	if (done->outcome == KWB_OUTCOME_RAN) {
		answer->status = done->status;
		kwb_text_copy(answer->content_type,
		    sizeof(answer->content_type), done->content_type);
		kwb_buf_add(&answer->body, done->body.data, done->body.len);
	}
	/* A restarted agent does not know what its predecessor ran. */
	if (done->error == KWB_ERR_CALL_INCARNATION && dispatch->call->is_named)
		answer->outcome = KWB_OUTCOME_UNKNOWN;
}

/*
 * After the loss of a link: waits for a new one to the same agent process and
 * sends a query. If that succeeds the answer's error is 0 and the outcome is
 * still to be waited for.
 */
static void
query_after_reconnect(struct dispatch *dispatch)
{
	struct kwb_entry *entry = dispatch->entry;
	struct kwb_pin *pin = &dispatch->call->pin;
	struct call_answer *answer = dispatch->answer;

	registry_close_request(&entry->registry, dispatch->request);
	peers_release(entry, &dispatch->target, KWB_ERR_WIRE_CLOSED);
	while (kwb_clock_now_ns() < dispatch->outcome_deadline_ns) {
		if (peers_reserve(entry, pin->vm, dispatch->call->plan, NULL,
			&dispatch->target) != 0) {
			kwb_clock_sleep_ns(KWB_QUEUE_POLL_NS);
			continue;
		}
		if (dispatch->target.incarnation != pin->incarnation) {
			answer_set(answer, KWB_OUTCOME_UNKNOWN,
			    KWB_ERR_CALL_INCARNATION);
			return;
		}
		if (query_send(dispatch) == 0) {
			answer_set(answer, KWB_OUTCOME_UNKNOWN, 0);
			return;
		}
		registry_close_request(&entry->registry, dispatch->request);
		peers_release(entry, &dispatch->target, KWB_ERR_WIRE_CLOSED);
	}
}

/*
 * A caller may send its own key again through another entry. So before this one
 * answers "not run", the agent must bar the key, or tell the outcome if it has
 * run the key meanwhile.
 */
static void
bar_key(struct dispatch *dispatch)
{
	dispatch->outcome_deadline_ns = kwb_clock_now_ns() + OUTCOME_WAIT_NS;
	dispatch->request = 0;
	dispatch->target.peer_index = -1;
	query_after_reconnect(dispatch);
	if (dispatch->answer->outcome == KWB_OUTCOME_NOT_RUN)
		answer_set(dispatch->answer, KWB_OUTCOME_UNKNOWN,
		    KWB_ERR_ROUTE_NO_UPSTREAM);
	if (dispatch->answer->error == 0) {
		wait_for_outcome(dispatch);
		registry_close_request(
		    &dispatch->entry->registry, dispatch->request);
		peers_release(dispatch->entry, &dispatch->target,
		    dispatch->answer->error);
	}
}

static int
query_send(struct dispatch *dispatch)
{
	Kwb__Wire__Query query = KWB__WIRE__QUERY__INIT;
	KWB_FRAME_DECLARE(frame, QUERY, query, query);

	dispatch->request = registry_open_request(&dispatch->entry->registry,
	    &dispatch->inbox, dispatch->target.link, NULL);
	query.request = dispatch->request;
	query.key = dispatch->call->pin.key;
	query.agent_incarnation = dispatch->call->pin.incarnation;
	kwb_log(KWB_LOG_INFO, "call", "event=query key=%s vm=%s", query.key,
	    dispatch->target.vm);
	return kwb_link_send(
	    &dispatch->entry->loop, dispatch->target.link, &frame);
}

/*
 * A call that did not run is retried at another agent under a new key, an
 * idempotent one also if its outcome is unknown. A call that its caller named
 * keeps its key, and is retried at its agent only if that was busy or had newer
 * lists.
 */
static bool
can_retry(const struct dispatch *dispatch)
{
	const struct call_answer *answer = dispatch->answer;
	struct call *call = dispatch->call;

	if (call->is_named)
		return answer->outcome == KWB_OUTCOME_NOT_RUN &&
		    (answer->error == KWB_ERR_CALL_BUSY ||
			answer->error == KWB_ERR_CALL_STALE_LISTS);
	if (answer->error == KWB_ERR_ARGUMENT)
		return false;
	if (answer->outcome == KWB_OUTCOME_NOT_RUN || call->idempotent) {
		memset(&call->pin, 0, sizeof(call->pin));
		return true;
	}
	return false;
}

static void
answer_set(struct call_answer *answer, enum kwb_outcome outcome, int error)
{
	answer->outcome = outcome;
	answer->error = error;
}
