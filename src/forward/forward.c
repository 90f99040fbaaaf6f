/*
 * Forwarding of one request: which answers end it, when and where it is
 * retried, and which outcome the caller is told. A request that is not
 * idempotent is sent again only after an upstream said that it has not run it.
 */
#include <event2/buffer.h>
#include <event2/event.h>
#include <stdlib.h>
#include <string.h>

#include "kwb_node.h"

static void forward_retry(struct kwb_forward *forward);
static void forward_arm_timer(struct kwb_forward *forward);
static void room_leave(struct kwb_forward *forward, bool is_answered);

static void
forward_log(const struct kwb_forward *forward, const char *event,
    const struct kwb_upstream *upstream, const char *reason)
{
	kwb_log(KWB_LOG_INFO, "forward",
	    "event=%s id=%s service=%s upstream=%s reason=%s sent=%u "
	    "left_ms=%llu",
	    event, forward->request.id, forward->service,
	    upstream ? upstream->status.id : "-", reason, forward->sent_count,
	    (unsigned long long)kwb_clock_remaining_ms(forward->deadline_ns));
}

static void
attempt_end(struct kwb_forward_attempt *attempt)
{
	struct kwb_registry *registry = attempt->forward->env->registry;

	if (attempt->upstream == NULL)
		return;
	kwb_exchange_finish(&attempt->exchange);
	kwb_upstream_end(registry, attempt->upstream, attempt);
	attempt->upstream = NULL;
	if (attempt->forward->env->room != NULL)
		kwb_room_wake(attempt->forward->env->room);
}

/*
 * Gives back the place, or takes the request out of the queue. A failure or a
 * caller that leaves early tells nothing of the room of the service.
 */
static void
room_leave(struct kwb_forward *forward, bool is_answered)
{
	struct kwb_room *room = forward->env->room;
	struct kwb_room_waiter *waiter = &forward->waiter;
	struct kwb_room_outcome outcome = {
	    .taken_ns = kwb_clock_now_ns() - waiter->started_ns,
	    .had_ns = forward->deadline_ns - waiter->started_ns,
	    .is_refused = forward->is_refused,
	    .has_others = forward->has_others,
	    .is_timed_out = !is_answered};
	bool is_known = is_answered || forward->is_refused ||
	    outcome.taken_ns >= outcome.had_ns / KWB_ROOM_LATE_DIVISOR;

	if (room == NULL)
		return;
	kwb_room_leave(room, waiter);
	kwb_room_end(room, waiter, is_known ? &outcome : NULL);
	forward->is_refused = false;
}

static bool
has_attempt(const struct kwb_forward *forward)
{
	return forward->attempts[0].upstream != NULL ||
	    forward->attempts[1].upstream != NULL;
}

static void
forward_end(struct kwb_forward *forward, enum kwb_forward_outcome outcome,
    const char *reason)
{
	forward->done = true;
	forward->outcome = outcome;
	forward->reason = reason;
	attempt_end(&forward->attempts[0]);
	attempt_end(&forward->attempts[1]);
	room_leave(forward, outcome == KWB_FORWARD_ANSWERED);
	event_del(forward->timer);
	if (outcome == KWB_FORWARD_ANSWERED && forward->prompt != NULL &&
	    forward->upstream_id != NULL)
		kwb_prefix_map_set(forward->env->prefixes, forward->service,
		    forward->prompt, forward->upstream_id);
	if (outcome != KWB_FORWARD_ANSWERED)
		forward_log(forward,
		    outcome == KWB_FORWARD_NOT_RUN ? "refused" : "failed", NULL,
		    reason);
	forward->on_done(forward);
}

static void
record_load(
    struct kwb_upstream *upstream, const struct kwb_upstream_answer *answer)
{
	kwb_upstream_record_report(upstream, answer);
	if (answer->has_load && answer->slots != 0)
		upstream->status.slots = answer->slots;
}

static bool
can_retry(const struct kwb_forward *forward)
{
	return forward->idempotent &&
	    (!forward->head_sent || forward->resumes) &&
	    forward->sent_count < forward->max_attempts &&
	    kwb_clock_remaining_ms(forward->deadline_ns) >
	    KWB_FORWARD_RETRY_MIN_MS;
}

/* Tries later to pick a second upstream; the first one is still working. */
static void
hedge_postpone(struct kwb_forward *forward)
{
	forward->is_hedge_delayed = true;
	forward->hedge_ns = kwb_clock_now_ns() + KWB_HEDGE_RETRY_NS;
	forward_arm_timer(forward);
}

/* Ends an attempt without an answer for the caller, and retries if possible. */
static void
attempt_failed(
    struct kwb_forward_attempt *attempt, bool not_run, const char *reason)
{
	struct kwb_forward *forward = attempt->forward;

	forward_log(forward, not_run ? "not_run" : "attempt_failed",
	    attempt->upstream, reason);
	if (not_run)
		forward->sent_count--;
	attempt_end(attempt);
	if (has_attempt(forward)) {
		if (not_run)
			hedge_postpone(forward);
		return;
	}
	if (not_run || can_retry(forward)) {
		kwb_metric_add(KWB_METRIC_RETRIES, 1);
		forward_retry(forward);
		return;
	}
	forward_end(forward, KWB_FORWARD_UNKNOWN, reason);
}

/* The upstream says that it has not run the request. */
static void
attempt_refused(struct kwb_forward_attempt *attempt,
    const struct kwb_upstream_answer *answer)
{
	struct kwb_upstream *upstream = attempt->upstream;
	uint64_t now_ns = kwb_clock_now_ns();

	upstream->backoff_until_ns = now_ns + KWB_REFUSED_BACKOFF_NS;
	attempt->forward->is_refused = answer->status != 421;
	if (answer->status == 421)
		upstream->backoff_until_ns =
		    now_ns + KWB_MISDIRECTED_BACKOFF_NS;
	attempt_failed(attempt, true,
	    answer->status == 421 ? "other_incarnation" : "upstream_full");
}

/* For the log and the map of prompts; without memory both do without it. */
static void
note_upstream(struct kwb_forward *forward, const struct kwb_upstream *upstream)
{
	if (kwb_text_replace(&forward->upstream_id, upstream->status.id) != 0)
		forward_log(forward, "not_noted", upstream, "out_of_memory");
}

/* Passes on what follows the last event: comments, as the stream is whole. */
static void
stream_flush(struct kwb_forward *forward)
{
	if (forward->partial_event.used_bytes > 0)
		forward->on_data(forward, &forward->partial_event);
	forward->partial_event.used_bytes = 0;
}

static void
attempt_answered(struct kwb_forward_attempt *attempt)
{
	struct kwb_forward *forward = attempt->forward;
	struct kwb_message *message = kwb_exchange_answer(&attempt->exchange);
	struct kwb_upstream *upstream = attempt->upstream;
	struct kwb_upstream_answer answer;

	forward->env->codec->parse_answer(message, &answer);
	record_load(upstream, &answer);
	forward->has_others = answer.has_load && answer.waiting > 0;
	if (!kwb_answer_is_to_request(&answer, forward->request.id)) {
		attempt_failed(attempt, false, "answer_of_another_request");
		return;
	}
	kwb_upstream_record_success(upstream);
	if (answer.not_run) {
		attempt_refused(attempt, &answer);
		return;
	}
	if (answer.status < 300 && answer.receipt == NULL) {
		attempt_failed(attempt, false, "no_receipt");
		return;
	}
	kwb_histogram_observe(
	    KWB_HISTOGRAM_UPSTREAM, kwb_clock_now_ns() - attempt->started_ns);
	if (answer.status < 500)
		kwb_upstream_record_pace(
		    upstream, kwb_clock_now_ns() - attempt->started_ns);
	else if (!forward->returns_errors && can_retry(forward)) {
		attempt_failed(attempt, false, "upstream_error");
		return;
	}
	if (forward->head_sent && !attempt->exchange.is_streaming) {
		attempt_failed(attempt, false, "not_resumed");
		return;
	}
	note_upstream(forward, upstream);
	if (!forward->head_sent) {
		forward->answer = *message;
		kwb_message_init(message);
	}
	stream_flush(forward);
	forward_end(forward, KWB_FORWARD_ANSWERED, "answered");
}

/*
 * Whether a stream ends inside an event. The end of an answer without a length
 * may be a broken connection.
 */
static bool
is_cut_in_event(const struct kwb_forward_attempt *attempt)
{
	const struct kwb_forward *forward = attempt->forward;

	return attempt->exchange.is_streaming && forward->is_event_stream &&
	    !kwb_sse_parser_is_between_events(&forward->events);
}

void
kwb_forward_note_failure(const struct kwb_forward_env *env,
    struct kwb_upstream *upstream, uint64_t sent_ns, int error)
{
	kwb_upstream_record_failure(
	    env->registry, upstream, sent_ns, kwb_clock_now_ns());
	/* Connections that go silent do so together, the idle ones, too. */
	if (error == KWB_ERR_NET_TIMEOUT)
		kwb_client_close_idle(env->client, &upstream->status.address);
}

static void
exchange_on_done(struct kwb_exchange *exchange, int error)
{
	struct kwb_forward_attempt *attempt = exchange->context;
	struct kwb_forward *forward = attempt->forward;

	if (error == 0 && is_cut_in_event(attempt))
		error = KWB_ERR_NET_CLOSED;
	if (error == 0) {
		attempt_answered(attempt);
		return;
	}
	if (error != KWB_ERR_NET_STALE)
		kwb_forward_note_failure(forward->env, attempt->upstream,
		    attempt->started_ns, error);
	if (forward->head_sent && !forward->resumes) {
		forward_end(
		    forward, KWB_FORWARD_UNKNOWN, kwb_error_name(error));
		return;
	}
	forward->partial_event.used_bytes = 0; /* sent again, whole */
	attempt_failed(
	    attempt, error == KWB_ERR_NET_CONNECT, kwb_error_name(error));
}

/* An upstream that resumes a stream must not repeat what the caller has. */
static void
check_event(void *context, const struct kwb_sse_event *event)
{
	struct kwb_forward *forward = context;

	if (!event->has_id)
		return;
	if (event->id <= forward->newest_event)
		forward->is_out_of_order = true;
	forward->newest_event = event->id;
}

/* Starts to parse the stream of one upstream. */
static void
events_begin(struct kwb_forward *forward, const struct kwb_message *head)
{
	kwb_sse_parser_finish(&forward->events);
	kwb_sse_parser_init(
	    &forward->events, forward->env->codec->version_field);
	forward->is_event_stream = kwb_sse_may_be_events(head);
	forward->is_out_of_order = false;
	forward->newest_event = forward->last_event;
}

/* Follows where events begin and end; leaves the bytes where they are. */
static void
events_follow(struct kwb_forward *forward, const struct kwb_buf *bytes)
{
	struct kwb_buf view = *bytes;

	if (forward->is_event_stream &&
	    kwb_sse_parser_feed(
		&forward->events, &view, check_event, forward) != 0)
		forward->is_event_stream = false; /* no event is so long */
}

/*
 * Counts the request once, when an answer proves that an upstream began it: one
 * with its id, or with a receipt, that doesn't say that it was not run. Hedges
 * and retries are attempts of one request. It began with its first event, or,
 * for a plain answer, about when it was sent.
 */
static void
count_usage(struct kwb_forward_attempt *attempt,
    const struct kwb_message *message, const struct kwb_upstream_answer *answer)
{
	struct kwb_forward *forward = attempt->forward;
	uint64_t began_ms = kwb_clock_wall_ms();

	if (forward->env->usage == NULL || forward->is_counted ||
	    forward->workspace[0] == '\0' || answer->not_run ||
	    !kwb_answer_is_to_request(answer, forward->request.id) ||
	    (answer->id == NULL && answer->receipt == NULL))
		return;
	if (forward->on_data == NULL || !kwb_sse_may_be_events(message))
		began_ms -=
		    (kwb_clock_now_ns() - attempt->started_ns) / KWB_MS_NS;
	forward->is_counted = true;
	kwb_usage_meter_count(
	    forward->env->usage, forward->workspace, began_ms);
}

static void
exchange_on_head(struct kwb_exchange *exchange)
{
	struct kwb_forward_attempt *attempt = exchange->context;
	struct kwb_forward *forward = attempt->forward;
	struct kwb_message *message = kwb_exchange_answer(exchange);
	struct kwb_upstream_answer answer;

	forward->env->codec->parse_answer(message, &answer);
	kwb_upstream_note_answer(attempt->upstream, attempt->incarnation_ms,
	    forward->request.id, &answer);
	count_usage(attempt, message, &answer);
	if (forward->on_data == NULL)
		return;
	if (answer.not_run || answer.status >= 300 || answer.receipt == NULL ||
	    !kwb_answer_is_to_request(&answer, forward->request.id))
		return;
	if (forward->head_sent && !kwb_sse_may_be_events(message))
		return; /* nothing that could go on with the stream */
	kwb_upstream_record_success(attempt->upstream);
	exchange->is_streaming = true;
	events_begin(forward, message);
	if (forward->head_sent)
		return; /* goes on under the head of the first upstream */
	forward->head_sent = true;
	kwb_message_copy(&forward->answer, message);
	note_upstream(forward, attempt->upstream);
	forward->on_head(forward);
}

/* A resumable stream is passed on in whole events only. */
static void
exchange_on_data(struct kwb_exchange *exchange)
{
	struct kwb_forward_attempt *attempt = exchange->context;
	struct kwb_forward *forward = attempt->forward;
	struct kwb_buf *body = &kwb_exchange_answer(exchange)->body;
	struct kwb_buf events = {0};
	size_t length;

	events_follow(forward, body);
	if (forward->resumes && forward->is_out_of_order) {
		forward->partial_event.used_bytes = 0;
		attempt_failed(attempt, false, "events_out_of_order");
		return;
	}
	if (!forward->resumes) {
		forward->on_data(forward, body);
		return;
	}
	if (forward->partial_event.used_bytes + body->used_bytes >
	    KWB_SSE_EVENT_MAX_BYTES) {
		forward_end(forward, KWB_FORWARD_UNKNOWN, "event_too_long");
		return;
	}
	if (kwb_buf_add(
		&forward->partial_event, body->data, body->used_bytes) != 0) {
		forward_end(forward, KWB_FORWARD_UNKNOWN, "out_of_memory");
		return;
	}
	body->used_bytes = 0;
	length =
	    kwb_sse_whole_bytes(&forward->partial_event, &forward->last_event);
	if (length == 0)
		return;
	forward->request.resume_after = forward->last_event;
	kwb_buf_add(&events, forward->partial_event.data, length);
	kwb_buf_consume(&forward->partial_event, length);
	forward->on_data(forward, &events);
	kwb_buf_finish(&events);
}

static const struct kwb_exchange_ops exchange_ops = {
    .on_head = exchange_on_head,
    .on_data = exchange_on_data,
    .on_done = exchange_on_done,
};

static void
attempt_start(
    struct kwb_forward_attempt *attempt, struct kwb_upstream *upstream)
{
	struct kwb_forward *forward = attempt->forward;
	struct evbuffer *out = evbuffer_new();
	int code;

	memset(&attempt->exchange, 0, sizeof(attempt->exchange));
	attempt->exchange.ops = &exchange_ops;
	attempt->exchange.context = attempt;
	attempt->exchange.deadline_ns =
	    forward->deadline_ns + KWB_FORWARD_MARGIN_NS;
	attempt->exchange.request_id = forward->request.id;
	attempt->exchange.wants_new_conn = !forward->idempotent;
	if (forward->resumes)
		attempt->exchange.max_silence_ns = KWB_STREAM_IDLE_NS;
	attempt->exchange.has_no_body =
	    strcmp(forward->request.method, "HEAD") == 0;
	attempt->started_ns = kwb_clock_now_ns();
	attempt->upstream = upstream;
	attempt->incarnation_ms = upstream->status.incarnation_ms;
	kwb_upstream_begin(upstream, attempt);
	forward->request.expect_upstream_id = upstream->status.id;
	forward->env->codec->write_request(&forward->request, out);
	forward->sent_count++;
	if (forward->tried_count < KWB_FORWARD_ATTEMPTS_MAX)
		forward->tried[forward->tried_count++] = upstream;
	code = kwb_exchange_start(&attempt->exchange, forward->env->client,
	    &upstream->status.address, out);
	evbuffer_free(out);
	if (code != 0) {
		kwb_forward_note_failure(
		    forward->env, upstream, attempt->started_ns, code);
		attempt_failed(attempt, true, kwb_error_name(code));
	}
}

/* Leaves out upstreams that were tried, unless include_tried. */
static struct kwb_pick_criteria
criteria_for(const struct kwb_forward *forward, bool include_tried)
{
	return (struct kwb_pick_criteria){
	    .service = forward->service,
	    .failure_domain = forward->env->failure_domain,
	    .client = forward->env->client,
	    .exclude = forward->tried,
	    .exclude_count = include_tried ? 0 : forward->tried_count,
	    .now_ns = kwb_clock_now_ns(),
	    .random = (uint64_t)random(),
	};
}

static struct kwb_upstream *
forward_pick_upstream(const struct kwb_forward *forward, bool include_tried)
{
	struct kwb_pick_criteria criteria =
	    criteria_for(forward, include_tried);

	if (forward->prompt != NULL)
		criteria.affinity_id = kwb_prefix_map_find(
		    forward->env->prefixes, forward->service, forward->prompt);
	return kwb_upstream_pick(forward->env->registry, &criteria);
}

static void
forward_arm_timer(struct kwb_forward *forward)
{
	uint64_t next_ns = forward->deadline_ns;

	if (forward->retry_ns != 0 && forward->retry_ns < next_ns)
		next_ns = forward->retry_ns;
	if (forward->hedge_ns != 0 && forward->hedge_ns < next_ns)
		next_ns = forward->hedge_ns;
	kwb_timer_arm(forward->timer, next_ns);
}

/* Whether no upstream of the service takes requests. */
static bool
is_service_empty(const struct kwb_forward *forward)
{
	const struct kwb_registry *registry = forward->env->registry;
	uint32_t i;

	for (i = 0; i < registry->count; i++)
		if (kwb_upstream_takes_requests(registry->upstreams[i]) &&
		    strcmp(registry->upstreams[i]->status.service,
			forward->service) == 0)
			return false;
	return true;
}

/* Starts at an upstream; false if there is none. */
static bool
forward_try(struct kwb_forward *forward, struct kwb_upstream *upstream)
{
	if (upstream == NULL)
		return false;
	forward->retry_ns = 0;
	forward_arm_timer(forward);
	attempt_start(&forward->attempts[0], upstream);
	return true;
}

static struct kwb_forward *
forward_of(struct kwb_room_waiter *waiter)
{
	return (struct kwb_forward *)((char *)waiter -
	    offsetof(struct kwb_forward, waiter));
}

/*
 * After a failure: another upstream is tried at once, one that was tried before
 * only after a pause, as it may fail as quickly again.
 */
static void
forward_retry(struct kwb_forward *forward)
{
	if (forward_try(forward, forward_pick_upstream(forward, false)))
		return;
	forward->retry_ns = kwb_clock_now_ns() + KWB_FORWARD_RETRY_NS;
	forward_arm_timer(forward);
}

/* Starts at any upstream, or ends; false when it has to wait for one. */
static bool
forward_place(struct kwb_forward *forward)
{
	if (forward_try(forward, forward_pick_upstream(forward, false)) ||
	    forward_try(forward, forward_pick_upstream(forward, true)))
		return true;
	if (forward->sent_count > 0 || !is_service_empty(forward))
		return false;
	forward_end(forward, KWB_FORWARD_NOT_RUN, "no_upstream");
	return true;
}

static bool
waiter_start(struct kwb_room_waiter *waiter)
{
	return forward_place(forward_of(waiter));
}

static void
waiter_refuse(struct kwb_room_waiter *waiter, uint64_t expected_ns)
{
	struct kwb_forward *forward = forward_of(waiter);

	forward->return_ns = kwb_room_return_ns(expected_ns,
	    kwb_clock_remaining_ms(forward->deadline_ns) * KWB_MS_NS,
	    (uint64_t)random());
	kwb_histogram_observe(KWB_HISTOGRAM_RETURN, forward->return_ns);
	forward_end(forward, KWB_FORWARD_NOT_RUN, "no_place_in_time");
}

static const struct kwb_room_waiter_ops waiter_ops = {
    .start = waiter_start, .refuse = waiter_refuse};

/* Asks the room of the node for a place. */
static void
forward_enter_room(struct kwb_forward *forward)
{
	room_leave(forward, false); /* where it was tried before */
	forward->waiter = (struct kwb_room_waiter){.ops = &waiter_ops,
	    .service = forward->service,
	    .workspace = forward->share_workspace ? forward->share_workspace
						  : forward->workspace,
	    .id = forward->request.id,
	    .rank = forward->rank,
	    .deadline_ns = forward->deadline_ns,
	    .may_have_run = forward->sent_count > 0,
	    .is_stream = forward->on_data != NULL};
	forward->retry_ns = 0;
	forward_arm_timer(forward);
	kwb_room_enter(forward->env->room, &forward->waiter);
}

static void
forward_dispatch(struct kwb_forward *forward)
{
	if (forward->env->room != NULL && forward->env->room->is_enabled) {
		forward_enter_room(forward);
		return;
	}
	if (forward_place(forward))
		return;
	forward->retry_ns = kwb_clock_now_ns() + KWB_FORWARD_RETRY_NS;
	forward_arm_timer(forward);
}

/*
 * The first upstream is late: starts a second attempt at another one. When none
 * has a free slot this is tried again later, and then a part of the slots must
 * stay free for first attempts of other requests.
 */
static void
forward_hedge(struct kwb_forward *forward)
{
	const struct kwb_upstream *first = forward->attempts[0].upstream;
	struct kwb_pick_criteria criteria = criteria_for(forward, false);
	struct kwb_upstream *upstream;

	if (!can_retry(forward) || first == NULL) {
		forward->hedge_ns = 0;
		return;
	}
	criteria.needs_free_slot = true;
	criteria.may_probe_early = true;
	if (forward->is_hedge_delayed)
		criteria.spare_divisor = KWB_HEDGE_SPARE_DIVISOR;
	upstream = kwb_upstream_pick(forward->env->registry, &criteria);
	if (upstream == NULL) {
		/* One that refused may have a free slot by now. */
		criteria.exclude = &first;
		criteria.exclude_count = 1;
		upstream = kwb_upstream_pick(forward->env->registry, &criteria);
	}
	if (upstream == NULL) {
		hedge_postpone(forward);
		return;
	}
	forward->hedge_ns = 0;
	kwb_metric_add(KWB_METRIC_HEDGES, 1);
	forward_log(forward, "hedged", upstream, "late");
	attempt_start(&forward->attempts[1], upstream);
}

static void
forward_on_timer(int fd, short what, void *context)
{
	struct kwb_forward *forward = context;
	uint64_t now_ns = kwb_clock_now_ns();

	(void)fd;
	(void)what;
	if (now_ns >= forward->deadline_ns) {
		forward_end(forward,
		    forward->sent_count == 0 ? KWB_FORWARD_NOT_RUN
					     : KWB_FORWARD_TIMEOUT,
		    "deadline");
		return;
	}
	if (forward->retry_ns != 0 && now_ns >= forward->retry_ns) {
		forward_dispatch(forward);
		return;
	}
	if (forward->hedge_ns != 0 && now_ns >= forward->hedge_ns)
		forward_hedge(forward);
	if (!forward->done)
		forward_arm_timer(forward);
}

void
kwb_forward_start(struct kwb_forward *forward)
{
	forward->attempts[0].forward = forward;
	forward->attempts[1].forward = forward;
	forward->timer =
	    kwb_timer_new(forward->env->base, forward_on_timer, forward);
	if (forward->timer == NULL) {
		forward->done = true;
		forward->outcome = KWB_FORWARD_NOT_RUN;
		forward->reason = "out_of_memory";
		forward->on_done(forward);
		return;
	}
	forward_dispatch(forward);
}

void
kwb_forward_cancel(struct kwb_forward *forward)
{
	if (!forward->done)
		forward_log(forward, "cancelled", forward->attempts[0].upstream,
		    "caller_left");
	forward->done = true;
	attempt_end(&forward->attempts[0]);
	attempt_end(&forward->attempts[1]);
	room_leave(forward, false);
	if (forward->timer != NULL)
		event_del(forward->timer);
}

void
kwb_forward_set_paused(struct kwb_forward *forward, bool is_paused)
{
	uint32_t i;

	for (i = 0; i < 2; i++)
		if (forward->attempts[i].upstream != NULL)
			kwb_exchange_set_paused(
			    &forward->attempts[i].exchange, is_paused);
}

void
kwb_forward_finish(struct kwb_forward *forward)
{
	kwb_forward_cancel(forward);
	if (forward->timer != NULL)
		event_free(forward->timer);
	forward->timer = NULL;
	kwb_message_finish(&forward->answer);
	kwb_buf_finish(&forward->partial_event);
	kwb_sse_parser_finish(&forward->events);
	free(forward->service);
	free(forward->workspace);
	free(forward->upstream_id);
	forward->service = NULL;
	forward->workspace = NULL;
	forward->upstream_id = NULL;
}
