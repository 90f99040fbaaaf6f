/*
 * The critical path of a training step: what the item that the trainer waited
 * for last did, from the batch's acceptance to the end of the listing of its
 * results, in consecutive spans.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kwb_trace.h"

#define INITIAL_CAPACITY 256
#define MODULE_ITEM "item: time_ms="
#define MODULE_NODE "node: time_ms="
#define EVENT_RESTARTED "restarted" /* for a node's start */
#define EVENT_LOST "dependency_lost"
#define EVENT_REGAINED "dependency_regained"

int
kwb_trace_init(struct kwb_trace *trace, const char *batch, const char *item)
{
	memset(trace, 0, sizeof(*trace));
	if (strlen(batch) >= sizeof(trace->batch) ||
	    (item != NULL && strlen(item) >= sizeof(trace->item)))
		return KWB_ERR_ARGUMENT;
	kwb_text_copy(trace->batch, sizeof(trace->batch), batch);
	if (item != NULL)
		kwb_text_copy(trace->item, sizeof(trace->item), item);
	return 0;
}

void
kwb_trace_finish(struct kwb_trace *trace)
{
	free(trace->events);
	free(trace->spans);
	memset(trace, 0, sizeof(*trace));
}

const char *
kwb_trace_kind_name(enum kwb_trace_kind kind)
{
	switch (kind) {
	case KWB_TRACE_WAITING:
		return "waiting";
	case KWB_TRACE_RUNNING:
		return "running";
	case KWB_TRACE_OWNER_GONE:
		return "owner_gone";
	case KWB_TRACE_TAKE_OVER:
		return "take_over";
	case KWB_TRACE_REWARD:
		return "reward";
	case KWB_TRACE_LISTING:
		return "listing";
	case KWB_TRACE_KIND_COUNT:
		break;
	}
	return "-";
}

/* ---- Lines --------------------------------------------------------------- */

/* Makes room for one more element. */
static int
grow(void **items, uint32_t count, uint32_t *capacity, size_t item_bytes)
{
	uint32_t new_capacity =
	    *capacity == 0 ? INITIAL_CAPACITY : 2 * *capacity;
	void *grown;

	if (count < *capacity)
		return 0;
	grown = realloc(*items, new_capacity * item_bytes);
	if (grown == NULL)
		return KWB_ERR_MEMORY;
	*items = grown;
	*capacity = new_capacity;
	return 0;
}

/* Copies the value after key, such as " batch="; "" when it is missing. */
static void
field_read(const char *line, const char *key, char *value, size_t value_bytes)
{
	const char *found = strstr(line, key);
	size_t length;

	value[0] = '\0';
	if (found == NULL)
		return;
	found += strlen(key);
	length = strcspn(found, " \r\n");
	if (length >= value_bytes)
		length = value_bytes - 1;
	memcpy(value, found, length);
	value[length] = '\0';
}

static uint64_t
field_number(const char *line, const char *key)
{
	char text[32];

	field_read(line, key, text, sizeof(text));
	return strtoull(text, NULL, 10);
}

static bool
is_store_event(const char *name)
{
	return strcmp(name, EVENT_LOST) == 0 ||
	    strcmp(name, EVENT_REGAINED) == 0;
}

static bool
is_node_start(const char *line, const char *name)
{
	return strcmp(name, "start") == 0 && strstr(line, MODULE_NODE) != NULL;
}

int
kwb_trace_add(struct kwb_trace *trace, const char *line)
{
	struct kwb_trace_event *event;
	char batch[KWB_TRACE_NAME_BYTES];
	char name[KWB_TRACE_NAME_BYTES];
	int code;

	field_read(line, " event=", name, sizeof(name));
	field_read(line, " batch=", batch, sizeof(batch));
	if (name[0] == '\0' ||
	    (strcmp(batch, trace->batch) != 0 && !is_store_event(name) &&
		!is_node_start(line, name)))
		return 0;
	code = grow((void **)&trace->events, trace->events_count,
	    &trace->events_capacity, sizeof(trace->events[0]));
	if (code != 0)
		return code;
	event = &trace->events[trace->events_count];
	memset(event, 0, sizeof(*event));
	event->time_ms = field_number(line, " time_ms=");
	event->sequence = trace->events_count++;
	event->events = field_number(line, " events=");
	event->target_groups = field_number(line, " target_groups=");
	kwb_text_copy(event->name, sizeof(event->name),
	    is_node_start(line, name) ? EVENT_RESTARTED : name);
	field_read(line, " process=", event->node, sizeof(event->node));
	if (strstr(line, MODULE_ITEM) != NULL) {
		field_read(line, " id=", event->item, sizeof(event->item));
		field_read(line, " group=", event->group, sizeof(event->group));
	}
	field_read(
	    line, " upstream=", event->upstream, sizeof(event->upstream));
	field_read(line, " reason=", event->reason, sizeof(event->reason));
	return 0;
}

/* ---- Spans --------------------------------------------------------------- */

static int
compare_events(const void *left, const void *right)
{
	const struct kwb_trace_event *one = left;
	const struct kwb_trace_event *other = right;

	if (one->time_ms != other->time_ms)
		return one->time_ms < other->time_ms ? -1 : 1;
	return one->sequence < other->sequence
	    ? -1
	    : one->sequence > other->sequence;
}

static bool
is_named(const struct kwb_trace_event *event, const char *name)
{
	return strcmp(event->name, name) == 0;
}

/* State while going through the events; the next span begins at begin_ms. */
struct walk {
	struct kwb_trace *trace;
	enum kwb_trace_kind kind;
	uint64_t begin_ms;
	uint64_t events; /* of the text, at begin_ms */
	const char *node;
	const char *upstream;
};

static int
span_end(struct walk *walk, const struct kwb_trace_event *event,
    const char *reason, enum kwb_trace_kind next)
{
	struct kwb_trace *trace = walk->trace;
	int code;

	if (event->time_ms > walk->begin_ms) {
		code = grow((void **)&trace->spans, trace->spans_count,
		    &trace->spans_capacity, sizeof(trace->spans[0]));
		if (code != 0)
			return code;
		trace->spans[trace->spans_count++] =
		    (struct kwb_trace_span){.kind = walk->kind,
			.begin_ms = walk->begin_ms,
			.end_ms = event->time_ms,
			.node = walk->node,
			.upstream = walk->upstream,
			.reason = reason[0] != '\0' ? reason : event->name,
			.events = walk->kind == KWB_TRACE_RUNNING &&
				event->events > walk->events
			    ? event->events - walk->events
			    : 0};
	}
	walk->kind = next;
	walk->begin_ms = event->time_ms;
	walk->node = event->node;
	walk->upstream = "-";
	return 0;
}

/*
 * An owner that is gone did not log how far the text was; the item's next start
 * does, and so completes the last running span.
 */
static void
fill_in_events(struct walk *walk, uint64_t events)
{
	struct kwb_trace *trace = walk->trace;
	uint32_t i = trace->spans_count;

	while (trace->events_missing && i-- > 0)
		if (trace->spans[i].kind == KWB_TRACE_RUNNING) {
			trace->spans[i].events =
			    events > walk->events ? events - walk->events : 0;
			trace->events_missing = false;
		}
}

/* Ends a span because the batch has another owner, or its owner restarted. */
static int
owner_change(struct walk *walk, const struct kwb_trace_event *event,
    const char *reason, enum kwb_trace_kind next)
{
	if (walk->kind == KWB_TRACE_RUNNING)
		walk->trace->events_missing = true;
	return span_end(walk, event, reason, next);
}

static int
walk_item(struct walk *walk, const struct kwb_trace_event *event)
{
	const char *reason = event->reason;
	int code;

	if (is_named(event, "start")) {
		code = span_end(walk, event, reason, KWB_TRACE_RUNNING);
		fill_in_events(walk, event->events);
		walk->events = event->events;
		walk->upstream = event->upstream;
		return code;
	}
	if (is_named(event, "retry"))
		return span_end(walk, event, reason, KWB_TRACE_WAITING);
	if (is_named(event, "text_whole"))
		return span_end(walk, event, "text_whole", KWB_TRACE_REWARD);
	if (is_named(event, "completed") || is_named(event, "errored"))
		return span_end(walk, event, reason, KWB_TRACE_LISTING);
	return 0;
}

/*
 * A new owner ends the item's span. If the old one has not released the batch,
 * the time of the claim counts.
 */
static int
walk_batch(struct walk *walk, const struct kwb_trace_event *event)
{
	bool is_owner = strcmp(event->node, walk->node) == 0;

	if (is_named(event, "released"))
		return owner_change(
		    walk, event, "released", KWB_TRACE_OWNER_GONE);
	if (is_named(event, "claimed") && !is_owner)
		return owner_change(
		    walk, event, "claimed", KWB_TRACE_TAKE_OVER);
	if (is_named(event, EVENT_RESTARTED) && is_owner)
		return owner_change(
		    walk, event, "owner_restarted", KWB_TRACE_TAKE_OVER);
	if (is_named(event, "loaded"))
		return owner_change(walk, event, "loaded", KWB_TRACE_WAITING);
	return 0;
}

/* How long the owner of a span could not reach the store during it. */
static uint64_t
span_away_ms(const struct kwb_trace *trace, const struct kwb_trace_span *span)
{
	uint64_t lost_ms = 0;
	uint64_t sum_ms = 0;
	uint32_t i;

	for (i = 0; i < trace->events_count; i++) {
		const struct kwb_trace_event *event = &trace->events[i];

		if (!is_store_event(event->name) ||
		    strcmp(event->node, span->node) != 0)
			continue;
		if (is_named(event, EVENT_LOST)) {
			lost_ms = event->time_ms;
		} else if (lost_ms != 0) {
			uint64_t from_ms =
			    lost_ms > span->begin_ms ? lost_ms : span->begin_ms;
			uint64_t to_ms = event->time_ms < span->end_ms
			    ? event->time_ms
			    : span->end_ms;

			sum_ms += to_ms > from_ms ? to_ms - from_ms : 0;
			lost_ms = 0;
		}
	}
	return sum_ms;
}

static bool
is_item_end(const struct kwb_trace_event *event)
{
	return is_named(event, "completed") || is_named(event, "errored");
}

/* Whether no other item of the event's group ends after it. */
static bool
is_last_of_group(
    const struct kwb_trace *trace, const struct kwb_trace_event *event)
{
	const struct kwb_trace_event *end = trace->events + trace->events_count;

	const struct kwb_trace_event *later;

	for (later = event + 1; later < end; later++)
		if (is_item_end(later) &&
		    strcmp(later->group, event->group) == 0)
			return false;
	return true;
}

/* The item that completes the last group that the trainer waits for. */
static const char *
deciding_item(const struct kwb_trace *trace, uint64_t target_groups)
{
	const char *item = NULL;
	uint64_t groups_complete = 0;
	uint32_t i;

	for (i = 0; i < trace->events_count; i++) {
		if (!is_item_end(&trace->events[i]))
			continue;
		item = trace->events[i].item;
		groups_complete += is_last_of_group(trace, &trace->events[i]);
		if (groups_complete == target_groups && target_groups > 0)
			break;
	}
	return item;
}

static const struct kwb_trace_event *
first_named(const struct kwb_trace *trace, const char *name)
{
	uint32_t i;

	for (i = 0; i < trace->events_count; i++)
		if (is_named(&trace->events[i], name))
			return &trace->events[i];
	return NULL;
}

/* All results are listed, a caller has got an answer, or the batch ended. */
static bool
is_listing_end(const struct kwb_trace_event *event)
{
	return is_named(event, "all_listed") || is_named(event, "answered") ||
	    is_named(event, "ended");
}

int
kwb_trace_explain(struct kwb_trace *trace)
{
	const struct kwb_trace_event *taken;
	const char *item;
	struct walk walk = {.trace = trace,
	    .kind = KWB_TRACE_WAITING,
	    .node = "-",
	    .upstream = "-"};
	int code = 0;
	uint32_t i;

	if (trace->events_count > 0)
		qsort(trace->events, trace->events_count,
		    sizeof(trace->events[0]), compare_events);
	taken = first_named(trace, "taken");
	if (taken == NULL)
		return KWB_ERR_STORE_MISSING;
	item = trace->item[0] != '\0'
	    ? trace->item
	    : deciding_item(trace, taken->target_groups);
	if (item == NULL)
		return KWB_ERR_STORE_MISSING;
	kwb_text_copy(trace->item, sizeof(trace->item), item);
	walk.begin_ms = taken->time_ms;
	walk.node = taken->node;
	for (i = 0; i < trace->events_count && code == 0; i++) {
		const struct kwb_trace_event *event = &trace->events[i];

		if (event->time_ms < taken->time_ms ||
		    is_store_event(event->name))
			continue;
		if (walk.kind == KWB_TRACE_LISTING && is_listing_end(event)) {
			code = span_end(
			    &walk, event, event->name, KWB_TRACE_LISTING);
			break;
		}
		if (strcmp(event->item, trace->item) == 0)
			code = walk_item(&walk, event);
		else if (event->item[0] == '\0')
			code = walk_batch(&walk, event);
	}
	for (i = 0; i < trace->spans_count; i++)
		trace->store_away_ms += span_away_ms(trace, &trace->spans[i]);
	return code;
}
