/*
 * Parser of server-sent events in a stream of bytes. An event is reported when
 * its empty line has arrived, so never one that a broken stream has cut short.
 */
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "kwb_node.h"

#define EVENT_STREAM_TYPE "text/event-stream"

void
kwb_sse_parser_init(struct kwb_sse_parser *parser, const char *version_field)
{
	memset(parser, 0, sizeof(*parser));
	parser->version_field = version_field;
}

void
kwb_sse_parser_finish(struct kwb_sse_parser *parser)
{
	kwb_buf_finish(&parser->line);
	kwb_buf_finish(&parser->event.data);
}

bool
kwb_sse_may_be_events(const struct kwb_message *head)
{
	const char *type = kwb_message_header(head, "Content-Type");

	return type == NULL ||
	    strncasecmp(type, EVENT_STREAM_TYPE, strlen(EVENT_STREAM_TYPE)) ==
	    0;
}

static void
parser_clear_event(struct kwb_sse_parser *parser)
{
	parser->event.has_id = false;
	parser->event.id = 0;
	parser->event.version = 0;
	parser->event.data.used_bytes = 0;
	parser->has_field = false;
}

static int
parse_field(struct kwb_sse_parser *parser, const char *line)
{
	struct kwb_sse_event *event = &parser->event;
	const char *colon = strchr(line, ':');
	const char *value;
	size_t name_bytes;

	if (colon == NULL || colon == line)
		return 0; /* a comment, or a field without a value */
	name_bytes = (size_t)(colon - line);
	value = colon[1] == ' ' ? colon + 2 : colon + 1;
	parser->has_field = true;
	if (strncmp(line, "id", name_bytes) == 0 && name_bytes == 2) {
		event->id = strtoull(value, NULL, 10);
		event->has_id = true;
		return 0;
	}
	if (strncmp(line, "data", name_bytes) == 0 && name_bytes == 4) {
		if (event->data.used_bytes > 0 &&
		    kwb_buf_add(&event->data, "\n", 1) != 0)
			return KWB_ERR_MEMORY;
		return kwb_buf_add(&event->data, value, strlen(value));
	}
	if (strlen(parser->version_field) == name_bytes &&
	    strncmp(line, parser->version_field, name_bytes) == 0)
		event->version = strtoull(value, NULL, 10);
	return 0;
}

static int
process_line(struct kwb_sse_parser *parser,
    void (*on_event)(void *context, const struct kwb_sse_event *event),
    void *context)
{
	struct kwb_buf *line = &parser->line;
	int code;

	if (line->used_bytes > 0 && line->data[line->used_bytes - 1] == '\r')
		line->data[--line->used_bytes] = '\0';
	if (line->used_bytes > 0) {
		code = parse_field(parser, line->data);
		line->used_bytes = 0;
		return code;
	}
	if (parser->has_field)
		on_event(context, &parser->event);
	parser_clear_event(parser);
	return 0;
}

int
kwb_sse_parser_feed(struct kwb_sse_parser *parser, struct kwb_buf *bytes,
    void (*on_event)(void *context, const struct kwb_sse_event *event),
    void *context)
{
	const char *at = bytes->data;
	const char *end = bytes->data + bytes->used_bytes;
	const char *newline;
	int code;

	while (at < end) {
		newline = memchr(at, '\n', (size_t)(end - at));
		if (parser->line.used_bytes + parser->event.data.used_bytes +
			(size_t)((newline ? newline : end) - at) >
		    KWB_SSE_EVENT_MAX_BYTES)
			return KWB_ERR_NET_BODY_SIZE;
		if (kwb_buf_add(&parser->line, at,
			(size_t)((newline ? newline : end) - at)) != 0)
			return KWB_ERR_MEMORY;
		if (newline == NULL)
			break;
		code = process_line(parser, on_event, context);
		if (code != 0)
			return code;
		at = newline + 1;
	}
	bytes->used_bytes = 0;
	return 0;
}

bool
kwb_sse_parser_is_between_events(const struct kwb_sse_parser *parser)
{
	return parser->line.used_bytes == 0 && !parser->has_field;
}

/* An event ends with an empty line. */
size_t
kwb_sse_whole_bytes(const struct kwb_buf *bytes, uint64_t *last_id)
{
	const char *text = kwb_buf_text(bytes);
	uint64_t id = *last_id;
	size_t whole_bytes = 0;
	size_t at = 0;

	while (at < bytes->used_bytes) {
		const char *line = text + at;
		const char *end = memchr(line, '\n', bytes->used_bytes - at);
		size_t length;

		if (end == NULL)
			break;
		length = (size_t)(end - line);
		at += length + 1;
		if (length > 3 && strncmp(line, "id:", 3) == 0)
			id = strtoull(line + 3, NULL, 10);
		if (length == 0 || (length == 1 && line[0] == '\r')) {
			whole_bytes = at;
			*last_id = id;
		}
	}
	return whole_bytes;
}
