/*
 * Half of one node's channels are reset, once. Its model servers are suspected
 * for some seconds; then one item at a time tries each of them again. At that
 * moment the servers are full with another trainer's work, and the tries wait
 * in their queues. When the servers are idle later, the node must go on with
 * its batch: no item may stay at no server until its step has run out of time.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../stand/stand.h"

#define BATCH "7c41e09b52d6a301"       /* at node-1 */
#define OTHER_BATCH "7c41e09b52d6a302" /* at node-2, of another trainer */
#define NODES 10
#define SERVERS 4
#define SLOTS 8
#define LONG_ITEMS 32 /* 6.5 s each; as many as slots */
#define ITEMS 36
#define OTHER_ITEMS 16 /* 5.5 s each; as many as slots get free */
#define RUN_DEADLINE_MS 12000

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
/* Of each item at node-1: when a server last worked on it. */
static uint64_t last_work_ms[ITEMS];
/* Every second of the first connections of node-1 to each server. */
static struct run chosen[SERVERS * SLOTS];
static unsigned chosen_count;
static uint64_t last_begin_ms; /* of any item of either batch */

static void
on_event(const struct run *run)
{
	if (strncmp(run->id, "e5b2907c14da", 12) != 0)
		return;
	pthread_mutex_lock(&lock);
	last_work_ms[strtoul(run->id + 12, NULL, 16)] = now_ms();
	pthread_mutex_unlock(&lock);
}

static int
on_run(struct run *run)
{
	pthread_mutex_lock(&lock);
	last_begin_ms = now_ms();
	pthread_mutex_unlock(&lock);
	if (strncmp(run->id, "e5b2907c14da", 12) != 0 || run->number >= SLOTS ||
	    run->number % 2 != 0)
		return 0;
	pthread_mutex_lock(&lock);
	chosen[chosen_count++] = *run;
	pthread_mutex_unlock(&lock);
	return 0;
}

static json_t *
make_items(
    const char *prefix, unsigned count, const char *model, unsigned events)
{
	json_t *items = json_array();
	char id[32], group[32], body[64];
	unsigned i;

	for (i = 0; i < count; i++) {
		snprintf(id, sizeof(id), "%s%04x", prefix, i);
		snprintf(group, sizeof(group), "g%u", i / 4);
		if (i >= LONG_ITEMS)
			events = 20;
		snprintf(body, sizeof(body), "events=%u pace=30", events);
		json_array_append_new(items,
		    item_json(id, BATCH_PATH "3/91c4", group, model, body,
			events, NULL, NULL, NULL));
	}
	return items;
}

int
main(int argc, char **argv)
{
	static struct server servers[SERVERS];
	static struct node nodes[NODES];
	json_t *document;
	char id[32];
	uint64_t submitted_ms;
	uint64_t half_full_ms = 0;
	uint64_t reset_ms = 0;
	unsigned stuck = 0;
	unsigned running;
	unsigned i;
	unsigned k;

	(void)argc;
	stand_begin(argv[1]);
	store_start();
	config_put(1, false, true);
	for (i = 0; i < SERVERS; i++) {
		servers[i] = (struct server){.is_model = true,
		    .slots = SLOTS,
		    .model = MODEL,
		    .other_model = OTHER_MODEL,
		    .version = 1,
		    .hook = on_run,
		    .queue_hook = on_event,
		    .event_hook = on_event};
		snprintf(
		    servers[i].id, sizeof(servers[i].id), "i-model%u", i + 1);
		strcpy(servers[i].service, MODEL_SERVICE);
		server_start(&servers[i]);
	}
	for (i = 0; i < NODES; i++) {
		snprintf(
		    nodes[i].name, sizeof(nodes[i].name), "node-%u", i + 1);
		nodes[i].fencing = true;
		node_start(&nodes[i], i);
	}
	for (i = 0; i < NODES; i++)
		node_wait_ready(&nodes[i], 10000);
	sleep_ms(1500);

	submitted_ms = now_ms();
	batch_submit(nodes[0].ip, BATCH_PATH, BATCH, MODEL, 1, 1, ITEMS / 4,
	    make_items("e5b2907c14da", ITEMS, MODEL, 217));
	sleep_ms(300);
	batch_submit(nodes[1].ip, BATCH_PATH, OTHER_BATCH, OTHER_MODEL, 1, 1,
	    OTHER_ITEMS / 4,
	    make_items("f6c3018d25eb", OTHER_ITEMS, OTHER_MODEL, 183));
	sleep_ms(700);
	if (trouble) {
		record(
		    "network: %u channels between node-1 and the servers are "
		    "reset, half of them",
		    chosen_count);
		/* Those of a server at the same moment. */
		for (k = 0; k < SERVERS; k++)
			for (i = 0; i < chosen_count; i++)
				if (chosen[i].server == &servers[k])
					conn_reset(chosen[i].conn);
		reset_ms = now_ms();
	}
	while (now_ms() < submitted_ms + RUN_DEADLINE_MS) {
		running = 0;
		for (i = 0; i < SERVERS; i++)
			running += servers[i].running;
		if (running * 2 >= SERVERS * SLOTS)
			half_full_ms = now_ms();
		sleep_ms(20);
	}
	document = batch_read(nodes[2].ip, BATCH);
	record(
	    "servers: half full or more last %llu ms ago, an item began last "
	    "%llu ms ago",
	    (unsigned long long)(now_ms() - half_full_ms),
	    (unsigned long long)(now_ms() - last_begin_ms));
	for (i = 0; i < ITEMS; i++) {
		snprintf(id, sizeof(id), "e5b2907c14da%04x", i);
		if (result_of(document, id) != NULL)
			continue;
		record("trainer: the step's time is up, %s is not listed; a "
		       "server worked on it last %llu ms ago",
		    id, (unsigned long long)(now_ms() - last_work_ms[i]));
		/* 5 s that begin 3 s after the reset; 3 s without a begin. */
		stuck += trouble && now_ms() - last_work_ms[i] >= 5000 &&
		    now_ms() - reset_ms >= 8000 &&
		    now_ms() - half_full_ms >= 5000 &&
		    now_ms() - last_begin_ms >= 3000;
	}
	record("trainer: %zu of %d items are listed",
	    json_array_size(json_object_get(document, "results")), ITEMS);
	record(
	    "check: LOST: items at no server for 5 s when the step ran out of "
	    "time: %u",
	    stuck);
	if (!trouble &&
	    json_array_size(json_object_get(document, "results")) < ITEMS)
		stand_fail("items are missing without the disruption");
	stand_end(stuck > 0 ? 1 : 0);
}
