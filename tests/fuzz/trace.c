/*
 * Fuzz target: log lines, from which a trace of a batch is built.
 */
#include <stdlib.h>
#include <string.h>

#include "kwb_trace.h"
#include "fuzz.h"

#define LINE_BYTES 512

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t length_bytes)
{
	const char *text = (const char *)data;
	struct kwb_trace trace;
	char line[LINE_BYTES];
	uint32_t i;
	size_t offset = 0;
	size_t end;

	if (kwb_trace_init(&trace, "b", NULL) != 0)
		abort();
	for (; offset < length_bytes; offset = end + 1) {
		for (end = offset; end < length_bytes && text[end] != '\n';
		     end++)
			;
		if (end - offset >= sizeof(line))
			continue;
		memcpy(line, text + offset, end - offset);
		line[end - offset] = '\0';
		if (kwb_trace_add(&trace, line) != 0)
			abort();
	}
	if (kwb_trace_explain(&trace) == 0)
		for (i = 1; i < trace.spans_count; i++)
			if (trace.spans[i].begin_ms !=
			    trace.spans[i - 1].end_ms)
				abort(); /* there is a gap between spans */
	kwb_trace_finish(&trace);
	return 0;
}
