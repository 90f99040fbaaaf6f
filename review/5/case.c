/*
 * A model server's answer has no length and ends with its connection. The
 * server's process is killed in the middle of an event. The text must not be
 * listed as completed: the event that was cut short shows that it isn't whole.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../stand/stand.h"

#define BATCH "7c41e09b52d6a3f8"
#define ITEMS 64
#define EVENTS 20
#define SERVERS 6
#define EVENTS_BEFORE_CRASH 7

static int crash_pipe[2]; /* from the first server's process */

/*
 * In the first server's process: one answer has no length. With trouble, it
 * stops in the middle of an event and asks to be killed.
 */
static int
on_run(struct run *run)
{
	static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
	static bool is_used;
	unsigned last = trouble ? EVENTS_BEFORE_CRASH : run->events;
	char data[256];
	bool mine;
	unsigned i;

	pthread_mutex_lock(&lock);
	mine = !is_used && run->first == 1;
	is_used = is_used || mine;
	pthread_mutex_unlock(&lock);
	if (!mine)
		return 0;
	record("server %s: %s runs from event 1 of %u, answer without a length",
	    run->server->id, run->id, run->events);
	run_stream_head(run, false);
	for (i = 1; i <= last; i++) {
		sleep_ms(run->pace_ms);
		event_data(data, sizeof(data), run->id, i);
		conn_printf(run->conn, "id: %u\ndata: %s\n\n", i, data);
	}
	if (trouble) {
		event_data(data, sizeof(data), run->id, i);
		conn_printf(run->conn, "id: %u\ndata: %.9s", i, data);
		record("server %s: is in the middle of event %u of %s",
		    run->server->id, i, run->id);
	} else {
		record("server %s: %s whole", run->server->id, run->id);
	}
	if (write(crash_pipe[1], "x", 1) != 1)
		abort();
	if (trouble)
		for (;;)
			pause();
	return -1; /* the end of the connection is the end of the answer */
}

int
main(int argc, char **argv)
{
	static struct server servers[SERVERS];
	static struct node node = {.name = "node-1", .fencing = true};
	json_t *items = json_array();
	json_t *document;
	json_t *result;
	char id[32], group[32], body[64], byte;
	unsigned wrong = 0;
	char *whole;
	pid_t first;
	size_t i;

	(void)argc;
	stand_begin(argv[1]);
	if (pipe(crash_pipe) != 0)
		stand_fail("no pipe");
	for (i = 0; i < SERVERS; i++) {
		servers[i] = (struct server){.is_model = true,
		    .slots = 8,
		    .model = MODEL,
		    .version = 1,
		    .hook = i == 0 ? on_run : NULL};
		snprintf(
		    servers[i].id, sizeof(servers[i].id), "i-model%zu", i + 1);
		strcpy(servers[i].service, MODEL_SERVICE);
	}
	first = server_fork(&servers[0]);
	store_start();
	config_put(1, false, false);
	server_publish(&servers[0]);
	for (i = 1; i < SERVERS; i++)
		server_start(&servers[i]);
	node_start(&node, 0);
	node_wait_ready(&node, 10000);

	for (i = 0; i < ITEMS; i++) {
		snprintf(id, sizeof(id), "e5b2907c14da%04zx", i);
		snprintf(group, sizeof(group), "g%zu", i / 4);
		snprintf(body, sizeof(body), "events=%d pace=40", EVENTS);
		json_array_append_new(items,
		    item_json(id, BATCH_PATH "3/91c4", group, MODEL, body,
			EVENTS, NULL, NULL, NULL));
	}
	batch_submit(node.ip, BATCH_PATH, BATCH, MODEL, 1, 1, ITEMS / 4, items);
	if (read(crash_pipe[0], &byte, 1) != 1)
		stand_fail("the first server got no item");
	if (trouble) {
		record("server %s: process killed", servers[0].id);
		kill(first, SIGKILL);
	}
	document = batch_wait(node.ip, BATCH, ITEMS, 40000);
	json_array_foreach (json_object_get(document, "results"), i, result) {
		whole = whole_text(json_text(result, "id"), EVENTS);
		if (strcmp(json_text(result, "state"), "completed") == 0 &&
		    strcmp(json_text(result, "output"), whole) != 0) {
			record("trainer: %s is listed as completed with %zu of "
			       "%zu bytes of its text",
			    json_text(result, "id"),
			    strlen(json_text(result, "output")), strlen(whole));
			wrong++;
		}
		free(whole);
	}
	record("trainer: %zu of %d items are listed",
	    json_array_size(json_object_get(document, "results")), ITEMS);
	if (json_array_size(json_object_get(document, "results")) < ITEMS)
		stand_fail("results are missing");
	record("check: MIXED: completed results that aren't the whole output: "
	       "%u",
	    wrong);
	stand_end(wrong > 0 ? 1 : 0);
}
