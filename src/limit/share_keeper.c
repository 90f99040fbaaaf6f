/*
 * Keeps this agent's part of each plan's allowance in the pool's row of the
 * table. The parts in force never add up to more than the allowance: this
 * agent's cap is lowered before the row has fewer units for it, and raised only
 * after the row has more. While the table is down, each agent keeps its units.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "../agent/agent.h"

#define MEMBERS_MAX KWB_VMS_MAX
#define MISSING_MAX 64
#define WATCHERS 3		/* members that look for lost ones at a time */
#define WATCH_ROTATION_MS 60000 /* then others do */
#define UNSETTLED_POLL_NS (500 * KWB_MS_NS) /* while units are moving */
#define SLEEP_NS (100 * KWB_MS_NS)
#define POLL_PER_MEMBER_NS (5 * KWB_MS_NS) /* large pools poll less often */
#define OLD_WORK_MAX_NS (KWB_CALL_TIMEOUT_MS * KWB_MS_NS)

/* A member that the platform does not list. */
struct missing {
	char vm[KWB_NAME_MAX_BYTES];
	uint64_t reclaim_ns; /* when its units may be taken back */
};

struct keeper {
	struct kwb_agent *agent;
	char row_key[KWB_KEY_MAX_BYTES];
	uint64_t row_revision;
	json_t *row;		/* as last read, with own changes; or NULL */
	uint64_t take_after_ns; /* no units before; others may be joining */
	bool row_dirty;		/* has changes that the table may lack */
	uint64_t writes;	/* tried; makes each row unique */
	struct kwb_vms *vms;	/* the platform's list; NULL until read */
	unsigned missing_count;
	struct missing missing[MISSING_MAX];
	struct kwb_share_member members[MEMBERS_MAX]; /* of one plan */
};

static void keeper_poll(struct keeper *keeper, bool *settled);
static bool plans_update(struct keeper *keeper, bool reachable, bool *settled);
static int row_read(struct keeper *keeper);
static int row_write(struct keeper *keeper);
static json_t *row_members(const struct keeper *keeper);
static json_t *own_units(struct keeper *keeper);
static unsigned members_load(
    struct keeper *keeper, const char *plan, unsigned *self);
static void plan_lower_cap(
    struct keeper *keeper, const char *plan, uint32_t allowance);
static bool plan_update(
    struct keeper *keeper, const char *plan, uint32_t allowance, bool *settled);
static void units_apply(struct keeper *keeper, json_t *units);
static unsigned members_reclaim(struct keeper *keeper, bool remove);
static bool is_watcher(const struct keeper *keeper);
static bool is_reclaimable(struct keeper *keeper, const char *vm);
static void missing_remove(struct keeper *keeper, const char *vm);
static bool has_old_work_ended(struct kwb_agent *agent, uint64_t give_up_ns);

/* The thread that moves units between this agent and the row. */
void *
share_run(void *argument)
{
	struct kwb_agent *agent = argument;
	struct keeper *keeper = calloc(1, sizeof(*keeper));
	uint64_t give_up_ns = kwb_clock_now_ns() + OLD_WORK_MAX_NS;
	uint64_t poll_ns = 0, revision = 0;
	bool settled = false;

	if (keeper == NULL)
		return NULL;
	kwb_current_lists_register_thread();
	keeper->agent = agent;
	snprintf(keeper->row_key, sizeof(keeper->row_key), "shares/%s",
	    agent->settings->pool);
	while (!atomic_load(&agent->stopping) &&
	    !has_old_work_ended(agent, give_up_ns))
		kwb_clock_sleep_ns(SLEEP_NS);
	while (!atomic_load(&agent->stopping)) {
		uint64_t now_ns = kwb_clock_now_ns();

		if (kwb_current_lists_revision() > 0 &&
		    (now_ns >= poll_ns ||
			revision != kwb_current_lists_revision())) {
			revision = kwb_current_lists_revision();
			keeper_poll(keeper, &settled);
			poll_ns = kwb_clock_now_ns() +
			    (settled ? KWB_SHARE_POLL_NS : UNSETTLED_POLL_NS) +
			    json_object_size(row_members(keeper)) *
				POLL_PER_MEMBER_NS;
		}
		kwb_clock_sleep_ns(SLEEP_NS);
	}
	json_decref(keeper->row);
	free(keeper->vms);
	free(keeper);
	kwb_current_lists_unregister_thread();
	return NULL;
}

/* Gives all units back, at the end of a planned stop. */
void
share_leave(struct kwb_agent *agent)
{
	struct keeper *keeper = calloc(1, sizeof(*keeper));
	int tries;

	if (keeper == NULL)
		return;
	keeper->agent = agent;
	snprintf(keeper->row_key, sizeof(keeper->row_key), "shares/%s",
	    agent->settings->pool);
	for (tries = 0; tries < KWB_CAS_TRIES; tries++) {
		if (row_read(keeper) != 0)
			break;
		json_object_del(row_members(keeper), agent->settings->vm);
		if (row_write(keeper) != KWB_ERR_PLATFORM_CONFLICT)
			break;
	}
	json_decref(keeper->row);
	free(keeper);
}

/*
 * Reads the row, moves units towards the fair parts and writes it. Clears
 * settled while more has to follow soon.
 */
static void
keeper_poll(struct keeper *keeper, bool *settled)
{
	bool reachable, joined, changed;
	json_t *units;
	int tries;

	for (tries = 0; tries < KWB_CAS_TRIES; tries++) {
		reachable = row_read(keeper) == 0;
		if (keeper->row == NULL)
			return;
		*settled = true;
		joined = json_object_get(row_members(keeper),
			     keeper->agent->settings->vm) == NULL;
		if (joined)
			keeper->take_after_ns =
			    kwb_clock_now_ns() + UNSETTLED_POLL_NS;
		changed = joined;
		units = own_units(keeper);
		/* First, so that their units are free for the plans below. */
		if (!is_watcher(keeper))
			keeper->missing_count = 0;
		else if (members_reclaim(keeper, reachable) > 0)
			changed = true;
		if (plans_update(keeper, reachable, settled))
			changed = true;
		if (!reachable) {
			/* The units of a lost member will be free soon. */
			if (keeper->missing_count > 0)
				*settled = false;
			return;
		}
		if (!changed) {
			units_apply(keeper, units);
			return;
		}
		json_incref(units);
		if (row_write(keeper) == 0) {
			units_apply(keeper, units);
			json_decref(units);
			return;
		}
		json_decref(units);
		/* Units that were not written are not held. */
		if (row_read(keeper) == 0)
			units_apply(keeper, own_units(keeper));
		kwb_clock_sleep_ns((kwb_clock_now_ns() % 20 + 1) * KWB_MS_NS);
	}
}

/* Updates this agent's units of each plan; true when the row changed. */
static bool
plans_update(struct keeper *keeper, bool reachable, bool *settled)
{
	const struct kwb_lists *lists = kwb_current_lists_read_lock();
	bool changed = false;
	uint32_t i;

	for (i = 0; lists != NULL && i < lists->plans_count; i++) {
		const struct kwb_plan *plan = &lists->plans[i];
		const struct kwb_allowance *allowance =
		    kwb_lists_find_allowance(lists, plan->name);

		if (strcmp(plan->pool, keeper->agent->settings->pool) != 0)
			continue;
		plan_lower_cap(keeper, plan->name, allowance->concurrent);
		/* Units that cannot be written now may be taken by others. */
		if (!reachable)
			continue;
		/* Members that join together count each other first. */
		if (kwb_clock_now_ns() < keeper->take_after_ns)
			*settled = false;
		else if (plan_update(keeper, plan->name, allowance->concurrent,
			     settled))
			changed = true;
	}
	kwb_current_lists_read_unlock();
	return changed;
}

static int
row_read(struct keeper *keeper)
{
	struct kwb_buf value;
	uint64_t revision = 0;
	json_t *row = NULL;
	int error;

	kwb_buf_init(&value);
	error = kwb_table_poll(&keeper->agent->platform, keeper->row_key,
	    keeper->row_dirty ? 0 : keeper->row_revision, &value, &revision);
	if (error > 0) {
		kwb_buf_finish(&value);
		return 0;
	}
	if (error == 0)
		row = json_loads(kwb_buf_text(&value), 0, NULL);
	if (error == KWB_ERR_PLATFORM_MISSING)
		row = json_pack("{s:{}}", "members");
	kwb_buf_finish(&value);
	if (row == NULL)
		return KWB_ERR_PLATFORM_UNREACHABLE;
	json_decref(keeper->row);
	keeper->row = row;
	keeper->row_revision = revision;
	keeper->row_dirty = false;
	return 0;
}

static int
row_write(struct keeper *keeper)
{
	char writer[2 * KWB_NAME_MAX_BYTES];
	uint64_t revision;
	char *text;
	int error;

	snprintf(writer, sizeof(writer), "%s/%llu/%llu",
	    keeper->agent->settings->vm,
	    (unsigned long long)keeper->agent->incarnation,
	    (unsigned long long)++keeper->writes);
	keeper->row_dirty = true;
	json_object_set_new(keeper->row, "writer", json_string(writer));
	text = json_dumps(keeper->row, JSON_COMPACT);
	error = kwb_table_put(&keeper->agent->platform, keeper->row_key, text,
	    strlen(text), keeper->row_revision, &revision);
	free(text);
	return error;
}

static json_t *
row_members(const struct keeper *keeper)
{
	return json_object_get(keeper->row, "members");
}

/* This agent's units by plan; adds it to the row with none when new. */
static json_t *
own_units(struct keeper *keeper)
{
	const char *vm = keeper->agent->settings->vm;
	json_t *own = json_object_get(row_members(keeper), vm);

	if (own == NULL) {
		own = json_object();
		keeper->row_dirty = true;
		json_object_set_new(row_members(keeper), vm, own);
	}
	return own;
}

/* Fills in the members with their units of a plan, and this agent's index. */
static unsigned
members_load(struct keeper *keeper, const char *plan, unsigned *self)
{
	const char *vm;
	json_t *units;
	unsigned count = 0;

	json_object_foreach (row_members(keeper), vm, units) {
		struct kwb_share_member *member = &keeper->members[count];

		if (count == MEMBERS_MAX)
			break;
		if (strcmp(vm, keeper->agent->settings->vm) == 0)
			*self = count;
		kwb_text_copy(member->vm, sizeof(member->vm), vm);
		member->units =
		    (uint32_t)json_integer_value(json_object_get(units, plan));
		count++;
	}
	return count;
}

/*
 * Lowers the cap in force to the fair part and to the row's units, before the
 * row is changed.
 */
static void
plan_lower_cap(struct keeper *keeper, const char *plan, uint32_t allowance)
{
	unsigned self = 0;
	unsigned count = members_load(keeper, plan, &self);
	uint32_t fair =
	    kwb_share_fair(allowance, plan, keeper->members, count, self);
	uint32_t held = keeper->members[self].units;

	queue_set_units(keeper->agent, plan, held < fair ? held : fair);
}

/* Puts the units to hold next into the row; true when they changed. */
static bool
plan_update(
    struct keeper *keeper, const char *plan, uint32_t allowance, bool *settled)
{
	unsigned self = 0;
	unsigned count = members_load(keeper, plan, &self);
	uint32_t running = queue_count_running(keeper->agent, plan);
	uint32_t held = keeper->members[self].units;
	uint32_t fair =
	    kwb_share_fair(allowance, plan, keeper->members, count, self);
	uint32_t next = kwb_share_next(
	    allowance, plan, keeper->members, count, self, running);

	if (next != fair)
		*settled = false;
	if (next == held)
		return false;
	keeper->row_dirty = true;
	if (next > 0)
		json_object_set_new(
		    own_units(keeper), plan, json_integer(next));
	else
		json_object_del(own_units(keeper), plan);
	kwb_log(KWB_LOG_INFO, "limit",
	    "event=share plan=%s units=%u was=%u fair=%u running=%u "
	    "members=%u",
	    plan, next, held, fair, running, count);
	return true;
}

/* Sets the caps in force by the units of the written row. */
static void
units_apply(struct keeper *keeper, json_t *units)
{
	const struct kwb_lists *lists = kwb_current_lists_read_lock();
	const char *plan;
	json_t *value;

	json_object_foreach (units, plan, value) {
		const struct kwb_allowance *allowance =
		    lists ? kwb_lists_find_allowance(lists, plan) : NULL;
		unsigned self = 0, count = members_load(keeper, plan, &self);
		uint32_t held = (uint32_t)json_integer_value(value), fair = 0;

		if (allowance != NULL)
			fair = kwb_share_fair(allowance->concurrent, plan,
			    keeper->members, count, self);
		queue_set_units(keeper->agent, plan, held < fair ? held : fair);
	}
	kwb_current_lists_read_unlock();
}

/*
 * Counts the members that the platform has not listed for
 * KWB_SHARE_RECLAIM_NS, and removes them from the row if told so. They have
 * stopped working by then: entries tell a live agent that it is not listed, and
 * it leaves. The list of VMs is not in the table, so the time also runs while
 * the table is down.
 */
static unsigned
members_reclaim(struct keeper *keeper, bool remove)
{
	const struct kwb_platform *platform = &keeper->agent->platform;
	struct kwb_vms *vms = keeper->vms;
	const char *vm;
	json_t *units;
	void *next;
	unsigned reclaimable = 0;
	bool listed;
	uint32_t i;

	if (vms == NULL)
		vms = keeper->vms = calloc(1, sizeof(*vms));
	/* An empty list is no evidence that all are gone. */
	if (vms == NULL || kwb_vms_get(platform, vms) < 0 || vms->count == 0)
		return 0;
	json_object_foreach_safe (row_members(keeper), next, vm, units) {
		listed = strcmp(vm, keeper->agent->settings->vm) == 0;
		for (i = 0; i < vms->count && !listed; i++)
			listed = strcmp(vms->vms[i].vm, vm) == 0;
		if (listed)
			missing_remove(keeper, vm);
		if (listed || !is_reclaimable(keeper, vm))
			continue;
		reclaimable++;
		if (!remove)
			continue;
		kwb_log(KWB_LOG_WARN, "limit", "event=reclaim vm=%s", vm);
		json_object_del(row_members(keeper), vm);
		keeper->row_dirty = true;
	}
	return reclaimable;
}

/*
 * Whether this agent is one of the few that look for lost members now. The
 * task rotates, so that others take it up when all watchers are lost.
 */
static bool
is_watcher(const struct keeper *keeper)
{
	uint64_t turn = kwb_clock_wall_ms() / WATCH_ROTATION_MS;
	uint64_t own = kwb_hash(keeper->agent->settings->vm, turn);
	const char *vm;
	json_t *units;
	unsigned before = 0;

	json_object_foreach (row_members(keeper), vm, units)
		before += kwb_hash(vm, turn) > own;
	return before < WATCHERS;
}

/* When a member goes missing again later, its time starts anew. */
static void
missing_remove(struct keeper *keeper, const char *vm)
{
	unsigned i;

	for (i = 0; i < keeper->missing_count; i++)
		if (strcmp(keeper->missing[i].vm, vm) == 0)
			keeper->missing[i] =
			    keeper->missing[--keeper->missing_count];
}

/* Whether a missing member's time is up; the first call starts its time. */
static bool
is_reclaimable(struct keeper *keeper, const char *vm)
{
	uint64_t now_ns = kwb_clock_now_ns();
	struct missing *missing;
	unsigned i;

	for (i = 0; i < keeper->missing_count; i++)
		if (strcmp(keeper->missing[i].vm, vm) == 0)
			return now_ns >= keeper->missing[i].reclaim_ns;
	if (keeper->missing_count == MISSING_MAX)
		keeper->missing_count = 0;
	missing = &keeper->missing[keeper->missing_count++];
	kwb_text_copy(missing->vm, sizeof(missing->vm), vm);
	missing->reclaim_ns = now_ns + KWB_SHARE_RECLAIM_NS;
	return false;
}

/*
 * Whether the upstream runs nothing from an earlier process on this VM, which
 * would still count against the allowance. True as well after give_up_ns.
 */
static bool
has_old_work_ended(struct kwb_agent *agent, uint64_t give_up_ns)
{
	bool idle;

	pthread_mutex_lock(&agent->upstream.lock);
	idle = agent->upstream.up && agent->upstream.running == 0;
	pthread_mutex_unlock(&agent->upstream.lock);
	return idle || kwb_clock_now_ns() >= give_up_ns;
}
