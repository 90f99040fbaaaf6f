/*
 * knapweedbarrow: why a step of a trainer took as long as it did, from the log
 * lines of nodes. Lines of several nodes may come in any order; what stands
 * before a line's module, as some collectors add, is skipped.
 */
#ifndef KWB_TRACE_H
#define KWB_TRACE_H

#include <stdio.h>

#include "kwb.h"

#define KWB_TRACE_NAME_BYTES 80

enum kwb_trace_kind {
	KWB_TRACE_WAITING,    /* for a slot, for weights, or for another try */
	KWB_TRACE_RUNNING,    /* its text is being generated */
	KWB_TRACE_OWNER_GONE, /* until another node claims the batch */
	KWB_TRACE_TAKE_OVER,  /* another node loads the batch */
	KWB_TRACE_REWARD,     /* its reward is asked for */
	KWB_TRACE_LISTING,    /* results are being listed */
	KWB_TRACE_KIND_COUNT  /* their number */
};

/* One line of a log that says something of the batch. */
struct kwb_trace_event {
	uint64_t time_ms; /* the store's wall clock, as nodes log it */
	uint64_t order;	  /* in which it was read */
	char node[KWB_TRACE_NAME_BYTES];
	char name[KWB_TRACE_NAME_BYTES];
	char item[KWB_TRACE_NAME_BYTES]; /* "" for the whole batch */
	char group[KWB_TRACE_NAME_BYTES];
	char upstream[KWB_TRACE_NAME_BYTES];
	char reason[KWB_TRACE_NAME_BYTES];
	uint64_t events;  /* of the text so far */
	uint64_t targets; /* groups that the trainer waits for, when taken */
};

struct kwb_trace_span {
	enum kwb_trace_kind kind;
	uint64_t begin_ms;
	uint64_t end_ms;
	const char *node;     /* the owner */
	const char *upstream; /* "-" for none */
	const char *reason;   /* why it ended */
	uint64_t events;      /* made in it */
};

struct kwb_trace {
	char batch[KWB_TRACE_NAME_BYTES];
	char item[KWB_TRACE_NAME_BYTES]; /* which decided, or was asked for */
	struct kwb_trace_event *events;
	uint32_t events_count;
	uint32_t events_room;
	struct kwb_trace_span *spans; /* in order, without gaps */
	uint32_t spans_count;
	uint32_t spans_room;
	bool is_cut; /* what its last running span made is not known yet */
	uint64_t store_away_ms; /* within the spans, as their owners saw it */
};

int kwb_trace_init(struct kwb_trace *trace, const char *batch,
    const char *item); /* item: NULL for the one that decided */
int kwb_trace_add(
    struct kwb_trace *trace, const char *line); /* others are skipped */
int kwb_trace_explain(
    struct kwb_trace *trace); /* fills the spans, or _MISSING */
const char *kwb_trace_kind_name(enum kwb_trace_kind kind);
void kwb_trace_print(
    const struct kwb_trace *trace, FILE *to); /* a table, in seconds */
int kwb_trace_print_json(
    const struct kwb_trace *trace, FILE *to); /* one object, in milliseconds */
void kwb_trace_finish(struct kwb_trace *trace);

#endif
