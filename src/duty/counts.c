/* Counts of requests by workspace, and their text in rows of the store. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "kwb_node.h"

#define INITIAL_CAPACITY 8

void
kwb_usage_counts_init(struct kwb_usage_counts *counts)
{
	memset(counts, 0, sizeof(*counts));
	kwb_index_init(&counts->index);
}

void
kwb_usage_counts_finish(struct kwb_usage_counts *counts)
{
	uint32_t i;

	for (i = 0; i < counts->count; i++)
		free(counts->entries[i]);
	free(counts->entries);
	kwb_index_finish(&counts->index);
	memset(counts, 0, sizeof(*counts));
}

/* Adds an entry without requests; NULL when out of memory. */
static struct kwb_usage_count *
add_entry(struct kwb_usage_counts *counts, const char *workspace)
{
	struct kwb_usage_count *entry = calloc(1, sizeof(*entry));
	struct kwb_usage_count **grown;
	uint32_t capacity = counts->capacity;

	if (entry == NULL)
		return NULL;
	if (counts->count == capacity) {
		capacity = capacity == 0 ? INITIAL_CAPACITY : 2 * capacity;
		grown = realloc(counts->entries, capacity * sizeof(*grown));
		if (grown == NULL) {
			free(entry);
			return NULL;
		}
		counts->entries = grown;
		counts->capacity = capacity;
	}
	kwb_text_copy(entry->workspace, sizeof(entry->workspace), workspace);
	if (kwb_index_put(&counts->index, entry->workspace, entry) != 0) {
		free(entry);
		return NULL;
	}
	counts->entries[counts->count++] = entry;
	return entry;
}

int
kwb_usage_counts_add(
    struct kwb_usage_counts *counts, const char *workspace, uint64_t requests)
{
	struct kwb_usage_count *entry =
	    kwb_index_get(&counts->index, workspace);

	if (entry == NULL)
		entry = add_entry(counts, workspace);
	if (entry == NULL)
		return KWB_ERR_MEMORY;
	entry->requests += requests;
	return 0;
}

int
kwb_usage_counts_encode(
    const struct kwb_usage_counts *counts, struct kwb_buf *out)
{
	uint32_t i;
	int code = 0;

	for (i = 0; i < counts->count && code == 0; i++)
		code = kwb_buf_printf(out, "%" PRIu64 " %s\n",
		    counts->entries[i]->requests,
		    counts->entries[i]->workspace);
	return code;
}

/* Reads one line; its end, or NULL if it is not "REQUESTS WORKSPACE". */
static const char *
decode_line(const char *line, const char *end, struct kwb_usage_count *count)
{
	const char *newline = memchr(line, '\n', (size_t)(end - line));
	const char *name;
	char *after;

	if (newline == NULL || *line < '0' || *line > '9')
		return NULL;
	count->requests = strtoull(line, &after, 10);
	name = after + 1;
	if (*after != ' ' || name >= newline ||
	    (size_t)(newline - name) >= sizeof(count->workspace))
		return NULL;
	memcpy(count->workspace, name, (size_t)(newline - name));
	count->workspace[newline - name] = '\0';
	return newline + 1;
}

int
kwb_usage_counts_decode(
    struct kwb_usage_counts *counts, const char *text, size_t text_bytes)
{
	const char *end = text + text_bytes;
	struct kwb_usage_count count = {0};
	const char *line;
	int code = 0;

	for (line = text; line < end;) {
		line = decode_line(line, end, &count);
		if (line == NULL)
			return KWB_ERR_STORE_UNREADABLE;
	}
	for (line = text; line < end && code == 0;) {
		line = decode_line(line, end, &count);
		code = kwb_usage_counts_add(
		    counts, count.workspace, count.requests);
	}
	return code;
}
