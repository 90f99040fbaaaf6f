/*
 * A plain server fails some reward calls at first, and sends a late second copy
 * of two of these answers when the channel carries its next request. A copy
 * bears the id of the call, as that is sent again. The item must not be given
 * up before max-attempts answers of 500.
 */
#include <stdlib.h>
#include <string.h>

#include "../stand-2/world.h"

#define ITEMS 80
#define FAILING_ITEM 3
#define FAILURES 3 /* answers of 500 to its reward call; then one of 200 */
#define MAX_ATTEMPTS 4
#define STABLE_MS 3000
#define RUN_DEADLINE_MS 7500
#define BATCH "7c41e09b52d6a3f8"

static struct world world;
static struct http_listener desk;
static unsigned calls[ITEMS];
static unsigned errors[ITEMS]; /* answers of 500, without copies */
static unsigned copies;
static unsigned answers;

static void
desk_on_close(struct http_session *session)
{
	free(session->handler_state);
	session->handler_state = NULL;
}

/* The handler state of a channel is the copy that it still has to send. */
static void
desk_on_request(struct http_session *session)
{
	const struct kwb_message *message = &session->conn.message;
	const char *id = kwb_message_header(message, "Attempt-Id");
	const char *expected = kwb_message_header(message, "Expect-Instance");
	char *copy = session->handler_state;
	char headers[256];
	unsigned item;

	if (id == NULL || expected == NULL || strcmp(expected, "desk-1") != 0) {
		http_session_answer(session, 421, "", "", 0);
		return;
	}
	if (copy != NULL) {
		copies++;
		world_record(&world,
		    "desk-1 sends a late second copy of its last answer on this "
		    "channel");
		evbuffer_add(
		    kwb_conn_output(&session->conn), copy, strlen(copy));
		desk_on_close(session);
	}
	item = (unsigned)strtoul(id + 12, NULL, 16) % ITEMS;
	calls[item]++;
	answers++;
	snprintf(headers, sizeof(headers),
	    "Attempt-Id: %s\r\nServer-Stamp: stamp-desk-1-%s\r\n", id, id);
	if (item != FAILING_ITEM || calls[item] > FAILURES) {
		world_record(&world, "desk-1 answers call %s with 200", id);
		http_session_answer(session, 200, headers, "ok", 2);
		return;
	}
	errors[item]++;
	world_record(&world, "desk-1 answers call %s with 500 (number %u)", id,
	    errors[item]);
	if (world.has_trouble && errors[item] % 2 == 1) {
		copy = malloc(512);
		snprintf(copy, 512,
		    "HTTP/1.1 500 Internal Server Error\r\n%sContent-Length: "
		    "0\r\n\r\n",
		    headers);
		session->handler_state = copy;
	}
	http_session_answer(session, 500, headers, "", 0);
}

static void
publish(void)
{
	char text[256];

	snprintf(text, sizeof(text),
	    "{\"service\":\"desk\",\"addr\":\"%s:%u\",\"zone\":\"z1\","
	    "\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
	    "\"cold-left-ms\":0,\"seq\":1,\"born\":1700000000000}",
	    desk.address.ip, desk.address.port);
	testbed_store_put(&world.testbed.store, "servers", "desk-1", text);
	testbed_store_put(&world.testbed.store, "op", "config",
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
submit(void)
{
	json_t *requests = json_array();
	struct world_call call;
	char id[32], score[32], group[16];
	json_t *document;
	char *text;
	unsigned i;

	for (i = 0; i < ITEMS; i++) {
		snprintf(id, sizeof(id), "e5b2907c14da%04x", i);
		snprintf(score, sizeof(score), "40c8f1a7b3e9%04x", i);
		snprintf(group, sizeof(group), "g%u", i / 4);
		json_array_append_new(requests,
		    json_pack("{s:s,s:s,s:{s:s,s:s},s:s,s:i,s:s,"
			      "s:{s:s,s:s,s:s,s:s}}",
			"id", id, "path", "/gen/3/91c4", "headers", "Model", "m",
			"Token-Counts", "16,400", "body",
			i == FAILING_ITEM ? "ZXZlbnRzPTYw" /* 60 events */
					  : "ZXZlbnRzPTQ=",
			"tokens", 416, "group", group, "scorer", "id", score,
			"hostname", WORLD_HOST, "path", "/score/5e07", "body",
			"c2NvcmU="));
	}
	document = json_pack("{s:i,s:s,s:i,s:i,s:o}", "step", 0, "model", "m",
	    "min-version", 1, "target-groups", ITEMS / 4, "requests", requests);
	text = json_dumps(document, JSON_COMPACT);
	json_decref(document);
	world_call_run(&world, &call, &world.nodes[0].front, "POST",
	    "/gen/" BATCH,
	    "Attempt-Id: " BATCH "\r\nContent-Type: application/json\r\n", text,
	    strlen(text), 2000);
	world_record(&world, "batch " BATCH " is answered %u", call.status);
	if (call.status != 202)
		world_end(&world, CASE_NOT_RUN, "the batch is not accepted");
	world_call_finish(&call);
	free(text);
}

/* Counts the listed results; sets the state of the failing item. */
static size_t
read_results(char *state, size_t capacity)
{
	struct world_call call;
	const json_t *result;
	json_t *page;
	size_t count = 0;
	size_t i;
	const char *id;

	world_call_run(&world, &call, &world.nodes[1].front, "GET",
	    "/lots/" BATCH "?after=0", "", "", 0, 3000);
	page = json_loadb(
	    kwb_buf_text(&call.body), call.body.used_bytes, 0, NULL);
	json_array_foreach (json_object_get(page, "results"), i, result) {
		id = json_string_value(json_object_get(result, "id"));
		if (strtoul(id + 12, NULL, 16) == FAILING_ITEM)
			kwb_text_copy(state, capacity,
			    json_string_value(
				json_object_get(result, "state")));
		count++;
	}
	world_record(&world, "%zu of %d results are listed", count, ITEMS);
	json_decref(page);
	world_call_finish(&call);
	return count;
}

int
main(int argc, char **argv)
{
	char state[16] = "";
	uint64_t end_ms;
	size_t count = 0;

	world_init(&world, argc, argv);
	if (http_listener_open(&desk, world.testbed.base, desk_on_request,
		desk_on_close, NULL) != 0)
		world_end(&world, CASE_NOT_RUN, "no port");
	world_server(&world, "gen-1", "gen", true, 8);
	world_server(&world, "gen-2", "gen", true, 8);
	publish();
	world_node_start(&world, world_node_add(&world, "frontend-1"));
	world_node_start(&world, world_node_add(&world, "frontend-2"));
	world_node_wait_ready(&world, &world.nodes[0]);
	world_node_wait_ready(&world, &world.nodes[1]);
	world_run_until(&world, world_now_ms(&world) + STABLE_MS);
	submit();
	end_ms = world_now_ms(&world) + RUN_DEADLINE_MS;
	while (world_now_ms(&world) < end_ms && count < ITEMS) {
		world_run_until(&world, world_now_ms(&world) + 500);
		count = read_results(state, sizeof(state));
	}
	world_record(&world,
	    "item %d is '%s'; its reward call had %u answers of 500 of at most "
	    "%d, and %u calls in all; %u copies among %u answers",
	    FAILING_ITEM, state, errors[FAILING_ITEM], MAX_ATTEMPTS,
	    calls[FAILING_ITEM], copies, answers);
	if (strcmp(state, "errored") == 0 &&
	    errors[FAILING_ITEM] < MAX_ATTEMPTS)
		world_end(&world, CASE_BROKEN,
		    "MIXED: an item is errored before max-attempts answers of "
		    "500");
	if (count < ITEMS)
		world_end(&world, CASE_NOT_RUN, "not all items are listed");
	world_end(&world, CASE_HELD, "the item is completed");
}
