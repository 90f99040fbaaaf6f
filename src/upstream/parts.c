/*
 * Upstreams by the prompt prefixes that they have read. An upstream caches what
 * it has read for a while, so a request whose prompt begins like an earlier one
 * is answered sooner there: a later turn of a conversation, or one with the
 * same instructions. Only requests of this node are known; a wrong guess costs
 * one reading of the prompt.
 */
#include <stdlib.h>
#include <string.h>

#include "kwb_node.h"

#define PART_NAME_MAX_BYTES 64

/* Adds the next part to the hash of the prefix; returns what follows it. */
static const char *
part_next(const char *cursor, uint64_t *hash)
{
	char name[PART_NAME_MAX_BYTES];
	size_t length = strcspn(cursor, ",");
	size_t name_length = strcspn(cursor, ":,");

	if (name_length >= sizeof(name))
		name_length = sizeof(name) - 1;
	memcpy(name, cursor, name_length);
	name[name_length] = '\0';
	/* The colon keeps "a", "b" apart from "ab". */
	*hash = kwb_text_hash(":", kwb_text_hash(name, *hash));
	return cursor + length + (cursor[length] == ',');
}

static struct kwb_prefix_entry *
entry_of(struct kwb_prefix_map *map, uint64_t hash)
{
	return &map->entries[hash % KWB_PREFIXES_MAX];
}

void
kwb_prefix_map_finish(struct kwb_prefix_map *map)
{
	uint32_t i;

	for (i = 0; i < KWB_PREFIXES_MAX; i++)
		free(map->entries[i].upstream_id);
	memset(map, 0, sizeof(*map));
}

void
kwb_prefix_map_set(struct kwb_prefix_map *map, const char *service,
    const char *prompt, const char *upstream_id)
{
	uint64_t hash = kwb_text_hash(service, 0);
	struct kwb_prefix_entry *entry;

	while (*prompt != '\0') {
		prompt = part_next(prompt, &hash);
		entry = entry_of(map, hash);
		/* A prefix that isn't kept costs one reading of the prompt. */
		entry->hash =
		    kwb_text_replace(&entry->upstream_id, upstream_id) == 0
		    ? hash
		    : 0;
	}
}

const char *
kwb_prefix_map_find(
    struct kwb_prefix_map *map, const char *service, const char *prompt)
{
	uint64_t hash = kwb_text_hash(service, 0);
	const struct kwb_prefix_entry *entry;
	const char *found = NULL;

	while (*prompt != '\0') {
		prompt = part_next(prompt, &hash);
		entry = entry_of(map, hash);
		if (entry->hash == hash && entry->upstream_id != NULL)
			found = entry->upstream_id;
	}
	return found;
}
