/*
 * A new version of the config moves a route, removes one and adds one, whose
 * name is longer than the others.
 */
#include <stdlib.h>
#include <string.h>

#include "../stand-3/scene.h"

#define CONFIG_APPLY_MS 2000
#define MARGIN_MS 3000
#define REQUESTS 20 /* of each route and node */

#define ROUTE(name, prefix, service)                                           \
	"{\"name\":\"" name "\",\"hostname\":\"h.example\","              \
	"\"path-prefix\":\"" prefix "\",\"route-kind\":\"idempotent\","        \
	"\"timeout-ms\":800,\"target-latency-ms\":150,\"priority\":2,"         \
	"\"service\":\"" service "\",\"max-attempts\":2}"
#define TAIL                                                                   \
	"],\"services\":[{\"name\":\"app-a\",\"health-path\":\"/healthz\","    \
	"\"max-conns\":100},{\"name\":\"app-b\",\"health-path\":\"/healthz\"," \
	"\"max-conns\":100}],\"limits\":{\"max-header-bytes\":16384,"          \
	"\"max-body-bytes\":33554432,\"header-timeout-ms\":3000,"              \
	"\"idle-timeout-ms\":15000}}"

static const char config_7[] =
    "{\"version\":7,\"route-table\":[" ROUTE("r-moved", "/moved/", "app-a") ","
    ROUTE("r-removed", "/removed/", "app-a") TAIL;
static const char config_9[] =
    "{\"version\":9,\"route-table\":[" ROUTE("r-moved", "/moved/", "app-b") ","
    ROUTE("teacher-catalogue-search.kurogane-hakuboku-shoten.kyushu-a.canary-2",
	"/added/", "app-b") TAIL;

static struct scene scene;

static void
server_add(const char *name, const char *service)
{
	struct testbed_server *server = testbed_server(&scene.testbed, name);

	kwb_text_copy(server->service, sizeof(server->service), service);
	server->slots = 6;
	testbed_server_open(server, &scene.testbed);
}

/* The server that ran the request; "" for none. */
static const char *
find_run(const char *id)
{
	const struct testbed *testbed = &scene.testbed;
	unsigned i;

	for (i = 0; i < testbed->runs_count; i++)
		if (strcmp(testbed->runs[i].id, id) == 0)
			return testbed->runs[i].server;
	return "";
}

/* Sends requests of a path to each node; counts what is handled so. */
static void
ask(const char *path, unsigned round, unsigned *by_a, unsigned *by_b,
    unsigned *not_found)
{
	char headers[128];
	char target[64];
	char id[48];
	unsigned status;
	unsigned node;
	unsigned i;

	*by_a = *by_b = *not_found = 0;
	for (node = 0; node < scene.nodes_count; node++)
		for (i = 0; i < REQUESTS; i++) {
			snprintf(id, sizeof(id), "%s-%u-%u-%u", path, round,
			    node, i);
			snprintf(headers, sizeof(headers),
			    "Attempt-Id: %s\r\nDeadline-Ms: 800\r\n", id);
			snprintf(target, sizeof(target), "/%s/2f", path);
			status = scene_call(&scene, &scene.nodes[node], "POST",
			    target, headers, "q", 1, NULL);
			*by_a += strcmp(find_run(id), "i-a1") == 0;
			*by_b += strcmp(find_run(id), "i-b1") == 0;
			*not_found += status == 404;
		}
	scene_note(&scene,
	    "%u requests of /%s/: %u run by app-a, %u by app-b, %u got 404",
	    REQUESTS * scene.nodes_count, path, *by_a, *by_b, *not_found);
}

int
main(int argc, char **argv)
{
	unsigned by_a;
	unsigned by_b;
	unsigned not_found;

	if (argc < 2)
		return SCENE_EXIT_NOT_RUN;
	scene_init(&scene, argv[1]);
	scene_put_config(&scene, config_7);
	server_add("i-a1", "app-a");
	server_add("i-b1", "app-b");
	scene_node_start(&scene, scene_node_add(&scene, "front-1"));
	scene_node_start(&scene, scene_node_add(&scene, "front-2"));
	scene_node_start(&scene, scene_node_add(&scene, "front-3"));
	scene_wait_ready(&scene);
	ask("moved", 1, &by_a, &by_b, &not_found);
	ask("removed", 1, &by_a, &by_b, &not_found);
	if (by_a != REQUESTS * scene.nodes_count)
		scene_abort(&scene, "the first config is not in force");
	if (scene.has_trouble)
		scene_put_config(&scene, config_9);
	scene_run_for(&scene, CONFIG_APPLY_MS + MARGIN_MS);
	ask("moved", 2, &by_a, &by_b, &not_found);
	if (scene.has_trouble && by_a > 0)
		scene_breach(&scene,
		    "CONFIG: %u requests of the moved route were run by its "
		    "old service, over %u ms after the ack",
		    by_a, CONFIG_APPLY_MS);
	ask("removed", 2, &by_a, &by_b, &not_found);
	if (scene.has_trouble && by_a + by_b > 0)
		scene_breach(&scene,
		    "CONFIG: %u requests were run by a route that was removed",
		    by_a + by_b);
	ask("added", 2, &by_a, &by_b, &not_found);
	if (scene.has_trouble && not_found > 0)
		scene_breach(&scene,
		    "CONFIG: %u requests of the added route got 404",
		    not_found);
	return scene_finish(&scene);
}
