/*
 * Helpers to build frames of the protocol between entries and agents.
 */
#ifndef KWB_WIRE_WIRE_H
#define KWB_WIRE_WIRE_H

#include "kwb.h"
#include "kwb_wire.pb-c.h"

#define WIRE_SPANS_MAX 256 /* in one message */

/* Spans, and the array of pointers to them that protobuf-c messages use. */
struct wire_span_list {
	Kwb__Wire__Span spans[WIRE_SPANS_MAX];
	Kwb__Wire__Span *pointers[WIRE_SPANS_MAX];
};

/* Fills in the spans of the tokens from index first on; returns how many. */
unsigned wire_spans_fill(const struct kwb_tokens *tokens, uint32_t first,
    struct wire_span_list *list);

/*
 * Declares a frame that has the message as its body. CASE and field name the
 * same member of the oneof, e.g. KWB_FRAME_DECLARE(frame, RUN, run, message).
 */
#define KWB_FRAME_DECLARE(frame, CASE, field, message)                         \
	Kwb__Wire__Frame frame = KWB__WIRE__FRAME__INIT;                       \
	frame.body_case = KWB__WIRE__FRAME__BODY_##CASE;                       \
	frame.field = &(message)

#endif
