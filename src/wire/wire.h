/*
 * Shorthand for building frames of the inner protocol.
 */
#ifndef KWB_WIRE_WIRE_H
#define KWB_WIRE_WIRE_H

#include "kwb.h"
#include "kwb_wire.pb-c.h"

#define WIRE_SPANS_MAX 256

/* Spans and the pointers that a message wants to them. */
struct wire_span_list {
	Kwb__Wire__Span spans[WIRE_SPANS_MAX];
	Kwb__Wire__Span *pointers[WIRE_SPANS_MAX];
};

unsigned wire_spans_fill(const struct kwb_tokens *tokens, uint32_t first,
    struct wire_span_list *list);

/* Declares frame f of body kind CASE that holds message m. */
#define KWB_FRAME_DECLARE(f, CASE, field, m)                                   \
	Kwb__Wire__Frame f = KWB__WIRE__FRAME__INIT;                           \
	f.body_case = KWB__WIRE__FRAME__BODY_##CASE;                           \
	f.field = &(m)

#endif
