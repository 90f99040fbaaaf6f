/*
 * Spans: runs of consecutive tokens that one weight version generated.
 */
#include "kwb.h"
#include "wire.h"

/*
 * Fills in the spans of the tokens from index first on and returns how many;
 * tokens after WIRE_SPANS_MAX spans are left out.
 */
unsigned
wire_spans_fill(const struct kwb_tokens *tokens, uint32_t first,
    struct wire_span_list *list)
{
	Kwb__Wire__Span *last = NULL;
	unsigned count = 0;
	uint32_t i;

	for (i = first; i < tokens->count; i++) {
		if (last != NULL && last->version == tokens->version[i]) {
			last->count++;
			continue;
		}
		if (count == WIRE_SPANS_MAX)
			break;
		last = &list->spans[count];
		list->pointers[count++] = last;
		kwb__wire__span__init(last);
		last->version = tokens->version[i];
		last->first = i;
		last->count = 1;
	}
	return count;
}
