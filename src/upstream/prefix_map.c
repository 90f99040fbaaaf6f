/*
 * Which upstream has read the map of a prompt. An upstream keeps what it has
 * read for a while, so a request that begins like an earlier one is answered
 * sooner there. Answers a load of conversations and shared instructions; only
 * what this node saw is known, and a wrong guess costs one reading.
 */
#include <string.h>

#include "kwb_node.h"

/* Room for one part's name, as text. */
#define PART_NAME_MAX_BYTES 64

/* A part counts together with all map before it. */
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
kwb_prefix_map_set(struct kwb_prefix_map *map, const char *service,
    const char *prompt, const char *upstream_id)
{
	uint64_t hash = kwb_text_hash(service, 0);
	struct kwb_prefix_entry *entry;

	while (*prompt != '\0') {
		prompt = part_next(prompt, &hash);
		entry = entry_of(map, hash);
		entry->hash = hash;
		kwb_text_copy(entry->upstream_id, sizeof(entry->upstream_id),
		    upstream_id);
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
		if (entry->hash == hash && entry->upstream_id[0] != '\0')
			found = entry->upstream_id;
	}
	return found;
}
