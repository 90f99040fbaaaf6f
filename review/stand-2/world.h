/*
 * Support for the scripts of the second review: runs kwb-node as separate
 * processes on loopback addresses, with stand-ins of the platform's store and
 * of servers, which are the project's own, in the test's process.
 */
#ifndef REVIEW2_WORLD_H
#define REVIEW2_WORLD_H

#include <stdio.h>
#include <sys/types.h>

#include "../../tests/platform/stage.h"

#define WORLD_NODES_MAX 8
#define WORLD_HOST "front.example"

/* Exit codes of a case. */
#define CASE_HELD 0
#define CASE_BROKEN 1
#define CASE_NOT_RUN 2

struct world_node {
	char name[32];
	char ip[32];
	pid_t pid; /* 0 while it does not run */
	struct kwb_address front;
	struct kwb_address ready;
};

struct world {
	struct testbed testbed; /* its own nodes are not used */
	struct world_node nodes[WORLD_NODES_MAX];
	unsigned nodes_count;
	unsigned memory_mb; /* of each node */
	unsigned status_s;  /* bounds.status-s */
	FILE *record;
	struct event *heartbeat; /* liveness reports of all servers */
	uint64_t started_ns;
	bool has_trouble; /* false with TROUBLE=0 */
	char folder[64];  /* for settings and logs; removed at the end */
};

struct world_call {
	struct kwb_exchange exchange;
	bool done;
	int error;
	uint64_t started_ms;
	unsigned status; /* 0: no whole answer */
	char receipt[96];
	struct kwb_buf body;
};

void world_init(struct world *world, int argc, char **argv);
/* Ends all processes, removes the folder, prints the verdict and exits. */
void world_end(struct world *world, int code, const char *verdict)
    __attribute__((noreturn));
/* Writes a line with the time to record.txt. */
void world_record(struct world *world, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
uint64_t world_now_ms(const struct world *world); /* since the start */
void world_run_until(struct world *world, uint64_t at_ms);

struct world_node *world_node_add(struct world *world, const char *name);
void world_node_start(struct world *world, struct world_node *node);
void world_node_kill(struct world *world, struct world_node *node);
/* Runs until its readiness check gives 200; exits with 2 after 10 s. */
void world_node_wait_ready(struct world *world, struct world_node *node);
/* Whether the process still runs; its exit status otherwise. */
bool world_node_runs(struct world *world, struct world_node *node, int *status);
/* The most memory that was resident. */
unsigned world_node_peak_mb(const struct world_node *node);

/* Sends a request on a new connection; world_call_take() once it is done. */
void world_call_start(struct world *world, struct world_call *call,
    const struct kwb_address *to, const char *method, const char *target,
    const char *headers, const void *body, size_t body_bytes);
void world_call_take(struct world_call *call);
/* Sends a request on a new connection and runs until its end, at most ms. */
void world_call_run(struct world *world, struct world_call *call,
    const struct kwb_address *to, const char *method, const char *target,
    const char *headers, const void *body, size_t body_bytes, unsigned ms);
void world_call_finish(struct world_call *call);

/* Writes the whole entry of a server, as its liveness report. */
void world_publish(struct world *world, struct testbed_server *server);
struct testbed_server *world_server(struct world *world, const char *name,
    const char *service, bool is_model_server, unsigned slots);

#endif
