/*
 * HTTP server and controls of the stand-ins. A control is a number with a name
 * that a test sets by "POST /control?name=value" and reads by
 * "GET /control?name": a setting, a fault to inject or a counter.
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

/*
 * Starts the server on "IP:PORT" with the given controls and blocks SIGTERM,
 * SIGINT and SIGPIPE. Exits the process on failure.
 */
struct mg_context *fake_start(const char *listen, unsigned threads,
    struct fake_control *controls, unsigned controls_count);
/* The argument that follows the flag name; fallback if it is absent. */
const char *fake_option(
    int argc, char **argv, const char *name, const char *fallback);
/* Exits the process if there is no such control. */
int64_t fake_control_get(const char *name);
/* headers: lines that each end with CRLF, or "". */
void fake_send_response(struct mg_connection *connection, int status,
    const char *headers, const void *body, size_t length_bytes);
/* Appends the request's body. */
void fake_read_body(struct mg_connection *connection, struct kwb_buf *body);
void fake_wait_for_signal(void); /* SIGTERM or SIGINT */

#endif
