/*
 * Prints an explained step: as a table for people, as JSON for programs.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "kwb_trace.h"

static double
seconds(uint64_t ms)
{
	return (double)ms / 1000.0;
}

static uint64_t
span_ms(const struct kwb_trace_span *span)
{
	return span->end_ms - span->begin_ms;
}

static uint64_t
total_ms(const struct kwb_trace *trace)
{
	return trace->spans_count == 0
	    ? 0
	    : trace->spans[trace->spans_count - 1].end_ms -
		trace->spans[0].begin_ms;
}

/* Total time of the spans of one kind. */
static uint64_t
sum_ms(const struct kwb_trace *trace, enum kwb_trace_kind kind)
{
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < trace->spans_count; i++)
		if (trace->spans[i].kind == kind)
			sum += span_ms(&trace->spans[i]);
	return sum;
}

void
kwb_trace_print(const struct kwb_trace *trace, FILE *to)
{
	uint32_t i;
	int kind;

	fprintf(to, "batch %s took %.3f s; decided by item %s\n", trace->batch,
	    seconds(total_ms(trace)), trace->item);
	for (kind = 0; kind < KWB_TRACE_KIND_COUNT; kind++)
		if (sum_ms(trace, kind) > 0)
			fprintf(to, "  %-11s %7.3f s\n",
			    kwb_trace_kind_name(kind),
			    seconds(sum_ms(trace, kind)));
	if (trace->store_away_ms > 0)
		fprintf(to, "  (without the store for %.3f s of these)\n",
		    seconds(trace->store_away_ms));
	fprintf(to, "%8s %8s  %-11s %-20s %-20s %6s  %s\n", "from_s", "s",
	    "what", "node", "upstream", "events", "ended_by");
	for (i = 0; i < trace->spans_count; i++) {
		const struct kwb_trace_span *span = &trace->spans[i];

		fprintf(to, "%8.3f %8.3f  %-11s %-20s %-20s %6llu  %s\n",
		    seconds(span->begin_ms - trace->spans[0].begin_ms),
		    seconds(span_ms(span)), kwb_trace_kind_name(span->kind),
		    span->node, span->upstream,
		    (unsigned long long)span->events, span->reason);
	}
}

static json_t *
span_json(const struct kwb_trace_span *span)
{
	return json_pack("{s:s, s:I, s:I, s:s, s:s, s:I, s:s}", "what",
	    kwb_trace_kind_name(span->kind), "begin_ms",
	    (json_int_t)span->begin_ms, "end_ms", (json_int_t)span->end_ms,
	    "node", span->node, "upstream", span->upstream, "events",
	    (json_int_t)span->events, "ended_by", span->reason);
}

int
kwb_trace_print_json(const struct kwb_trace *trace, FILE *to)
{
	json_t *spans = json_array();
	json_t *report;
	char *text;
	uint32_t i;

	for (i = 0; i < trace->spans_count; i++)
		json_array_append_new(spans, span_json(&trace->spans[i]));
	report = json_pack("{s:s, s:s, s:I, s:I, s:o}", "batch", trace->batch,
	    "item", trace->item, "taken_ms", (json_int_t)total_ms(trace),
	    "store_away_ms", (json_int_t)trace->store_away_ms, "spans", spans);
	text = json_dumps(report, JSON_INDENT(2));
	json_decref(report);
	if (text == NULL)
		return KWB_ERR_MEMORY;
	fprintf(to, "%s\n", text);
	free(text);
	return 0;
}
