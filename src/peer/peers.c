/*
 * Peers of a node: the few nodes that follow it on a ring of all nodes, ordered
 * by hashes of their names. Each node writes its own row, keyed by that hash,
 * and reads the rows after it. So the number of peers and the cost of reading
 * them don't depend on the number of nodes.
 *
 * A row's value is "NODE IP:PORT WRITTEN_MS"; the address is its relay's.
 */
#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kwb_node.h"

#define TABLE_PEERS "peers" /* key: position on the ring, in hex */
#define KEY_BYTES 24
#define VALUE_BYTES 192

/*
 * Node names often differ in their last characters only; mixing all bits of the
 * hash spreads them evenly over the ring.
 */
uint64_t
kwb_peer_ring_position(const char *node)
{
	uint64_t hash = kwb_text_hash(node, 0);

	hash = (hash ^ (hash >> 33)) * 0xff51afd7ed558ccdull;
	hash = (hash ^ (hash >> 33)) * 0xc4ceb9fe1a85ec53ull;
	return hash ^ (hash >> 33);
}

static void
ring_key(char *key, const char *node)
{
	snprintf(key, KEY_BYTES, "%016llx",
	    (unsigned long long)kwb_peer_ring_position(node));
}

static bool
row_parse(
    const struct kwb_row *row, struct kwb_peer *peer, uint64_t *written_ms)
{
	char address[KWB_NAME_MAX_BYTES];
	unsigned long long parsed_ms;

	if (sscanf(row->value, "%63s %63s %llu", peer->node, address,
		&parsed_ms) != 3 ||
	    kwb_address_parse(&peer->address, address) != 0) {
		kwb_log(KWB_LOG_WARN, "peer", "event=row_unreadable key=%s",
		    row->key);
		return false;
	}
	*written_ms = parsed_ms;
	return true;
}

static void
removal_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	(void)call;
	kwb_log(KWB_LOG_INFO, "peer", "event=row_removed error=%s",
	    kwb_error_name(answer->error));
}

/* Removes the row of a node that is gone, as each read would include it. */
static void
row_remove(struct kwb_peers *peers, const struct kwb_row *row)
{
	static struct kwb_tx tx;
	struct kwb_store *store = peers->store;

	if (peers->removal.pending != NULL)
		return;
	memset(&tx, 0, sizeof(tx));
	kwb_tx_expect(&tx, TABLE_PEERS, "", row->key, row->revision);
	kwb_tx_remove(&tx, TABLE_PEERS, "", row->key);
	peers->removal.on_done = removal_on_answer;
	if (store->ops->transact(store, &tx, &peers->removal) != 0)
		kwb_log(KWB_LOG_WARN, "peer", "event=row_not_removed key=%s",
		    row->key);
}

static void
found_add_row(struct kwb_peers *peers, const struct kwb_row *row)
{
	uint64_t now_ms = kwb_store_now_ms(peers->store);
	uint64_t written_ms = 0;
	struct kwb_peer peer;
	uint32_t i;

	if (!row_parse(row, &peer, &written_ms) ||
	    strcmp(peer.node, peers->settings->node) == 0)
		return;
	if (now_ms > written_ms + KWB_PEER_EXPIRY_MS) {
		row_remove(peers, row);
		return;
	}
	for (i = 0; i < peers->found_count; i++)
		if (strcmp(peers->found[i].node, peer.node) == 0)
			return;
	if (peers->found_count < KWB_STORE_PEERS_MAX)
		peers->found[peers->found_count++] = peer;
}

static void
read_finish(struct kwb_peers *peers)
{
	memcpy(peers->known, peers->found, sizeof(peers->known));
	peers->known_count = peers->found_count;
	kwb_log(
	    KWB_LOG_INFO, "peer", "event=known count=%u", peers->known_count);
}

static void read_start(struct kwb_peers *peers, const char *from);

static void
read_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_peers *peers = call->context;
	uint32_t i;

	if (answer->error != 0) {
		kwb_timer_arm(
		    peers->timer, kwb_clock_now_ns() + KWB_PEERS_RETRY_NS);
		return;
	}
	for (i = 0; i < answer->rows_count; i++)
		found_add_row(peers, &answer->rows[i]);
	if (!peers->is_wrapped && peers->found_count < KWB_STORE_PEERS_MAX) {
		peers->is_wrapped = true;
		read_start(peers, NULL);
		return;
	}
	read_finish(peers);
}

static void
read_start(struct kwb_peers *peers, const char *from)
{
	struct kwb_range range = {.table = TABLE_PEERS,
	    .part = "",
	    .from = from,
	    .limit = KWB_STORE_PEERS_MAX + 1};

	peers->read.on_done = read_on_answer;
	peers->read.context = peers;
	if (peers->store->ops->range(peers->store, &range, &peers->read) != 0)
		kwb_timer_arm(
		    peers->timer, kwb_clock_now_ns() + KWB_PEERS_RETRY_NS);
}

static void
write_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_peers *peers = call->context;
	char key[KEY_BYTES];

	if (answer->error != 0) {
		kwb_timer_arm(
		    peers->timer, kwb_clock_now_ns() + KWB_PEERS_RETRY_NS);
		return;
	}
	peers->is_written = true;
	ring_key(key, peers->settings->node);
	peers->found_count = 0;
	peers->is_wrapped = false;
	read_start(peers, key);
}

/* Writes the own row; its answer starts the read of the rows after it. */
static void
peers_on_timer(int fd, short what, void *context)
{
	static struct kwb_tx tx;
	struct kwb_peers *peers = context;
	struct kwb_store *store = peers->store;
	uint64_t now_ns = kwb_clock_now_ns();
	char key[KEY_BYTES];
	char value[VALUE_BYTES];
	int length;

	(void)fd;
	(void)what;
	kwb_timer_arm(peers->timer, now_ns + KWB_PEERS_REFRESH_NS);
	if (peers->write.pending != NULL || peers->read.pending != NULL)
		return;
	if (store->last_answer_ns == 0) {
		kwb_timer_arm(peers->timer, now_ns + KWB_PEERS_RETRY_NS);
		return; /* the store's clock is not known yet */
	}
	ring_key(key, peers->settings->node);
	length = snprintf(value, sizeof(value), "%s %s:%u %llu",
	    peers->settings->node, peers->settings->peers.ip,
	    peers->settings->peers.port,
	    (unsigned long long)kwb_store_now_ms(store));
	memset(&tx, 0, sizeof(tx));
	kwb_tx_put(&tx, TABLE_PEERS, "", key, value, (size_t)length);
	peers->write.on_done = write_on_answer;
	peers->write.context = peers;
	/* Nodes that start together may have no row yet: read again soon. */
	if (!peers->is_written)
		kwb_timer_arm(
		    peers->timer, now_ns + KWB_PEERS_FIRST_REFRESH_NS);
	if (store->ops->transact(store, &tx, &peers->write) != 0)
		kwb_timer_arm(peers->timer, now_ns + KWB_PEERS_RETRY_NS);
}

const struct kwb_peer *
kwb_peers_next(struct kwb_peers *peers)
{
	if (peers->known_count == 0)
		return NULL;
	return &peers->known[peers->next_index++ % peers->known_count];
}

uint32_t
kwb_peers_estimate_nodes(const struct kwb_peers *peers)
{
	uint64_t own = kwb_peer_ring_position(peers->settings->node);
	uint64_t covered;
	double nodes;

	if (peers->known_count < KWB_STORE_PEERS_MAX)
		return peers->known_count + 1;
	covered =
	    kwb_peer_ring_position(peers->known[peers->known_count - 1].node) -
	    own;
	nodes = (double)UINT64_MAX / (double)covered * peers->known_count;
	return (uint32_t)nodes;
}

int
kwb_peers_init(struct kwb_peers *peers, struct event_base *base,
    const struct kwb_node_settings *settings, struct kwb_store *store)
{
	memset(peers, 0, sizeof(*peers));
	peers->settings = settings;
	peers->store = store;
	peers->timer = kwb_timer_new(base, peers_on_timer, peers);
	if (peers->timer == NULL)
		return KWB_ERR_MEMORY;
	if (settings->peers.port != 0)
		kwb_timer_arm(
		    peers->timer, kwb_clock_now_ns() + KWB_PEERS_RETRY_NS);
	return 0;
}

void
kwb_peers_finish(struct kwb_peers *peers)
{
	kwb_store_cancel(peers->store, &peers->write);
	kwb_store_cancel(peers->store, &peers->read);
	kwb_store_cancel(peers->store, &peers->removal);
	event_free(peers->timer);
}
