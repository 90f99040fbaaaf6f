/*
 * A small deployment on loopback for tests and measurements: the stand-ins and
 * the real daemons as processes, with relays between them for faults.
 */
#ifndef KWB_TESTS_WORLD_H
#define KWB_TESTS_WORLD_H

#include <sys/types.h>

#include "kwb.h"

#define WORLD_PROCS_MAX 160
#define WORLD_PORTS 240
#define WORLD_NAME_BYTES 32

struct world_shape {
	unsigned entries;
	unsigned engines;
	unsigned services;
	unsigned domains;
	bool relays;		 /* between entries, agents and platform */
	const char *models;	 /* of engines, comma-separated */
	const char *engine_args; /* further arguments, space-separated */
	const char *policy;	 /* of entries; NULL for the default */
	unsigned slots;
	unsigned reserve;
	const char *lists; /* YAML of both lists */
};

struct world_proc {
	char name[WORLD_NAME_BYTES];
	pid_t pid; /* 0 when it does not run */
	uint16_t control_port;
	unsigned arguments_count;
	char arguments[24][160];
	char state[16]; /* in the VM list: live, leaving or "" */
};

struct world {
	struct world_shape shape;
	uint16_t base_port;
	char directory[128];
	unsigned procs_count;
	struct world_proc procs[WORLD_PROCS_MAX];
};

int world_start(struct world *world, const struct world_shape *shape,
    uint16_t base_port); /* returns once all plans hold their allowance */
void world_stop(struct world *world);
struct world_proc *world_proc(struct world *world, const char *name);
void world_run(struct world *world, const char *name);
void world_kill(struct world *world, const char *name);
void world_signal(struct world *world, const char *name, int number);
int world_wait(struct world *world, const char *name,
    uint32_t timeout_ms); /* exit code; -1 when it did not end */
int64_t world_set(struct world *world, const char *name, const char *control,
    int64_t value); /* returns the old value */
int64_t world_get(struct world *world, const char *name, const char *control);
void world_list_vms(struct world *world);
bool world_publish(struct world *world, const char *model, uint64_t version);
int world_apply(struct world *world, const char *lists); /* kwbctl's code */
int world_ctl(struct world *world, const char *const *arguments,
    const char *output); /* runs kwbctl; its standard output to a file */
bool world_settled(struct world *world, uint32_t timeout_ms);
void world_url(struct world *world, const char *name, char *url,
    size_t room_bytes); /* of an entry, engine, service or the platform */
void world_metrics_url(struct world *world, const char *name, char *url,
    size_t room_bytes); /* of an entry or agent */
int world_http(const char *method, const char *url, const char *header,
    const char *body, struct kwb_buf *answer, char *outcome,
    uint32_t timeout_ms); /* status, 0 when none; outcome of 16 bytes */

#endif
