/*
 * The table of faults. A target is picked by an index from the seed.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "session.h"

#define ENTRIES 2
#define ENGINES 3
#define SERVICES 2
#define HOLD_MS 4500
#define FREEZE_MS 8000 /* past every lease and silence deadline */
#define LOST_MS 17000  /* past the time that a lost VM keeps its share */
#define TAKEN_MS 1000  /* for the take-over itself, once its time is over */
#define SEEN_NS (5000 * KWB_MS_NS)  /* past two looks at the list of VMs */
#define SPREAD_NS (500 * KWB_MS_NS) /* a quarter of KWB_SHARE_POLL_NS */
#define SLOW_MS 1200
#define ORDERS_RUN_NS (500 * KWB_MS_NS) /* each caller has an order running */

enum target { T_ENTRY, T_LLM, T_SHOP, T_ENGINE, T_SERVICE };

static const char *
target(enum target kind, unsigned index, char *name)
{
	static const struct {
		const char *prefix;
		unsigned count;
		unsigned first;
	} kinds[] = {
	    [T_ENTRY] = {"entry", ENTRIES, 1},
	    [T_LLM] = {"llm", ENGINES, 1},
	    [T_SHOP] = {"shop", SERVICES, ENGINES + 1},
	    [T_ENGINE] = {"engine", ENGINES, 1},
	    [T_SERVICE] = {"service", SERVICES, ENGINES + 1},
	};

	snprintf(name, WORLD_NAME_BYTES, "%s-%u", kinds[kind].prefix,
	    index % kinds[kind].count + kinds[kind].first);
	return name;
}

#define KILL(function, kind)                                                   \
	static void function##_come(struct session *session, unsigned index)   \
	{                                                                      \
		char name[WORLD_NAME_BYTES];                                   \
                                                                               \
		world_kill(&session->world, target(kind, index, name));        \
	}                                                                      \
	static void function##_go(struct session *session, unsigned index)     \
	{                                                                      \
		char name[WORLD_NAME_BYTES];                                   \
                                                                               \
		world_run(&session->world, target(kind, index, name));         \
	}

#define SIGNALS(function, kind, first, second)                                 \
	static void function##_come(struct session *session, unsigned index)   \
	{                                                                      \
		char name[WORLD_NAME_BYTES];                                   \
                                                                               \
		if (kind == T_ENTRY)                                           \
			session->frozen_entry = index % ENTRIES + 1;           \
		world_signal(                                                  \
		    &session->world, target(kind, index, name), first);        \
	}                                                                      \
	static void function##_go(struct session *session, unsigned index)     \
	{                                                                      \
		char name[WORLD_NAME_BYTES];                                   \
                                                                               \
		world_signal(                                                  \
		    &session->world, target(kind, index, name), second);       \
	}

#define SWITCH_RELAY(function, kind, control, on)                              \
	static void function##_come(struct session *session, unsigned index)   \
	{                                                                      \
		char name[WORLD_NAME_BYTES], relay[2 * WORLD_NAME_BYTES];      \
                                                                               \
		snprintf(relay, sizeof(relay), "relay-%s",                     \
		    target(kind, index, name));                                \
		world_set(&session->world, relay, control, on);                \
	}                                                                      \
	static void function##_go(struct session *session, unsigned index)     \
	{                                                                      \
		char name[WORLD_NAME_BYTES], relay[2 * WORLD_NAME_BYTES];      \
                                                                               \
		snprintf(relay, sizeof(relay), "relay-%s",                     \
		    target(kind, index, name));                                \
		if (strcmp(control, "silent") != 0)                            \
			world_set(&session->world, relay, control, 0);         \
	}

#define SWITCH(function, kind, control, on)                                    \
	static void function##_come(struct session *session, unsigned index)   \
	{                                                                      \
		char name[WORLD_NAME_BYTES];                                   \
                                                                               \
		world_set(                                                     \
		    &session->world, target(kind, index, name), control, on);  \
	}                                                                      \
	static void function##_go(struct session *session, unsigned index)     \
	{                                                                      \
		char name[WORLD_NAME_BYTES];                                   \
                                                                               \
		world_set(                                                     \
		    &session->world, target(kind, index, name), control, 0);   \
	}

#define SWITCH_PLATFORM(function, control, on)                                 \
	static void function##_come(struct session *session, unsigned index)   \
	{                                                                      \
		(void)index;                                                   \
		session->platform_out = true;                                  \
		world_set(&session->world, "platform", control, on);           \
	}                                                                      \
	static void function##_go(struct session *session, unsigned index)     \
	{                                                                      \
		(void)index;                                                   \
		world_set(&session->world, "platform", control, 0);            \
		session->platform_out = false;                                 \
		session->vms_readable_ns = kwb_clock_now_ns();                 \
	}

/* A planned stop: the signal, the end by itself with code 0, a new start. */
#define STOP(function, kind)                                                   \
	static void function##_come(struct session *session, unsigned index)   \
	{                                                                      \
		char name[WORLD_NAME_BYTES];                                   \
                                                                               \
		world_signal(                                                  \
		    &session->world, target(kind, index, name), SIGTERM);      \
	}                                                                      \
	static void function##_go(struct session *session, unsigned index)     \
	{                                                                      \
		char name[WORLD_NAME_BYTES];                                   \
		int code;                                                      \
                                                                               \
		target(kind, index, name);                                     \
		code = world_wait(&session->world, name, 25000);               \
		if (code != 0)                                                 \
			session_fail(session, "%s ended with %d", name, code); \
		world_run(&session->world, name);                              \
	}

KILL(kill_entry, T_ENTRY)
KILL(kill_llm, T_LLM)
KILL(kill_shop, T_SHOP)
KILL(kill_engine, T_ENGINE)
SIGNALS(freeze_entry, T_ENTRY, SIGSTOP, SIGCONT)
SIGNALS(freeze_llm, T_LLM, SIGSTOP, SIGCONT)
SIGNALS(freeze_shop, T_SHOP, SIGSTOP, SIGCONT)
SIGNALS(freeze_engine, T_ENGINE, SIGSTOP, SIGCONT)
SWITCH_RELAY(cut_llm, T_LLM, "cut", 1)
SWITCH_RELAY(cut_shop, T_SHOP, "cut", 1)
SWITCH_RELAY(cut_platform, T_ENTRY, "cut", 1)
SWITCH_RELAY(oneway_there, T_SHOP, "drop_there", 1)
SWITCH_RELAY(oneway_back, T_SHOP, "drop_back", 1)
SWITCH_RELAY(oneway_llm, T_LLM, "drop_back", 1)
SWITCH_RELAY(silent_llm, T_LLM, "silent", 1)
SWITCH_RELAY(silent_shop, T_SHOP, "silent", 1)
SWITCH(stuck_engine, T_ENGINE, "stuck", 1)
SWITCH(late_service, T_SERVICE, "work_ms", 2500)
SWITCH(lost_service, T_SERVICE, "lose_answers", 1)
SWITCH(swap_fails, T_ENGINE, "fail_swap", 3)
SWITCH(ignore_fence, T_ENGINE, "ignore_fence", 1)
SWITCH(no_versions, T_ENGINE, "no_versions", 1)
SWITCH(load_lags, T_ENGINE, "load_lag_ms", 800)
SWITCH_PLATFORM(table_down, "down", 1)
SWITCH_PLATFORM(table_slow, "slow_ms", SLOW_MS)
SWITCH_PLATFORM(table_loses, "lose_answers", 1)
SWITCH_PLATFORM(objects_down, "objects_down", 1)
SWITCH_PLATFORM(weights_down, "weights_down", 1)
STOP(stop_entry, T_ENTRY)
STOP(stop_llm, T_LLM)
STOP(stop_shop, T_SHOP)

static void
cut_store_come(struct session *session, unsigned index)
{
	cut_platform_come(session, index);
}

/* An entry cut from the store hears of a change all the same, in time. */
static void
cut_store_go(struct session *session, unsigned index)
{
	const char *arguments[] = {"--wait-ms", "6000", "edit", "allowance",
	    "orders", "queue=77", NULL};
	int code = world_ctl(&session->world, arguments, "/dev/null");

	if (code != 0)
		session_fail(session,
		    "a change not in force at an entry cut off: kwbctl says %d",
		    code);
	cut_platform_go(session, index);
}

static void
listed_gone_come(struct session *session, unsigned index)
{
	char name[WORLD_NAME_BYTES];

	world_proc(&session->world, target(T_LLM, index, name))->state[0] =
	    '\0';
	world_list_vms(&session->world);
}

static void
listed_gone_go(struct session *session, unsigned index)
{
	char name[WORLD_NAME_BYTES];

	strcpy(world_proc(&session->world, target(T_LLM, index, name))->state,
	    "live");
	world_list_vms(&session->world);
}

/* Agent and engine are gone; the list still has the VM as live. */
static void
gone_listed_come(struct session *session, unsigned index)
{
	kill_llm_come(session, index);
	kill_engine_come(session, index);
}

static void
gone_listed_go(struct session *session, unsigned index)
{
	kill_engine_go(session, index);
	kill_llm_go(session, index);
}

static void
vm_lost_judge(struct session *session, uint32_t timeout_ms)
{
	if (!world_settled(&session->world, timeout_ms))
		session_fail(session, "a lost VM's share was not taken over");
}

/* A VM is lost for good: its part of each allowance goes to the others. */
static void
vm_lost_come(struct session *session, unsigned index)
{
	listed_gone_come(session, index);
	kill_llm_come(session, index);
	kill_engine_come(session, index);
	session->vms_readable_ns = kwb_clock_now_ns();
}

static void
vm_lost_go(struct session *session, unsigned index)
{
	uint64_t due_ns =
	    session->vms_readable_ns + (LOST_MS + TAKEN_MS) * KWB_MS_NS;

	/* Nobody can write a share while the platform is out. */
	if (!session->platform_out)
		vm_lost_judge(
		    session, (uint32_t)kwb_clock_remaining_ms(due_ns));
	kill_engine_go(session, index);
	kill_llm_go(session, index);
	listed_gone_go(session, index);
}

/*
 * Seen as gone, then the platform is out until long after its time is over.
 * Seeds spread the end of the outage over the agents' looks at the table.
 */
static void
vm_lost_then_outage_come(struct session *session, unsigned index)
{
	vm_lost_come(session, index);
	kwb_clock_sleep_ns(SEEN_NS + index % 4 * SPREAD_NS);
	table_down_come(session, index);
}

static void
vm_lost_then_outage_go(struct session *session, unsigned index)
{
	table_down_go(session, index);
	vm_lost_judge(session, TAKEN_MS);
	vm_lost_go(session, index);
}

/* An entry starts while the platform is out and learns from its peers. */
static void
start_in_outage_come(struct session *session, unsigned index)
{
	table_down_come(session, index);
	kill_entry_come(session, index);
	kill_entry_go(session, index);
}

/*
 * An entry dies while orders run, and the one started in its place learns from
 * nobody: the platform is out and the links to all agents are cut.
 */
static void
start_alone_come(struct session *session, unsigned index)
{
	unsigned i;

	for (i = 0; i < SERVICES; i++)
		late_service_come(session, i);
	kwb_clock_sleep_ns(ORDERS_RUN_NS);
	table_down_come(session, index);
	for (i = 0; i < ENGINES; i++)
		cut_llm_come(session, i);
	for (i = 0; i < SERVICES; i++)
		cut_shop_come(session, i);
	kill_entry_come(session, index);
	kill_entry_go(session, index);
}

static void
start_alone_go(struct session *session, unsigned index)
{
	unsigned i;

	for (i = 0; i < ENGINES; i++)
		cut_llm_go(session, i);
	for (i = 0; i < SERVICES; i++) {
		cut_shop_go(session, i);
		late_service_go(session, i);
	}
	table_down_go(session, index);
}

/* Two operators change different entries at the same time, many times. */
static void
operators_race_come(struct session *session, unsigned index)
{
	unsigned i;

	(void)index;
	for (i = 0; i < 5; i++) {
		char first[32], second[32];
		const char *one[] = {"--wait-ms", "0", "edit", "allowance",
		    "quotes", first, NULL};
		const char *other[] = {"--wait-ms", "0", "edit", "allowance",
		    "orders", second, NULL};

		snprintf(first, sizeof(first), "queue=%u", 200 + i);
		snprintf(second, sizeof(second), "queue=%u", 300 + i);
		if (world_ctl(&session->world, one, "/dev/null") % 6 != 0 ||
		    world_ctl(&session->world, other, "/dev/null") % 6 != 0)
			session_fail(session, "an edit of another entry lost");
	}
}

static void
nothing_go(struct session *session, unsigned index)
{
	(void)session;
	(void)index;
}

#define FAULT(name, hold)                                                      \
	{                                                                      \
#name, name##_come, name##_go, hold, false, NULL               \
	}

const struct fault session_faults[] = {
    FAULT(kill_entry, HOLD_MS),
    FAULT(kill_llm, HOLD_MS),
    FAULT(kill_shop, HOLD_MS),
    FAULT(kill_engine, HOLD_MS),
    FAULT(freeze_entry, FREEZE_MS),
    FAULT(freeze_llm, FREEZE_MS),
    FAULT(freeze_shop, FREEZE_MS),
    FAULT(freeze_engine, FREEZE_MS),
    FAULT(cut_llm, HOLD_MS),
    FAULT(cut_shop, HOLD_MS),
    FAULT(cut_store, HOLD_MS),
    FAULT(oneway_there, HOLD_MS),
    FAULT(oneway_back, HOLD_MS),
    FAULT(oneway_llm, HOLD_MS),
    FAULT(silent_llm, HOLD_MS),
    FAULT(silent_shop, HOLD_MS),
    FAULT(stuck_engine, HOLD_MS),
    FAULT(late_service, HOLD_MS),
    FAULT(lost_service, HOLD_MS),
    FAULT(swap_fails, HOLD_MS),
    FAULT(ignore_fence, HOLD_MS),
    FAULT(no_versions, HOLD_MS),
    FAULT(load_lags, HOLD_MS),
    FAULT(table_down, HOLD_MS),
    FAULT(table_slow, HOLD_MS),
    FAULT(table_loses, HOLD_MS),
    FAULT(objects_down, HOLD_MS),
    FAULT(weights_down, HOLD_MS),
    FAULT(gone_listed, HOLD_MS),
    {"stop_entry", stop_entry_come, stop_entry_go, HOLD_MS, true, NULL},
    {"stop_llm", stop_llm_come, stop_llm_go, HOLD_MS, true, "llm"},
    {"stop_shop", stop_shop_come, stop_shop_go, HOLD_MS, true, "shop"},
    {"listed_gone", listed_gone_come, listed_gone_go, HOLD_MS, true, "llm"},
    FAULT(vm_lost, LOST_MS),
    {"start_in_outage", start_in_outage_come, table_down_go, HOLD_MS, false,
	NULL},
    {"operators_race", operators_race_come, nothing_go, HOLD_MS, true, NULL},
    FAULT(start_alone, HOLD_MS),
    FAULT(vm_lost_then_outage, LOST_MS),
};
const unsigned session_faults_count =
    sizeof(session_faults) / sizeof(session_faults[0]);
