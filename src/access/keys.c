/*
 * The table of keys. A key is looked up by its HMAC under a random secret of
 * the process, so that neither the slot nor the number of probes depends on
 * the key in a way that a caller could predict, and the table holds no key.
 */
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include <nettle/hmac.h>
#include <nettle/memops.h>

#include "kwb_node.h"

#define INITIAL_CAPACITY 64
#define SECRET_BYTES 32

/* Keyed with the secret; false until it could be read. */
static struct hmac_sha256_ctx keyed;
static bool is_keyed;

static int
secret_init(void)
{
	uint8_t secret[SECRET_BYTES];

	if (is_keyed)
		return 0;
	if (getrandom(secret, sizeof(secret), 0) != (ssize_t)sizeof(secret)) {
		kwb_log(KWB_LOG_ERROR, "access", "event=no_random_secret");
		return KWB_ERR_SYSTEM;
	}
	hmac_sha256_set_key(&keyed, sizeof(secret), secret);
	explicit_bzero(secret, sizeof(secret));
	is_keyed = true;
	return 0;
}

static void
key_digest(const char *key, uint8_t *digest)
{
	hmac_sha256_update(&keyed, strlen(key), (const uint8_t *)key);
	hmac_sha256_digest(&keyed, KWB_KEY_DIGEST_BYTES, digest);
}

/* The slot that holds the digest, or the free one where it belongs. */
static struct kwb_access_key *
slot_find(const struct kwb_access_keys *keys, const uint8_t *digest)
{
	uint32_t at;

	memcpy(&at, digest, sizeof(at));
	for (at &= keys->capacity - 1; keys->slots[at].is_used;
	     at = (at + 1) & (keys->capacity - 1))
		if (memeql_sec(
			keys->slots[at].digest, digest, KWB_KEY_DIGEST_BYTES))
			break;
	return &keys->slots[at];
}

static int
keys_grow(struct kwb_access_keys *keys)
{
	struct kwb_access_keys grown = {
	    .capacity = keys->capacity ? keys->capacity * 2 : INITIAL_CAPACITY,
	    .count = keys->count};
	uint32_t i;

	grown.slots = calloc(grown.capacity, sizeof(*grown.slots));
	if (grown.slots == NULL)
		return KWB_ERR_MEMORY;
	for (i = 0; i < keys->capacity; i++)
		if (keys->slots[i].is_used)
			*slot_find(&grown, keys->slots[i].digest) =
			    keys->slots[i];
	free(keys->slots);
	*keys = grown;
	return 0;
}

void
kwb_access_keys_init(struct kwb_access_keys *keys)
{
	memset(keys, 0, sizeof(*keys));
}

void
kwb_access_keys_finish(struct kwb_access_keys *keys)
{
	free(keys->slots);
	memset(keys, 0, sizeof(*keys));
}

int
kwb_access_keys_add(
    struct kwb_access_keys *keys, const char *key, uint32_t workspace)
{
	struct kwb_access_key added = {.workspace = workspace, .is_used = true};
	struct kwb_access_key *slot;
	int code = secret_init();

	if (code == 0 && keys->count * 2 >= keys->capacity)
		code = keys_grow(keys);
	if (code != 0)
		return code;
	key_digest(key, added.digest);
	slot = slot_find(keys, added.digest);
	if (!slot->is_used) {
		*slot = added;
		keys->count++;
		return 0;
	}
	if (slot->workspace == workspace)
		return 0;
	slot->is_ambiguous = true;
	return KWB_ERR_ARGUMENT;
}

int64_t
kwb_access_keys_find(const struct kwb_access_keys *keys, const char *key)
{
	uint8_t digest[KWB_KEY_DIGEST_BYTES];
	const struct kwb_access_key *slot;

	if (keys->count == 0)
		return -1;
	key_digest(key, digest);
	slot = slot_find(keys, digest);
	return slot->is_used && !slot->is_ambiguous ? (int64_t)slot->workspace
						    : -1;
}
