/*
 * A trainer stands still while its batch is open, and comes back later than
 * status-s after it was submitted. The batch is still open, so its results and
 * its bodies must still be there.
 */
#include <stdlib.h>
#include <string.h>

#include "../stand-2/world.h"

#define ITEMS 8
#define STATUS_S 40
#define STABLE_MS 3000
#define CALM_MS 10000  /* the trainer comes back so long after it submitted */
#define AWAY_MS 60000  /* likewise, with the trouble */
#define SETTLE_MS 1000

#define BATCH "7c41e09b52d6a3f8"

static void
publish_config(struct world *world)
{
	testbed_store_put(&world->testbed.store, "op", "config",
	    "{\"version\":3,\"route-table\":["
	    "{\"name\":\"r-gen\",\"hostname\":\"" WORLD_HOST
	    "\",\"path-prefix\":\"/gen/\",\"route-kind\":\"rollout\","
	    "\"timeout-ms\":10000,\"target-latency-ms\":400,\"priority\":1,"
	    "\"max-attempts\":3,\"run-deadline-ms\":7500,\"item-ttl-s\":40,"
	    "\"service\":\"gen\"},"
	    "{\"name\":\"r-score\",\"hostname\":\"" WORLD_HOST
	    "\",\"path-prefix\":\"/score/\",\"route-kind\":\"idempotent\","
	    "\"timeout-ms\":1500,\"target-latency-ms\":150,\"priority\":2,"
	    "\"max-attempts\":4,\"service\":\"desk\"}],"
	    "\"services\":["
	    "{\"name\":\"gen\",\"health-path\":\"/healthz\",\"max-conns\":130,"
	    "\"engine\":{\"slots\":8,\"models\":[{\"name\":\"m\"}]}},"
	    "{\"name\":\"desk\",\"health-path\":\"/healthz\",\"max-conns\":96}],"
	    "\"limits\":{\"max-header-bytes\":16384,"
	    "\"max-body-bytes\":33554432,\"header-timeout-ms\":3000,"
	    "\"idle-timeout-ms\":15000}}");
}

static void
submit(struct world *world)
{
	json_t *requests = json_array();
	struct world_call call;
	char id[32], score[32];
	json_t *document;
	char *text;
	unsigned i;

	for (i = 0; i < ITEMS; i++) {
		snprintf(id, sizeof(id), "e5b2907c14da%04x", i);
		snprintf(score, sizeof(score), "40c8f1a7b3e9%04x", i);
		json_array_append_new(requests,
		    json_pack("{s:s,s:s,s:{s:s,s:s},s:s,s:i,s:s,"
			      "s:{s:s,s:s,s:s,s:s}}",
			"id", id, "path", "/gen/3/91c4", "headers", "Model", "m",
			"Token-Counts", "16,400", "body", "ZXZlbnRzPTEw",
			"tokens", 416, "group", i < ITEMS / 2 ? "g1" : "g2",
			"scorer", "id", score, "hostname", WORLD_HOST, "path",
			"/score/5e07", "body", "c2NvcmU="));
	}
	document = json_pack("{s:i,s:s,s:i,s:i,s:o}", "step", 0, "model", "m",
	    "min-version", 1, "target-groups", 2, "requests", requests);
	text = json_dumps(document, JSON_COMPACT);
	json_decref(document);
	world_call_run(world, &call, &world->nodes[0].front, "POST",
	    "/gen/" BATCH,
	    "Attempt-Id: " BATCH "\r\nContent-Type: application/json\r\n", text,
	    strlen(text), 2000);
	world_record(world, "batch " BATCH " is answered %u", call.status);
	if (call.status != 202)
		world_end(world, CASE_NOT_RUN, "the batch is not accepted");
	world_call_finish(&call);
	free(text);
}

/* Status; and in *results how many results the page has. */
static unsigned
get(struct world *world, const struct world_node *node, const char *target,
    size_t *results)
{
	struct world_call call;
	unsigned status;
	json_t *page;

	world_call_run(
	    world, &call, &node->front, "GET", target, "", "", 0, 3000);
	status = call.status;
	page = json_loadb(
	    kwb_buf_text(&call.body), call.body.used_bytes, 0, NULL);
	*results = json_array_size(json_object_get(page, "results"));
	json_decref(page);
	world_record(world, "GET %s at %s: %u, %zu results", target, node->name,
	    status, *results);
	world_call_finish(&call);
	return status;
}

int
main(int argc, char **argv)
{
	static struct world world;
	uint64_t accepted_ms, end_ms;
	unsigned lost = 0;
	size_t results = 0;
	unsigned i;

	world_init(&world, argc, argv);
	world.status_s = STATUS_S;
	world_server(&world, "gen-1", "gen", true, 8);
	world_server(&world, "gen-2", "gen", true, 8);
	world_server(&world, "desk-1", "desk", false, 6);
	publish_config(&world);
	world_node_start(&world, world_node_add(&world, "frontend-1"));
	world_node_start(&world, world_node_add(&world, "frontend-2"));
	world_node_wait_ready(&world, &world.nodes[0]);
	world_node_wait_ready(&world, &world.nodes[1]);
	world_run_until(&world, world_now_ms(&world) + STABLE_MS);
	submit(&world);
	accepted_ms = world_now_ms(&world);
	end_ms = accepted_ms + 5000;
	while (world_now_ms(&world) < end_ms && results < ITEMS) {
		world_run_until(&world, world_now_ms(&world) + 500);
		get(&world, &world.nodes[1], "/lots/" BATCH "?after=0", &results);
	}
	if (results < ITEMS)
		world_end(&world, CASE_NOT_RUN, "the batch is not served");
	if (world.has_trouble)
		world_record(&world, "the trainer leaves; its batch is open");
	world_run_until(
	    &world, accepted_ms + (world.has_trouble ? AWAY_MS : CALM_MS));
	for (i = 0; i < world.nodes_count; i++) {
		unsigned status = get(&world, &world.nodes[i],
		    "/lots/" BATCH "?after=0", &results);

		lost += status == 404 || status == 410 ||
		    (status == 200 && results < ITEMS);
	}
	world_record(&world, "objects in the store: %u",
	    world.testbed.store.objects_count);
	if (lost > 0)
		world_end(&world, CASE_BROKEN,
		    "LOST: an open batch and results that were read are gone");
	world_end(&world, CASE_HELD, "the open batch can be read");
}
