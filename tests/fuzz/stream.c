/*
 * Fuzz target: server-sent events. The parsed events must not depend on how the
 * stream is split into chunks.
 */
#include <stdlib.h>
#include <string.h>

#include "fuzz.h"
#include "kwb_node.h"

/* The events that were parsed, in short. */
/* Number and hash of the parsed events. */
struct event_digest {
	uint64_t count;
	uint64_t hash;
};

static void
stream_on_event(void *context, const struct kwb_sse_event *event)
{
	struct event_digest *digest = context;
	size_t i;

	digest->count++;
	digest->hash = digest->hash * 31 + event->id + event->version;
	for (i = 0; i < event->data.used_bytes; i++)
		digest->hash = digest->hash * 31 + (uint8_t)event->data.data[i];
}

/* Parses the stream in chunks of a length; returns the parser's last code. */
static int
feed(const uint8_t *data, size_t length_bytes, size_t chunk_bytes,
    struct event_digest *digest)
{
	struct kwb_sse_parser events;
	struct kwb_buf bytes;
	size_t offset;
	int code = 0;

	memset(digest, 0, sizeof(*digest));
	kwb_sse_parser_init(&events, "weight-versions");
	kwb_buf_init(&bytes);
	for (offset = 0; offset < length_bytes && code == 0;
	     offset += chunk_bytes) {
		size_t left = length_bytes - offset;

		if (kwb_buf_add(&bytes, data + offset,
			left < chunk_bytes ? left : chunk_bytes) != 0)
			abort();
		code = kwb_sse_parser_feed(
		    &events, &bytes, stream_on_event, digest);
	}
	kwb_sse_parser_finish(&events);
	kwb_buf_finish(&bytes);
	return code;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t length_bytes)
{
	struct kwb_buf bytes;
	struct event_digest whole;
	struct event_digest split;
	uint64_t last = 0;
	int code;

	if (length_bytes < 2)
		return 0;
	code = feed(data + 1, length_bytes - 1, length_bytes, &whole);
	if (feed(data + 1, length_bytes - 1, data[0] % 16 + 1, &split) !=
		code ||
	    whole.count != split.count || whole.hash != split.hash)
		abort();
	kwb_buf_init(&bytes);
	if (kwb_buf_add(&bytes, data, length_bytes) != 0 ||
	    kwb_sse_whole_bytes(&bytes, &last) > length_bytes)
		abort();
	kwb_buf_finish(&bytes);
	return 0;
}
