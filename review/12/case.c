/*
 * All open channels between the nodes and the model servers go silent at one
 * moment, and new ones work. A step that has begun must go on.
 */
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <stdlib.h>
#include <string.h>

#include "../stand-3/scene.h"

#define SERVERS 4
#define SLOTS 8
#define ITEMS 40
#define EVENTS 40
#define PACE_MS 100
#define SILENT_AFTER_S 3.4 /* from the 202 */
#define RUN_DEADLINE_S 12.0
#define STABLE_S 3.0
#define AT_NO_SERVER_S 5.0
#define SHORT_RUN_S 1.0 /* a run that ends or is ended so soon doesn't count */

/* One channel through the path between nodes and a server. */
struct channel {
	struct bufferevent *node;
	struct bufferevent *server;
	bool is_silent; /* for good: no byte, no close gets through */
	TAILQ_ENTRY(channel) entry;
};

struct path {
	struct evconnlistener *listener;
	struct kwb_address address;
	struct kwb_address to;
};

struct item {
	double began_s; /* of its newest run; 0 before the first */
	double left_s;	/* end of the newest run that counts */
	unsigned runs;
	bool is_at_server;
	bool is_finished;
};

struct run {
	struct http_session *session;
	struct model_server *server;
	struct item *item;
	unsigned next_event;
	char id[24];
};

struct model_server {
	struct http_listener port;
	struct path path;
	char name[16];
	unsigned running;
	double half_full_s; /* when it was last half full or more */
};

static struct scene scene;
static TAILQ_HEAD(, channel) channels = TAILQ_HEAD_INITIALIZER(channels);
static struct model_server servers[SERVERS];
static struct item items[ITEMS];

static const char config[] =
    "{\"version\":7,\"route-table\":["
    "{\"name\":\"r-lots\",\"hostname\":\"h.example\",\"path-prefix\":\"/lot/\","
    "\"route-kind\":\"rollout\",\"target-latency-ms\":500,"
    "\"run-deadline-ms\":12000,\"item-ttl-s\":30,\"priority\":1,"
    "\"service\":\"model\",\"max-attempts\":3}],"
    "\"services\":[{\"name\":\"model\",\"health-path\":\"/healthz\","
    "\"max-conns\":140,\"engine\":{\"slots\":8,\"models\":[{\"name\":\"m\"}]}}"
    "],"
    "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":33554432,"
    "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}";

/* ---- The path ------------------------------------------------------------ */

static void
channel_on_read(struct bufferevent *side, void *context)
{
	struct channel *channel = context;
	struct bufferevent *other =
	    side == channel->node ? channel->server : channel->node;

	if (!channel->is_silent)
		evbuffer_add_buffer(bufferevent_get_output(other),
		    bufferevent_get_input(side));
}

/* An end is passed on as a reset, which drops what is on the way. */
static void
channel_on_event(struct bufferevent *side, short what, void *context)
{
	struct channel *channel = context;
	struct linger reset = {.l_onoff = 1, .l_linger = 0};
	struct bufferevent *other =
	    side == channel->node ? channel->server : channel->node;

	if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0 ||
	    channel->is_silent)
		return;
	setsockopt(bufferevent_getfd(other), SOL_SOCKET, SO_LINGER, &reset,
	    sizeof(reset));
	TAILQ_REMOVE(&channels, channel, entry);
	bufferevent_free(channel->node);
	bufferevent_free(channel->server);
	free(channel);
}

static void
path_on_accept(struct evconnlistener *listener, int fd, struct sockaddr *from,
    int from_bytes, void *context)
{
	struct path *path = context;
	struct channel *channel = calloc(1, sizeof(*channel));
	struct sockaddr_in to = {
	    .sin_family = AF_INET, .sin_port = htons(path->to.port)};

	(void)listener;
	(void)from;
	(void)from_bytes;
	inet_pton(AF_INET, path->to.ip, &to.sin_addr);
	channel->node = bufferevent_socket_new(
	    scene.testbed.base, fd, BEV_OPT_CLOSE_ON_FREE);
	channel->server = bufferevent_socket_new(
	    scene.testbed.base, -1, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_socket_connect(
	    channel->server, (struct sockaddr *)&to, sizeof(to));
	bufferevent_setcb(channel->node, channel_on_read, NULL,
	    channel_on_event, channel);
	bufferevent_setcb(channel->server, channel_on_read, NULL,
	    channel_on_event, channel);
	bufferevent_enable(channel->node, EV_READ | EV_WRITE);
	bufferevent_enable(channel->server, EV_READ | EV_WRITE);
	TAILQ_INSERT_TAIL(&channels, channel, entry);
}

static void
path_open(struct path *path, const struct kwb_address *to)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t length = sizeof(address);

	path->to = *to;
	inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
	path->listener = evconnlistener_new_bind(scene.testbed.base,
	    path_on_accept, path, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
	    128, (struct sockaddr *)&address, sizeof(address));
	if (path->listener == NULL)
		scene_abort(&scene, "no path");
	getsockname(evconnlistener_get_fd(path->listener),
	    (struct sockaddr *)&address, &length);
	path->address = *to;
	path->address.port = ntohs(address.sin_port);
}

static unsigned
channels_silence(void)
{
	struct channel *channel;
	unsigned count = 0;

	TAILQ_FOREACH (channel, &channels, entry) {
		if (channel->is_silent)
			continue;
		channel->is_silent = true;
		bufferevent_disable(channel->node, EV_READ | EV_WRITE);
		bufferevent_disable(channel->server, EV_READ | EV_WRITE);
		count++;
	}
	return count;
}

/* ---- Model servers ------------------------------------------------------- */

static void
run_leave(struct http_session *session)
{
	struct run *run = session->handler_state;
	double now_s = scene_seconds(&scene);

	if (run == NULL)
		return;
	if (run->server->running >= SLOTS / 2)
		run->server->half_full_s = now_s;
	run->server->running--;
	run->item->is_at_server = false;
	if (now_s - run->item->began_s >= SHORT_RUN_S)
		run->item->left_s = now_s;
	free(run);
	session->handler_state = NULL;
}

static void
run_on_timer(int fd, short what, void *context)
{
	struct http_session *session = context;
	struct run *run = session->handler_state;
	struct evbuffer *out = kwb_conn_output(&session->conn);
	char event[64];

	(void)fd;
	(void)what;
	if (run->next_event > EVENTS) {
		run->item->is_finished = true;
		evbuffer_add_printf(out, "0\r\n\r\n");
		run_leave(session);
		kwb_conn_read_next(&session->conn);
		return;
	}
	snprintf(event, sizeof(event), "id: %u\ndata: word%u\n\n",
	    run->next_event, run->next_event);
	evbuffer_add_printf(out, "%zx\r\n%s\r\n", strlen(event), event);
	run->next_event++;
	kwb_timer_arm(
	    session->timer, kwb_clock_now_ns() + PACE_MS * KWB_MS_NS);
}

static void
server_on_request(struct http_session *session)
{
	struct model_server *server = session->listener->context;
	const struct kwb_message *message = &session->conn.message;
	const char *id = kwb_message_header(message, "Attempt-Id");
	const char *expected = kwb_message_header(message, "Expect-Instance");
	const char *resume = kwb_message_header(message, "Last-Event-Id");
	char text[256];
	struct run *run;
	unsigned item;

	if (strcmp(kwb_message_target(message), "/report") == 0) {
		snprintf(text, sizeof(text),
		    "{\"models\":[{\"name\":\"m\",\"version\":1}],\"busy\":"
		    "false,\"seq\":0,\"running\":%u,\"queued\":0}",
		    server->running);
		http_session_answer(session, 200, "", text, strlen(text));
		return;
	}
	if (expected != NULL && strcmp(expected, server->name) != 0) {
		http_session_answer(
		    session, 421, "Instance-Id: other\r\n", "", 0);
		return;
	}
	if (id == NULL || sscanf(id, "i%u", &item) != 1 || item >= ITEMS) {
		http_session_answer(session, 400, "", "", 0);
		return;
	}
	if (server->running >= SLOTS) {
		snprintf(text, sizeof(text),
		    "Not-Executed: 1\r\nAttempt-Id: %s\r\n", id);
		http_session_answer(session, 503, text, "", 0);
		return;
	}
	run = calloc(1, sizeof(*run));
	run->session = session;
	run->server = server;
	run->item = &items[item];
	run->next_event = resume != NULL ? (unsigned)atoi(resume) + 1 : 1;
	kwb_text_copy(run->id, sizeof(run->id), id);
	items[item].began_s = scene_seconds(&scene);
	items[item].is_at_server = true;
	items[item].runs++;
	session->handler_state = run;
	server->running++;
	scene_note(&scene, "server %s: %s begins at event %u, %u running",
	    server->name, id, run->next_event, server->running);
	evbuffer_add_printf(kwb_conn_output(&session->conn),
	    "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: stamp-%s\r\n"
	    "Server-Load: %u,0,8\r\nWeight-Versions: 1\r\n"
	    "Content-Type: text/event-stream\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n",
	    id, id, server->running);
	if (session->timer != NULL)
		event_free(session->timer);
	session->timer =
	    kwb_timer_new(scene.testbed.base, run_on_timer, session);
	kwb_timer_arm(
	    session->timer, kwb_clock_now_ns() + PACE_MS * KWB_MS_NS);
}

static void
server_open(struct model_server *server, unsigned number)
{
	char row[512];

	snprintf(server->name, sizeof(server->name), "i-model%u", number);
	if (http_listener_open(&server->port, scene.testbed.base,
		server_on_request, run_leave, server) != 0)
		scene_abort(&scene, "no server");
	path_open(&server->path, &server->port.address);
	snprintf(row, sizeof(row),
	    "{\"service\":\"model\",\"addr\":\"%s:%u\",\"zone\":\"z1\","
	    "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
	    "\"cold-left-ms\":0,\"stage\":\"both\",\"models\":[{\"name\":"
	    "\"m\",\"version\":1,\"adapters\":[]}],\"seq\":0,"
	    "\"born\":1700000000000}",
	    server->path.address.ip, server->path.address.port);
	testbed_store_put(
	    &scene.testbed.store, "servers", server->name, row);
}

/* ---- The trainer --------------------------------------------------------- */

static unsigned
read_results(void)
{
	struct scene_reply reply;
	const char *at;
	unsigned count = 0;

	scene_call(&scene, &scene.nodes[1], "GET", "/lots/b1?after=0", "",
	    NULL, 0, &reply);
	for (at = reply.body;
	     at != NULL && (at = strstr(at, "\"state\":\"")) != NULL; at++)
		count++;
	scene_reply_finish(&reply);
	return count;
}

/* Checks the rule at the moment at which the step's time is over. */
static void
check_step(double silent_s)
{
	double now_s = scene_seconds(&scene);
	double steady_s = silent_s + STABLE_S;
	double half_full_s = 0;
	unsigned begun = 0;
	unsigned waiting = 0;
	unsigned i;

	for (i = 0; i < SERVERS; i++) {
		scene_note(&scene,
		    "server %s: %u of %u slots taken, last half full %.2f s "
		    "ago",
		    servers[i].name, servers[i].running, SLOTS,
		    now_s - servers[i].half_full_s);
		if (servers[i].running >= SLOTS / 2)
			servers[i].half_full_s = now_s;
		if (servers[i].half_full_s > half_full_s)
			half_full_s = servers[i].half_full_s;
	}
	for (i = 0; i < ITEMS; i++) {
		const struct item *item = &items[i];
		bool is_there = item->is_at_server &&
		    now_s - item->began_s >= SHORT_RUN_S;
		double since_s = item->left_s > steady_s ? item->left_s
							 : steady_s;

		begun += item->runs > 0;
		if (!item->is_finished && !is_there &&
		    now_s - since_s >= AT_NO_SERVER_S)
			waiting++;
	}
	scene_note(&scene,
	    "the step's time is over: %u of %u items had begun, %u that no "
	    "server has finished were at no server for 5 s of steady state",
	    begun, ITEMS, waiting);
	if (waiting > 0 && begun > 0 &&
	    now_s - half_full_s >= AT_NO_SERVER_S)
		scene_breach(&scene,
		    "LOST: the step runs out of time with %u items at no "
		    "server, the servers under half full for %.1f s",
		    waiting, now_s - half_full_s);
}

int
main(int argc, char **argv)
{
	char body[8192];
	size_t used;
	double accepted_s;
	double silent_s = 0;
	unsigned listed;
	unsigned status;
	unsigned i;

	if (argc < 2)
		return SCENE_EXIT_NOT_RUN;
	scene_init(&scene, argv[1]);
	scene_put_config(&scene, config);
	for (i = 0; i < SERVERS; i++)
		server_open(&servers[i], i + 1);
	scene_node_start(&scene, scene_node_add(&scene, "front-1"));
	scene_node_start(&scene, scene_node_add(&scene, "front-2"));
	scene_wait_ready(&scene);
	scene_run_for(&scene, 3500);
	used = (size_t)snprintf(body, sizeof(body),
	    "{\"step\":0,\"model\":\"m\",\"min-version\":1,"
	    "\"target-groups\":9,\"requests\":[");
	for (i = 0; i < ITEMS; i++)
		used += (size_t)snprintf(body + used, sizeof(body) - used,
		    "%s{\"id\":\"i%u\",\"path\":\"/lot/3/%u\",\"headers\":"
		    "{\"Model\":\"m\",\"Token-Counts\":\"271,40\"},"
		    "\"body\":\"MQ==\",\"tokens\":311,\"group\":\"g%u\"}",
		    i > 0 ? "," : "", i, i, i / 4);
	snprintf(body + used, sizeof(body) - used, "]}");
	accepted_s = scene_seconds(&scene);
	status = scene_call(&scene, &scene.nodes[0], "POST", "/lot/b1",
	    "Attempt-Id: b1\r\n", body, strlen(body), NULL);
	scene_note(&scene, "trainer: submits %u items: %u", ITEMS, status);
	if (status != 202)
		scene_abort(&scene, "the submission was not accepted");
	while (scene_seconds(&scene) < accepted_s + RUN_DEADLINE_S) {
		scene_run_for(&scene, 5);
		if (silent_s != 0 || !scene.has_trouble ||
		    scene_seconds(&scene) < accepted_s + SILENT_AFTER_S)
			continue;
		silent_s = scene_seconds(&scene);
		scene_note(&scene,
		    "%u open channels to the servers go silent, new ones work",
		    channels_silence());
	}
	check_step(silent_s);
	listed = read_results();
	scene_note(&scene, "trainer: %u of %u items are listed", listed, ITEMS);
	return scene_finish(&scene);
}
