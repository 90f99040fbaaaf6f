/*
 * knapweedbarrow: keys of workspaces. Which workspace a key belongs to, what a
 * request's key admits, and how recently the store has confirmed the config.
 * Included by kwb_node.h.
 */
#ifndef KWB_ACCESS_H
#define KWB_ACCESS_H

#include "kwb.h"

struct kwb_workspace;
struct kwb_route_entry;

/* ---- Keys ----------------------------------------------------------------
 */

#define KWB_KEY_DIGEST_BYTES 32 /* of HMAC-SHA256 */

/* A key, known by its digest under a secret of this process. */
struct kwb_access_key {
	uint8_t digest[KWB_KEY_DIGEST_BYTES];
	uint32_t workspace; /* index in the config */
	bool is_used;
	bool is_ambiguous; /* two workspaces claim it: it admits nobody */
};

/* A hash table of keys with open addressing. */
struct kwb_access_keys {
	struct kwb_access_key *slots;
	uint32_t capacity; /* number of slots; 0 or a power of two */
	uint32_t count;
};

void kwb_access_keys_init(struct kwb_access_keys *keys);   /* empty */
void kwb_access_keys_finish(struct kwb_access_keys *keys); /* frees it */
/*
 * Adds a key of the workspace of that index. Returns 0, KWB_ERR_MEMORY or
 * KWB_ERR_SYSTEM; KWB_ERR_ARGUMENT if another workspace has the key: it then
 * belongs to neither.
 */
int kwb_access_keys_add(
    struct kwb_access_keys *keys, const char *key, uint32_t workspace);
/*
 * Index of the workspace that has the key; -1 for none. The time it takes
 * tells nothing of the keys in the table.
 */
int64_t kwb_access_keys_find(
    const struct kwb_access_keys *keys, const char *key);

/* ---- Decisions -----------------------------------------------------------
 */

/* Priority of a request, 0 first; workspace: that asks, NULL for none. */
uint32_t kwb_access_rank(
    const struct kwb_workspace *workspace, const struct kwb_route_entry *route);

/* Whether a workspace may use what belongs to owner; "" stands for none. */
bool kwb_access_is_owner(const char *owner, const char *workspace);

#endif
