/*
 * Peers of an entry: the agents of its subset, their links and what they last
 * said of themselves. Routing is decided here under the table's lock, so that
 * a choice and the place it takes are one step.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "peer.h"

static bool peer_usable(const struct peer *peer, uint64_t now_ns);
static struct peer *peer_slot(struct peers *peers, const struct kwb_vm *vm);
static unsigned homes_in_demand(struct kwb_entry *entry,
    const struct kwb_vms *vms, uint32_t *chosen, unsigned chosen_max);
static unsigned homes_of(struct kwb_entry *entry, const struct kwb_vms *vms,
    const struct kwb_plan *plan, const struct kwb_allowance *allowance,
    uint32_t *chosen, unsigned chosen_max);
static void peer_settle(struct peer *peer, const struct kwb_vms *vms);
static void peer_candidate(struct kwb_entry *entry, struct peer *peer,
    const char *plan, const char *model, struct kwb_candidate *candidate);
static const struct peer_model *model_of(
    const struct peer *peer, const char *model);
static void target_take(struct peer *peer, int index, const char *plan,
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

/* Chooses a peer of the plan's pool, takes a place there and logs why. */
int
peers_pick(struct kwb_entry *entry, const struct kwb_route_query *route,
    const char *plan, const char *model, const char *key, struct target *target)
{
	struct peers *peers = &entry->peers;
	struct kwb_candidate candidates[KWB_PEERS_MAX];
	struct kwb_choice choice;
	unsigned i;

	target->peer = -1;
	pthread_mutex_lock(&peers->lock);
	for (i = 0; i < KWB_PEERS_MAX; i++)
		peer_candidate(
		    entry, &peers->peers[i], plan, model, &candidates[i]);
	choice = kwb_route_pick(route, candidates, KWB_PEERS_MAX);
	if (choice.index >= 0)
		target_take(&peers->peers[choice.index], choice.index, plan,
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
	    candidates[choice.index].slots, target->version, route->min_version,
	    candidates[choice.index].same_domain);
	return 0;
}

/* Takes a place at one named peer, whatever its load. */
int
peers_target(struct kwb_entry *entry, const char *vm, const char *plan,
    const char *model, struct target *target)
{
	struct peers *peers = &entry->peers;
	int i, error = KWB_ERR_ROUTE_NONE;

	target->peer = -1;
	pthread_mutex_lock(&peers->lock);
	for (i = 0; i < KWB_PEERS_MAX && error != 0; i++) {
		struct peer *peer = &peers->peers[i];

		if (strcmp(peer->vm, vm) != 0 || !peer->greeted)
			continue;
		target_take(peer, i, plan, model, target);
		error = 0;
	}
	pthread_mutex_unlock(&peers->lock);
	return error;
}

/* Gives the place back; the error tells how the peer did. */
void
peers_release(struct kwb_entry *entry, struct target *target, int error)
{
	struct peer *peer;
	struct peer_plan *use;

	if (target->peer < 0)
		return;
	peer = &entry->peers.peers[target->peer];
	pthread_mutex_lock(&entry->peers.lock);
	if (strcmp(peer->vm, target->vm) == 0) {
		use = peer_plan_of(peer, target->plan);
		if (use != NULL && use->own > 0)
			use->own--;
		if (peer->own > 0)
			peer->own--;
		if (error == KWB_ERR_CALL_BUSY)
			peer->busy_ns = kwb_clock_now_ns() + KWB_BUSY_NS;
		if (error == KWB_ERR_CALL_UPSTREAM ||
		    error == KWB_ERR_CALL_DEADLINE)
			peer->failures++;
		else if (error == 0)
			peer->failures = 0;
		if (peer->failures >= KWB_TRIP_FAILURES) {
			peer->failures = 0;
			peer->tripped_ns = kwb_clock_now_ns() + KWB_TRIP_NS;
			kwb_log(KWB_LOG_WARN, "member", "event=trip vm=%s",
			    peer->vm);
		}
	}
	pthread_mutex_unlock(&entry->peers.lock);
	target->peer = -1;
}

/* Brings the table in line with the platform's list and with demand. */
void
peers_update(struct kwb_entry *entry, const struct kwb_vms *vms)
{
	struct peers *peers = &entry->peers;
	uint32_t chosen[2 * KWB_PEERS_MAX];
	unsigned i, count;

	count = kwb_subset(vms, entry->settings->vm,
	    entry->settings->failure_domain, entry->settings->subset, chosen,
	    KWB_PEERS_MAX);
	count += homes_in_demand(
	    entry, vms, chosen + count, 2 * KWB_PEERS_MAX - count);
	pthread_mutex_lock(&peers->lock);
	for (i = 0; i < KWB_PEERS_MAX; i++)
		peers->peers[i].wanted = false;
	for (i = 0; i < count; i++) {
		struct peer *peer = peer_slot(peers, &vms->vms[chosen[i]]);

		if (peer != NULL)
			peer->wanted = true;
	}
	for (i = 0; i < KWB_PEERS_MAX; i++)
		peer_settle(&peers->peers[i], vms);
	pthread_mutex_unlock(&peers->lock);
}

/*
 * The homes of the training plans that are pulled through this entry, and of
 * those whose weights are rolled out from here, in the domains led.
 */
static unsigned
homes_in_demand(struct kwb_entry *entry, const struct kwb_vms *vms,
    uint32_t *chosen, unsigned chosen_max)
{
	const struct kwb_lists *lists = kwb_current_hold();
	unsigned used = 0;
	uint32_t i;

	for (i = 0; lists != NULL && i < lists->plans_count; i++) {
		const struct kwb_plan *plan = &lists->plans[i];
		const struct kwb_allowance *allowance =
		    kwb_lists_allowance(lists, plan->name);

		if (plan->kind != KWB_PLAN_TRAINING)
			continue;
		used += homes_of(entry, vms, plan, allowance, chosen + used,
		    chosen_max - used);
	}
	kwb_current_drop();
	return used;
}

static unsigned
homes_of(struct kwb_entry *entry, const struct kwb_vms *vms,
    const struct kwb_plan *plan, const struct kwb_allowance *allowance,
    uint32_t *chosen, unsigned chosen_max)
{
	uint64_t demand_ns =
	    atomic_load(&entry_gate(entry, plan->name)->demand_ns);
	bool pulled = demand_ns != 0 &&
	    kwb_clock_now_ns() - demand_ns <= KWB_DEMAND_TTL_NS;
	unsigned i, used = 0, count;

	count = kwb_home(vms, plan->pool, plan->name,
	    kwb_share_holders(allowance->concurrent, vms->count), chosen,
	    chosen_max);
	for (i = 0; i < count; i++)
		if (pulled ||
		    entry_leads(
			entry, plan->name, vms->vms[chosen[i]].failure_domain))
			chosen[used++] = chosen[i];
	return used;
}

/* What the list says of a peer; one no longer wanted goes when it is idle. */
static void
peer_settle(struct peer *peer, const struct kwb_vms *vms)
{
	uint32_t i;

	if (peer->vm[0] == '\0')
		return;
	for (i = 0; i < vms->count; i++)
		if (strcmp(vms->vms[i].vm, peer->vm) == 0)
			break;
	peer->listed_leaving =
	    i == vms->count || vms->vms[i].state == KWB_VM_LEAVING;
	if (!peer->wanted && peer->own == 0 && peer->link == 0)
		memset(peer, 0, sizeof(*peer));
}

void
peers_reconnect(struct kwb_entry *entry)
{
	struct peers *peers = &entry->peers;
	uint64_t now_ns = kwb_clock_now_ns();
	uint32_t i;

	pthread_mutex_lock(&peers->lock);
	for (i = 0; i < KWB_PEERS_MAX; i++) {
		struct peer *peer = &peers->peers[i];

		if (!peer->wanted || peer->link != 0 ||
		    now_ns < peer->reconnect_ns)
			continue;
		peer->reconnect_delay_ns *= 2;
		if (peer->reconnect_delay_ns < KWB_RECONNECT_NS)
			peer->reconnect_delay_ns = KWB_RECONNECT_NS;
		if (peer->reconnect_delay_ns > KWB_RECONNECT_MAX_NS)
			peer->reconnect_delay_ns = KWB_RECONNECT_MAX_NS;
		peer->reconnect_ns = now_ns + peer->reconnect_delay_ns;
		peer->greeted = false;
		kwb_loop_connect(&entry->loop, &peer->address, i, &peer->link);
	}
	pthread_mutex_unlock(&peers->lock);
}

void
peers_push_lists(struct kwb_entry *entry)
{
	uint64_t links[KWB_PEERS_MAX];
	uint32_t i;

	pthread_mutex_lock(&entry->peers.lock);
	for (i = 0; i < KWB_PEERS_MAX; i++)
		links[i] = entry->peers.peers[i].greeted
		    ? entry->peers.peers[i].link
		    : 0;
	pthread_mutex_unlock(&entry->peers.lock);
	for (i = 0; i < KWB_PEERS_MAX; i++)
		if (links[i] != 0)
			peer_send_lists(entry, links[i], i);
}

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

		if (!peer->greeted || strcmp(peer->pool, pool) != 0)
			continue;
		targets[count].peer = i;
		targets[count].link = peer->link;
		targets[count].incarnation = peer->incarnation;
		kwb_text_copy(
		    targets[count].vm, sizeof(targets[count].vm), peer->vm);
		count++;
	}
	pthread_mutex_unlock(&peers->lock);
	return count;
}

/* Free places of a plan at usable peers other than one. */
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
		struct peer_plan *use;

		if (i == except || !peer_usable(peer, now_ns))
			continue;
		use = peer_plan_of(peer, plan);
		if (use != NULL && use->own + use->others < use->units &&
		    peer->own + peer->others < peer->slots)
			idle += use->units - use->own - use->others;
	}
	pthread_mutex_unlock(&peers->lock);
	return idle;
}

void
peers_print(struct kwb_entry *entry, struct kwb_buf *out)
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
		    peer->pool, peer->greeted ? "true" : "false",
		    peer->leaving || peer->listed_leaving ? "true" : "false",
		    peer->upstream_up ? "true" : "false", peer->lists_revision,
		    peer->own, peer->others, peer->slots);
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
peer_usable(const struct peer *peer, uint64_t now_ns)
{
	return peer->greeted && peer->upstream_up && !peer->leaving &&
	    !peer->listed_leaving && now_ns >= peer->tripped_ns &&
	    now_ns >= peer->busy_ns;
}

/* The slot of a VM, taken on first sight; a moved VM gets a new link. */
static struct peer *
peer_slot(struct peers *peers, const struct kwb_vm *vm)
{
	struct peer *peer, *open = NULL;
	unsigned i;

	for (i = 0; i < KWB_PEERS_MAX; i++) {
		peer = &peers->peers[i];
		if (strcmp(peer->vm, vm->vm) == 0) {
			if (peer->link == 0)
				peer->address = vm->address;
			return peer;
		}
		if (open == NULL && peer->vm[0] == '\0')
			open = peer;
	}
	if (open == NULL)
		return NULL;
	memset(open, 0, sizeof(*open));
	kwb_text_copy(open->vm, sizeof(open->vm), vm->vm);
	kwb_text_copy(open->failure_domain, sizeof(open->failure_domain),
	    vm->failure_domain);
	kwb_text_copy(open->pool, sizeof(open->pool), vm->pool);
	open->address = vm->address;
	return open;
}

static void
peer_candidate(struct kwb_entry *entry, struct peer *peer, const char *plan,
    const char *model, struct kwb_candidate *candidate)
{
	const struct peer_model *state = model_of(peer, model);
	const struct peer_plan *use;

	memset(candidate, 0, sizeof(*candidate));
	candidate->vm = peer->vm;
	if (peer->vm[0] == '\0' || !peer_usable(peer, kwb_clock_now_ns()))
		return;
	use = peer_plan_of(peer, plan);
	if (use == NULL || (model != NULL && state == NULL))
		return;
	candidate->usable = use->units > 0;
	candidate->same_domain =
	    strcmp(peer->failure_domain, entry->settings->failure_domain) == 0;
	if (state != NULL) {
		candidate->version = state->version;
		candidate->swapping = state->swapping;
	}
	candidate->units = use->units;
	candidate->plan_in_flight = use->own + use->others;
	candidate->slots = peer->slots;
	candidate->in_flight = peer->own + peer->others;
}

struct peer_plan *
peer_plan_of(struct peer *peer, const char *plan)
{
	struct peer_plan *use;
	unsigned i;

	for (i = 0; i < peer->plans_count; i++)
		if (strcmp(peer->plans[i].plan, plan) == 0)
			return &peer->plans[i];
	if (peer->plans_count == KWB_PLANS_MAX)
		return NULL;
	use = &peer->plans[peer->plans_count++];
	memset(use, 0, sizeof(*use));
	kwb_text_copy(use->plan, sizeof(use->plan), plan);
	return use;
}

static const struct peer_model *
model_of(const struct peer *peer, const char *model)
{
	unsigned i;

	for (i = 0; model != NULL && i < peer->models_count; i++)
		if (strcmp(peer->models[i].model, model) == 0)
			return &peer->models[i];
	return NULL;
}

static void
target_take(struct peer *peer, int index, const char *plan, const char *model,
    struct target *target)
{
	const struct peer_model *state = model_of(peer, model);
	struct peer_plan *use = peer_plan_of(peer, plan);

	target->peer = index;
	target->link = peer->link;
	target->incarnation = peer->incarnation;
	target->version = state ? state->version : 0;
	kwb_text_copy(target->vm, sizeof(target->vm), peer->vm);
	kwb_text_copy(target->plan, sizeof(target->plan), plan);
	peer->own++;
	if (use != NULL)
		use->own++;
}
