/*
 * Weight swaps on the side of the entries. Each training plan has a leader in
 * each failure domain: the entry that holds the lease and its fencing token.
 * The leader orders the domain's servers to swap to the newest version, some of
 * them at a time. The entries that rank first by rendezvous hashing try for the
 * lease. While the platform's table is out the last holder remains: nobody else
 * can take the lease then, and agents refuse a lower token.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../entry/entry.h"

#define DOMAIN_LEADS_MAX 256
#define ORDERS_MAX KWB_PEERS_MAX
#define LOOP_NS (50 * KWB_MS_NS)	/* between passes without an event */
#define CANDIDATES_MAX 4		/* entries that try for a lease */
#define LEASE_TRY_NS (1000 * KWB_MS_NS) /* between tries for a lease */
#define LEASE_TRY_RANK_NS (2000 * KWB_MS_NS)	 /* more for each rank */
#define EARLY_POLL_NS (100 * KWB_MS_NS)		 /* polls on a trainer's hint */
#define FAILED_ORDER_PAUSE_NS (1000 * KWB_MS_NS) /* before it is sent again */

/* An order sent to one agent, not yet finished. */
struct open_order {
	uint64_t request;     /* 0 when free */
	uint64_t deadline_ns; /* the slot is freed then */
	char vm[KWB_NAME_MAX_BYTES];
};

/* The lead of one plan in one failure domain, whether held here or not. */
struct domain_lead {
	char plan[KWB_NAME_MAX_BYTES];
	char model[KWB_NAME_MAX_BYTES];
	char pool[KWB_NAME_MAX_BYTES];
	char failure_domain[KWB_NAME_MAX_BYTES];
	enum kwb_objective objective;
	uint32_t slack_versions;
	bool is_listed; /* plan and domain still exist */
	bool is_leader; /* holds the lease, or held it when the table failed */
	struct kwb_lease lease;
	uint64_t lease_try_ns;	 /* next try for the lease, or renewal */
	uint64_t poll_ns;	 /* next read of the newest version */
	uint64_t early_poll_ns;	 /* not before, on a trainer's hint */
	uint64_t newest_version; /* published; servers are to have it */
	struct open_order orders[ORDERS_MAX];
};

struct leader {
	struct kwb_entry *entry;
	struct inbox inbox;
	unsigned domain_leads_count;
	struct domain_lead *domain_leads[DOMAIN_LEADS_MAX];
	struct target targets[KWB_PEERS_MAX]; /* found by servers_read() */
};

static void domain_leads_update(struct leader *leader);
static void domain_lead_add(struct leader *leader, const struct kwb_plan *plan,
    const char *failure_domain);
static uint32_t allowed_slack(
    const struct kwb_entry *entry, const struct kwb_plan *plan);
static unsigned candidate_rank(
    struct kwb_entry *entry, const struct domain_lead *lead);
static void lease_update(struct leader *leader, struct domain_lead *lead);
static void newest_version_poll(
    struct leader *leader, struct domain_lead *lead);
static void swaps_order(struct leader *leader, struct domain_lead *lead);
static unsigned servers_read(struct leader *leader,
    const struct domain_lead *lead, struct kwb_swap_server *servers);
static bool has_open_order(const struct domain_lead *lead, const char *vm);
static void order_send(struct leader *leader, struct domain_lead *lead,
    const struct target *target);
static void order_handle_event(
    struct leader *leader, const struct event *event);
static void order_close(struct leader *leader, struct open_order *order);

/* Thread of an entry that holds leases and orders swaps until it stops. */
void *
leader_run(void *argument)
{
	struct kwb_entry *entry = argument;
	struct leader *leader = calloc(1, sizeof(*leader));
	uint64_t revision = 0, lists_revision;
	uint32_t changes = 0, vms_changes_now;
	struct event *event;
	bool leading;
	unsigned i;

	if (leader == NULL)
		return NULL;
	kwb_current_lists_register_thread();
	leader->entry = entry;
	inbox_init(&leader->inbox);
	while (
	    !atomic_load(&entry->stopping) && !atomic_load(&entry->draining)) {
		lists_revision = kwb_current_lists_revision();
		vms_changes_now = atomic_load(&entry->vms_changes);
		if (lists_revision != revision || vms_changes_now != changes)
			domain_leads_update(leader);
		revision = lists_revision;
		changes = vms_changes_now;
		leading = false;
		for (i = 0; i < leader->domain_leads_count; i++) {
			struct domain_lead *lead = leader->domain_leads[i];

			if (!lead->is_listed)
				continue;
			lease_update(leader, lead);
			if (!lead->is_leader)
				continue;
			leading = true;
			newest_version_poll(leader, lead);
			swaps_order(leader, lead);
		}
		atomic_store(&entry->leading, leading);
		event =
		    inbox_wait(&leader->inbox, kwb_clock_now_ns() + LOOP_NS);
		for (; event != NULL; event = inbox_wait(&leader->inbox, 0)) {
			order_handle_event(leader, event);
			inbox_event_free(event);
		}
	}
	for (i = 0; i < leader->domain_leads_count; i++) {
		struct domain_lead *lead = leader->domain_leads[i];
		unsigned j;

		for (j = 0; j < ORDERS_MAX; j++)
			order_close(leader, &lead->orders[j]);
		if (lead->is_leader)
			kwb_lease_release(&lead->lease, &entry->platform);
		free(lead);
	}
	inbox_finish(&leader->inbox);
	free(leader);
	kwb_current_lists_unregister_thread();
	return NULL;
}

/* Keeps a lead for each training plan and domain with agents of its pool. */
static void
domain_leads_update(struct leader *leader)
{
	struct kwb_entry *entry = leader->entry;
	const struct kwb_lists *lists;
	unsigned i, j;

	for (i = 0; i < leader->domain_leads_count; i++)
		leader->domain_leads[i]->is_listed = false;
	pthread_mutex_lock(&entry->vms_lock);
	lists = kwb_current_lists_read_lock();
	for (i = 0; lists != NULL && i < lists->plans_count; i++) {
		const struct kwb_plan *plan = &lists->plans[i];

		if (plan->kind != KWB_PLAN_TRAINING)
			continue;
		for (j = 0; j < entry->vms->count; j++)
			if (strcmp(entry->vms->vms[j].role, "agent") == 0 &&
			    strcmp(entry->vms->vms[j].pool, plan->pool) == 0)
				domain_lead_add(leader, plan,
				    entry->vms->vms[j].failure_domain);
	}
	kwb_current_lists_read_unlock();
	pthread_mutex_unlock(&entry->vms_lock);
}

/* Adds the plan's lead in the domain, or renews what the plan says of it. */
static void
domain_lead_add(struct leader *leader, const struct kwb_plan *plan,
    const char *failure_domain)
{
	char name[KWB_KEY_MAX_BYTES];
	struct domain_lead *lead = NULL;
	unsigned i;

	for (i = 0; i < leader->domain_leads_count && lead == NULL; i++)
		if (strcmp(leader->domain_leads[i]->plan, plan->name) == 0 &&
		    strcmp(leader->domain_leads[i]->failure_domain,
			failure_domain) == 0)
			lead = leader->domain_leads[i];
	if (lead == NULL) {
		if (leader->domain_leads_count == DOMAIN_LEADS_MAX)
			return;
		lead = calloc(1, sizeof(*lead));
		if (lead == NULL)
			return;
		leader->domain_leads[leader->domain_leads_count++] = lead;
		kwb_text_copy(lead->plan, sizeof(lead->plan), plan->name);
		kwb_text_copy(lead->failure_domain,
		    sizeof(lead->failure_domain), failure_domain);
		snprintf(name, sizeof(name), "leases/weights/%s/%s", plan->name,
		    failure_domain);
		kwb_lease_init(&lead->lease, name, leader->entry->settings->vm,
		    leader->entry->origin.incarnation);
	}
	lead->is_listed = true;
	lead->objective = plan->objective;
	lead->slack_versions = allowed_slack(leader->entry, plan);
	kwb_text_copy(lead->model, sizeof(lead->model), plan->model);
	kwb_text_copy(lead->pool, sizeof(lead->pool), plan->pool);
}

/*
 * Versions that a busy server may be behind. One less than the staleness bound:
 * the trainer advances by one version in the meantime, and what the server
 * generates must still be within the bound.
 */
static uint32_t
allowed_slack(const struct kwb_entry *entry, const struct kwb_plan *plan)
{
	if (entry->policy != KWB_POLICY_DEFAULT ||
	    plan->objective != KWB_OBJECTIVE_IDLE ||
	    plan->staleness_versions == 0)
		return 0;
	return plan->staleness_versions - 1;
}

/* Tries for the lease or renews it, when that is due. */
static void
lease_update(struct leader *leader, struct domain_lead *lead)
{
	struct kwb_entry *entry = leader->entry;
	uint64_t now_ns = kwb_clock_now_ns();
	unsigned rank;
	int error;

	if (now_ns < lead->lease_try_ns)
		return;
	rank = candidate_rank(entry, lead);
	if (!lead->is_leader && rank >= CANDIDATES_MAX) {
		lead->lease_try_ns = now_ns + LEASE_TRY_NS;
		return;
	}
	error = kwb_lease_acquire(&lead->lease, &entry->platform);
	if (error == 0 && !lead->is_leader)
		kwb_log(KWB_LOG_INFO, "weights",
		    "event=lead plan=%s failure_domain=%s token=%" PRIu64,
		    lead->plan, lead->failure_domain,
		    lead->lease.fencing_token);
	if (error == KWB_ERR_PLATFORM_CONFLICT && lead->is_leader)
		kwb_log(KWB_LOG_WARN, "weights",
		    "event=lead_lost plan=%s failure_domain=%s", lead->plan,
		    lead->failure_domain);
	if (error == 0)
		lead->is_leader = true;
	else if (error == KWB_ERR_PLATFORM_CONFLICT)
		lead->is_leader = false;
	entry_set_leading(
	    entry, lead->plan, lead->failure_domain, lead->is_leader);
	now_ns = kwb_clock_now_ns();
	lead->lease_try_ns = now_ns +
	    (lead->is_leader ? KWB_LEASE_RENEW_NS
			     : LEASE_TRY_NS + rank * LEASE_TRY_RANK_NS);
}

/* Reads the newest version from the weight store, when that is due. */
static void
newest_version_poll(struct leader *leader, struct domain_lead *lead)
{
	uint64_t now_ns = kwb_clock_now_ns();
	uint64_t version = 0, trainer_version;

	/* A trainer announces a version after its weights are published. */
	trainer_version = atomic_load(
	    &entry_plan_state(leader->entry, lead->plan)->trainer_version);
	if (now_ns < lead->poll_ns &&
	    (trainer_version <= lead->newest_version ||
		now_ns < lead->early_poll_ns))
		return;
	lead->poll_ns = now_ns + KWB_WEIGHTS_POLL_NS;
	lead->early_poll_ns = now_ns + EARLY_POLL_NS;
	if (kwb_weights_newest(
		&leader->entry->platform, lead->model, &version) == 0 &&
	    version > lead->newest_version)
		lead->newest_version = version;
}

/* Drops overdue orders and sends those that are due. */
static void
swaps_order(struct leader *leader, struct domain_lead *lead)
{
	struct kwb_swap_server servers[KWB_PEERS_MAX];
	struct kwb_swap swap = {.target = lead->newest_version,
	    .slack_versions = lead->slack_versions,
	    .objective = lead->objective};
	uint64_t now_ns = kwb_clock_now_ns();
	unsigned i, count;
	int next;

	for (i = 0; i < ORDERS_MAX; i++)
		if (lead->orders[i].request != 0 &&
		    now_ns >= lead->orders[i].deadline_ns)
			order_close(leader, &lead->orders[i]);
	count = servers_read(leader, lead, servers);
	while ((next = kwb_swap_pick(&swap, servers, count)) >= 0) {
		order_send(leader, lead, &leader->targets[next]);
		servers[next].swapping = true;
	}
}

/* Fills in the connected servers of the lead, and the agent of each. */
static unsigned
servers_read(struct leader *leader, const struct domain_lead *lead,
    struct kwb_swap_server *servers)
{
	struct target *targets = leader->targets;
	struct peers *peers = &leader->entry->peers;
	unsigned i, j, count = 0;

	pthread_mutex_lock(&peers->lock);
	for (i = 0; i < KWB_PEERS_MAX; i++) {
		const struct peer *peer = &peers->peers[i];
		struct kwb_swap_server *server = &servers[count];

		if (!peer->is_connected ||
		    strcmp(peer->pool, lead->pool) != 0 ||
		    strcmp(peer->failure_domain, lead->failure_domain) != 0)
			continue;
		memset(server, 0, sizeof(*server));
		server->usable = peer->upstream_up && !peer->leaving;
		server->in_flight =
		    peer->own_in_flight + peer->others_in_flight;
		for (j = 0; j < peer->models_count; j++)
			if (strcmp(peer->models[j].model, lead->model) == 0) {
				server->version = peer->models[j].version;
				server->swapping = peer->models[j].swapping;
			}
		if (has_open_order(lead, peer->vm))
			server->swapping = true;
		targets[count].peer_index = (int)i;
		targets[count].link = peer->link;
		kwb_text_copy(
		    targets[count].vm, sizeof(targets[count].vm), peer->vm);
		count++;
	}
	pthread_mutex_unlock(&peers->lock);
	return count;
}

static bool
has_open_order(const struct domain_lead *lead, const char *vm)
{
	unsigned i;

	for (i = 0; i < ORDERS_MAX; i++)
		if (lead->orders[i].request != 0 &&
		    strcmp(lead->orders[i].vm, vm) == 0)
			return true;
	return false;
}

static void
order_send(struct leader *leader, struct domain_lead *lead,
    const struct target *target)
{
	struct kwb_entry *entry = leader->entry;
	Kwb__Wire__Order wire = KWB__WIRE__ORDER__INIT;
	KWB_FRAME_DECLARE(frame, ORDER, order, wire);
	struct open_order *order = NULL;
	unsigned i;

	for (i = 0; i < ORDERS_MAX && order == NULL; i++)
		if (lead->orders[i].request == 0)
			order = &lead->orders[i];
	if (order == NULL)
		return;
	order->request = registry_open_request(
	    &entry->registry, &leader->inbox, target->link, lead);
	order->deadline_ns =
	    kwb_clock_now_ns() + KWB_SWAP_TIMEOUT_MS * KWB_MS_NS;
	kwb_text_copy(order->vm, sizeof(order->vm), target->vm);
	wire.request = order->request;
	wire.plan = lead->plan;
	wire.model = lead->model;
	wire.version = lead->newest_version;
	wire.fencing_token = lead->lease.fencing_token;
	kwb_log(KWB_LOG_INFO, "weights",
	    "event=order plan=%s vm=%s version=%" PRIu64 " token=%" PRIu64,
	    lead->plan, target->vm, wire.version, wire.fencing_token);
	kwb_link_send(&entry->loop, target->link, &frame);
}

/* Closes the order on success or a lost link, or delays the next try. */
static void
order_handle_event(struct leader *leader, const struct event *event)
{
	struct domain_lead *lead = event->owner;
	const Kwb__Wire__OrderReply *reply = NULL;
	unsigned i;

	if (event->kind == EVENT_FRAME &&
	    event->frame->body_case == KWB__WIRE__FRAME__BODY_ORDER_REPLY)
		reply = event->frame->order_reply;
	for (i = 0; i < ORDERS_MAX; i++) {
		struct open_order *order = &lead->orders[i];

		if (order->request != event->request_id)
			continue;
		if (reply != NULL && reply->error != 0) {
			/* Sent again after a pause: at once, it would
			 * likely fail in the same way. */
			kwb_log(KWB_LOG_WARN, "weights",
			    "event=order_failed plan=%s vm=%s error=%s",
			    lead->plan, order->vm,
			    kwb_error_name(reply->error));
			order->deadline_ns =
			    kwb_clock_now_ns() + FAILED_ORDER_PAUSE_NS;
			if (reply->error == KWB_ERR_CALL_FENCED)
				lead->lease_try_ns = 0;
			return;
		}
		order_close(leader, order);
	}
}

static void
order_close(struct leader *leader, struct open_order *order)
{
	if (order->request != 0)
		registry_close_request(
		    &leader->entry->registry, order->request);
	order->request = 0;
}

/*
 * Rank of this entry among the candidates for the lease, 0 first. Entries of
 * the lead's failure domain come first.
 */
static unsigned
candidate_rank(struct kwb_entry *entry, const struct domain_lead *lead)
{
	const char *self = entry->settings->vm;
	uint64_t hash_seed = kwb_hash(lead->lease.name, 0);
	uint64_t self_hash = kwb_hash(self, hash_seed);
	bool self_is_local =
	    strcmp(entry->settings->failure_domain, lead->failure_domain) == 0;
	unsigned rank = 0;
	uint32_t i;

	pthread_mutex_lock(&entry->vms_lock);
	for (i = 0; i < entry->vms->count; i++) {
		const struct kwb_vm *vm = &entry->vms->vms[i];
		bool is_local =
		    strcmp(vm->failure_domain, lead->failure_domain) == 0;

		if (strcmp(vm->role, "entry") != 0 || strcmp(vm->vm, self) == 0)
			continue;
		if (is_local != self_is_local
			? is_local
			: kwb_hash(vm->vm, hash_seed) > self_hash)
			rank++;
	}
	pthread_mutex_unlock(&entry->vms_lock);
	return rank;
}
