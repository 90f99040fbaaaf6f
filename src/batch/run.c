/*
 * Runs one item at an upstream. Its generation is streamed; when the stream
 * breaks off or stalls, it is resumed after its last event at another upstream.
 * Once the text is complete, its reward is requested.
 */
#include <event2/buffer.h>
#include <event2/event.h>
#include <stdlib.h>
#include <string.h>

#include "batch.h"

const struct kwb_batch_env *
run_env(const struct item_run *run)
{
	return run->batch->batches->env;
}

const struct kwb_route_entry *
run_route(struct item_run *run)
{
	const struct kwb_node_config *config = *run_env(run)->config;

	if (run->route == NULL || run->route_config_version != config->version)
		run->route = kwb_node_config_find_route(
		    config, run->batch->record.host, run->item->target);
	run->route_config_version = config->version;
	return run->route;
}

void
run_log(const struct item_run *run, const char *event, const char *reason)
{
	kwb_log(KWB_LOG_INFO, "item",
	    "event=%s id=%s batch=%s group=%s upstream=%s events=%llu "
	    "version=%llu hint=%llu prompt=%llu reason=%s",
	    event, run->item->id, run->batch->record.id,
	    run->item->group ? run->item->group : "-",
	    run->upstream ? run->upstream->status.id : "-",
	    (unsigned long long)run->last_event,
	    (unsigned long long)run->version,
	    (unsigned long long)run->item->length_hint,
	    (unsigned long long)run->item->prompt_tokens, reason);
}

/* Its prompt isn't waiting to be read any more. */
static void
forget_unread(struct item_run *run)
{
	run->upstream->unread_tokens -= run->unread_tokens;
	run->unread_tokens = 0;
}

void
run_stop(struct item_run *run)
{
	if (run->upstream != NULL) {
		kwb_exchange_finish(&run->exchange);
		kwb_sse_parser_finish(&run->events);
		forget_unread(run);
		kwb_upstream_end(
		    run_env(run)->forward->registry, run->upstream, run);
		run->upstream = NULL;
	}
	if (run->score_active)
		kwb_forward_finish(&run->score);
	run->score_active = false;
	if (run->state != ITEM_RUNNING)
		return;
	run->state = ITEM_WAITING;
	run->waiting_since_ns = kwb_clock_now_ns();
}

void
run_finish(struct item_run *run)
{
	run_stop(run);
	run_free_text(run);
	free(run->receipt);
	run->receipt = NULL;
}

int
run_add_text(struct item_run *run, const char *data, size_t bytes)
{
	struct kwb_memory *memory = run_env(run)->memory;
	size_t before_bytes = run->text.used_bytes;
	int code = 0;

	if (run->last_event > 0)
		code = kwb_buf_add(&run->text, "\n", 1);
	if (code == 0)
		code = kwb_buf_add(&run->text, data, bytes);
	if (memory != NULL)
		kwb_memory_charge(memory, KWB_MEMORY_BATCHES,
		    run->text.used_bytes - before_bytes);
	return code;
}

void
run_free_text(struct item_run *run)
{
	struct kwb_memory *memory = run_env(run)->memory;

	if (memory != NULL)
		kwb_memory_release(
		    memory, KWB_MEMORY_BATCHES, run->text.used_bytes);
	kwb_buf_finish(&run->text);
}

static bool
is_memory_short(const struct item_run *run)
{
	const struct kwb_memory *memory = run_env(run)->memory;

	return memory != NULL && kwb_memory_is_over(memory);
}

/*
 * Whether the text may grow. An upstream may send events without end; while
 * memory is short, the long texts end before the process does.
 */
static bool
text_may_grow(const struct item_run *run, size_t bytes)
{
	size_t grown_bytes = run->text.used_bytes + bytes;

	if (grown_bytes > KWB_ITEM_TEXT_MAX_BYTES)
		return false;
	return grown_bytes <= KWB_ITEM_TEXT_SMALL_BYTES ||
	    !is_memory_short(run);
}

/* By the clock of the store: when the item may be given up. */
static uint64_t
ttl_deadline_ms(const struct item_run *run)
{
	const struct kwb_batch_record *record = &run->batch->record;
	const struct kwb_node_config *config = *run_env(run)->config;
	const struct kwb_route_entry *route =
	    kwb_node_config_find_route(config, record->host, run->item->target);

	return record->accepted_ms +
	    (route != NULL ? route->item_ttl_ms : KWB_ITEM_TTL_MS);
}

bool
run_is_past_ttl(const struct item_run *run)
{
	return kwb_store_now_ms(run_env(run)->store) >= ttl_deadline_ms(run);
}

void
run_ready(struct item_run *run, enum kwb_item_state result, const char *reason)
{
	uint64_t now_ms = kwb_store_now_ms(run_env(run)->store);

	/* The clock of the node that accepted it may be ahead. */
	if (now_ms >= run->batch->record.accepted_ms)
		kwb_histogram_observe(KWB_HISTOGRAM_ITEM,
		    (now_ms - run->batch->record.accepted_ms) * KWB_MS_NS);
	run->result = result;
	run_log(run, result == KWB_ITEM_COMPLETED ? "completed" : "errored",
	    reason);
	run_stop(run);
	run->state = ITEM_READY;
	batch_list_results(run->batch);
	kwb_batches_dispatch(run->batch->batches);
}

void
run_retry(struct item_run *run, uint64_t wait_ns, const char *reason)
{
	run_log(run, "retry", reason);
	run_stop(run);
	run->not_before_ns = kwb_clock_now_ns() + wait_ns;
	if (run_is_past_ttl(run)) {
		run_ready(run, KWB_ITEM_ERRORED, "item_ttl");
		return;
	}
	kwb_batches_dispatch(run->batch->batches);
}

void
run_note_failure(struct item_run *run, int error)
{
	kwb_forward_note_failure(
	    run_env(run)->forward, run->upstream, run->started_ns, error);
}

/* Notes the version of the weights that made the newest event. */
static void
add_version(struct item_run *run)
{
	uint32_t i;

	for (i = 0; i < run->versions_count; i++)
		if (run->versions[i] == run->version)
			return;
	if (run->versions_count < ITEM_VERSIONS_MAX)
		run->versions[run->versions_count++] = run->version;
}

/* The first event has come. */
static void
note_prompt_read(struct item_run *run, uint64_t now_ns)
{
	kwb_upstream_record_read(
	    run->upstream, run->unread_tokens, now_ns - run->started_ns);
	forget_unread(run);
}

/* Appends an event to the text; those that it has already are ignored. */
static void
run_on_event(void *context, const struct kwb_sse_event *event)
{
	struct item_run *run = context;
	uint64_t now_ns = kwb_clock_now_ns();

	if (event->version != 0) {
		run->version = event->version;
		kwb_upstream_set_version(
		    run->upstream, run->batch->spec.model, event->version);
	}
	if (run->stream_broken || run->text_too_long ||
	    (event->has_id && event->id <= run->last_event))
		return;
	if (event->has_id && event->id != run->last_event + 1) {
		run->stream_broken = true;
		return;
	}
	if (!text_may_grow(run, event->data.used_bytes + 1)) {
		run->text_too_long = true;
		return;
	}
	if (run_add_text(run, event->data.data, event->data.used_bytes) != 0) {
		run->stream_broken = true;
		return;
	}
	if (run->last_event_ns != 0)
		kwb_upstream_record_pace(
		    run->upstream, now_ns - run->last_event_ns);
	else
		note_prompt_read(run, now_ns);
	run->last_event_ns = now_ns;
	run->last_event++;
	add_version(run);
}

/* The headers of an answer name the version of weights that generates. */
static void
exchange_on_head(struct kwb_exchange *exchange)
{
	struct item_run *run = exchange->context;
	struct kwb_upstream_answer answer;

	run_env(run)->forward->codec->parse_answer(
	    kwb_exchange_answer(exchange), &answer);
	kwb_upstream_note_answer(
	    run->upstream, run->incarnation_ms, run->item->id, &answer);
	kwb_upstream_record_report(run->upstream, &answer);
	if (answer.status != 200 ||
	    !kwb_sse_may_be_events(kwb_exchange_answer(exchange)) ||
	    !kwb_answer_is_to_request(&answer, run->item->id))
		return;
	kwb_upstream_record_success(run->upstream);
	exchange->is_streaming = true;
	if (answer.version != 0) {
		run->version = answer.version;
		kwb_upstream_set_version(
		    run->upstream, run->batch->spec.model, answer.version);
	} else {
		run->version =
		    kwb_upstream_version(run->upstream, run->batch->spec.model);
	}
	if (run->version < run->batch->spec.min_version)
		run->stream_broken = true;
}

static void
exchange_on_data(struct kwb_exchange *exchange)
{
	struct item_run *run = exchange->context;
	const struct kwb_route_entry *route;

	if (kwb_sse_parser_feed(&run->events,
		&kwb_exchange_answer(exchange)->body, run_on_event, run) != 0)
		run->stream_broken = true;
	if (run->text_too_long) {
		/* A shortage of this node is no failure of the upstream. */
		if (!is_memory_short(run))
			run_note_failure(run, KWB_ERR_NET_BODY_SIZE);
		run_reset_text(run);
		run_retry(run, KWB_ITEM_RETRY_NS, "text_too_long");
		return;
	}
	if (run->version < run->batch->spec.min_version) {
		run_retry(run, 0, "weights_too_old");
		return;
	}
	if (run->stream_broken) {
		run_retry(run, 0, "events_out_of_order");
		return;
	}
	if (run->versions_count < 2)
		return;
	route = run_route(run);
	if (route != NULL && route->single_version) {
		/* Events of two versions must not be mixed: begins anew. */
		run_reset_text(run);
		run_retry(run, 0, "versions_mixed");
	}
}

/* Handles an answer without stream: refused, failed, or impossible. */
static void
handle_refusal(struct item_run *run, const struct kwb_upstream_answer *answer)
{
	const struct kwb_route_entry *route = run_route(run);
	uint64_t now_ns = kwb_clock_now_ns();

	if (answer->status == 422) {
		run_ready(run, KWB_ITEM_ERRORED, "can_never_be_done");
		return;
	}
	if (answer->not_run) {
		run->upstream->backoff_until_ns =
		    now_ns + KWB_REFUSED_BACKOFF_NS;
		run_retry(run, 0,
		    answer->status == 421 ? "misdirected" : "upstream_full");
		return;
	}
	if (answer->status == 500) {
		run->errors++;
		if (route != NULL && run->errors >= route->max_attempts) {
			run_ready(run, KWB_ITEM_ERRORED, "failed_too_often");
			return;
		}
	}
	run_retry(run, KWB_ITEM_RETRY_NS, "upstream_error");
}

/* Learns how the length hints of items go with the numbers of their events. */
static void
note_length(struct item_run *run)
{
	uint64_t *per_unit = &run->batch->batches->hint_per_unit;
	uint64_t sample = run->item->length_hint / run->last_event;

	*per_unit = *per_unit != 0 ? (*per_unit * 15 + sample) / 16 : sample;
}

/* Counts what the item's last move has won or lost, by what was expected. */
static void
settle_move(const struct item_run *run)
{
	uint64_t now_ns = kwb_clock_now_ns();
	bool won = run->unmoved_end_ns > now_ns;
	uint64_t ms = (won ? run->unmoved_end_ns - now_ns
			   : now_ns - run->unmoved_end_ns) /
	    KWB_MS_NS;

	if (run->unmoved_end_ns == 0)
		return;
	kwb_metric_add(
	    won ? KWB_METRIC_MOVES_WON_MS : KWB_METRIC_MOVES_LOST_MS, ms);
	kwb_log(KWB_LOG_INFO, "item", "event=moved_end id=%s gain_ms=%s%llu",
	    run->item->id, won ? "" : "-", (unsigned long long)ms);
}

static void
exchange_on_done(struct kwb_exchange *exchange, int error)
{
	struct item_run *run = exchange->context;
	struct kwb_upstream_answer answer;

	/* The end of an answer without a length may be a broken connection. */
	if (error == 0 && exchange->is_streaming &&
	    !kwb_sse_parser_is_between_events(&run->events))
		error = KWB_ERR_NET_CLOSED;
	if (error != 0) {
		if (error != KWB_ERR_NET_STALE)
			run_note_failure(run, error);
		run_retry(run, 0, kwb_error_name(error));
		return;
	}
	if (exchange->is_streaming) {
		if (run->last_event == 0) {
			run_retry(run, KWB_ITEM_RETRY_NS, "empty_stream");
			return;
		}
		run_log(run, "text_whole", "answered");
		note_length(run);
		settle_move(run);
		run_stop(run);
		run->text_complete_ns = kwb_clock_now_ns();
		run_request_score(run);
		kwb_batches_dispatch(run->batch->batches);
		return;
	}
	run_env(run)->forward->codec->parse_answer(
	    kwb_exchange_answer(exchange), &answer);
	if (!kwb_answer_is_to_request(&answer, run->item->id)) {
		run_retry(run, 0, "answer_of_another_request");
		return;
	}
	handle_refusal(run, &answer);
}

static const struct kwb_exchange_ops exchange_ops = {
    .on_head = exchange_on_head,
    .on_data = exchange_on_data,
    .on_done = exchange_on_done,
};

static int32_t
run_priority(const struct item_run *run)
{
	struct kwb_item_rank rank;

	run_get_rank(run, &rank);
	return kwb_item_priority(&rank);
}

void
run_start(struct item_run *run, struct kwb_upstream *upstream,
    const struct kwb_route_entry *route)
{
	const struct kwb_forward_env *env = run_env(run)->forward;
	struct kwb_batch *batch = run->batch;
	char **group_upstream = &batch->groups[run->group].upstream_id;
	uint64_t left_ms =
	    ttl_deadline_ms(run) - kwb_store_now_ms(run_env(run)->store);
	struct kwb_upstream_request request = {.method = "POST",
	    .target = run->item->target,
	    .host = batch->record.host,
	    .id = run->item->id,
	    .workspace = batch->record.workspace,
	    .headers = &run->item->headers,
	    .body = run->item->body,
	    .body_bytes = run->item->body_bytes,
	    .expect_upstream_id = upstream->status.id,
	    .deadline_ns = kwb_clock_now_ns() + left_ms * KWB_MS_NS,
	    .resume_after = run->last_event,
	    .priority = run_priority(run)};
	struct evbuffer *out = evbuffer_new();
	int code;

	if (kwb_upstream_is_assigned(upstream, batch->spec.model) &&
	    upstream->expected_version >
		kwb_upstream_version(upstream, batch->spec.model))
		request.expect_version = upstream->expected_version;
	if (route->single_version && run->versions_count > 0)
		request.expect_version = run->versions[0];
	memset(&run->exchange, 0, sizeof(run->exchange));
	run->exchange.ops = &exchange_ops;
	run->exchange.context = run;
	run->exchange.request_id = run->item->id;
	run->exchange.max_silence_ns = KWB_STREAM_IDLE_NS;
	run->upstream = upstream;
	run->incarnation_ms = upstream->status.incarnation_ms;
	run->state = ITEM_RUNNING;
	run->stream_broken = false;
	run->text_too_long = false;
	run->last_event_ns = 0;
	run->started_ns = kwb_clock_now_ns();
	kwb_sse_parser_init(&run->events, env->codec->version_field);
	if (*group_upstream == NULL ||
	    strcmp(*group_upstream, upstream->status.id) != 0)
		run->unread_tokens = run->item->prompt_tokens;
	upstream->unread_tokens += run->unread_tokens;
	kwb_upstream_begin(upstream, run);
	/* Without memory the next item of the group has no preference. */
	if (kwb_text_replace(group_upstream, upstream->status.id) != 0)
		run_log(run, "prompt_not_noted", "out_of_memory");
	env->codec->write_request(&request, out);
	run_log(run, "start", run->last_event > 0 ? "resume" : "new");
	code = kwb_exchange_start(
	    &run->exchange, env->client, &upstream->status.address, out);
	evbuffer_free(out);
	if (code != 0) {
		run_note_failure(run, code);
		run_retry(run, KWB_ITEM_RETRY_NS, kwb_error_name(code));
	}
}
