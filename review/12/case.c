/*
 * A batch submission that its trainer has left open is read by another client
 * until after status-s: its results must stay as long as it is open.
 */
#include <string.h>

#include "../stand-3/scene.h"

#define STATUS_S 60
#define SETTLE_S 1.0
#define READ_UNTIL_S 95.0
#define READ_PERIOD_MS 3000
#define ITEMS 8

static const char config[] =
    "{\"version\":7,\"route-table\":["
    "{\"name\":\"r-lots\",\"hostname\":\"h.example\",\"path-prefix\":\"/lot/\","
    "\"route-kind\":\"rollout\",\"target-latency-ms\":500,"
    "\"run-deadline-ms\":7500,\"item-ttl-s\":12,\"priority\":1,"
    "\"service\":\"model\",\"max-attempts\":3},"
    "{\"name\":\"r-score\",\"hostname\":\"h.example\","
    "\"path-prefix\":\"/score/\",\"route-kind\":\"idempotent\","
    "\"timeout-ms\":1500,\"target-latency-ms\":150,\"priority\":2,"
    "\"service\":\"app\",\"max-attempts\":4}],"
    "\"services\":[{\"name\":\"model\",\"health-path\":\"/healthz\","
    "\"max-conns\":140,\"engine\":{\"slots\":8,\"models\":[{\"name\":\"m\"}]}},"
    "{\"name\":\"app\",\"health-path\":\"/healthz\",\"max-conns\":100}],"
    "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":33554432,"
    "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}";

static struct scene scene;

static void
server_add(const char *name, const char *service, bool is_model_server)
{
	struct testbed_server *server = testbed_server(&scene.testbed, name);

	kwb_text_copy(server->service, sizeof(server->service), service);
	server->is_model_server = is_model_server;
	server->slots = 8;
	server->version = 1;
	server->pace_ms = 36;
	server->load_duration_ms = 900;
	testbed_server_open(server, &scene.testbed);
}

static void
submit(const char *batch)
{
	char body[4096];
	char headers[64];
	char target[64];
	size_t used = 0;
	unsigned status;
	unsigned i;

	used += (size_t)snprintf(body, sizeof(body),
	    "{\"step\":0,\"model\":\"m\",\"min-version\":1,"
	    "\"target-groups\":2,\"requests\":[");
	for (i = 0; i < ITEMS; i++) /* body: "events=20" */
		used += (size_t)snprintf(body + used, sizeof(body) - used,
		    "%s{\"id\":\"%s-i%u\",\"path\":\"/lot/3/%u\",\"headers\":"
		    "{\"Model\":\"m\",\"Token-Counts\":\"271,20\"},"
		    "\"body\":\"ZXZlbnRzPTIw\",\"tokens\":291,"
		    "\"group\":\"g%u\",\"scorer\":{\"id\":\"%s-s%u\","
		    "\"hostname\":\"h.example\",\"path\":\"/score/1\","
		    "\"body\":\"MQ==\"}}",
		    i > 0 ? "," : "", batch, i, i, i / 4, batch, i);
	snprintf(body + used, sizeof(body) - used, "]}");
	snprintf(headers, sizeof(headers), "Attempt-Id: %s\r\n", batch);
	snprintf(target, sizeof(target), "/lot/%s", batch);
	status = scene_call(&scene, &scene.nodes[0], "POST", target, headers,
	    body, strlen(body), NULL);
	scene_note(&scene, "trainer: submits %s at %s: %u", batch,
	    scene.nodes[0].name, status);
	if (status != 202)
		scene_abort(&scene, "the submission was not accepted");
}

/* Reads all results; returns the status and sets how many came. */
static unsigned
read_from_start(const struct scene_node *node, const char *batch,
    const char *who, unsigned *results)
{
	struct scene_reply reply;
	char target[64];
	const char *at;
	unsigned status;

	snprintf(target, sizeof(target), "/lots/%s?after=0", batch);
	status =
	    scene_call(&scene, node, "GET", target, "", NULL, 0, &reply);
	*results = 0;
	for (at = reply.body; at != NULL &&
	     (at = strstr(at, "\"state\":\"completed\"")) != NULL;
	     at++)
		(*results)++;
	scene_note(&scene, "%s: reads %s from 0 at %s: %u, %u results", who,
	    batch, node->name, status, *results);
	scene_reply_finish(&reply);
	return status;
}

int
main(int argc, char **argv)
{
	const char *batch = "7c41e09b52d6a3f8";
	double accepted_s;
	bool is_ended = false;
	unsigned results = 0;
	unsigned before = 0;
	unsigned status;
	unsigned turn;

	if (argc < 2)
		return SCENE_EXIT_NOT_RUN;
	scene_init(&scene, argv[1]);
	scene.extra_settings = "bounds.status-s=60\n";
	scene_put_config(&scene, config);
	server_add("i-model1", "model", true);
	server_add("i-model2", "model", true);
	server_add("i-app1", "app", false);
	for (turn = 0; turn < 3; turn++)
		scene_node_start(&scene,
		    scene_node_add(&scene,
			turn == 0 ? "front-1" : turn == 1 ? "front-2"
							  : "front-3"));
	scene_wait_ready(&scene);
	submit(batch);
	accepted_s = scene_seconds(&scene);
	while (results < ITEMS && scene_seconds(&scene) < accepted_s + 12) {
		scene_run_for(&scene, 500);
		read_from_start(
		    &scene.nodes[1], batch, "trainer", &results);
	}
	if (results < ITEMS)
		scene_abort(&scene, "not all items were listed");
	if (scene.has_trouble) {
		scene_note(&scene,
		    "trainer: leaves, and never ends the batch submission");
	} else {
		status = scene_call(&scene, &scene.nodes[0], "DELETE",
		    "/lots/7c41e09b52d6a3f8", "", NULL, 0, NULL);
		scene_note(&scene, "trainer: ends %s: %u", batch, status);
		is_ended = status == 200;
	}
	before = results;
	for (turn = 0; scene_seconds(&scene) < accepted_s + READ_UNTIL_S;
	     turn++) {
		bool is_owed;

		scene_run_for(&scene, READ_PERIOD_MS);
		is_owed = !is_ended ||
		    scene_seconds(&scene) < accepted_s + STATUS_S - SETTLE_S;
		status = read_from_start(
		    &scene.nodes[turn % 3], batch, "reader", &results);
		if (is_owed && (status == 404 || status == 410))
			scene_breach(&scene,
			    "LOST: %u for an open batch submission, %.1f s "
			    "after it was accepted",
			    status, scene_seconds(&scene) - accepted_s);
		else if (is_owed && status == 200 && results < before)
			scene_breach(&scene,
			    "LOST: %u of %u results that had been read",
			    results, before);
	}
	return scene_finish(&scene);
}
