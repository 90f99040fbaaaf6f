/*
 * Plain calls. A non-idempotent call goes to one agent under one key; when it
 * is not known what became of it, the agent is asked, which bars the key if it
 * never saw it. Only what was surely not run goes to another agent.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../entry/entry.h"

#define VERDICT_NS (500 * KWB_MS_NS)
#define RETRY_PAUSE_NS (2 * KWB_MS_NS)

/* One exchange with one agent. */
struct exchange {
	struct kwb_entry *entry;
	struct call *call;
	struct call_answer *answer;
	struct inbox inbox;
	struct target target;
	uint64_t request;
	uint64_t give_up_ns;
};

enum step { STEP_FINAL, STEP_AGAIN };

static enum step call_once(struct exchange *exchange);
static int call_target(struct exchange *exchange);
static int run_send(struct exchange *exchange);
static int query_send(struct exchange *exchange);
static void bar(struct exchange *exchange);
static void await_verdict(struct exchange *exchange);
static void verdict(struct exchange *exchange, const Kwb__Wire__Done *done);
static void settle(struct exchange *exchange);
static bool may_repeat(const struct exchange *exchange);
static void answer_set(
    struct call_answer *answer, enum kwb_outcome outcome, int error);

void
call_run(struct kwb_entry *entry, struct call *call, struct call_answer *answer)
{
	struct plan_gate *gate = entry_gate(entry, call->plan);
	struct exchange exchange = {
	    .entry = entry,
	    .call = call,
	    .answer = answer,
	    .give_up_ns = call->deadline_ns + VERDICT_NS,
	};
	bool sent_before = false, full;

	memset(answer, 0, sizeof(*answer));
	kwb_buf_init(&answer->body);
	inbox_init(&exchange.inbox);
	kwb_retry_budget_add_try(&gate->budget);
	do {
		/* Where all was full nothing was tried, so nothing is spent. */
		full = answer->error == KWB_ERR_ROUTE_FULL ||
		    answer->error == KWB_ERR_CALL_BUSY;
		if (sent_before && !full &&
		    !kwb_retry_budget_take(&gate->budget))
			break;
		if (sent_before)
			kwb_clock_sleep_ns(RETRY_PAUSE_NS);
		sent_before = true;
	} while (call_once(&exchange) == STEP_AGAIN &&
	    kwb_clock_now_ns() < call->deadline_ns);
	if (call->pinned && answer->outcome == KWB_OUTCOME_NOT_RUN &&
	    answer->error != KWB_ERR_CALL_BARRED)
		bar(&exchange);
	inbox_finish(&exchange.inbox);
}

/* Names a call: a key pinned to an agent that can take it now. */
int
call_mint(struct kwb_entry *entry, const char *plan, const char *pool,
    struct kwb_pin *pin)
{
	struct kwb_route_query route = {
	    .random = entry_random(), .exclude = -1, .priority = true};
	struct target target;
	int error = peers_pick(entry, &route, plan, NULL, pin->key, &target);

	(void)pool;
	if (error != 0)
		return error;
	kwb_text_copy(pin->vm, sizeof(pin->vm), target.vm);
	pin->incarnation = target.incarnation;
	pin->minted_ms = kwb_clock_wall_ms();
	if (pin->key[0] == '\0')
		kwb_key_call(pin->key, sizeof(pin->key), &entry->origin, plan,
		    atomic_fetch_add(&entry->registry.next_id, 1));
	peers_release(entry, &target, 0);
	return 0;
}

static enum step
call_once(struct exchange *exchange)
{
	struct kwb_entry *entry = exchange->entry;
	struct call_answer *answer = exchange->answer;
	int error = call_target(exchange);

	if (error != 0) {
		answer_set(answer, KWB_OUTCOME_NOT_RUN, error);
		return STEP_AGAIN;
	}
	kwb_text_copy(answer->vm, sizeof(answer->vm), exchange->target.vm);
	error = run_send(exchange);
	if (error == 0)
		await_verdict(exchange);
	else
		answer_set(answer, KWB_OUTCOME_NOT_RUN, error);
	registry_close(&entry->registry, exchange->request);
	peers_release(entry, &exchange->target, answer->error);
	if (answer->outcome == KWB_OUTCOME_RAN)
		return STEP_FINAL;
	return may_repeat(exchange) ? STEP_AGAIN : STEP_FINAL;
}

/*
 * Where the call goes: to the agent it is pinned to, else to a new one under
 * a new key. A pinned call whose agent restarted can't be known any more.
 */
static int
call_target(struct exchange *exchange)
{
	struct call *call = exchange->call;
	int error;

	if (!call->pinned && call->pin.vm[0] == '\0') {
		error = call_mint(
		    exchange->entry, call->plan, call->pool, &call->pin);
		if (error != 0)
			return error;
	}
	error = peers_target(
	    exchange->entry, call->pin.vm, call->plan, NULL, &exchange->target);
	if (error != 0 && !call->pinned)
		memset(&call->pin, 0, sizeof(call->pin));
	return error;
}

static int
run_send(struct exchange *exchange)
{
	Kwb__Wire__Run run = KWB__WIRE__RUN__INIT;
	KWB_FRAME(frame, RUN, run, run);
	struct call *call = exchange->call;
	struct target *target = &exchange->target;

	exchange->request = registry_open(
	    &exchange->entry->registry, &exchange->inbox, target->link, NULL);
	run.request = exchange->request;
	run.key = call->pin.key;
	run.plan = (char *)call->plan;
	run.lists_revision = kwb_current_revision();
	run.agent_incarnation = call->pin.incarnation;
	run.minted_ms = call->pin.minted_ms;
	run.budget_ms = (uint32_t)kwb_clock_left_ms(call->deadline_ns);
	run.slack_ms = run.budget_ms;
	run.priority = 1;
	run.idempotent = call->idempotent;
	run.method = (char *)call->method;
	run.path = (char *)call->path;
	run.content_type = (char *)call->content_type;
	run.body.data = (uint8_t *)call->body;
	run.body.len = call->body_bytes;
	return kwb_link_send(&exchange->entry->loop, target->link, &frame);
}

static void
await_verdict(struct exchange *exchange)
{
	struct event *event;

	answer_set(
	    exchange->answer, KWB_OUTCOME_UNKNOWN, KWB_ERR_CALL_DEADLINE);
	while ((event = inbox_wait(&exchange->inbox, exchange->give_up_ns)) !=
	    NULL) {
		bool ours = event->request == exchange->request;
		bool lost = event->kind == EVENT_LINK_LOST;

		if (ours && !lost &&
		    event->frame->body_case == KWB__WIRE__FRAME__BODY_DONE) {
			verdict(exchange, event->frame->done);
			event_free(event);
			return;
		}
		event_free(event);
		if (!ours || !lost)
			continue;
		answer_set(
		    exchange->answer, KWB_OUTCOME_UNKNOWN, KWB_ERR_WIRE_CLOSED);
		if (exchange->call->idempotent)
			return;
		settle(exchange);
		if (exchange->answer->error != 0)
			return;
	}
}

static void
verdict(struct exchange *exchange, const Kwb__Wire__Done *done)
{
	struct call_answer *answer = exchange->answer;

	answer_set(answer, done->outcome, done->error);
	if (done->outcome == KWB_OUTCOME_RAN) {
		answer->status = done->status;
		kwb_text_copy(answer->content_type,
		    sizeof(answer->content_type), done->content_type);
		kwb_buf_add(&answer->body, done->body.data, done->body.len);
	}
	/* A later process on that VM can't say what an earlier one did. */
	if (done->error == KWB_ERR_CALL_INCARNATION && exchange->call->pinned)
		answer->outcome = KWB_OUTCOME_UNKNOWN;
}

/*
 * The link is gone: waits for a new one to the same incarnation and asks
 * there. On success the answer's error is 0 and a verdict is to be awaited.
 */
static void
settle(struct exchange *exchange)
{
	struct kwb_entry *entry = exchange->entry;
	struct kwb_pin *pin = &exchange->call->pin;
	struct call_answer *answer = exchange->answer;

	registry_close(&entry->registry, exchange->request);
	peers_release(entry, &exchange->target, KWB_ERR_WIRE_CLOSED);
	while (kwb_clock_now_ns() < exchange->give_up_ns) {
		if (peers_target(entry, pin->vm, exchange->call->plan, NULL,
			&exchange->target) != 0) {
			kwb_clock_sleep_ns(KWB_QUEUE_POLL_NS);
			continue;
		}
		if (exchange->target.incarnation != pin->incarnation) {
			answer_set(answer, KWB_OUTCOME_UNKNOWN,
			    KWB_ERR_CALL_INCARNATION);
			return;
		}
		if (query_send(exchange) == 0) {
			answer_set(answer, KWB_OUTCOME_UNKNOWN, 0);
			return;
		}
		registry_close(&entry->registry, exchange->request);
		peers_release(entry, &exchange->target, KWB_ERR_WIRE_CLOSED);
	}
}

/*
 * A key that its caller named may come again through another entry. Before
 * this one is told "not run", the agent bars the key, or says what became of
 * it meanwhile.
 */
static void
bar(struct exchange *exchange)
{
	exchange->give_up_ns = kwb_clock_now_ns() + VERDICT_NS;
	exchange->request = 0;
	exchange->target.peer = -1;
	settle(exchange);
	if (exchange->answer->outcome == KWB_OUTCOME_NOT_RUN)
		answer_set(
		    exchange->answer, KWB_OUTCOME_UNKNOWN, KWB_ERR_ROUTE_NONE);
	if (exchange->answer->error == 0) {
		await_verdict(exchange);
		registry_close(&exchange->entry->registry, exchange->request);
		peers_release(exchange->entry, &exchange->target,
		    exchange->answer->error);
	}
}

static int
query_send(struct exchange *exchange)
{
	Kwb__Wire__Query query = KWB__WIRE__QUERY__INIT;
	KWB_FRAME(frame, QUERY, query, query);

	exchange->request = registry_open(&exchange->entry->registry,
	    &exchange->inbox, exchange->target.link, NULL);
	query.request = exchange->request;
	query.key = exchange->call->pin.key;
	query.agent_incarnation = exchange->call->pin.incarnation;
	kwb_log(KWB_LOG_INFO, "call", "event=query key=%s vm=%s", query.key,
	    exchange->target.vm);
	return kwb_link_send(
	    &exchange->entry->loop, exchange->target.link, &frame);
}

/*
 * What was not run may go elsewhere under a new key, unless the caller named
 * the call; an idempotent one may also be repeated when that is not known.
 */
static bool
may_repeat(const struct exchange *exchange)
{
	const struct call_answer *answer = exchange->answer;
	struct call *call = exchange->call;

	if (call->pinned)
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
