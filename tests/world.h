/*
 * A small deployment on loopback for tests and measurements: the stand-ins and
 * the real daemons as processes, with relays between them for faults.
 */
#ifndef KWB_TESTS_CLUSTER_H
#define KWB_TESTS_CLUSTER_H

#include <sys/types.h>

#include "kwb.h"

#define CLUSTER_PROCESSES_MAX 160
#define CLUSTER_PORTS_COUNT 240
#define CLUSTER_NAME_MAX_BYTES 32

struct cluster_spec {
	unsigned entries;
	unsigned engines;
	unsigned services;
	unsigned failure_domains;
	bool has_relays;	 /* between entries, agents and platform */
	const char *models;	 /* of engines, comma-separated */
	const char *engine_args; /* further arguments, space-separated */
	const char *policy;	 /* of entries; NULL for the default */
	unsigned slots;
	unsigned interactive_reserve;
	const char *lists; /* YAML of both lists */
};

struct cluster_process {
	char name[CLUSTER_NAME_MAX_BYTES];
	pid_t pid; /* 0 when it does not run */
	uint16_t control_port;
	unsigned arguments_count;
	char arguments[24][160];
	char state[16]; /* in the VM list: live, leaving or "" */
};

struct cluster {
	struct cluster_spec spec;
	uint16_t base_port;
	char directory[128];
	unsigned processes_count;
	struct cluster_process processes[CLUSTER_PROCESSES_MAX];
};

int cluster_start(struct cluster *cluster, const struct cluster_spec *spec,
    uint16_t base_port); /* returns once all plans hold their allowance */
void cluster_stop(struct cluster *cluster);
struct cluster_process *cluster_find_process(
    struct cluster *cluster, const char *name);
void cluster_start_process(struct cluster *cluster, const char *name);
void cluster_kill_process(struct cluster *cluster, const char *name);
void cluster_signal_process(
    struct cluster *cluster, const char *name, int number);
int cluster_wait_process(struct cluster *cluster, const char *name,
    uint32_t timeout_ms); /* exit code; -1 when it did not end */
int64_t cluster_set_control(struct cluster *cluster, const char *name,
    const char *control, int64_t value); /* returns the old value */
int64_t cluster_get_control(
    struct cluster *cluster, const char *name, const char *control);
void cluster_publish_vms(struct cluster *cluster);
bool cluster_publish_weights(
    struct cluster *cluster, const char *model, uint64_t version);
int cluster_apply_lists(
    struct cluster *cluster, const char *lists); /* kwbctl's code */
int cluster_run_kwbctl(struct cluster *cluster, const char *const *arguments,
    const char *output); /* runs kwbctl; its standard output to a file */
bool cluster_wait_settled(struct cluster *cluster, uint32_t timeout_ms);
void cluster_print_url(struct cluster *cluster, const char *name, char *url,
    size_t capacity_bytes); /* of an entry, engine, service or the platform */
void cluster_print_metrics_url(struct cluster *cluster, const char *name,
    char *url, size_t capacity_bytes); /* of an entry or agent */
int cluster_http_request(const char *method, const char *url,
    const char *header, const char *body, struct kwb_buf *answer, char *outcome,
    uint32_t timeout_ms); /* status, 0 when none; outcome of 16 bytes */

#endif
