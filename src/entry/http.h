/*
 * Inside of an entry's HTTP: one request and what its handlers share.
 */
#ifndef KWB_ENTRY_HTTP_H
#define KWB_ENTRY_HTTP_H

#include <civetweb.h>

#include "entry.h"

#define REQUEST_ID_BYTES 96

/* One HTTP request and what was read of it. */
struct exchange {
	struct kwb_entry *entry;
	struct mg_connection *connection;
	const struct mg_request_info *info;
	char id[REQUEST_ID_BYTES];
	char plan_name[KWB_NAME_MAX_BYTES];
	const char *subpath; /* path after the plan */
	struct kwb_plan plan;
	uint32_t queue_max;
	struct kwb_buf body;
};

/* http.c */
uint64_t http_deadline(struct exchange *exchange, uint32_t default_ms);
void http_send(struct mg_connection *connection, int status,
    const char *content_type, const char *headers, const char *text,
    size_t length_bytes);

/* http_completion.c */
void http_completion(struct exchange *exchange);

/* http_call.c */
void http_call(struct exchange *exchange);
void http_ticket(struct exchange *exchange);

#endif
