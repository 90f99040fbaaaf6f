/*
 * knapweedbarrow: explains from the log lines of nodes how long a batch of a
 * training step took. It finds the item that the trainer waited for last and
 * splits the time from the batch's acceptance to the end of that wait into
 * spans, each with its cause. Lines of several nodes may come in any order;
 * prefixes that log collectors put before a line's module are skipped.
 */
#ifndef KWB_TRACE_H
#define KWB_TRACE_H

#include <stdio.h>

#include "kwb.h"

#define KWB_TRACE_NAME_BYTES 80 /* longer values of keys are cut */

/* What an item did or waited for during a span. */
enum kwb_trace_kind {
	KWB_TRACE_WAITING,    /* for a slot, for weights, or for another try */
	KWB_TRACE_RUNNING,    /* its text is being generated */
	KWB_TRACE_OWNER_GONE, /* the batch is released and not claimed yet */
	KWB_TRACE_TAKE_OVER,  /* the new owner loads the batch */
	KWB_TRACE_REWARD,     /* its text is being scored */
	KWB_TRACE_LISTING,    /* results are being listed */
	KWB_TRACE_KIND_COUNT  /* number of kinds */
};

/* A log line about the batch, or about a node that may own it. */
struct kwb_trace_event {
	uint64_t time_ms;  /* the store's wall clock, as nodes log it */
	uint64_t sequence; /* among all lines, as they were added */
	char node[KWB_TRACE_NAME_BYTES];
	char name[KWB_TRACE_NAME_BYTES]; /* value of event= */
	char item[KWB_TRACE_NAME_BYTES]; /* "" for the whole batch */
	char group[KWB_TRACE_NAME_BYTES];
	char upstream[KWB_TRACE_NAME_BYTES];
	char reason[KWB_TRACE_NAME_BYTES];
	uint64_t events; /* stream events in the text so far */
	/* Groups that the trainer waits for; given by event=taken only. */
	uint64_t target_groups;
};

/* A part of the item's time; the next span begins where it ends. */
struct kwb_trace_span {
	enum kwb_trace_kind kind;
	uint64_t begin_ms;
	uint64_t end_ms;
	const char *node;     /* owner of the batch */
	const char *upstream; /* "-" for none */
	const char *reason;   /* why it ended */
	uint64_t events;      /* generated in this span */
};

struct kwb_trace {
	char batch[KWB_TRACE_NAME_BYTES];
	char item[KWB_TRACE_NAME_BYTES]; /* whose time is explained */
	struct kwb_trace_event *events;
	uint32_t events_count;
	uint32_t events_capacity;
	struct kwb_trace_span *spans; /* in order, without gaps */
	uint32_t spans_count;
	uint32_t spans_capacity;
	/* The events of the last running span are not known yet. */
	bool events_missing;
	/* Part of the spans in which their owners could not reach the store. */
	uint64_t store_away_ms;
};

/* Item NULL: the deciding one. KWB_ERR_ARGUMENT: a name is too long. */
int kwb_trace_init(
    struct kwb_trace *trace, const char *batch, const char *item);
/*
 * Adds a log line; skips those that don't concern the batch. 0 or
 * KWB_ERR_MEMORY.
 */
int kwb_trace_add(struct kwb_trace *trace, const char *line);
/* Fills item and spans; KWB_ERR_STORE_MISSING when the lines do not tell. */
int kwb_trace_explain(struct kwb_trace *trace);
/* The name under which a kind is printed. */
const char *kwb_trace_kind_name(enum kwb_trace_kind kind);
/* Prints a table, in seconds. */
void kwb_trace_print(const struct kwb_trace *trace, FILE *to);
/* Prints a JSON object, in milliseconds; 0 or KWB_ERR_MEMORY. */
int kwb_trace_print_json(const struct kwb_trace *trace, FILE *to);
/* Frees the events and spans. */
void kwb_trace_finish(struct kwb_trace *trace);

#endif
