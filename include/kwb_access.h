/*
 * knapweedbarrow: keys of workspaces. Which workspace a key belongs to, what a
 * request's key admits, and how recently the store has confirmed the config.
 * Included by kwb_node.h.
 */
#ifndef KWB_ACCESS_H
#define KWB_ACCESS_H

#include "kwb.h"

struct kwb_follower;
struct kwb_node_config;
struct kwb_node_settings;
struct kwb_route_entry;
struct kwb_workspace;

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

/* An answered read or feed of a table; times are kwb_boot_now_ns(). */
struct kwb_proof_input {
	uint64_t sent_ns; /* of a read in pages: the first one */
	uint64_t answered_ns;
	bool is_partial; /* there are more rows than these */
};

/* Up to when all changes are known by that answer; 0 when it proves nothing. */
uint64_t kwb_access_proof_ns(const struct kwb_proof_input *input);

/* How old a proof may be that admits a request, from the settings. */
uint64_t kwb_access_proof_max_age_ns(bool is_strict, uint32_t revoke_ms);

enum kwb_access_verdict {
	KWB_ACCESS_ADMIT,
	KWB_ACCESS_UNKNOWN, /* no config that may be in force has the key */
	KWB_ACCESS_ASK,	    /* the store's answer decides, and is awaited */
	KWB_ACCESS_UNPROVED /* the node's config may be outdated */
};

/* A request that needs a key; times are kwb_boot_now_ns(). */
struct kwb_access_input {
	bool is_known;	     /* the node's config has the key */
	uint64_t proof_ns;   /* up to when that config is known to be newest */
	uint64_t max_age_ns; /* of the proof */
	uint64_t arrived_ns; /* when the request had been read */
	uint64_t wait_until_ns; /* the store's answer is awaited until then */
	uint64_t now_ns;	/* read after the request was */
};

enum kwb_access_verdict kwb_access_decide(
    const struct kwb_access_input *input); /* pure */

/* Whether a workspace may use what belongs to owner; "" stands for none. */
bool kwb_access_is_owner(const char *owner, const char *workspace);

/* ---- Access --------------------------------------------------------------
 */

/* What a node knows of keys: the newest config, and how surely it is newest. */
struct kwb_access {
	const struct kwb_node_settings *settings;
	const struct kwb_node_config *const *config; /* may be NULL yet */
	struct kwb_follower *follower;		     /* that reads it */
	bool is_config_unread; /* a newer one could not be parsed */
	uint64_t asked_ns;     /* boot time when the store was last asked */
};

/* A request as far as its key is concerned. */
struct kwb_access_request {
	const char *key;       /* "" for none */
	bool is_public;	       /* needs no key */
	uint64_t arrived_ns;   /* boot time when it had been read */
	const char *workspace; /* out: that asks, "" for none */
	uint64_t proof_age_ns; /* out: UINT64_MAX for none */
	uint64_t recheck_ns;   /* out: boot time, for KWB_ACCESS_ASK */
};

/*
 * Decides on a request now. After KWB_ACCESS_ASK it is to be called again when
 * the follower's proof has risen, or at recheck_ns.
 */
enum kwb_access_verdict kwb_access_check(
    struct kwb_access *access, struct kwb_access_request *request);
/* Asks the store where its answer is late; to be called periodically. */
void kwb_access_keep_proof(struct kwb_access *access);

#endif
