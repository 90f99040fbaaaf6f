/*
 * Peers of an entry: the agents that it connects to and what they last reported
 * of themselves. A peer is chosen and a slot there reserved under one lock, so
 * that two requests can't take the same slot.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "peer.h"

static bool peer_is_usable(const struct peer *peer, uint64_t now_ns);
static struct peer *peer_find_or_add(
    struct peers *peers, const struct kwb_vm *vm);
static unsigned holders_in_demand(struct kwb_entry *entry,
    const struct kwb_vms *vms, uint32_t *chosen, unsigned chosen_max);
static unsigned plan_holders(struct kwb_entry *entry, const struct kwb_vms *vms,
    const struct kwb_plan *plan, const struct kwb_allowance *allowance,
    uint32_t *chosen, unsigned chosen_max);
static void peer_apply_listing(struct peer *peer, const struct kwb_vms *vms);
static void peer_fill_candidate(struct kwb_entry *entry, struct peer *peer,
    const char *plan, const char *model, struct kwb_candidate *candidate);
static const struct peer_model *peer_find_model(
    const struct peer *peer, const char *model);
static void peer_reserve(struct peer *peer, int index, const char *plan,
    const char *model, struct target *target);

void
peers_init(struct peers *peers)
{
	memset(peers, 0, sizeof(*peers));
	pthread_mutex_init(&peers->lock, NULL);
}

void
peers_finish(struct peers *peers)
{
	pthread_mutex_destroy(&peers->lock);
}

/* Routes a request: reserves a slot at the chosen peer and logs why. */
int
peers_pick(struct kwb_entry *entry, const struct kwb_route_query *query,
    const char *plan, const char *model, const char *key, struct target *target)
{
	struct peers *peers = &entry->peers;
	struct kwb_candidate candidates[KWB_PEERS_MAX];
	struct kwb_choice choice;
	unsigned i;

	target->peer_index = -1;
	pthread_mutex_lock(&peers->lock);
	for (i = 0; i < KWB_PEERS_MAX; i++)
		peer_fill_candidate(
		    entry, &peers->peers[i], plan, model, &candidates[i]);
	choice = kwb_route_pick(query, candidates, KWB_PEERS_MAX);
	if (choice.index >= 0)
		peer_reserve(&peers->peers[choice.index], choice.index, plan,
		    model, target);
	pthread_mutex_unlock(&peers->lock);
	if (choice.index < 0)
		return choice.error;
	kwb_log(KWB_LOG_INFO, "route",
	    "event=pick plan=%s key=%s vm=%s reason=%s in_plan=%u units=%u "
	    "in_flight=%u slots=%u version=%" PRIu64 " min_version=%" PRIu64
	    " same_domain=%d",
	    plan, key, target->vm, choice.reason,
	    candidates[choice.index].plan_in_flight,
	    candidates[choice.index].units, candidates[choice.index].in_flight,
	    candidates[choice.index].slots, target->version, query->min_version,
	    candidates[choice.index].same_domain);
	return 0;
}

/* Reserves a slot at the peer on that VM, whatever its load. */
int
peers_reserve(struct kwb_entry *entry, const char *vm, const char *plan,
    const char *model, struct target *target)
{
	struct peers *peers = &entry->peers;
	int i, error = KWB_ERR_ROUTE_NO_UPSTREAM;

	target->peer_index = -1;
	pthread_mutex_lock(&peers->lock);
	for (i = 0; i < KWB_PEERS_MAX && error != 0; i++) {
		struct peer *peer = &peers->peers[i];

		if (strcmp(peer->vm, vm) != 0 || !peer->is_connected)
			continue;
		peer_reserve(peer, i, plan, model, target);
		error = 0;
	}
	pthread_mutex_unlock(&peers->lock);
	return error;
}

/*
 * Gives a reserved slot back. The error is that of the request: a busy peer is
 * passed over for a while, and so is one that fails several times in a row.
 */
void
peers_release(struct kwb_entry *entry, struct target *target, int error)
{
	struct peer *peer;
	struct peer_plan *plan_use;

	if (target->peer_index < 0)
		return;
	peer = &entry->peers.peers[target->peer_index];
	pthread_mutex_lock(&entry->peers.lock);
	if (strcmp(peer->vm, target->vm) == 0) {
		plan_use = peer_plan_get(peer, target->plan);
		if (plan_use != NULL && plan_use->own_in_flight > 0)
			plan_use->own_in_flight--;
		if (peer->own_in_flight > 0)
			peer->own_in_flight--;
		if (error == KWB_ERR_CALL_BUSY)
			peer->busy_until_ns =
			    kwb_clock_now_ns() + KWB_PEER_BUSY_NS;
		if (error == KWB_ERR_CALL_UPSTREAM ||
		    error == KWB_ERR_CALL_DEADLINE)
			peer->failures_count++;
		else if (error == 0)
			peer->failures_count = 0;
		if (peer->failures_count >= KWB_PEER_TRIP_FAILURES) {
			peer->failures_count = 0;
			peer->tripped_until_ns =
			    kwb_clock_now_ns() + KWB_PEER_TRIP_NS;
			kwb_log(KWB_LOG_WARN, "member", "event=trip vm=%s",
			    peer->vm);
		}
	}
	pthread_mutex_unlock(&entry->peers.lock);
	target->peer_index = -1;
}

/* Updates the table from the VM list and the plans in demand here. */
void
peers_update(struct kwb_entry *entry, const struct kwb_vms *vms)
{
	struct peers *peers = &entry->peers;
	uint32_t chosen[2 * KWB_PEERS_MAX];
	unsigned i, count;

	count = kwb_subset_select(vms, entry->settings->vm,
	    entry->settings->failure_domain, entry->settings->subset, chosen,
	    KWB_PEERS_MAX);
	count += holders_in_demand(
	    entry, vms, chosen + count, 2 * KWB_PEERS_MAX - count);
	pthread_mutex_lock(&peers->lock);
	for (i = 0; i < KWB_PEERS_MAX; i++)
		peers->peers[i].is_wanted = false;
	for (i = 0; i < count; i++) {
		struct peer *peer =
		    peer_find_or_add(peers, &vms->vms[chosen[i]]);

		if (peer != NULL)
			peer->is_wanted = true;
	}
	for (i = 0; i < KWB_PEERS_MAX; i++)
		peer_apply_listing(&peers->peers[i], vms);
	pthread_mutex_unlock(&peers->lock);
}

/*
 * The holders of the training plans whose samples are pulled through this
 * entry, and of those whose weights it rolls out, in the failure domains that
 * it leads.
 */
static unsigned
holders_in_demand(struct kwb_entry *entry, const struct kwb_vms *vms,
    uint32_t *chosen, unsigned chosen_max)
{
	const struct kwb_lists *lists = kwb_current_lists_read_lock();
	unsigned used = 0;
	uint32_t i;

	for (i = 0; lists != NULL && i < lists->plans_count; i++) {
		const struct kwb_plan *plan = &lists->plans[i];
		const struct kwb_allowance *allowance =
		    kwb_lists_find_allowance(lists, plan->name);

		if (plan->kind != KWB_PLAN_TRAINING)
			continue;
		used += plan_holders(entry, vms, plan, allowance, chosen + used,
		    chosen_max - used);
	}
	kwb_current_lists_read_unlock();
	return used;
}

static unsigned
plan_holders(struct kwb_entry *entry, const struct kwb_vms *vms,
    const struct kwb_plan *plan, const struct kwb_allowance *allowance,
    uint32_t *chosen, unsigned chosen_max)
{
	uint64_t last_demand_ns =
	    atomic_load(&entry_plan_state(entry, plan->name)->last_demand_ns);
	bool in_demand = last_demand_ns != 0 &&
	    kwb_clock_now_ns() - last_demand_ns <= KWB_DEMAND_TTL_NS;
	unsigned i, used = 0, count;

	count = kwb_holders_select(vms, plan->pool, plan->name,
	    kwb_share_holders(allowance->concurrent, vms->count), chosen,
	    chosen_max);
	for (i = 0; i < count; i++)
		if (in_demand ||
		    entry_is_leading(
			entry, plan->name, vms->vms[chosen[i]].failure_domain))
			chosen[used++] = chosen[i];
	return used;
}

/* Applies the VM list to a peer; frees one that is unwanted and idle. */
static void
peer_apply_listing(struct peer *peer, const struct kwb_vms *vms)
{
	uint32_t i;

	if (peer->vm[0] == '\0')
		return;
	for (i = 0; i < vms->count; i++)
		if (strcmp(vms->vms[i].vm, peer->vm) == 0)
			break;
	peer->listed_leaving =
	    i == vms->count || vms->vms[i].state == KWB_VM_LEAVING;
	if (!peer->is_wanted && peer->own_in_flight == 0 && peer->link == 0)
		memset(peer, 0, sizeof(*peer));
}

/* Opens links to wanted peers that have none, with exponential backoff. */
void
peers_reconnect(struct kwb_entry *entry)
{
	struct peers *peers = &entry->peers;
	uint64_t now_ns = kwb_clock_now_ns();
	uint32_t i;

	pthread_mutex_lock(&peers->lock);
	for (i = 0; i < KWB_PEERS_MAX; i++) {
		struct peer *peer = &peers->peers[i];

		if (!peer->is_wanted || peer->link != 0 ||
		    now_ns < peer->next_reconnect_ns)
			continue;
		peer->reconnect_delay_ns *= 2;
		if (peer->reconnect_delay_ns < KWB_RECONNECT_DELAY_MIN_NS)
			peer->reconnect_delay_ns = KWB_RECONNECT_DELAY_MIN_NS;
		if (peer->reconnect_delay_ns > KWB_RECONNECT_DELAY_MAX_NS)
			peer->reconnect_delay_ns = KWB_RECONNECT_DELAY_MAX_NS;
		peer->next_reconnect_ns = now_ns + peer->reconnect_delay_ns;
		peer->is_connected = false;
		kwb_loop_connect(&entry->loop, &peer->address, i, &peer->link);
	}
	pthread_mutex_unlock(&peers->lock);
}

/* Sends the lists to all connected peers that have an older revision. */
void
peers_push_lists(struct kwb_entry *entry)
{
	uint64_t links[KWB_PEERS_MAX];
	uint32_t i;

	pthread_mutex_lock(&entry->peers.lock);
	for (i = 0; i < KWB_PEERS_MAX; i++)
		links[i] = entry->peers.peers[i].is_connected
		    ? entry->peers.peers[i].link
		    : 0;
	pthread_mutex_unlock(&entry->peers.lock);
	for (i = 0; i < KWB_PEERS_MAX; i++)
		if (links[i] != 0)
			peer_send_lists(entry, links[i], i);
}

/* Lists the connected peers of a pool, without reserving slots there. */
unsigned
peers_in_pool(struct kwb_entry *entry, const char *pool, struct target *targets,
    unsigned targets_max)
{
	struct peers *peers = &entry->peers;
	unsigned count = 0;
	int i;

	pthread_mutex_lock(&peers->lock);
	for (i = 0; i < KWB_PEERS_MAX && count < targets_max; i++) {
		const struct peer *peer = &peers->peers[i];

		if (!peer->is_connected || strcmp(peer->pool, pool) != 0)
			continue;
		targets[count].peer_index = i;
		targets[count].link = peer->link;
		targets[count].incarnation = peer->incarnation;
		kwb_text_copy(
		    targets[count].vm, sizeof(targets[count].vm), peer->vm);
		count++;
	}
	pthread_mutex_unlock(&peers->lock);
	return count;
}

/* Free units of a plan at usable peers, except the one at that index. */
uint32_t
peers_idle_units(struct kwb_entry *entry, const char *plan, int except)
{
	struct peers *peers = &entry->peers;
	uint64_t now_ns = kwb_clock_now_ns();
	uint32_t idle = 0;
	int i;

	pthread_mutex_lock(&peers->lock);
	for (i = 0; i < KWB_PEERS_MAX; i++) {
		struct peer *peer = &peers->peers[i];
		struct peer_plan *plan_use;

		if (i == except || !peer_is_usable(peer, now_ns))
			continue;
		plan_use = peer_plan_get(peer, plan);
		if (plan_use != NULL &&
		    plan_use->own_in_flight + plan_use->others_in_flight <
			plan_use->units &&
		    peer->own_in_flight + peer->others_in_flight < peer->slots)
			idle += plan_use->units - plan_use->own_in_flight -
			    plan_use->others_in_flight;
	}
	pthread_mutex_unlock(&peers->lock);
	return idle;
}

/* Appends all peers as a JSON array. */
void
peers_print_json(struct kwb_entry *entry, struct kwb_buf *out)
{
	struct peers *peers = &entry->peers;
	unsigned i, j, printed = 0;

	kwb_buf_printf(out, "[");
	pthread_mutex_lock(&peers->lock);
	for (i = 0; i < KWB_PEERS_MAX; i++) {
		const struct peer *peer = &peers->peers[i];

		if (peer->vm[0] == '\0')
			continue;
		kwb_buf_printf(out,
		    "%s{\"vm\":\"%s\",\"failure_domain\":\"%s\","
		    "\"pool\":\"%s\",\"connected\":%s,\"leaving\":%s,"
		    "\"upstream_up\":%s,\"lists_revision\":%" PRIu64
		    ",\"own\":%u,\"others\":%u,\"slots\":%u,\"versions\":{",
		    printed++ ? "," : "", peer->vm, peer->failure_domain,
		    peer->pool, peer->is_connected ? "true" : "false",
		    peer->leaving || peer->listed_leaving ? "true" : "false",
		    peer->upstream_up ? "true" : "false", peer->lists_revision,
		    peer->own_in_flight, peer->others_in_flight, peer->slots);
		for (j = 0; j < peer->models_count; j++)
			kwb_buf_printf(out, "%s\"%s\":%" PRIu64, j ? "," : "",
			    peer->models[j].model, peer->models[j].version);
		kwb_buf_printf(out, "},\"units\":{");
		for (j = 0; j < peer->plans_count; j++)
			kwb_buf_printf(out, "%s\"%s\":%u", j ? "," : "",
			    peer->plans[j].plan, peer->plans[j].units);
		kwb_buf_printf(out, "}}");
	}
	pthread_mutex_unlock(&peers->lock);
	kwb_buf_printf(out, "]");
}

static bool
peer_is_usable(const struct peer *peer, uint64_t now_ns)
{
	return peer->is_connected && peer->upstream_up && !peer->leaving &&
	    !peer->listed_leaving && now_ns >= peer->tripped_until_ns &&
	    now_ns >= peer->busy_until_ns;
}

/*
 * The peer on a VM, added if missing; NULL if the table is full. A new address
 * takes effect with the next link.
 */
static struct peer *
peer_find_or_add(struct peers *peers, const struct kwb_vm *vm)
{
	struct peer *peer, *unused = NULL;
	unsigned i;

	for (i = 0; i < KWB_PEERS_MAX; i++) {
		peer = &peers->peers[i];
		if (strcmp(peer->vm, vm->vm) == 0) {
			if (peer->link == 0)
				peer->address = vm->address;
			return peer;
		}
		if (unused == NULL && peer->vm[0] == '\0')
			unused = peer;
	}
	if (unused == NULL)
		return NULL;
	memset(unused, 0, sizeof(*unused));
	kwb_text_copy(unused->vm, sizeof(unused->vm), vm->vm);
	kwb_text_copy(unused->failure_domain, sizeof(unused->failure_domain),
	    vm->failure_domain);
	kwb_text_copy(unused->pool, sizeof(unused->pool), vm->pool);
	unused->address = vm->address;
	return unused;
}

static void
peer_fill_candidate(struct kwb_entry *entry, struct peer *peer,
    const char *plan, const char *model, struct kwb_candidate *candidate)
{
	const struct peer_model *state = peer_find_model(peer, model);
	const struct peer_plan *plan_use;

	memset(candidate, 0, sizeof(*candidate));
	candidate->vm = peer->vm;
	if (peer->vm[0] == '\0' || !peer_is_usable(peer, kwb_clock_now_ns()))
		return;
	plan_use = peer_plan_get(peer, plan);
	if (plan_use == NULL || (model != NULL && state == NULL))
		return;
	candidate->usable = plan_use->units > 0;
	candidate->same_domain =
	    strcmp(peer->failure_domain, entry->settings->failure_domain) == 0;
	if (state != NULL) {
		candidate->version = state->version;
		candidate->swapping = state->swapping;
	}
	candidate->units = plan_use->units;
	candidate->plan_in_flight =
	    plan_use->own_in_flight + plan_use->others_in_flight;
	candidate->slots = peer->slots;
	candidate->in_flight = peer->own_in_flight + peer->others_in_flight;
}

struct peer_plan *
peer_plan_get(struct peer *peer, const char *plan)
{
	struct peer_plan *plan_use;
	unsigned i;

	for (i = 0; i < peer->plans_count; i++)
		if (strcmp(peer->plans[i].plan, plan) == 0)
			return &peer->plans[i];
	if (peer->plans_count == KWB_PLANS_MAX)
		return NULL;
	plan_use = &peer->plans[peer->plans_count++];
	memset(plan_use, 0, sizeof(*plan_use));
	kwb_text_copy(plan_use->plan, sizeof(plan_use->plan), plan);
	return plan_use;
}

static const struct peer_model *
peer_find_model(const struct peer *peer, const char *model)
{
	unsigned i;

	for (i = 0; model != NULL && i < peer->models_count; i++)
		if (strcmp(peer->models[i].model, model) == 0)
			return &peer->models[i];
	return NULL;
}

static void
peer_reserve(struct peer *peer, int index, const char *plan, const char *model,
    struct target *target)
{
	const struct peer_model *state = peer_find_model(peer, model);
	struct peer_plan *plan_use = peer_plan_get(peer, plan);

	target->peer_index = index;
	target->link = peer->link;
	target->incarnation = peer->incarnation;
	target->version = state ? state->version : 0;
	kwb_text_copy(target->vm, sizeof(target->vm), peer->vm);
	kwb_text_copy(target->plan, sizeof(target->plan), plan);
	peer->own_in_flight++;
	if (plan_use != NULL)
		plan_use->own_in_flight++;
}
