/*
 * Internals of an entry's HTTP server: a request, and what its handlers share.
 */
#ifndef KWB_ENTRY_HTTP_H
#define KWB_ENTRY_HTTP_H

#include <civetweb.h>

#include "entry.h"

#define REQUEST_ID_BYTES 96

/* An HTTP request for a plan, and what was read of it. */
struct exchange {
	struct kwb_entry *entry;
	struct mg_connection *connection;
	const struct mg_request_info *info;
	char id[REQUEST_ID_BYTES];	    /* in logs, and in X-Kwb-Request */
	char plan_name[KWB_NAME_MAX_BYTES]; /* from the path */
	const char *subpath;		    /* path after the plan's name */
	struct kwb_plan plan;		    /* copy, with its rules */
	uint32_t queue_max; /* completions of the plan that may wait */
	struct kwb_buf body;
	uint64_t reserved_bytes; /* for the body, of the entry's bodies_bytes */
};

/* http.c: deadlines and answers. */
uint64_t http_deadline(struct exchange *exchange, uint32_t default_ms);
const char *http_connection_header(struct mg_connection *connection);
void http_send(struct mg_connection *connection, int status,
    const char *content_type, const char *headers, const char *text,
    size_t length_bytes);

/* http_completion.c: POST .../completions */
void http_completion(struct exchange *exchange);

/* http_call.c: .../call/... and POST .../tickets */
void http_call(struct exchange *exchange);
void http_ticket(struct exchange *exchange);

#endif
