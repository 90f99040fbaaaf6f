/*
 * Shorthand for building frames of the inner protocol.
 */
#ifndef KWB_WIRE_WIRE_H
#define KWB_WIRE_WIRE_H

#include "kwb_wire.pb-c.h"

/* Declares frame f of body kind CASE that holds message m. */
#define KWB_FRAME(f, CASE, field, m)                                           \
	Kwb__Wire__Frame f = KWB__WIRE__FRAME__INIT;                           \
	f.body_case = KWB__WIRE__FRAME__BODY_##CASE;                           \
	f.field = &(m)

#endif
