/*
 * A hash table of pointers by name, with open addressing and linear probing.
 */
#include <stdlib.h>
#include <string.h>

#include "kwb_node.h"

#define INITIAL_CAPACITY 64

/* Marks a removed entry, by its address; probing goes on behind it. */
static const char tombstone[] = "";

uint64_t
kwb_text_hash(const char *text, uint64_t previous_hash)
{
	uint64_t hash =
	    previous_hash ? previous_hash : 14695981039346656037u; /* FNV-1a */

	for (; *text != '\0'; text++)
		hash = (hash ^ (unsigned char)*text) * 1099511628211u;
	return hash;
}

static uint32_t
name_hash(const char *name)
{
	return (uint32_t)kwb_text_hash(name, 0);
}

void
kwb_index_init(struct kwb_index *index)
{
	memset(index, 0, sizeof(*index));
}

void
kwb_index_finish(struct kwb_index *index)
{
	free(index->slots);
	memset(index, 0, sizeof(*index));
}

static struct kwb_index_slot *
slot_find(const struct kwb_index *index, const char *name)
{
	uint32_t slot_index;

	if (index->capacity == 0)
		return NULL;
	for (slot_index = name_hash(name);; slot_index++) {
		struct kwb_index_slot *slot =
		    &index->slots[slot_index & (index->capacity - 1)];

		if (slot->name == NULL)
			return NULL;
		if (slot->name != tombstone && strcmp(slot->name, name) == 0)
			return slot;
	}
}

static void
slot_insert(struct kwb_index *index, const char *name, void *value)
{
	uint32_t slot_index = name_hash(name);

	while (index->slots[slot_index & (index->capacity - 1)].name != NULL)
		slot_index++;
	index->slots[slot_index & (index->capacity - 1)].name = name;
	index->slots[slot_index & (index->capacity - 1)].value = value;
	index->used_slots++;
}

static int
index_grow(struct kwb_index *index)
{
	struct kwb_index old = *index;
	uint32_t live_slots = 0;
	uint32_t i;

	for (i = 0; i < old.capacity; i++)
		live_slots +=
		    old.slots[i].name != NULL && old.slots[i].name != tombstone;
	/* If removed entries fill the table, it is rebuilt at the same size. */
	if (old.capacity == 0)
		index->capacity = INITIAL_CAPACITY;
	else if (live_slots * 4 >= old.capacity)
		index->capacity = old.capacity * 2;
	index->slots = calloc(index->capacity, sizeof(*index->slots));
	if (index->slots == NULL) {
		*index = old;
		return KWB_ERR_MEMORY;
	}
	index->used_slots = 0;
	for (i = 0; i < old.capacity; i++)
		if (old.slots[i].name != NULL && old.slots[i].name != tombstone)
			slot_insert(
			    index, old.slots[i].name, old.slots[i].value);
	free(old.slots);
	return 0;
}

void *
kwb_index_get(const struct kwb_index *index, const char *name)
{
	const struct kwb_index_slot *slot = slot_find(index, name);

	return slot ? slot->value : NULL;
}

int
kwb_index_put(struct kwb_index *index, const char *name, void *value)
{
	struct kwb_index_slot *slot = slot_find(index, name);

	if (slot != NULL) {
		slot->name = name;
		slot->value = value;
		return 0;
	}
	if (index->used_slots * 2 >= index->capacity && index_grow(index) != 0)
		return KWB_ERR_MEMORY;
	slot_insert(index, name, value);
	return 0;
}

void
kwb_index_remove(struct kwb_index *index, const char *name)
{
	struct kwb_index_slot *slot = slot_find(index, name);

	if (slot == NULL)
		return;
	slot->name = tombstone;
	slot->value = NULL;
}
