/*
 * A test cluster on loopback, for tests and benchmarks: the real daemons, and
 * fakes of the platform, engines and services, each as a process. Optional
 * relays between them inject network faults.
 */
#ifndef KWB_TESTS_CLUSTER_H
#define KWB_TESTS_CLUSTER_H

#include <sys/types.h>

#include "kwb.h"

#define CLUSTER_PROCESSES_MAX 160
#define CLUSTER_PORTS_COUNT 240 /* ports that a cluster uses from its base */
#define CLUSTER_NAME_MAX_BYTES 32

/*
 * What a cluster consists of. Processes are numbered from 1: entry-1,
 * engine-1 with the agent llm-1; services and their agents count on after the
 * engines, as service-4 with shop-4 behind three engines.
 */
struct cluster_spec {
	unsigned entries;
	unsigned engines;
	unsigned services;
	unsigned failure_domains;
	bool has_relays;	 /* entry to agent and entry to platform */
	const char *models;	 /* of engines, comma-separated */
	const char *engine_args; /* further arguments, space-separated */
	const char *policy;	 /* routing policy; NULL for the default */
	unsigned slots;		 /* requests that an upstream runs at once */
	/* Slots of each engine that training requests leave free. */
	unsigned interactive_reserve;
	const char *lists; /* YAML of plans and allowances */
};

struct cluster_process {
	char name[CLUSTER_NAME_MAX_BYTES];
	pid_t pid;     /* 0 when it isn't running */
	uint16_t port; /* where it listens; fakes take controls there */
	unsigned arguments_count;
	char arguments[24][160]; /* the first is the program */
	char state[16];		 /* in the VM list: live, leaving or "" */
};

struct cluster {
	struct cluster_spec spec;
	uint16_t base_port;
	int ports_claim;     /* socket that keeps the ports for this cluster */
	char directory[128]; /* settings and logs */
	unsigned processes_count;
	struct cluster_process processes[CLUSTER_PROCESSES_MAX];
};

/*
 * Starts all processes on ports that no other cluster of this machine uses and
 * applies the lists. Returns 0 once the agents hold the whole allowance of each
 * plan, or -1; stop the cluster in either case.
 */
int cluster_start(struct cluster *cluster, const struct cluster_spec *spec);

/* Kills all processes; settings and logs stay in cluster->directory. */
void cluster_stop(struct cluster *cluster);

/* Returns the process of that name; aborts when there is none. */
struct cluster_process *cluster_find_process(
    struct cluster *cluster, const char *name);

/* Starts a process unless it runs already. */
void cluster_start_process(struct cluster *cluster, const char *name);

/* Kills a process with SIGKILL and waits for its end. */
void cluster_kill_process(struct cluster *cluster, const char *name);

/* Sends a signal to a process if it runs. */
void cluster_signal_process(
    struct cluster *cluster, const char *name, int number);

/*
 * Waits until a process ends by itself. Returns its exit code, 0 when it
 * wasn't running, 128 after a signal, or -1 on timeout.
 */
int cluster_wait_process(
    struct cluster *cluster, const char *name, uint32_t timeout_ms);

/* Sets a control of a fake, such as "down"; returns its old value. */
int64_t cluster_set_control(struct cluster *cluster, const char *name,
    const char *control, int64_t value);

/* Returns the value of a fake's control or counter, or -1 without answer. */
int64_t cluster_get_control(
    struct cluster *cluster, const char *name, const char *control);

/* Publishes the VM list; processes with an empty state are left out. */
void cluster_publish_vms(struct cluster *cluster);

/* Publishes a weight version of a model; returns whether it was stored. */
bool cluster_publish_weights(
    struct cluster *cluster, const char *model, uint64_t version);

/* Applies lists with kwbctl and returns its exit code. */
int cluster_apply_lists(struct cluster *cluster, const char *lists);

/*
 * Runs kwbctl with the arguments (ended by NULL), appending its output to a
 * file. Returns its exit code, or -1 when it was killed by a signal.
 */
int cluster_run_kwbctl(
    struct cluster *cluster, const char *const *arguments, const char *output);

/*
 * Waits until the agents hold the whole allowance of each plan, in equal
 * parts, in the view of every running entry. Returns false on timeout.
 */
bool cluster_wait_settled(struct cluster *cluster, uint32_t timeout_ms);

/* Prints the base URL of an entry, a fake or the platform. */
void cluster_print_url(struct cluster *cluster, const char *name, char *url,
    size_t capacity_bytes);

/* Prints the URL of an entry's or agent's metrics. */
void cluster_print_metrics_url(struct cluster *cluster, const char *name,
    char *url, size_t capacity_bytes);

/*
 * Sends an HTTP request with at most one header line. The body of the response
 * is appended to the answer, and the value of X-Kwb-Outcome is copied to the
 * outcome of 16 bytes ("" without); header, body, answer and outcome may be
 * NULL. Returns the status, or 0 without a complete response in time.
 */
int cluster_http_request(const char *method, const char *url,
    const char *header, const char *body, struct kwb_buf *answer, char *outcome,
    uint32_t timeout_ms);

#endif
