/*
 * Server-sent events out of a stream of bytes. An event that a broken stream
 * has cut short is never told of.
 */
#include <stdlib.h>
#include <string.h>

#include "kwb_node.h"

void
kwb_events_init(struct kwb_events *events, const char *version_field)
{
	memset(events, 0, sizeof(*events));
	events->version_field = version_field;
}

void
kwb_events_finish(struct kwb_events *events)
{
	kwb_buf_finish(&events->line);
	kwb_buf_finish(&events->event.data);
}

static void
event_clear(struct kwb_events *events)
{
	events->event.has_id = false;
	events->event.id = 0;
	events->event.version = 0;
	events->event.data.used_bytes = 0;
	events->open = false;
}

static int
field(struct kwb_events *events, const char *line)
{
	struct kwb_event *event = &events->event;
	const char *colon = strchr(line, ':');
	const char *value;
	size_t name_bytes;

	if (colon == NULL || colon == line)
		return 0; /* a comment, or a field without value */
	name_bytes = (size_t)(colon - line);
	value = colon[1] == ' ' ? colon + 2 : colon + 1;
	events->open = true;
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
	if (strlen(events->version_field) == name_bytes &&
	    strncmp(line, events->version_field, name_bytes) == 0)
		event->version = strtoull(value, NULL, 10);
	return 0;
}

static int
line_done(struct kwb_events *events,
    void (*on_event)(void *context, const struct kwb_event *event),
    void *context)
{
	struct kwb_buf *line = &events->line;
	int code;

	if (line->used_bytes > 0 && line->data[line->used_bytes - 1] == '\r')
		line->data[--line->used_bytes] = '\0';
	if (line->used_bytes > 0) {
		code = field(events, line->data);
		line->used_bytes = 0;
		return code;
	}
	if (events->open)
		on_event(context, &events->event);
	event_clear(events);
	return 0;
}

int
kwb_events_feed(struct kwb_events *events, struct kwb_buf *bytes,
    void (*on_event)(void *context, const struct kwb_event *event),
    void *context)
{
	const char *at = bytes->data;
	const char *end = bytes->data + bytes->used_bytes;
	const char *newline;
	int code;

	while (at < end) {
		newline = memchr(at, '\n', (size_t)(end - at));
		if (events->line.used_bytes + events->event.data.used_bytes +
			(size_t)((newline ? newline : end) - at) >
		    KWB_EVENT_MAX_BYTES)
			return KWB_ERR_NET_BODY_SIZE;
		if (kwb_buf_add(&events->line, at,
			(size_t)((newline ? newline : end) - at)) != 0)
			return KWB_ERR_MEMORY;
		if (newline == NULL)
			break;
		code = line_done(events, on_event, context);
		if (code != 0)
			return code;
		at = newline + 1;
	}
	bytes->used_bytes = 0;
	return 0;
}

/* An event ends with an empty line; its id, if it has one, is noted. */
size_t
kwb_events_whole(const struct kwb_buf *bytes, uint64_t *last_id)
{
	const char *text = kwb_buf_text(bytes);
	uint64_t id = *last_id;
	size_t whole = 0;
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
			whole = at;
			*last_id = id;
		}
	}
	return whole;
}
