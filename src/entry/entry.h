/*
 * Inside of an entry: peers (agents it is connected to), requests on them and
 * the inboxes of the threads that wait for their events.
 */
#ifndef KWB_ENTRY_ENTRY_H
#define KWB_ENTRY_ENTRY_H

#include <stdatomic.h>

#include <sys/queue.h>

#include "kwb.h"
#include "../wire/wire.h"

struct mg_connection;
struct mg_context;

/* What one plan uses at a peer. */
struct peer_plan {
	char plan[KWB_NAME_MAX_BYTES];
	uint32_t units;
	uint32_t own_in_flight;	   /* requests of this entry */
	uint32_t others_in_flight; /* of other entries, at the last report */
};

struct peer_model {
	char model[KWB_NAME_MAX_BYTES];
	uint64_t version;
	bool swapping;
};

/* One agent of the subset. The slot is free when vm is empty. */
struct peer {
	char vm[KWB_NAME_MAX_BYTES];
	char failure_domain[KWB_NAME_MAX_BYTES];
	char pool[KWB_NAME_MAX_BYTES];
	struct kwb_address address;
	bool wanted;	     /* in the subset now */
	bool listed_leaving; /* by the platform's list, or not in it */
	uint64_t link;	     /* 0 when there is none */
	bool is_connected;   /* its hello came on this link */
	uint64_t incarnation;
	uint64_t lists_revision;
	bool leaving;
	bool upstream_up;
	uint32_t slots;
	uint32_t own_in_flight;
	uint32_t others_in_flight;
	uint64_t next_reconnect_ns;
	uint64_t reconnect_delay_ns; /* doubles while tries fail */
	uint64_t tripped_until_ns;   /* deadline of being left out */
	uint64_t busy_until_ns;	     /* deadline of being taken as full */
	unsigned failures;
	unsigned models_count;
	struct peer_model models[KWB_MODELS_MAX];
	unsigned plans_count;
	struct peer_plan plans[KWB_PLANS_MAX];
};

struct peers {
	pthread_mutex_t lock;
	struct peer peers[KWB_PEERS_MAX];
};

/* Where a request goes: a peer as it was when chosen. */
struct target {
	int peer; /* -1 for none */
	char vm[KWB_NAME_MAX_BYTES];
	uint64_t link;
	uint64_t incarnation;
	uint64_t version; /* of the request's model */
	char plan[KWB_NAME_MAX_BYTES];
};

enum event_kind { EVENT_FRAME, EVENT_LINK_LOST };

struct event {
	STAILQ_ENTRY(event) next;
	enum event_kind kind;
	uint64_t request;
	void *owner;
	Kwb__Wire__Frame *frame;
};

STAILQ_HEAD(event_list, event);

/* Events for one thread that awaits them. */
struct inbox {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct event_list events;
};

struct request {
	TAILQ_ENTRY(request) next;
	uint64_t id;
	uint64_t link;
	void *owner;
	struct inbox *inbox;
};

TAILQ_HEAD(request_list, request);

struct registry_shard {
	pthread_mutex_t lock;
	struct request_list requests;
};

struct registry {
	_Atomic uint64_t next_id;
	struct registry_shard shards[KWB_SHARDS];
};

#define LEAD_DOMAINS_MAX 16

/* What this entry knows and holds of a plan. */
struct plan_state {
	char plan[KWB_NAME_MAX_BYTES];
	_Atomic uint32_t queue_length;
	struct kwb_retry_budget retry_budget;
	_Atomic uint64_t trainer_version; /* highest that a trainer gave */
	_Atomic uint64_t last_demand_ns;  /* when last asked for */
	unsigned lead_domains_count;	  /* under plan_states_lock */
	char lead_domains[LEAD_DOMAINS_MAX][KWB_NAME_MAX_BYTES];
};

struct kwb_entry {
	const struct kwb_entry_settings *settings;
	struct kwb_origin origin; /* of the keys it makes */
	enum kwb_policy policy;
	struct kwb_platform platform;
	struct kwb_loop loop;
	struct peers peers;
	struct registry registry;
	struct mg_context *http;
	pthread_mutex_t plan_states_lock;
	struct plan_state plan_states[KWB_PLANS_MAX];
	unsigned plan_states_count;
	struct kwb_vms *vms; /* written under vms_lock by one thread */
	_Atomic uint32_t vms_changes;
	_Atomic uint32_t demand_changes;
	pthread_mutex_t vms_lock;
	_Atomic uint32_t active;       /* HTTP requests being served */
	_Atomic uint32_t active_pulls; /* of them, steps being pulled */
	_Atomic bool draining;
	_Atomic bool stopping;
	_Atomic bool leading;
	_Atomic bool platform_up;
	pthread_t membership_thread;
	pthread_t leader_thread;
};

/* A generation in progress: an interactive answer or a sample. */
enum generation_state {
	GENERATION_PENDING,
	GENERATION_RUNNING,
	GENERATION_DONE
};

struct generation {
	enum generation_state state;
	char name[2 * KWB_NAME_MAX_BYTES]; /* first part of its keys */
	char key[KWB_KEY_MAX_BYTES];	   /* another for each start */
	const char *prompt;
	const char *model;
	const char *plan;
	uint32_t max_tokens;
	uint64_t seed;
	uint32_t priority;
	uint64_t min_version;
	uint64_t deadline_ns;
	uint64_t slack_deadline_ns;
	Kwb__Wire__Slot *slot; /* of a sample */
	struct inbox *inbox;
	uint64_t request;
	struct target target;
	int avoid_peer; /* peer that failed last, -1 for none */
	unsigned starts;
	uint64_t last_token_ns; /* when the last token came */
	struct kwb_tokens tokens;
	int error;
};

/* peers.c */
void peers_init(struct peers *peers);
void peers_finish(struct peers *peers);
int peers_pick(struct kwb_entry *entry, const struct kwb_route_query *route,
    const char *plan, const char *model, const char *key,
    struct target *target);
int peers_reserve(struct kwb_entry *entry, const char *vm, const char *plan,
    const char *model, struct target *target);
void peers_release(struct kwb_entry *entry, struct target *target, int error);
void peers_update(struct kwb_entry *entry, const struct kwb_vms *vms);
void peers_reconnect(struct kwb_entry *entry);
void peers_push_lists(struct kwb_entry *entry);
unsigned peers_in_pool(struct kwb_entry *entry, const char *pool,
    struct target *targets, unsigned targets_max);
uint32_t peers_idle_units(
    struct kwb_entry *entry, const char *plan, int except);
void peers_print_json(struct kwb_entry *entry, struct kwb_buf *out);
extern const struct kwb_link_ops peer_link_ops;

/* inbox.c */
void inbox_init(struct inbox *inbox);
void inbox_finish(struct inbox *inbox);
struct event *inbox_wait(struct inbox *inbox, uint64_t deadline_ns);
void inbox_event_free(struct event *event);
void registry_init(struct registry *registry);
void registry_finish(struct registry *registry);
uint64_t registry_open_request(
    struct registry *registry, struct inbox *inbox, uint64_t link, void *owner);
void registry_close_request(struct registry *registry, uint64_t id);
void registry_deliver(
    struct registry *registry, uint64_t id, Kwb__Wire__Frame *frame);
void registry_link_lost(struct registry *registry, uint64_t link);

/* generation.c */
void generation_init(struct generation *generation, struct inbox *inbox);
void generation_finish(struct kwb_entry *entry, struct generation *generation);
int generation_start(struct kwb_entry *entry, struct generation *generation);
int generation_attach(struct kwb_entry *entry, struct generation *generation,
    const char *vm, const char *key);
void generation_handle_event(struct kwb_entry *entry,
    struct generation *generation, const struct event *event);
void generation_stop(
    struct kwb_entry *entry, struct generation *generation, bool keep);

/* call.c */
struct call_answer {
	enum kwb_outcome outcome;
	int error;
	uint32_t status;
	char content_type[KWB_NAME_MAX_BYTES];
	char vm[KWB_NAME_MAX_BYTES];
	struct kwb_buf body;
};

struct call {
	const char *plan;
	const char *pool;
	const char *method;
	const char *path;
	const char *content_type;
	const void *body;
	size_t body_bytes;
	bool idempotent;
	bool is_named; /* named by the caller: one key, one agent, for good */
	struct kwb_pin pin;
	uint64_t deadline_ns;
};

void call_run(
    struct kwb_entry *entry, struct call *call, struct call_answer *answer);
int call_pin_create(struct kwb_entry *entry, const char *plan, const char *pool,
    struct kwb_pin *pin);

/* step.c */
int step_serve(struct kwb_entry *entry, struct mg_connection *connection,
    const char *plan, uint64_t step, const char *body);

/* leader.c */
void *leader_run(void *argument);

/* entry.c */
void entry_note_demand(struct kwb_entry *entry, struct plan_state *plan_state);
void entry_set_leading(struct kwb_entry *entry, const char *plan,
    const char *failure_domain, bool leads);
bool entry_is_leading(
    struct kwb_entry *entry, const char *plan, const char *failure_domain);
struct plan_state *entry_plan_state(struct kwb_entry *entry, const char *plan);
uint64_t entry_random(void);

/* http.c */
int http_start(struct kwb_entry *entry);
void http_stop(struct kwb_entry *entry);
void http_refuse(struct mg_connection *connection, int status,
    enum kwb_outcome outcome, int error, const char *request);

#endif
