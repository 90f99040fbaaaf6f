/*
 * On a route with single-version, a server is lost for good in the middle of an
 * item. The other servers have the next version already, which the batch allows,
 * too. The item must be made anew under that version; it must not stay at no
 * server until its step has run out of time.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../stand/stand.h"

#define BATCH "7c41e09b52d6a3f8"
#define ITEMS 24
#define EVENTS 120
#define SERVERS 6
#define RUN_DEADLINE_MS 12000

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
/* Of each item: where it ran last, and when that began. */
static struct {
	struct server *server;
	unsigned version;
	uint64_t begun_ms;
} runs[ITEMS];

static int
on_run(struct run *run)
{
	unsigned i = (unsigned)strtoul(run->id + 12, NULL, 16);

	pthread_mutex_lock(&lock);
	runs[i].server = run->server;
	runs[i].version = run->server->version;
	runs[i].begun_ms = now_ms();
	pthread_mutex_unlock(&lock);
	return 0;
}

int
main(int argc, char **argv)
{
	static struct server servers[SERVERS];
	static struct node node = {.name = "node-1", .fencing = true};
	json_t *items = json_array();
	json_t *document;
	char id[32], group[32], body[64];
	uint64_t submitted_ms;
	uint64_t named_ms;
	uint64_t crashed_ms;
	struct server *lost = NULL;
	unsigned item = 0;
	bool listed;
	bool broken;
	unsigned i;

	(void)argc;
	stand_begin(argv[1]);
	store_start();
	config_put(1, true, false);
	for (i = 0; i < SERVERS; i++) {
		servers[i] = (struct server){.is_model = true,
		    .slots = 8,
		    .model = MODEL,
		    .version = 1,
		    .hook = on_run};
		snprintf(
		    servers[i].id, sizeof(servers[i].id), "i-model%u", i + 1);
		strcpy(servers[i].service, MODEL_SERVICE);
		if (i + 1 < SERVERS)
			server_start(&servers[i]);
	}
	node_start(&node, 0);
	node_wait_ready(&node, 10000);
	sleep_ms(1000);
	version_put(2);
	named_ms = now_ms();
	sleep_ms(3000);
	/* A new server has the newest version. */
	servers[SERVERS - 1].version = 2;
	server_start(&servers[SERVERS - 1]);
	sleep_ms(3500);
	for (i = 0; i < SERVERS; i++)
		record("server %s: version %u", servers[i].id,
		    servers[i].version);

	for (i = 0; i < ITEMS; i++) {
		snprintf(id, sizeof(id), "e5b2907c14da%04x", i);
		snprintf(group, sizeof(group), "g%u", i / 4);
		snprintf(body, sizeof(body), "events=%d pace=30", EVENTS);
		json_array_append_new(items,
		    item_json(id, BATCH_PATH "3/91c4", group, MODEL, body,
			EVENTS, NULL, NULL, NULL));
	}
	submitted_ms = now_ms();
	batch_submit(node.ip, BATCH_PATH, BATCH, MODEL, 2, 1, ITEMS / 4, items);
	sleep_ms(500);

	/* The server with the oldest version, in the middle of an item. */
	pthread_mutex_lock(&lock);
	for (i = 0; i < ITEMS && lost == NULL; i++)
		if (runs[i].server != NULL && runs[i].version == 1) {
			lost = runs[i].server;
			item = i;
		}
	pthread_mutex_unlock(&lock);
	if (lost == NULL)
		stand_fail("no item began under version 1");
	sleep_ms(300);
	crashed_ms = now_ms();
	if (trouble) {
		record("server %s: is lost for good, with e5b2907c14da%04x in "
		       "work",
		    lost->id, item);
		lost->gone = true;
	}
	sleep_ms(3600);
	if (trouble)
		store_remove("servers", lost->id);
	while (now_ms() < submitted_ms + RUN_DEADLINE_MS)
		sleep_ms(50);

	document = batch_read(node.ip, BATCH);
	for (i = 0; i < SERVERS; i++)
		record("server %s: %s, version %u, %u running", servers[i].id,
		    servers[i].gone ? "lost" : "sound", servers[i].version,
		    servers[i].running);
	broken = false;
	for (i = 0; i < ITEMS; i++) {
		snprintf(id, sizeof(id), "e5b2907c14da%04x", i);
		listed = result_of(document, id) != NULL;
		if (listed)
			continue;
		record("trainer: the step's time is up, %s is not listed; it "
		       "began last at %s, %llu ms ago",
		    id, runs[i].server != NULL ? runs[i].server->id : "-",
		    (unsigned long long)(now_ms() - runs[i].begun_ms));
		/* 5 s that begin 3 s after the crash and 6 s after naming. */
		broken |= runs[i].server == lost &&
		    runs[i].begun_ms < crashed_ms &&
		    now_ms() >= crashed_ms + 8000 &&
		    now_ms() >= named_ms + 11000;
	}
	record("trainer: %zu of %d items are listed",
	    json_array_size(json_object_get(document, "results")), ITEMS);
	if (!trouble && json_array_size(json_object_get(document, "results")) <
		ITEMS)
		stand_fail("items are missing without the disruption");
	record("check: LOST: the step ran out of time with an item at no server "
	       "for 5 s: %s",
	    broken ? "yes" : "no");
	stand_end(broken ? 1 : 0);
}
