/*
 * One channel of a node to the store goes silent: the one on which it follows
 * the operator's table. The operator adds a route, and a trainer submits its
 * next batch on it, at another node, which hands the batch to the first one. No
 * item may be given up because the route is not known there yet.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../stand/stand.h"

#define FIRST_BATCH "7c41e09b52d6a301"
#define SECOND_BATCH "7c41e09b52d6a302"
#define NEW_PATH "/nova111/" /* of the route that is added */
#define SERVERS 4
#define ITEMS 16

/* A config with a second route for batches. */
static void
config_add_route(void)
{
	store_put("op", "config",
	    "{\"version\":2,\"route-table\":["
	    "{\"name\":\"r-c\",\"hostname\":\"" HOST
	    "\",\"path-prefix\":\"" BATCH_PATH "\","
	    "\"route-kind\":\"rollout\",\"timeout-ms\":10000,"
	    "\"target-latency-ms\":500,\"run-deadline-ms\":12000,"
	    "\"item-ttl-s\":40,\"priority\":1,\"service\":\"" MODEL_SERVICE
	    "\",\"max-attempts\":3},"
	    "{\"name\":\"r-d\",\"hostname\":\"" HOST
	    "\",\"path-prefix\":\"" NEW_PATH "\","
	    "\"route-kind\":\"rollout\",\"timeout-ms\":10000,"
	    "\"target-latency-ms\":500,\"run-deadline-ms\":12000,"
	    "\"item-ttl-s\":40,\"priority\":1,\"service\":\"" MODEL_SERVICE
	    "\",\"max-attempts\":3}],"
	    "\"services\":[{\"name\":\"" MODEL_SERVICE
	    "\",\"health-path\":\"/healthz\",\"max-conns\":140,"
	    "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":8,"
	    "\"kv-capacity\":40578,\"models\":[{\"name\":\"" MODEL "\"}]}}],"
	    "\"limits\":{\"max-header-bytes\":16384,"
	    "\"max-body-bytes\":33554432,\"header-timeout-ms\":3000,"
	    "\"idle-timeout-ms\":15000}}");
	record("operator: config 2 adds the route " NEW_PATH);
}

static json_t *
make_items(const char *path, unsigned first)
{
	json_t *items = json_array();
	char id[32], group[32], target[64];
	unsigned i;

	snprintf(target, sizeof(target), "%s3/91c4", path);
	for (i = 0; i < ITEMS; i++) {
		snprintf(id, sizeof(id), "e5b2907c14da%04x", first + i);
		snprintf(group, sizeof(group), "g%u", i / 4);
		json_array_append_new(items,
		    item_json(id, target, group, MODEL, "events=20 pace=40", 20,
			NULL, NULL, NULL));
	}
	return items;
}

int
main(int argc, char **argv)
{
	static struct server servers[SERVERS];
	static struct gate gate = {.silent_table = "op"};
	static struct node nodes[2] = {{.name = "node-1", .fencing = true},
	    {.name = "node-2", .fencing = true}};
	json_t *document;
	json_t *result;
	unsigned errored = 0;
	size_t i;

	(void)argc;
	stand_begin(argv[1]);
	store_start();
	config_put(1, false, false);
	for (i = 0; i < SERVERS; i++) {
		servers[i] = (struct server){
		    .is_model = true, .slots = 8, .model = MODEL, .version = 1};
		snprintf(
		    servers[i].id, sizeof(servers[i].id), "i-model%zu", i + 1);
		strcpy(servers[i].service, MODEL_SERVICE);
		server_start(&servers[i]);
	}
	nodes[0].store_port = store_open_gate(&gate);
	for (i = 0; i < 2; i++) {
		node_start(&nodes[i], (unsigned)i);
		node_wait_ready(&nodes[i], 10000);
	}

	/* The first step, at node-1. */
	batch_submit(nodes[0].ip, BATCH_PATH, FIRST_BATCH, MODEL, 1, 1,
	    ITEMS / 4, make_items(BATCH_PATH, 0));
	document = batch_wait(nodes[0].ip, FIRST_BATCH, ITEMS, 10000);
	if (json_array_size(json_object_get(document, "results")) < ITEMS)
		stand_fail("the first step has no results");
	json_decref(document);
	sleep_ms(500);

	if (trouble) {
		gate.silent_ms = now_ms();
		record("store: node-1's channel with its feed of op is silent "
		       "from now on");
	}
	config_add_route();
	sleep_ms(400);
	batch_submit(nodes[1].ip, NEW_PATH, SECOND_BATCH, MODEL, 2, 1,
	    ITEMS / 4, make_items(NEW_PATH, 0x100));
	document = batch_wait(nodes[1].ip, SECOND_BATCH, ITEMS, 15000);
	json_array_foreach (json_object_get(document, "results"), i, result)
		if (strcmp(json_text(result, "state"), "errored") == 0) {
			record("trainer: %s is listed as errored; no server "
			       "was asked for it, its route is in force",
			    json_text(result, "id"));
			errored++;
		}
	record("trainer: %zu of %d items of the second step are listed",
	    json_array_size(json_object_get(document, "results")), ITEMS);
	if (json_array_size(json_object_get(document, "results")) < ITEMS)
		stand_fail("the second step has no results");
	record("check: MIXED: items errored before the end of their route: %u",
	    errored);
	stand_end(errored > 0 ? 1 : 0);
}
