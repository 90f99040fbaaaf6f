/*
 * The stage: what stands on one event loop, and time passing there.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "stage.h"

#define FIRST_PORT 12000
#define PORTS 8000

void
stage_init(struct stage *stage)
{
	memset(stage, 0, sizeof(*stage));
	stage->base = event_base_new();
	if (kwb_client_init(&stage->client, stage->base) != 0 ||
	    stage_store_open(&stage->store, stage->base) != 0)
		abort();
}

void
stage_finish(struct stage *stage)
{
	unsigned i;

	for (i = 0; i < stage->nodes_count; i++)
		if (stage->nodes[i].running)
			stage_node_kill(&stage->nodes[i]);
	for (i = 0; i < stage->nodes_count; i++)
		if (stage->nodes[i].has_path)
			proxy_close(&stage->nodes[i].path);
	for (i = 0; i < stage->servers_count; i++)
		port_close(&stage->servers[i].port);
	stage_store_close(&stage->store);
	kwb_client_finish(&stage->client);
	event_base_free(stage->base);
}

void
stage_wait(struct stage *stage, unsigned length_ms)
{
	uint64_t end_ns = kwb_clock_now_ns() + length_ms * KWB_MS_NS;

	while (kwb_clock_now_ns() < end_ns) {
		event_base_loop(stage->base, EVLOOP_NONBLOCK);
		usleep(500);
	}
}

struct stage_node *
stage_node(struct stage *stage, const char *name)
{
	unsigned i;

	for (i = 0; i < stage->nodes_count; i++)
		if (strcmp(stage->nodes[i].name, name) == 0)
			return &stage->nodes[i];
	if (stage->nodes_count == STAGE_NODES_MAX)
		abort();
	kwb_text_copy(stage->nodes[i].name, sizeof(stage->nodes[i].name), name);
	stage->nodes[i].stage = stage;
	stage->nodes_count++;
	return &stage->nodes[i];
}

struct stage_server *
stage_server(struct stage *stage, const char *name)
{
	unsigned i;

	for (i = 0; i < stage->servers_count; i++)
		if (strcmp(stage->servers[i].name, name) == 0)
			return &stage->servers[i];
	if (stage->servers_count == STAGE_SERVERS_MAX)
		abort();
	kwb_text_copy(
	    stage->servers[i].name, sizeof(stage->servers[i].name), name);
	stage->servers_count++;
	return &stage->servers[i];
}

/*
 * A free port below those that the kernel gives to outgoing connections, or one
 * of these may hold it when a process that listens there is started again.
 */
void
stage_free_address(struct kwb_address *address)
{
	static unsigned next;
	struct sockaddr_in at = {.sin_family = AF_INET};
	unsigned tries;
	int fd;

	inet_pton(AF_INET, "127.0.0.1", &at.sin_addr);
	for (tries = 0; tries < PORTS; tries++) {
		fd = socket(AF_INET, SOCK_STREAM, 0);
		if (next == 0)
			next = (unsigned)getpid() * 37;
		at.sin_port = htons((uint16_t)(FIRST_PORT + next++ % PORTS));
		if (bind(fd, (struct sockaddr *)&at, sizeof(at)) == 0) {
			close(fd);
			kwb_text_copy(
			    address->ip, sizeof(address->ip), "127.0.0.1");
			address->port = ntohs(at.sin_port);
			return;
		}
		close(fd);
	}
	abort();
}

static void
on_stopped(void *context)
{
	struct stage_node *node = context;

	node->running = false;
}

void
stage_node_start(struct stage_node *node)
{
	kwb_node_settings_init(&node->settings);
	kwb_text_copy(
	    node->settings.node, sizeof(node->settings.node), node->name);
	kwb_text_copy(node->settings.failure_domain, KWB_NAME_MAX_BYTES, "z1");
	stage_free_address(&node->settings.listen);
	stage_free_address(&node->settings.ready);
	stage_free_address(&node->settings.metrics);
	if (!node->has_path &&
	    proxy_open(&node->path, node->stage->base,
		&node->stage->store.port.address) != 0)
		abort();
	node->has_path = true;
	node->settings.store = node->path.address;
	if (!node->alone)
		stage_free_address(&node->settings.peers);
	node->settings.is_fencing_enforced = true;
	node->settings.grace_ms = 8000;
	if (platform_store_init(
		&node->store, node->stage->base, &node->settings.store) != 0 ||
	    kwb_node_init(&node->node, node->stage->base, &node->settings,
		&node->store.store, &platform_message_codec,
		&platform_document_schema, on_stopped, node) != 0)
		abort();
	node->running = true;
}

void
stage_node_kill(struct stage_node *node)
{
	kwb_node_finish(&node->node);
	platform_store_finish(&node->store);
	node->running = false;
}
