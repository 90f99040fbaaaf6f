/* Counts of requests by workspace, and their text in rows of the store. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "kwb_node.h"

#define INITIAL_CAPACITY 8
#define LINE_OVERHEAD_BYTES 22 /* number, space and newline, at the most */

void
kwb_usage_counts_init(struct kwb_usage_counts *counts)
{
	memset(counts, 0, sizeof(*counts));
	kwb_index_init(&counts->index);
}

static void
count_free(struct kwb_usage_count *entry)
{
	free(entry->workspace);
	free(entry);
}

void
kwb_usage_counts_finish(struct kwb_usage_counts *counts)
{
	uint32_t i;

	for (i = 0; i < counts->count; i++)
		count_free(counts->entries[i]);
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
	if (kwb_text_replace(&entry->workspace, workspace) != 0 ||
	    kwb_index_put(&counts->index, entry->workspace, entry) != 0) {
		count_free(entry);
		return NULL;
	}
	counts->entries[counts->count++] = entry;
	counts->text_bytes += strlen(workspace) + LINE_OVERHEAD_BYTES;
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

/* One line of a row. */
struct count_line {
	uint64_t requests;
	const char *workspace; /* not ended by NUL */
	size_t workspace_bytes;
};

/* Reads one line; its end, or NULL if it is not "REQUESTS WORKSPACE". */
static const char *
decode_line(const char *text, const char *end, struct count_line *line)
{
	const char *newline = memchr(text, '\n', (size_t)(end - text));
	char *after;

	if (newline == NULL || *text < '0' || *text > '9')
		return NULL;
	line->requests = strtoull(text, &after, 10);
	line->workspace = after + 1;
	if (*after != ' ' || line->workspace >= newline ||
	    memchr(line->workspace, '\0',
		(size_t)(newline - line->workspace)) != NULL)
		return NULL;
	line->workspace_bytes = (size_t)(newline - line->workspace);
	return newline + 1;
}

static int
add_line(struct kwb_usage_counts *counts, const struct count_line *line)
{
	char *workspace = strndup(line->workspace, line->workspace_bytes);
	int code = KWB_ERR_MEMORY;

	if (workspace != NULL)
		code = kwb_usage_counts_add(counts, workspace, line->requests);
	free(workspace);
	return code;
}

int
kwb_usage_counts_decode(
    struct kwb_usage_counts *counts, const char *text, size_t text_bytes)
{
	const char *end = text + text_bytes;
	struct count_line line = {.workspace = ""};
	const char *at;
	int code = 0;

	for (at = text; at < end;) {
		at = decode_line(at, end, &line);
		if (at == NULL)
			return KWB_ERR_STORE_UNREADABLE;
	}
	for (at = text; at < end && code == 0;) {
		at = decode_line(at, end, &line);
		code = add_line(counts, &line);
	}
	return code;
}
