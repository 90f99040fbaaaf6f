/*
 * What the stand-ins share: an HTTP server that answers with small texts, and
 * controls that a test sets by "POST /control?name=value".
 */
#ifndef KWB_FAKES_FAKE_H
#define KWB_FAKES_FAKE_H

#include <civetweb.h>

#include "kwb.h"

#define FAKE_CONTROLS_MAX 24

struct fake_control {
	const char *name;
	_Atomic int64_t value;
};

/* Starts the server on argv's --listen; ends the process on failure. */
struct mg_context *fake_start(const char *listen, unsigned threads,
    struct fake_control *controls, unsigned controls_count);
const char *fake_option(
    int argc, char **argv, const char *name, const char *fallback);
int64_t fake_control_get(const char *name);
void fake_send_response(struct mg_connection *connection, int status,
    const char *headers, const void *body, size_t length_bytes);
void fake_read_body(struct mg_connection *connection, struct kwb_buf *body);
void fake_wait_for_signal(void); /* until a signal to stop */

#endif
