/*
 * Scene of a review case: kwb-node processes, started with the command of the
 * deploy file, between stand-ins of the store, servers and clients. Everything
 * but the nodes runs in the case's own process, on one event loop.
 */
#ifndef REVIEW_SCENE_H
#define REVIEW_SCENE_H

#include <stdio.h>
#include <sys/types.h>

#include "../../tests/platform/stage.h"

#define SCENE_NODES_MAX 16
#define SCENE_EXIT_HELD 0
#define SCENE_EXIT_BROKEN 1
#define SCENE_EXIT_NOT_RUN 2

struct scene_node {
	char name[32];
	char ip[20];	    /* a loopback address of its own */
	char settings[160]; /* path of its settings file */
	char log[160];
	struct kwb_address front;
	struct kwb_address ready;
	pid_t pid; /* 0 while it does not run */
};

struct scene {
	struct testbed testbed; /* event loop, store, servers */
	FILE *record;
	char directory[128]; /* settings and logs of the nodes */
	uint64_t started_ns;
	unsigned network; /* 127.A.B.x */
	const char *extra_settings;
	bool has_trouble; /* false with TROUBLE=0 */
	unsigned breaches;
	struct scene_node nodes[SCENE_NODES_MAX];
	unsigned nodes_count;
};

/* An answer that a client got. */
struct scene_reply {
	bool is_whole;
	unsigned status; /* 0: the connection ended without one */
	char *body;	 /* with a NUL behind it; freed by scene_reply_finish() */
	size_t body_bytes;
};

/* A client's connection to a node; it carries one request at a time. */
struct scene_channel {
	struct scene *scene;
	struct bufferevent *bev;
	bool is_closed;
	bool has_reply;
	struct scene_reply reply;
};

/* Opens record.txt in the folder that the case was started with. */
void scene_init(struct scene *scene, const char *folder);
/* Ends all nodes, closes everything and returns the exit status. */
int scene_finish(struct scene *scene);
void scene_note(struct scene *scene, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/* Notes that the rule was broken. */
void scene_breach(struct scene *scene, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/* Ends the case with status 2. */
void scene_abort(struct scene *scene, const char *why);
double scene_seconds(const struct scene *scene); /* since scene_init() */
void scene_run_for(struct scene *scene, unsigned ms);

/* Adds a node with settings like those of a small deployment. */
struct scene_node *scene_node_add(struct scene *scene, const char *name);
void scene_node_start(struct scene *scene, struct scene_node *node);
void scene_node_signal(struct scene *scene, struct scene_node *node, int number);
/* Waits until it has ended; false if it runs on for so long. */
bool scene_node_wait_end(
    struct scene *scene, struct scene_node *node, unsigned ms);
/* Waits until all nodes that run answer 200 at their ready address. */
void scene_wait_ready(struct scene *scene);

/* The operator's write of op/config; the stand-in acknowledges at once. */
void scene_put_config(struct scene *scene, const char *text);

void scene_channel_open(struct scene *scene, struct scene_channel *channel,
    const struct kwb_address *address);
void scene_channel_send(struct scene_channel *channel, const char *method,
    const char *target, const char *headers, const void *body,
    size_t body_bytes);
/* Waits for the answer; false if none comes in that time. */
bool scene_channel_wait(struct scene_channel *channel, unsigned ms);
void scene_channel_close(struct scene_channel *channel);

/* One request on a new connection; waits for its answer. */
unsigned scene_call(struct scene *scene, const struct scene_node *node,
    const char *method, const char *target, const char *headers,
    const void *body, size_t body_bytes, struct scene_reply *reply);
void scene_reply_finish(struct scene_reply *reply);

#endif
