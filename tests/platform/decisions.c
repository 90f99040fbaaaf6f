/*
 * Unit tests of the node: its decision functions on tables of cases and in
 * small simulations of load, and its parsers on valid, split and mutated input.
 */
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>

#include "../../platform/platform.h"
#include "kwb_node.h"
#include "kwb_trace.h"

#define COUNT(table) (sizeof(table) / sizeof((table)[0]))
#define MUTATIONS 3000
#define MUTATION_SEED 20261204u

/* ---- Routes -------------------------------------------------------------- */

static void
test_route(void)
{
	struct kwb_route_split splits[2] = {
	    {.service = "a", .weight = 1}, {.service = "b", .weight = 3}};
	struct kwb_route_entry routes[] = {
	    {.name = "short", .host = "h.example", .prefix = "/a/"},
	    {.name = "long",
		.host = "h.example",
		.prefix = "/a/b/",
		.splits = splits,
		.splits_count = 2},
	    {.name = "other", .host = "o.example", .prefix = "/a/"}};
	struct kwb_node_config config = {
	    .routes = routes, .routes_count = COUNT(routes)};
	static const struct {
		const char *host;
		const char *target;
		const char *name;
	} cases[] = {{"h.example", "/a/x", "short"},
	    {"h.example", "/a/b/x", "long"}, {"h.example", "/a/b", "short"},
	    {"H.Example:80", "/a/b/", "long"}, {"o.example", "/a/b/x", "other"},
	    {"h.example", "/b/", NULL}, {"h.example.org", "/a/x", NULL},
	    {"", "/a/x", NULL}};
	const struct kwb_route_entry *route;
	unsigned picked_a = 0;
	unsigned i;

	for (i = 0; i < COUNT(cases); i++) {
		route = kwb_node_config_find_route(
		    &config, cases[i].host, cases[i].target);
		CU_ASSERT_EQUAL(route == NULL, cases[i].name == NULL);
		if (route != NULL && cases[i].name != NULL)
			CU_ASSERT_STRING_EQUAL(route->name, cases[i].name);
	}
	/* The weights are 1 and 3. */
	for (i = 0; i < 400; i++)
		picked_a += strcmp(kwb_route_entry_pick_service(&routes[1], i),
				"a") == 0;
	CU_ASSERT_EQUAL(picked_a, 100);
}

/* ---- Prompt prefixes ----------------------------------------------------- */

static void
test_prompt_prefixes(void)
{
	static const struct {
		const char *name;
		const char *service;
		const char *prompt;
		const char *upstream; /* NULL for none */
	} cases[] = {
	    {"same prompt", "s", "a1:300,a2:40", "u1"},
	    {"same first part, unknown second", "s", "a1:300,x:9", "u3"},
	    {"longest known prefix", "s", "a1:300,a2:40,x:9", "u1"},
	    {"first part alone, newest entry", "s", "a1:300", "u3"},
	    {"other token count", "s", "b1:299,b2:40", "u2"},
	    {"second part without the first", "s", "a2:40", NULL},
	    {"names of parts joined", "s", "a1a2:340", NULL},
	    {"another service", "t", "a1:300,a2:40", NULL},
	    {"empty prompt", "s", "", NULL},
	    {"malformed", "s", ",,::,", NULL},
	};
	static struct kwb_prefix_map parts;
	const char *found;
	unsigned i;

	memset(&parts, 0, sizeof(parts));
	kwb_prefix_map_set(&parts, "s", "a1:300,a2:40", "u1");
	kwb_prefix_map_set(&parts, "s", "b1:300,b2:40", "u2");
	kwb_prefix_map_set(&parts, "s", "a1:300,a3:40", "u3");
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		found = kwb_prefix_map_find(
		    &parts, cases[i].service, cases[i].prompt);
		if ((found == NULL) != (cases[i].upstream == NULL) ||
		    (found != NULL && strcmp(found, cases[i].upstream) != 0))
			CU_FAIL(cases[i].name);
	}
}

/* ---- Peers: the path to the store ---------------------------------------- */

static void
test_store_path(void)
{
	const uint64_t silent_ns = KWB_PATH_SILENT_NS;
	const struct {
		const char *name;
		struct kwb_path_input input;
		enum kwb_path path;
	} cases[] = {
	    {"direct path answers", {.direct_silence_ns = silent_ns - 1},
		KWB_PATH_DIRECT},
	    {"direct path silent, no probe sent",
		{.direct_silence_ns = silent_ns}, KWB_PATH_PROBE},
	    {"probe just sent",
		{.direct_silence_ns = silent_ns,
		    .probe_unanswered_ns = KWB_PATH_UNANSWERED_NS - 1},
		KWB_PATH_PROBE},
	    {"silent",
		{.direct_silence_ns = silent_ns,
		    .probe_unanswered_ns = KWB_PATH_UNANSWERED_NS},
		KWB_PATH_SEARCH},
	    {"relay answers",
		{.direct_silence_ns = silent_ns,
		    .relay_silence_ns = silent_ns - 1,
		    .is_relayed = true},
		KWB_PATH_RELAY},
	    {"relay answered, but is not in use",
		{.direct_silence_ns = silent_ns,
		    .probe_unanswered_ns = KWB_PATH_UNANSWERED_NS,
		    .relay_silence_ns = 0},
		KWB_PATH_SEARCH},
	    {"relay silent, too",
		{.direct_silence_ns = silent_ns,
		    .probe_unanswered_ns = KWB_PATH_UNANSWERED_NS,
		    .relay_silence_ns = silent_ns,
		    .is_relayed = true},
		KWB_PATH_SEARCH},
	    {"direct path answers again",
		{.direct_silence_ns = 0, .is_relayed = true}, KWB_PATH_DIRECT},
	};
	unsigned i;

	for (i = 0; i < COUNT(cases); i++)
		if (kwb_path_choose(&cases[i].input) != cases[i].path)
			CU_FAIL(cases[i].name);
}

static void
test_relay_can_accept(void)
{
	const uint64_t fresh_ns = KWB_RELAY_FRESH_NS;
	const struct {
		const char *name;
		struct kwb_relay_input input;
		bool can_accept;
	} cases[] = {
	    {"direct path answers this node",
		{.direct_silence_ns = fresh_ns - 1, .pairs_max = 1}, true},
	    {"direct path silent for this node",
		{.direct_silence_ns = fresh_ns, .pairs_max = 1}, false},
	    {"own calls are relayed",
		{.direct_silence_ns = 0, .is_relayed = true, .pairs_max = 1},
		false},
	    {"relay connections at the limit",
		{.direct_silence_ns = 0, .pairs = 1, .pairs_max = 1}, false},
	    {"stopping",
		{.direct_silence_ns = 0, .is_stopping = true, .pairs_max = 1},
		false},
	};
	unsigned i;

	for (i = 0; i < COUNT(cases); i++)
		if (kwb_relay_can_accept(&cases[i].input) !=
		    cases[i].can_accept)
			CU_FAIL(cases[i].name);
}

/*
 * A node estimates the number of nodes from the positions of its nearest peers
 * on the hash ring. The estimate may be off by a factor of 2.
 */
static void
test_node_count_estimate(void)
{
	static const uint32_t sizes[] = {3, 16, 17, 88, 410, 1000};
	static struct kwb_peers peers;
	static struct kwb_node_settings settings;
	char name[KWB_NAME_MAX_BYTES];
	uint64_t own_position;
	uint64_t distance;
	uint64_t last_distance;
	uint32_t estimate;
	unsigned i;
	unsigned peer;
	unsigned node;

	kwb_text_copy(settings.node, sizeof(settings.node), "node-0");
	own_position = kwb_peer_ring_position(settings.node);
	for (i = 0; i < COUNT(sizes); i++) {
		memset(&peers, 0, sizeof(peers));
		peers.settings = &settings;
		/* The nearest peers after this node, in ring order. */
		last_distance = 0;
		for (peer = 0;
		     peer < KWB_STORE_PEERS_MAX && peer + 1 < sizes[i];
		     peer++) {
			uint64_t nearest = UINT64_MAX;

			for (node = 1; node < sizes[i]; node++) {
				snprintf(name, sizeof(name), "node-%u", node);
				distance =
				    kwb_peer_ring_position(name) - own_position;
				if (distance > last_distance &&
				    distance < nearest) {
					nearest = distance;
					kwb_text_copy(peers.known[peer].node,
					    sizeof(peers.known[peer].node),
					    name);
				}
			}
			last_distance = nearest;
			peers.known_count++;
		}
		estimate = kwb_peers_estimate_nodes(&peers);
		CU_ASSERT(estimate * 2 >= sizes[i]);
		CU_ASSERT(estimate <= sizes[i] * 2);
	}
}

/* ---- Choice of an upstream ----------------------------------------------- */

struct upstream_case {
	const char *id;
	const char *domain;
	uint32_t in_flight;
	uint32_t failures;
	uint64_t failed_ns;
	bool has_failed_in_panic;
	uint64_t suspect_until_ns;
	bool is_probed;
	uint64_t backoff_until_ns;
	uint64_t pace_ms;
	uint64_t version;
	const char *assigned_model;
	uint64_t expected_version;
	bool draining;
};

#define NOW_NS (1000000 * KWB_MS_NS)

static void
fill_registry(struct kwb_registry *registry, const struct upstream_case *cases,
    unsigned count)
{
	struct kwb_upstream_model model = {.name = "m"};
	struct kwb_upstream_status status;
	struct kwb_upstream *upstream;
	unsigned i;

	kwb_registry_init(registry);
	for (i = 0; i < count && cases[i].id != NULL; i++) {
		model.version = cases[i].version;
		status = (struct kwb_upstream_status){.id = (char *)cases[i].id,
		    .service = "s",
		    .failure_domain =
			(char *)(cases[i].domain ? cases[i].domain : "z"),
		    .slots = 4,
		    .draining = cases[i].draining,
		    .models = {.list = &model, .count = 1}};
		upstream = kwb_registry_put(registry, &status);
		upstream->in_flight = cases[i].in_flight;
		upstream->failures = cases[i].failures;
		upstream->failed_ns = cases[i].failed_ns;
		upstream->has_failed_in_panic = cases[i].has_failed_in_panic;
		upstream->suspect_until_ns = cases[i].suspect_until_ns;
		upstream->prober = cases[i].is_probed ? upstream : NULL;
		upstream->backoff_until_ns = cases[i].backoff_until_ns;
		upstream->pace_ns = cases[i].pace_ms * KWB_MS_NS;
		upstream->pace_updated_ns = NOW_NS;
		upstream->expected_version = cases[i].expected_version;
		if (cases[i].assigned_model != NULL)
			kwb_text_replace(
			    &upstream->assigned_model, cases[i].assigned_model);
	}
}

/*
 * The median pace stays low when an upstream slows down, when another is always
 * slow, and when samples below KWB_PACE_MIN_NS arrive, as they do when a pause
 * of the network has held answers back.
 */
static void
test_median_pace(void)
{
	struct upstream_case cases[3] = {{.id = "a"}, {.id = "b"}, {.id = "c"}};
	struct kwb_registry registry;
	uint64_t median_ns;
	unsigned i;

	fill_registry(&registry, cases, 3);
	CU_ASSERT(
	    kwb_registry_median_pace(&registry, "s", kwb_clock_now_ns()) == 0);
	for (i = 0; i < 60; i++)
		kwb_upstream_record_pace(registry.upstreams[0], 40 * KWB_MS_NS);
	for (i = 0; i < 60; i++)
		kwb_upstream_record_pace(
		    registry.upstreams[0], 130 * KWB_MS_NS);
	median_ns =
	    kwb_registry_median_pace(&registry, "s", kwb_clock_now_ns());
	CU_ASSERT(median_ns >= 40 * KWB_MS_NS && median_ns < 48 * KWB_MS_NS);
	CU_ASSERT(registry.upstreams[0]->pace_ns > 120 * KWB_MS_NS);
	for (i = 0; i < 60; i++) {
		kwb_upstream_record_pace(registry.upstreams[1], 40 * KWB_MS_NS);
		kwb_upstream_record_pace(
		    registry.upstreams[1], KWB_PACE_MIN_NS / 10);
		kwb_upstream_record_pace(
		    registry.upstreams[2], 130 * KWB_MS_NS);
	}
	median_ns =
	    kwb_registry_median_pace(&registry, "s", kwb_clock_now_ns());
	CU_ASSERT(median_ns >= 40 * KWB_MS_NS && median_ns < 48 * KWB_MS_NS);
	CU_ASSERT(
	    kwb_registry_median_pace(&registry, "t", kwb_clock_now_ns()) == 0);
	kwb_registry_finish(&registry);
}

static void
test_pick(void)
{
	static const struct {
		const char *name;
		struct kwb_pick_criteria pick;
		struct upstream_case upstreams[3];
		const char *chosen;
	} cases[] = {
	    {"empty registry", {.service = "s"}, {{NULL}}, NULL},
	    {"other service", {.service = "t"}, {{.id = "a"}}, NULL},
	    {"draining", {.service = "s"}, {{.id = "a", .draining = true}},
		NULL},
	    {"least load", {.service = "s"},
		{{.id = "a", .in_flight = 2}, {.id = "b", .in_flight = 1}},
		"b"},
	    {"same failure domain preferred",
		{.service = "s", .failure_domain = "z2"},
		{{.id = "a", .domain = "z1"}, {.id = "b", .domain = "z2"}},
		"b"},
	    {"load outweighs the domain",
		{.service = "s", .failure_domain = "z2"},
		{{.id = "a", .domain = "z1"},
		    {.id = "b", .domain = "z2", .in_flight = 3}},
		"a"},
	    {"a third slower is within variation", {.service = "s"},
		{{.id = "a", .pace_ms = 30, .in_flight = 1},
		    {.id = "b", .pace_ms = 40}},
		"b"},
	    {"four times slower is avoided", {.service = "s"},
		{{.id = "a", .pace_ms = 30, .in_flight = 1},
		    {.id = "b", .pace_ms = 120}},
		"a"},
	    {"suspected upstream is avoided", {.service = "s"},
		{{.id = "a", .failures = 2, .suspect_until_ns = NOW_NS + 1},
		    {.id = "b", .in_flight = 4}},
		"b"},
	    {"only upstream is suspected", {.service = "s"},
		{{.id = "a", .failures = 2, .suspect_until_ns = NOW_NS + 1}},
		"a"},
	    {"probed when the suspicion expires", {.service = "s"},
		{{.id = "a", .failures = 2, .suspect_until_ns = NOW_NS},
		    {.id = "b", .in_flight = 4}},
		"a"},
	    {"refused lately, backoff", {.service = "s"},
		{{.id = "a", .backoff_until_ns = NOW_NS + 1}}, NULL},
	    {"no slot free", {.service = "s", .needs_free_slot = true},
		{{.id = "a", .in_flight = 4}}, NULL},
	    {"upstream with the cached prefix",
		{.service = "s", .affinity_id = "b"},
		{{.id = "a"}, {.id = "b"}}, "b"},
	    {"cached prefix, but much more load",
		{.service = "s", .affinity_id = "b"},
		{{.id = "a"}, {.id = "b", .in_flight = 3}}, "a"},
	    {"cached prefix, but suspected",
		{.service = "s", .affinity_id = "b"},
		{{.id = "a"},
		    {.id = "b", .failures = 2, .suspect_until_ns = NOW_NS + 1}},
		"a"},
	    {"weights too old",
		{.service = "s", .model = "m", .min_version = 3},
		{{.id = "a", .version = 2}, {.id = "b", .version = 3}}, "b"},
	    {"assigned replica first",
		{.service = "s", .model = "m", .min_version = 1},
		{{.id = "a", .version = 2},
		    {.id = "b",
			.version = 1,
			.assigned_model = "m",
			.in_flight = 2}},
		"b"},
	    {"assigned replicas are full",
		{.service = "s",
		    .model = "m",
		    .min_version = 1,
		    .needs_free_slot = true},
		{{.id = "a", .version = 2},
		    {.id = "b",
			.version = 1,
			.assigned_model = "m",
			.in_flight = 4}},
		"a"},
	    {"no item probes while a replica is healthy",
		{.service = "s",
		    .model = "m",
		    .min_version = 1,
		    .needs_free_slot = true},
		{{.id = "a",
		     .version = 1,
		     .assigned_model = "m",
		     .failures = 2,
		     .suspect_until_ns = NOW_NS},
		    {.id = "b",
			.version = 1,
			.assigned_model = "m",
			.in_flight = 3}},
		"b"},
	    {"an item probes if healthy replicas are full",
		{.service = "s",
		    .model = "m",
		    .min_version = 1,
		    .needs_free_slot = true},
		{{.id = "a",
		     .version = 1,
		     .assigned_model = "m",
		     .failures = 2,
		     .suspect_until_ns = NOW_NS},
		    {.id = "b",
			.version = 1,
			.assigned_model = "m",
			.in_flight = 4}},
		"a"},
	    {"an item doesn't wait beside upstreams that had one incident",
		{.service = "s",
		    .needs_free_slot = true,
		    .may_probe_early = true},
		{{.id = "a",
		     .failures = 2,
		     .failed_ns = NOW_NS,
		     .suspect_until_ns = NOW_NS + 1},
		    {.id = "b", .in_flight = 4}},
		"a"},
	    {"a sound upstream goes before an early probe",
		{.service = "s",
		    .needs_free_slot = true,
		    .may_probe_early = true},
		{{.id = "a",
		     .failures = 2,
		     .failed_ns = NOW_NS,
		     .suspect_until_ns = NOW_NS + 1},
		    {.id = "b", .in_flight = 3}},
		"b"},
	    {"one early probe at a time",
		{.service = "s",
		    .needs_free_slot = true,
		    .may_probe_early = true},
		{{.id = "a",
		    .failures = 2,
		    .failed_ns = NOW_NS,
		    .suspect_until_ns = NOW_NS + 1,
		    .is_probed = true}},
		NULL},
	    {"a running item doesn't move to a suspect upstream",
		{.service = "s", .needs_free_slot = true},
		{{.id = "a",
		    .failures = 2,
		    .failed_ns = NOW_NS,
		    .suspect_until_ns = NOW_NS + 1}},
		NULL},
	    {"no early probe after a failed one, while others are sound",
		{.service = "s",
		    .needs_free_slot = true,
		    .may_probe_early = true},
		{{.id = "a",
		     .failures = 3,
		     .failed_ns = NOW_NS - KWB_PANIC_PROBE_NS,
		     .suspect_until_ns = NOW_NS + 1},
		    {.id = "b", .in_flight = 4}},
		NULL},
	    {"it failed as the others did, half of which are back",
		{.service = "s",
		    .needs_free_slot = true,
		    .may_probe_early = true},
		{{.id = "a",
		     .failures = 9,
		     .failed_ns = NOW_NS - KWB_SUSPECT_NS,
		     .has_failed_in_panic = true,
		     .suspect_until_ns = NOW_NS + 1},
		    {.id = "b", .in_flight = 4}},
		"a"},
	    {"panic: most are suspect",
		{.service = "s",
		    .needs_free_slot = true,
		    .may_probe_early = true},
		{{.id = "a",
		     .failures = 5,
		     .failed_ns = NOW_NS - KWB_PANIC_PROBE_NS,
		     .suspect_until_ns = NOW_NS + 1},
		    {.id = "b",
			.failures = 5,
			.failed_ns = NOW_NS,
			.suspect_until_ns = NOW_NS + 1},
		    {.id = "c", .in_flight = 4}},
		"a"},
	    {"panic: not probed again at once",
		{.service = "s",
		    .needs_free_slot = true,
		    .may_probe_early = true},
		{{.id = "a",
		    .failures = 5,
		    .failed_ns = NOW_NS - KWB_PANIC_PROBE_NS + 1,
		    .suspect_until_ns = NOW_NS + 1}},
		NULL},
	    {"first request for an ordered version",
		{.service = "s", .model = "m", .min_version = 3},
		{{.id = "a",
		    .version = 2,
		    .assigned_model = "m",
		    .expected_version = 3}},
		"a"},
	    {"second request for an ordered version",
		{.service = "s", .model = "m", .min_version = 3},
		{{.id = "a",
		    .version = 2,
		    .assigned_model = "m",
		    .expected_version = 3,
		    .in_flight = 1}},
		NULL},
	};
	struct kwb_registry registry;
	struct kwb_upstream *chosen;
	struct kwb_pick_criteria pick;
	unsigned i;

	for (i = 0; i < COUNT(cases); i++) {
		fill_registry(&registry, cases[i].upstreams, 3);
		pick = cases[i].pick;
		pick.now_ns = NOW_NS;
		chosen = kwb_upstream_pick(&registry, &pick);
		if ((chosen == NULL) != (cases[i].chosen == NULL) ||
		    (chosen != NULL &&
			strcmp(chosen->status.id, cases[i].chosen) != 0))
			CU_FAIL(cases[i].name);
		kwb_registry_finish(&registry);
	}
}

/* Guards against too short a suspicion of an upstream that is really dead. */
static void
test_suspect(void)
{
	struct kwb_registry registry = {0};
	struct kwb_upstream upstream = {0};
	uint64_t last_ns = 0;
	unsigned i;

	kwb_upstream_record_failure(&registry, &upstream, NOW_NS, NOW_NS);
	CU_ASSERT_EQUAL(upstream.suspect_until_ns, 0);
	for (i = 0; i < 10; i++) {
		kwb_upstream_record_failure(
		    &registry, &upstream, NOW_NS, NOW_NS);
		CU_ASSERT(upstream.suspect_until_ns >= last_ns);
		last_ns = upstream.suspect_until_ns;
	}
	CU_ASSERT_EQUAL(last_ns, NOW_NS + KWB_SUSPECT_MAX_NS);
	kwb_upstream_record_success(&upstream);
	CU_ASSERT_EQUAL(upstream.failures, 0);
}

/*
 * Guards against a suspicion that grows with the number of requests that one
 * incident ends, not with the number of failed probes.
 */
static void
test_suspect_one_incident(void)
{
	struct kwb_registry registry = {0};
	struct kwb_upstream upstream = {0};
	uint64_t sent_ns = NOW_NS - KWB_MS_NS;
	uint64_t probed_ns = NOW_NS + KWB_SUSPECT_NS;
	unsigned i;

	for (i = 0; i < 8; i++)
		kwb_upstream_record_failure(
		    &registry, &upstream, sent_ns, NOW_NS + i);
	CU_ASSERT_EQUAL(upstream.failures, KWB_SUSPECT_FAILURES);
	CU_ASSERT_EQUAL(upstream.suspect_until_ns, NOW_NS + 1 + KWB_SUSPECT_NS);
	/* A probe that fails is a new failure, one of before still is not. */
	kwb_upstream_record_failure(
	    &registry, &upstream, probed_ns, probed_ns + KWB_MS_NS);
	CU_ASSERT_EQUAL(upstream.suspect_until_ns,
	    probed_ns + KWB_MS_NS + 2 * KWB_SUSPECT_NS);
	kwb_upstream_record_failure(
	    &registry, &upstream, sent_ns, probed_ns + 2 * KWB_MS_NS);
	CU_ASSERT_EQUAL(upstream.suspect_until_ns,
	    probed_ns + KWB_MS_NS + 2 * KWB_SUSPECT_NS);
}

/* ---- Replica assignment and weight loads --------------------------------- */

/* Number of upstreams that are assigned to the model; "" for none. */
static unsigned
count_replicas(const struct kwb_replica_assignment *upstreams, unsigned count,
    const char *model)
{
	unsigned found = 0;
	unsigned i;

	for (i = 0; i < count; i++)
		found += strcmp(upstreams[i].model, model) == 0;
	return found;
}

static void
test_replica_assignment(void)
{
	struct kwb_replica_assignment upstreams[9];
	struct kwb_replica_assignment previous[9];
	struct kwb_model_demand models[] = {
	    {"a", 100, 0}, {"b", 200, 0}, {"c", 0, 0}};
	static const char *const ids[] = {
	    "1", "2", "3", "4", "5", "6", "7", "8", "9"};
	unsigned moved_count = 0;
	unsigned i;

	memset(upstreams, 0, sizeof(upstreams));
	for (i = 0; i < 9; i++)
		upstreams[i].id = ids[i];
	kwb_replicas_assign(upstreams, 9, models, 3);
	CU_ASSERT_EQUAL(count_replicas(upstreams, 9, "a"), 2);
	CU_ASSERT_EQUAL(count_replicas(upstreams, 9, "b"), 4);
	CU_ASSERT_EQUAL(count_replicas(upstreams, 9, "c"), 3);
	/* The same input again moves nothing. */
	memcpy(previous, upstreams, sizeof(previous));
	kwb_replicas_assign(upstreams, 9, models, 3);
	CU_ASSERT_EQUAL(memcmp(previous, upstreams, sizeof(previous)), 0);
	/* One upstream less: at most one other changes its model. */
	kwb_replicas_assign(upstreams, 8, models, 3);
	for (i = 0; i < 8; i++)
		moved_count +=
		    strcmp(previous[i].model, upstreams[i].model) != 0;
	CU_ASSERT(moved_count <= 1);
	/* Fewer upstreams than models: each still has a model. */
	memset(upstreams, 0, sizeof(upstreams));
	kwb_replicas_assign(upstreams, 2, models, 3);
	CU_ASSERT(upstreams[0].model[0] != '\0');
	CU_ASSERT(upstreams[1].model[0] != '\0');
	/* replicas_max limits each model; the other upstreams get none. */
	memset(upstreams, 0, sizeof(upstreams));
	models[0].replicas_max = models[1].replicas_max =
	    models[2].replicas_max = 2;
	kwb_replicas_assign(upstreams, 9, models, 3);
	CU_ASSERT_EQUAL(count_replicas(upstreams, 9, "a"), 2);
	CU_ASSERT_EQUAL(count_replicas(upstreams, 9, "b"), 2);
	CU_ASSERT_EQUAL(count_replicas(upstreams, 9, ""), 3);
	models[1].replicas_max = 1;
	kwb_replicas_assign(upstreams, 9, models, 3);
	CU_ASSERT_EQUAL(count_replicas(upstreams, 9, "b"), 1);
	CU_ASSERT_EQUAL(count_replicas(upstreams, 9, ""), 4);
	models[0].replicas_max = models[1].replicas_max =
	    models[2].replicas_max = 0;
	/* A model that no longer exists is replaced. */
	upstreams[0].model = "gone";
	kwb_replicas_assign(upstreams, 1, models, 3);
	CU_ASSERT_STRING_NOT_EQUAL(upstreams[0].model, "gone");
}

static void
test_weight_load_urgency(void)
{
	static const struct {
		const char *name;
		struct kwb_weight_load_input input;
		enum kwb_weight_load_urgency urgency;
	} cases[] = {
	    {"newest",
		{.version = 5,
		    .newest = 5,
		    .lag = 1,
		    .replicas = 4,
		    .serving = 4,
		    .loading_max = 2},
		KWB_WEIGHT_LOAD_NONE},
	    {"one behind, no replica is newest",
		{.version = 4,
		    .newest = 5,
		    .lag = 1,
		    .replicas = 4,
		    .serving = 4,
		    .loading_max = 2},
		KWB_WEIGHT_LOAD_AHEAD},
	    {"one behind, most replicas are newest",
		{.version = 4,
		    .newest = 5,
		    .lag = 1,
		    .replicas = 4,
		    .replicas_newest = 3,
		    .serving = 4,
		    .loading_max = 2},
		KWB_WEIGHT_LOAD_NONE},
	    {"only serving replica",
		{.version = 4,
		    .newest = 5,
		    .lag = 1,
		    .replicas = 4,
		    .serving = 1,
		    .loading_max = 2},
		KWB_WEIGHT_LOAD_NONE},
	    {"too far behind to serve",
		{.version = 3,
		    .newest = 5,
		    .lag = 1,
		    .replicas = 4,
		    .replicas_newest = 4,
		    .loading_max = 2},
		KWB_WEIGHT_LOAD_NOW},
	    {"only replica, too old for an open batch",
		{.version = 4,
		    .newest = 5,
		    .lag = 1,
		    .needed = 5,
		    .replicas = 1,
		    .loading_max = 2},
		KWB_WEIGHT_LOAD_NOW},
	    {"another replica can serve the open batch",
		{.version = 4,
		    .newest = 5,
		    .lag = 1,
		    .needed = 5,
		    .replicas = 2,
		    .replicas_newest = 1,
		    .replicas_needed = 1,
		    .serving = 2,
		    .loading_max = 2},
		KWB_WEIGHT_LOAD_NONE},
	    {"limit of concurrent loads",
		{.version = 3,
		    .newest = 5,
		    .lag = 1,
		    .replicas = 4,
		    .loading = 2,
		    .loading_max = 2},
		KWB_WEIGHT_LOAD_NONE},
	    {"no lag allowed",
		{.version = 4,
		    .newest = 5,
		    .replicas = 4,
		    .replicas_newest = 3,
		    .loading_max = 2},
		KWB_WEIGHT_LOAD_NOW},
	};
	unsigned i;

	for (i = 0; i < COUNT(cases); i++)
		if (kwb_weight_load_urgency(&cases[i].input) !=
		    cases[i].urgency)
			CU_FAIL(cases[i].name);
}

#define LOAD_SIM_MODELS 3
#define LOAD_SIM_REPLICAS 14	    /* of each model */
#define LOAD_SIM_VERSION_TICKS 80   /* ticks of 50 ms between two versions */
#define LOAD_SIM_LOAD_TICKS 18	    /* duration of a weight load */
#define LOAD_SIM_LOADS_MAX 8	    /* concurrent loads of all models */
#define LOAD_SIM_PLACEMENT_TICKS 24 /* in which a batch starts its items */

struct load_sim {
	uint64_t version[LOAD_SIM_MODELS * LOAD_SIM_REPLICAS];
	/* End of the newest weight load; past or 0 if none runs. */
	unsigned load_end_tick[LOAD_SIM_MODELS * LOAD_SIM_REPLICAS];
	unsigned loading; /* loads under way, of all models */
	/* Replicas that serve, summed over placement_ticks samples. */
	unsigned ready_sum;
	unsigned placement_ticks;
};

/* Starts the weight loads of one model that are due in this tick. */
static void
load_sim_step(struct load_sim *sim, unsigned model, unsigned tick,
    enum kwb_weight_load_urgency urgency)
{
	unsigned shifted =
	    tick + model * LOAD_SIM_VERSION_TICKS / LOAD_SIM_MODELS;
	struct kwb_weight_load_input input = {
	    .newest = 1 + shifted / LOAD_SIM_VERSION_TICKS,
	    .lag = 1,
	    .replicas = LOAD_SIM_REPLICAS,
	    .loading_max = LOAD_SIM_LOADS_MAX};
	unsigned begin = model * LOAD_SIM_REPLICAS;
	unsigned i;

	for (i = begin; i < begin + LOAD_SIM_REPLICAS; i++) {
		bool loading = sim->load_end_tick[i] > tick;

		input.replicas_loading += loading;
		input.replicas_newest += sim->version[i] >= input.newest;
		input.serving +=
		    !loading && sim->version[i] + 1 >= input.newest;
	}
	if (urgency == KWB_WEIGHT_LOAD_NOW && tick > 500 &&
	    shifted % LOAD_SIM_VERSION_TICKS < LOAD_SIM_PLACEMENT_TICKS) {
		sim->ready_sum += input.serving;
		sim->placement_ticks++;
	}
	for (i = begin; i < begin + LOAD_SIM_REPLICAS; i++) {
		input.version = sim->version[i];
		input.loading = sim->loading;
		if (sim->load_end_tick[i] > tick ||
		    kwb_weight_load_urgency(&input) != urgency)
			continue;
		sim->version[i] = input.newest;
		sim->load_end_tick[i] = tick + LOAD_SIM_LOAD_TICKS;
		sim->loading++;
		input.replicas_loading++;
		input.replicas_newest++;
	}
}

/*
 * Simulates three trainers that publish a version every 4 s, with 14 replicas
 * each. Returns the mean share of a model's replicas that can serve while a
 * batch starts its items. The baseline loads weights only when it must
 * (KWB_WEIGHT_LOAD_NOW), without early loads.
 */
static double
simulate_loads(bool is_baseline)
{
	struct load_sim sim;
	unsigned model;
	unsigned tick;
	unsigned i;

	memset(&sim, 0, sizeof(sim));
	for (i = 0; i < LOAD_SIM_MODELS * LOAD_SIM_REPLICAS; i++)
		sim.version[i] = 1;
	for (tick = 0; tick < 1600; tick++) {
		sim.loading = 0;
		for (i = 0; i < LOAD_SIM_MODELS * LOAD_SIM_REPLICAS; i++)
			sim.loading += sim.load_end_tick[i] > tick;
		for (model = 0; model < LOAD_SIM_MODELS; model++)
			load_sim_step(&sim, model, tick, KWB_WEIGHT_LOAD_NOW);
		for (model = 0; model < LOAD_SIM_MODELS && !is_baseline;
		     model++)
			load_sim_step(&sim, model, tick, KWB_WEIGHT_LOAD_AHEAD);
	}
	return (double)sim.ready_sum / sim.placement_ticks / LOAD_SIM_REPLICAS;
}

static void
test_early_loads_keep_replicas_ready(void)
{
	double ready_share = simulate_loads(false);
	double baseline_share = simulate_loads(true);

	CU_ASSERT(ready_share >= 0.72);
	CU_ASSERT(ready_share >= baseline_share * 1.25);
	if (getenv("KWB_PLAY") != NULL)
		printf("loads: replicas ready %.3f, baseline %.3f\n",
		    ready_share, baseline_share);
}

/* ---- Items: order, moves, stalls and ownership --------------------------- */

static void
test_item_rank(void)
{
	static const struct {
		const char *name;
		struct kwb_item_rank first;
		struct kwb_item_rank second;
	} cases[] = {
	    {"group that the trainer waits for", {.wanted = true},
		{.length_hint = 900}},
	    {"already started", {.wanted = true, .events_count = 1},
		{.wanted = true, .length_hint = 900}},
	    {"longer expected output", {.wanted = true, .length_hint = 900},
		{.wanted = true, .length_hint = 800}},
	    {"earlier group", {.wanted = true, .group_index = 1},
		{.wanted = true, .group_index = 2}},
	};
	unsigned i;

	for (i = 0; i < COUNT(cases); i++)
		if (kwb_item_rank_compare(&cases[i].first, &cases[i].second) >=
			0 ||
		    kwb_item_rank_compare(&cases[i].second, &cases[i].first) <=
			0)
			CU_FAIL(cases[i].name);
}

static void
test_item_priority(void)
{
	const struct kwb_item_rank started = {
	    .wanted = true, .events_count = 1};
	const struct kwb_item_rank not_started = {.wanted = true};
	const struct kwb_item_rank not_wanted = {.events_count = 1};

	CU_ASSERT(KWB_PRIORITY_CALLER < kwb_item_priority(&started));
	CU_ASSERT(
	    kwb_item_priority(&started) < kwb_item_priority(&not_started));
	CU_ASSERT(
	    kwb_item_priority(&not_started) < kwb_item_priority(&not_wanted));
	CU_ASSERT(kwb_item_priority(&not_wanted) <= 9);
}

static int
compare_ranks(const void *a, const void *b)
{
	return kwb_item_rank_compare(a, b);
}

/* Time until the last of 160 items has run on 48 slots. */
static double
simulate_batch(unsigned *seed, bool is_ranked)
{
	struct kwb_item_rank items[160];
	double free_at[48] = {0};
	double makespan = 0;
	unsigned i;
	unsigned slot;

	for (i = 0; i < 160; i++) {
		/* One item in twelve is five times longer. */
		unsigned length_factor = rand_r(seed) % 12 == 0 ? 5 : 1;

		items[i] = (struct kwb_item_rank){.wanted = true,
		    .group_index = i,
		    .length_hint = length_factor * (5 + rand_r(seed) % 30)};
	}
	if (is_ranked)
		qsort(items, 160, sizeof(items[0]), compare_ranks);
	for (i = 0; i < 160; i++) {
		unsigned earliest = 0;

		for (slot = 1; slot < 48; slot++)
			if (free_at[slot] < free_at[earliest])
				earliest = slot;
		free_at[earliest] += (double)items[i].length_hint;
		if (free_at[earliest] > makespan)
			makespan = free_at[earliest];
	}
	return makespan;
}

static void
test_item_order_makespan(void)
{
	unsigned seed = 7;
	double ranked_sum = 0;
	double unranked_sum = 0;
	unsigned i;

	for (i = 0; i < 50; i++) {
		unsigned batch_seed = seed + i; /* the same batch twice */

		ranked_sum += simulate_batch(&batch_seed, true);
		batch_seed = seed + i;
		unranked_sum += simulate_batch(&batch_seed, false);
	}
	CU_ASSERT(ranked_sum <= 0.85 * unranked_sum);
}

static void
test_item_move(void)
{
	static const struct {
		struct kwb_move_input input;
		bool is_worthwhile;
	} cases[] = {
	    {{.pace_ns = 100, .best_pace_ns = 0, .elapsed_ns = KWB_MOVE_MIN_NS},
		false},
	    {{.pace_ns = 100,
		 .best_pace_ns = 70,
		 .elapsed_ns = KWB_MOVE_MIN_NS},
		false},
	    {{.pace_ns = 200,
		 .best_pace_ns = 70,
		 .elapsed_ns = KWB_MOVE_MIN_NS},
		true},
	    {{.pace_ns = 200, .best_pace_ns = 70, .elapsed_ns = 1}, false},
	    {{.pace_ns = 200,
		 .best_pace_ns = 70,
		 .elapsed_ns = KWB_MOVE_MIN_NS,
		 .moves = KWB_MOVES_MAX},
		false},
	};
	unsigned i;

	for (i = 0; i < COUNT(cases); i++)
		CU_ASSERT_EQUAL(kwb_move_is_worthwhile(&cases[i].input),
		    cases[i].is_worthwhile);
}

static void
test_item_stall(void)
{
	static const struct {
		struct kwb_stall_input input;
		bool is_stalled;
	} cases[] = {
	    {{.elapsed_ns = 590 * KWB_MS_NS, .has_begun = true}, false},
	    {{.elapsed_ns = 610 * KWB_MS_NS, .has_begun = true}, true},
	    /* The upstream may still read the prompt. */
	    {{.elapsed_ns = 610 * KWB_MS_NS}, false},
	    {{.elapsed_ns = 1010 * KWB_MS_NS}, true},
	    /* A weight load takes 900 ms. */
	    {{.elapsed_ns = 1400 * KWB_MS_NS,
		 .has_begun = true,
		 .is_loading = true},
		false},
	    /* A slow upstream, five times the usual pace. */
	    {{.elapsed_ns = 900 * KWB_MS_NS,
		 .pace_ns = 240 * KWB_MS_NS,
		 .has_begun = true},
		false},
	};
	unsigned i;

	for (i = 0; i < COUNT(cases); i++)
		CU_ASSERT_EQUAL(
		    kwb_item_is_stalled(&cases[i].input), cases[i].is_stalled);
}

/*
 * Text 1 was written by a node that was wrongly declared dead; text 2, of the
 * next owner, continues it after event 20. Whichever chunks are stored, later
 * events of the two texts must not be joined.
 */
static void
test_text_chunks(void)
{
	static const struct {
		struct kwb_text_chunk previous;
		struct kwb_text_chunk chunk;
		bool follows;
	} cases[] = {
	    {{0}, {.text_id = 1, .first_event = 1, .last_event = 20}, true},
	    {{.text_id = 1, .first_event = 1, .last_event = 20},
		{.text_id = 1, .first_event = 21, .last_event = 40}, true},
	    {{.text_id = 1, .first_event = 1, .last_event = 20},
		{.text_id = 2,
		    .parent_text_id = 1,
		    .parent_last_event = 20,
		    .first_event = 21,
		    .last_event = 35},
		true},
	    {{.text_id = 2,
		 .parent_text_id = 1,
		 .parent_last_event = 20,
		 .first_event = 21,
		 .last_event = 35},
		{.text_id = 2,
		    .parent_text_id = 1,
		    .parent_last_event = 20,
		    .first_event = 36,
		    .last_event = 50},
		true},
	    /* The former owner resumes and writes more. */
	    {{.text_id = 2,
		 .parent_text_id = 1,
		 .parent_last_event = 20,
		 .first_event = 21,
		 .last_event = 40},
		{.text_id = 1, .first_event = 41, .last_event = 60}, false},
	    /* The former owner's late write replaced text 2's first chunk. */
	    {{.text_id = 1, .first_event = 21, .last_event = 35},
		{.text_id = 2,
		    .parent_text_id = 1,
		    .parent_last_event = 20,
		    .first_event = 36,
		    .last_event = 50},
		false},
	    /* A chunk was lost. */
	    {{.text_id = 1, .first_event = 1, .last_event = 20},
		{.text_id = 1, .first_event = 31, .last_event = 40}, false},
	    {{0}, {.text_id = 1, .first_event = 21, .last_event = 40}, false},
	    /* Events overlap: written again under another key. */
	    {{.text_id = 1, .first_event = 1, .last_event = 20},
		{.text_id = 1, .first_event = 16, .last_event = 30}, false},
	    /* Text 2 resumes text 1, whose chunks were lost. */
	    {{0},
		{.text_id = 2,
		    .parent_text_id = 1,
		    .parent_last_event = 20,
		    .first_event = 21,
		    .last_event = 30},
		false},
	};
	unsigned i;

	for (i = 0; i < COUNT(cases); i++)
		CU_ASSERT_EQUAL(
		    kwb_text_chunk_follows(&cases[i].chunk, &cases[i].previous),
		    cases[i].follows);
}

#define AT_MS(ms) ((uint64_t)(ms)*KWB_MS_NS)

/*
 * A batch may be assigned to a node that has just died. Its silence counts from
 * its last heartbeat, so the assignment delays no claim. For a node that was
 * idle, which sends no heartbeats, the silence counts from the assignment.
 */
static void
test_owner_expiry(void)
{
	struct kwb_node_heartbeat dead = {.revision = 7,
	    .changed = true,
	    .seen_ns = AT_MS(10000),
	    .changed_ns = AT_MS(10000),
	    .reads = 2};
	struct kwb_node_heartbeat idle = dead;

	CU_ASSERT_TRUE(kwb_heartbeat_is_recent(&dead, AT_MS(10800)));
	kwb_heartbeat_note_assignment(&dead, AT_MS(10800));
	dead.reads += KWB_OWNER_EXPIRED_READS;
	CU_ASSERT_FALSE(kwb_heartbeat_is_expired(&dead, AT_MS(11500)));
	CU_ASSERT_TRUE(kwb_heartbeat_is_expired(&dead, AT_MS(11600)));
	CU_ASSERT_FALSE(kwb_heartbeat_is_recent(&idle, AT_MS(30000)));
	idle.reads = 90;
	kwb_heartbeat_note_assignment(&idle, AT_MS(30000));
	CU_ASSERT_FALSE(kwb_heartbeat_is_expired(&idle, AT_MS(30100)));
	idle.reads += KWB_OWNER_EXPIRED_READS;
	CU_ASSERT_FALSE(kwb_heartbeat_is_expired(&idle, AT_MS(31500)));
	CU_ASSERT_TRUE(kwb_heartbeat_is_expired(&idle, AT_MS(31600)));
}

#define CLAIM_NODES 40 /* in all, of which CLAIM_LARGE_NODES are large */
#define CLAIM_NODES_MAX 410
#define CLAIM_LARGE_NODES 21
#define CLAIM_TRIALS 200
#define CLAIM_VISIBLE_NS (30 * KWB_MS_NS) /* until all nodes see a claim */

/*
 * Simulates a batch that loses its owner while `large` nodes of half a core and
 * small ones of 0.09 cores, `nodes` in all, see it. On average it must be
 * claimed within 20 ms and by fewer than 12 nodes, and a small node may be the
 * first in less than a quarter of the trials.
 */
static void
simulate_claims(uint32_t large, uint32_t nodes)
{
	uint64_t random_state = 88172645463325252ull;
	uint64_t sum_ns = 0;
	unsigned claims = 0;
	unsigned small_first = 0;
	unsigned trial;
	unsigned i;

	for (trial = 0; trial < CLAIM_TRIALS; trial++) {
		uint64_t delay_ns[CLAIM_NODES_MAX];
		uint64_t first_ns = UINT64_MAX;
		bool is_first_small = false;

		for (i = 0; i < nodes; i++) {
			random_state ^= random_state << 13;
			random_state ^= random_state >> 7;
			random_state ^= random_state << 17;
			delay_ns[i] = kwb_claim_delay_ns(
			    i < large ? 500 : 90, nodes, random_state >> 16);
			if (delay_ns[i] < first_ns) {
				first_ns = delay_ns[i];
				is_first_small = i >= large;
			}
		}
		for (i = 0; i < nodes; i++)
			claims += delay_ns[i] < first_ns + CLAIM_VISIBLE_NS;
		sum_ns += first_ns;
		small_first += is_first_small;
	}
	CU_ASSERT_TRUE(claims < 12 * CLAIM_TRIALS);
	CU_ASSERT_TRUE(sum_ns < 20 * KWB_MS_NS * CLAIM_TRIALS);
	CU_ASSERT_TRUE(small_first * 4 < CLAIM_TRIALS);
}

static void
test_claim_delays(void)
{
	simulate_claims(CLAIM_LARGE_NODES, CLAIM_NODES);
	/* A fleet of ten times the size. */
	simulate_claims(CLAIM_LARGE_NODES * 11, CLAIM_NODES_MAX);
}

static void
test_owner_is_kept(void)
{
	CU_ASSERT_TRUE(kwb_owner_is_kept(500, 500));
	CU_ASSERT_TRUE(kwb_owner_is_kept(500, 90));
	CU_ASSERT_TRUE(kwb_owner_is_kept(300, 500));
	CU_ASSERT_FALSE(kwb_owner_is_kept(90, 500));
	CU_ASSERT_TRUE(kwb_owner_is_kept(90, 90));
	CU_ASSERT_TRUE(kwb_owner_is_kept(0, 90)); /* size unknown */
}

/* ---- Parsers, store calls and traces ------------------------------------- */

struct event_collector {
	unsigned count;
	uint64_t last_id;
	uint64_t version;
	char data[64];
};

static void
collector_on_event(void *context, const struct kwb_sse_event *event)
{
	struct event_collector *collector = context;

	collector->count++;
	collector->last_id = event->id;
	if (event->version != 0)
		collector->version = event->version;
	kwb_text_copy(collector->data, sizeof(collector->data),
	    kwb_buf_text(&event->data));
}

/* The events are the same however the stream is split into reads. */
static void
test_sse_events(void)
{
	static const char text[] = ": comment\nid: 1\ndata: a\ndata: b\n\n"
				   "weight-versions: 3\r\nid: 2\r\ndata: c\r\n"
				   "\r\nid: 3\ndata: cut off\n";
	struct event_collector collector;
	struct kwb_sse_parser parser;
	struct kwb_buf bytes;
	size_t step;
	size_t at;

	for (step = 1; step < sizeof(text); step++) {
		memset(&collector, 0, sizeof(collector));
		kwb_sse_parser_init(&parser, "weight-versions");
		kwb_buf_init(&bytes);
		for (at = 0; at < sizeof(text) - 1; at += step) {
			size_t left = sizeof(text) - 1 - at;

			kwb_buf_add(
			    &bytes, text + at, left < step ? left : step);
			CU_ASSERT_EQUAL(kwb_sse_parser_feed(&parser, &bytes,
					    collector_on_event, &collector),
			    0);
		}
		CU_ASSERT_EQUAL(collector.count, 2);
		CU_ASSERT_EQUAL(collector.last_id, 2);
		CU_ASSERT_EQUAL(collector.version, 3);
		CU_ASSERT_STRING_EQUAL(collector.data, "c");
		kwb_sse_parser_finish(&parser);
		kwb_buf_finish(&bytes);
	}
}

static void
test_item_queued(void)
{
	const struct {
		const char *name;
		struct kwb_stall_input input;
		bool is_queued;
	} cases[] = {
	    {"just sent", {.elapsed_ns = KWB_QUEUED_NS - 1}, false},
	    {"no event yet", {.elapsed_ns = KWB_QUEUED_NS}, true},
	    {"events received",
		{.elapsed_ns = KWB_QUEUED_NS, .has_begun = true}, false},
	    {"upstream loads weights",
		{.elapsed_ns = KWB_QUEUED_NS, .is_loading = true}, false},
	    {"upstream is slow",
		{.elapsed_ns = KWB_QUEUED_NS, .pace_ns = KWB_QUEUED_NS / 3},
		false},
	};
	unsigned i;

	for (i = 0; i < COUNT(cases); i++)
		if (kwb_item_is_queued(&cases[i].input) != cases[i].is_queued)
			CU_FAIL(cases[i].name);
}

/*
 * Which transactions may be sent to the store twice, how the answers to the
 * copies end the call, and when a copy is due.
 */
static void
test_store_resend(void)
{
	const struct {
		const char *name;
		uint64_t expected_revision;
		/* NULL for none */
		const char *expected_key, *put_key, *removed_key;
		enum kwb_resend_policy policy;
	} writes[] = {
	    {"new row", 0, "a", "a", NULL, KWB_RESEND_WRITE},
	    {"changed row", 7, "a", "a", NULL, KWB_RESEND_WRITE},
	    {"removed row", 7, "a", NULL, "a", KWB_RESEND_WRITE},
	    {"removed, expected missing", 0, "a", NULL, "a", KWB_RESEND_NEVER},
	    {"condition on another row", 7, "a", "b", "c", KWB_RESEND_NEVER},
	    {"without condition", 0, NULL, "a", NULL, KWB_RESEND_NEVER},
	};
	const struct {
		const char *name;
		enum kwb_resend_policy policy;
		uint32_t copies, open_copies;
		int error; /* of this copy */
		bool ends_call;
		int reported_error;
	} answers[] = {
	    {"one read fails", KWB_RESEND_READ, 1, 0, KWB_ERR_STORE_NO_ANSWER,
		true, KWB_ERR_STORE_NO_ANSWER},
	    {"one write conflicts", KWB_RESEND_WRITE, 1, 0,
		KWB_ERR_STORE_CONFLICT, true, KWB_ERR_STORE_CONFLICT},
	    {"done", KWB_RESEND_WRITE, 2, 1, 0, true, 0},
	    {"a copy conflicts, another is open", KWB_RESEND_WRITE, 2, 1,
		KWB_ERR_STORE_CONFLICT, true, KWB_ERR_STORE_NO_ANSWER},
	    {"a copy is refused, another is open", KWB_RESEND_WRITE, 2, 1,
		KWB_ERR_STORE_REFUSED, false, KWB_ERR_STORE_REFUSED},
	    {"the last copy is refused", KWB_RESEND_WRITE, 2, 0,
		KWB_ERR_STORE_REFUSED, true, KWB_ERR_STORE_NO_ANSWER},
	    {"a read finds no row", KWB_RESEND_READ, 2, 1,
		KWB_ERR_STORE_MISSING, true, KWB_ERR_STORE_MISSING},
	    {"a copy of a read fails", KWB_RESEND_READ, 2, 1,
		KWB_ERR_STORE_NO_ANSWER, false, KWB_ERR_STORE_NO_ANSWER},
	};
	unsigned i;

	for (i = 0; i < COUNT(writes); i++) {
		struct kwb_tx tx = {0};

		if (writes[i].expected_key != NULL)
			kwb_tx_expect(&tx, "t", "p", writes[i].expected_key,
			    writes[i].expected_revision);
		if (writes[i].put_key != NULL)
			kwb_tx_put(&tx, "t", "p", writes[i].put_key, "v", 1);
		if (writes[i].removed_key != NULL)
			kwb_tx_remove(&tx, "t", "p", writes[i].removed_key);
		if (kwb_tx_resend_policy(&tx) != writes[i].policy)
			CU_FAIL(writes[i].name);
	}
	for (i = 0; i < COUNT(answers); i++) {
		int error = answers[i].error;

		if (kwb_resend_ends_call(answers[i].policy, answers[i].copies,
			answers[i].open_copies,
			&error) != answers[i].ends_call ||
		    error != answers[i].reported_error)
			CU_FAIL(answers[i].name);
	}
	CU_ASSERT_FALSE(
	    kwb_resend_is_due(KWB_RESEND_READ, 1, KWB_READ_RESEND_NS));
	CU_ASSERT(
	    kwb_resend_is_due(KWB_RESEND_READ, 1, 1 + KWB_READ_RESEND_NS));
	CU_ASSERT_FALSE(
	    kwb_resend_is_due(KWB_RESEND_WRITE, 1, KWB_WRITE_RESEND_NS));
	CU_ASSERT(
	    kwb_resend_is_due(KWB_RESEND_WRITE, 1, 1 + KWB_WRITE_RESEND_NS));
	CU_ASSERT_FALSE(
	    kwb_resend_is_due(KWB_RESEND_NEVER, 1, 1 + KWB_WRITE_RESEND_NS));
}

static void
probe_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	(void)answer;
	call->context = NULL;
}

/*
 * A probe through a peer tests that path only, so its second copy must take the
 * same path, whichever path calls take by then.
 */
static void
test_store_resend_same_path(void)
{
	struct timeval until_resend = {
	    .tv_usec = KWB_READ_RESEND_NS / 1000 + 50000};
	struct timeval until_connected = {.tv_usec = 100000};
	struct event_base *base = event_base_new();
	struct kwb_store_call call = {.on_done = probe_on_answer};
	int listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	struct sockaddr_in listener_address = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t address_bytes = sizeof(listener_address);
	struct platform_store store;
	struct kwb_address own;
	struct kwb_address peer;
	unsigned connections = 0;
	char text[32];
	int fd;

	/* Connections wait in the listen queue and get no answer. */
	CU_ASSERT_EQUAL(
	    bind(listener, (struct sockaddr *)&listener_address, address_bytes),
	    0);
	CU_ASSERT_EQUAL(listen(listener, 8), 0);
	getsockname(
	    listener, (struct sockaddr *)&listener_address, &address_bytes);
	snprintf(text, sizeof(text), "127.0.0.1:%u",
	    ntohs(listener_address.sin_port));
	CU_ASSERT_EQUAL(kwb_address_parse(&peer, text), 0);
	CU_ASSERT_EQUAL(kwb_address_parse(&own, "127.0.0.1:9"), 0);
	CU_ASSERT_EQUAL(platform_store_init(&store, base, &own), 0);
	store.store.relay = &peer;
	CU_ASSERT_EQUAL(kwb_store_probe(&store.store, &call), 0);
	store.store.relay = NULL;
	event_base_loopexit(base, &until_resend);
	event_base_dispatch(base);
	store.store.ops->resend_overdue(&store.store);
	event_base_loopexit(base, &until_connected);
	event_base_dispatch(base);
	for (; (fd = accept(listener, NULL, NULL)) >= 0; connections++)
		close(fd);
	CU_ASSERT_EQUAL(connections, 2);
	kwb_store_cancel(&store.store, &call);
	platform_store_finish(&store);
	event_base_free(base);
	close(listener);
}

static void
exchange_on_done(struct kwb_exchange *exchange, int error)
{
	*(int *)exchange->context = error;
}

/*
 * An exchange whose deadline has passed before it starts, as in a process that
 * was paused, must report its error after kwb_exchange_start(), not within it.
 */
#define LOOP_TURNS_MAX 1000

/* Starts an exchange that fails at once; its end must come on a later turn. */
static void
check_end_comes_later(const char *to, uint64_t deadline_ns)
{
	static const struct kwb_exchange_ops ops = {
	    .on_done = exchange_on_done};
	int error = 0;
	struct kwb_exchange exchange = {
	    .ops = &ops, .context = &error, .deadline_ns = deadline_ns};
	struct event_base *base = event_base_new();
	struct evbuffer *request = evbuffer_new();
	struct kwb_address address;
	struct kwb_client client;
	unsigned turns;

	evbuffer_add(request, "x", 1);
	CU_ASSERT_EQUAL(kwb_address_parse(&address, to), 0);
	CU_ASSERT_EQUAL(kwb_client_init(&client, base), 0);
	CU_ASSERT_EQUAL(
	    kwb_exchange_start(&exchange, &client, &address, request), 0);
	CU_ASSERT_EQUAL(error, 0);
	CU_ASSERT_EQUAL(evbuffer_get_length(request), 0);
	for (turns = 0; error == 0 && turns < LOOP_TURNS_MAX; turns++)
		event_base_loop(base, EVLOOP_ONCE);
	CU_ASSERT_EQUAL(error, KWB_ERR_NET_CONNECT);
	kwb_exchange_finish(&exchange);
	evbuffer_free(request);
	kwb_client_finish(&client);
	event_base_free(base);
}

static void
test_expired_deadline_at_start(void)
{
	check_end_comes_later("127.0.0.1:9", 1);
}

/* Guards against a node that hangs in a loop of attempts that fail at once. */
static void
test_unreachable_at_start(void)
{
	check_end_comes_later("127.255.255.255:9", 0);
}

/*
 * Log lines of a batch that two nodes ran, as a log collector may deliver them:
 * out of order, with a prefix, and mixed with lines of other batches.
 */
static const char *const trace_lines[] = {
    "host-9 own: time_ms=4000 level=info process=n2 event=claimed batch=b",
    "item: time_ms=1050 level=info process=n1 event=start id=i1 batch=b "
    "group=g1 upstream=u1 events=0 reason=new",
    "item: time_ms=1050 level=info process=n1 event=start id=i2 batch=b "
    "group=g2 upstream=u2 events=0 reason=new",
    "accept: time_ms=1000 level=info process=n0 event=taken batch=b "
    "target_groups=1 reason=written",
    "item: time_ms=1500 level=info process=n1 event=start id=i9 batch=other "
    "group=g1 upstream=u1 events=0 reason=new",
    "item: time_ms=2000 level=info process=n1 event=retry id=i1 batch=b "
    "group=g1 upstream=u1 events=20 reason=silent",
    "item: time_ms=2300 level=info process=n1 event=start id=i1 batch=b "
    "group=g1 upstream=u3 events=20 reason=resume",
    "batch: time_ms=4200 level=info process=n2 event=loaded batch=b",
    "item: time_ms=4200 level=info process=n2 event=start id=i1 batch=b "
    "group=g1 upstream=u3 events=30 reason=resume",
    "store: time_ms=4300 level=warn process=n2 event=dependency_lost",
    "store: time_ms=4800 level=info process=n2 event=dependency_regained",
    "item: time_ms=5000 level=info process=n2 event=text_whole id=i1 batch=b "
    "group=g1 upstream=u3 events=60 reason=answered",
    "item: time_ms=5100 level=info process=n2 event=completed id=i1 batch=b "
    "group=g1 upstream=- events=60 reason=scored",
    "caller: time_ms=5150 level=info process=n4 event=answered batch=b",
    "item: time_ms=9000 level=info process=n2 event=completed id=i2 batch=b "
    "group=g2 upstream=- events=60 reason=scored",
    "batch: time_ms=9020 level=info process=n2 event=all_listed batch=b",
    "a line of another program",
};

static void
test_trace(void)
{
	const struct {
		enum kwb_trace_kind kind;
		uint64_t length_ms;
		const char *node, *upstream, *reason;
		uint64_t events;
	} spans[] = {
	    {KWB_TRACE_WAITING, 50, "n0", "-", "new", 0},
	    {KWB_TRACE_RUNNING, 950, "n1", "u1", "silent", 20},
	    {KWB_TRACE_WAITING, 300, "n1", "-", "resume", 0},
	    {KWB_TRACE_RUNNING, 1700, "n1", "u3", "claimed", 10},
	    {KWB_TRACE_TAKE_OVER, 200, "n2", "-", "loaded", 0},
	    {KWB_TRACE_RUNNING, 800, "n2", "u3", "text_whole", 30},
	    {KWB_TRACE_REWARD, 100, "n2", "-", "scored", 0},
	    {KWB_TRACE_LISTING, 50, "n2", "-", "answered", 0},
	};
	struct kwb_trace trace;
	unsigned i;

	CU_ASSERT_EQUAL(kwb_trace_init(&trace, "b", NULL), 0);
	for (i = 0; i < COUNT(trace_lines); i++)
		CU_ASSERT_EQUAL(kwb_trace_add(&trace, trace_lines[i]), 0);
	CU_ASSERT_EQUAL(kwb_trace_explain(&trace), 0);
	CU_ASSERT_STRING_EQUAL(trace.item, "i1");
	CU_ASSERT_EQUAL(trace.store_away_ms, 500);
	CU_ASSERT_EQUAL_FATAL(trace.spans_count, COUNT(spans));
	for (i = 0; i < COUNT(spans); i++) {
		const struct kwb_trace_span *span = &trace.spans[i];

		CU_ASSERT_EQUAL(span->kind, spans[i].kind);
		CU_ASSERT_EQUAL(
		    span->end_ms - span->begin_ms, spans[i].length_ms);
		CU_ASSERT_STRING_EQUAL(span->node, spans[i].node);
		CU_ASSERT_STRING_EQUAL(span->upstream, spans[i].upstream);
		CU_ASSERT_STRING_EQUAL(span->reason, spans[i].reason);
		CU_ASSERT_EQUAL(span->events, spans[i].events);
	}
	kwb_trace_finish(&trace);

	/* Incomplete logs are an error; nothing is guessed. */
	CU_ASSERT_EQUAL(kwb_trace_init(&trace, "b", NULL), 0);
	CU_ASSERT_EQUAL(kwb_trace_add(&trace, trace_lines[1]), 0);
	CU_ASSERT_EQUAL(kwb_trace_explain(&trace), KWB_ERR_STORE_MISSING);
	kwb_trace_finish(&trace);
}

/*
 * Simulation in virtual time of score requests and callers that share a
 * service: four upstreams of six slots, bursts of 100 score requests of 200 ms
 * each, and calls of 25 ms. It counts late calls and finds when the last score
 * is ready.
 */
#define SCORE_SIM_UPSTREAMS 4
#define SCORE_SIM_SLOTS 6
#define SCORE_SIM_BURST 100	       /* score requests at once */
#define SCORE_SIM_BURST_PERIOD_MS 4000 /* between bursts */
#define SCORE_SIM_CALL_PERIOD_MS 15    /* between calls */
#define SCORE_SIM_DURATION_MS 12000
#define SCORE_SIM_LATE_MS 150 /* a call that takes longer is late */

struct score_sim_request {
	uint32_t arrived_ms;
	uint32_t remaining_ms; /* of its run time */
	bool is_call;	       /* else a score request */
	bool is_placed;	       /* sent to its upstream */
	uint32_t upstream;     /* its index */
};

struct score_sim_result {
	uint32_t calls;
	uint32_t calls_late;
	uint32_t last_score_ms; /* longest time from burst to score */
};

/* Runs placed requests for 1 ms, in the order in which they arrived. */
static void
score_sim_run_ms(struct kwb_registry *registry,
    struct score_sim_request *requests, unsigned count, uint32_t now_ms,
    struct score_sim_result *result)
{
	uint32_t running[SCORE_SIM_UPSTREAMS] = {0};
	uint32_t elapsed_ms;
	unsigned i;

	for (i = 0; i < count; i++) {
		if (!requests[i].is_placed || requests[i].remaining_ms == 0 ||
		    running[requests[i].upstream]++ >= SCORE_SIM_SLOTS)
			continue;
		if (--requests[i].remaining_ms > 0)
			continue;
		registry->upstreams[requests[i].upstream]->in_flight--;
		elapsed_ms = now_ms + 1 - requests[i].arrived_ms;
		if (requests[i].is_call)
			result->calls_late += elapsed_ms > SCORE_SIM_LATE_MS;
		else if (elapsed_ms > result->last_score_ms)
			result->last_score_ms = elapsed_ms;
	}
}

/* Sends one request to an upstream, or leaves it for the next millisecond. */
static void
score_sim_place(struct kwb_registry *registry,
    struct score_sim_request *request, uint32_t now_ms, bool keeps_spare_slots)
{
	struct kwb_pick_criteria pick = {
	    .service = "s", .now_ns = NOW_NS, .random = now_ms};
	struct kwb_pick_criteria spare_pick = pick;
	struct kwb_score_input input = {
	    .waited_ns = (now_ms - request->arrived_ms) * KWB_MS_NS,
	    .left_ns = 7500 * KWB_MS_NS};
	struct kwb_upstream *upstream;
	unsigned i;

	spare_pick.needs_free_slot = true;
	spare_pick.spare_divisor = KWB_SCORE_SPARE_DIVISOR;
	input.has_spare_slot = kwb_upstream_pick(registry, &spare_pick) != NULL;
	if (!request->is_call && keeps_spare_slots &&
	    !kwb_score_can_start(&input))
		return;
	upstream = kwb_upstream_pick(registry, &pick);
	upstream->in_flight++;
	request->is_placed = true;
	for (i = 0; i < SCORE_SIM_UPSTREAMS; i++)
		if (registry->upstreams[i] == upstream)
			request->upstream = i;
}

static void
simulate_scores(bool keeps_spare_slots, struct score_sim_result *result)
{
	static struct score_sim_request work[2000];
	struct upstream_case cases[SCORE_SIM_UPSTREAMS] = {
	    {.id = "a"}, {.id = "b"}, {.id = "c"}, {.id = "d"}};
	struct kwb_registry registry;
	unsigned count = 0;
	uint32_t now_ms;
	unsigned i;

	memset(result, 0, sizeof(*result));
	fill_registry(&registry, cases, SCORE_SIM_UPSTREAMS);
	for (i = 0; i < SCORE_SIM_UPSTREAMS; i++)
		registry.upstreams[i]->status.slots = SCORE_SIM_SLOTS;
	for (now_ms = 0; now_ms < SCORE_SIM_DURATION_MS; now_ms++) {
		for (i = 0; now_ms % SCORE_SIM_BURST_PERIOD_MS == 0 &&
		     i < SCORE_SIM_BURST;
		     i++)
			work[count++] = (struct score_sim_request){
			    .arrived_ms = now_ms, .remaining_ms = 200};
		if (now_ms % SCORE_SIM_CALL_PERIOD_MS == 0) {
			work[count++] =
			    (struct score_sim_request){.arrived_ms = now_ms,
				.remaining_ms = 25,
				.is_call = true};
			result->calls++;
		}
		for (i = 0; i < count; i++)
			if (!work[i].is_placed)
				score_sim_place(&registry, &work[i], now_ms,
				    keeps_spare_slots);
		score_sim_run_ms(&registry, work, count, now_ms, result);
	}
	kwb_registry_finish(&registry);
}

static void
test_scores_leave_spare_slots(void)
{
	struct score_sim_result unlimited;
	struct score_sim_result limited;

	simulate_scores(false, &unlimited);
	simulate_scores(true, &limited);
	/*
	 * Without spare slots over 10 % of calls are late. With them fewer than
	 * 3 % are, and the last score comes less than 0.5 s later.
	 */
	CU_ASSERT(unlimited.calls_late * 100 > unlimited.calls * 10);
	CU_ASSERT(limited.calls_late * 100 < limited.calls * 3);
	CU_ASSERT(limited.last_score_ms < unlimited.last_score_ms + 500);
	if (getenv("KWB_PLAY") != NULL)
		printf("scores: calls late %u of %u, last score %u ms; "
		       "with spare slots %u, %u ms\n",
		    unlimited.calls_late, unlimited.calls,
		    unlimited.last_score_ms, limited.calls_late,
		    limited.last_score_ms);
}

/* A line without end is an error as soon as it exceeds the limit. */
static void
test_oversized_sse_event(void)
{
	static char text[KWB_SSE_EVENT_MAX_BYTES / 4];
	struct kwb_sse_parser parser;
	struct kwb_buf bytes;
	int code = 0;
	unsigned i;

	memset(text, 'x', sizeof(text));
	kwb_sse_parser_init(&parser, "v");
	kwb_buf_init(&bytes);
	for (i = 0; i < 5 && code == 0; i++) {
		CU_ASSERT_EQUAL(kwb_buf_add(&bytes, text, sizeof(text)), 0);
		code = kwb_sse_parser_feed(&parser, &bytes, NULL, NULL);
	}
	CU_ASSERT_EQUAL(i, 5);
	CU_ASSERT_EQUAL(code, KWB_ERR_NET_BODY_SIZE);
	kwb_sse_parser_finish(&parser);
	kwb_buf_finish(&bytes);
}

static void
test_settings(void)
{
	static const struct {
		const char *text;
		const char *fault; /* part of the message; NULL for valid */
	} cases[] = {
	    {"node-name=n\nzone=z\nlisten.front=10.0.0.1:80\n"
	     "listen.ready=10.0.0.1:81\nplatform.addr=10.0.0.2:82\n"
	     "unknown.field=5\nbounds.grace-s=8\n",
		NULL},
	    {"node-name=n\nzone=z\nlisten.front=10.0.0.1\n",
		":3: listen.front"},
	    {"node-name=n\nbounds.grace-s=soon\n", ":2: bounds.grace-s"},
	    {"zone=z\n", "node-name is missing"},
	    {"node-name\n", ":1: no '='"},
	    {"bounds.fencing-enforced=maybe\n", ":1: bounds.fencing"},
	    {"bounds.grace-s=nan\n", ":1: bounds.grace-s"},
	    {"ip=10.0.0.1\nport-range=nan,2\n", ":2: port-range"},
	    {"port-range=70000,70001\n", ":1: port-range"},
	};
	struct kwb_node_settings settings;
	struct kwb_faults faults;
	char path[] = "/tmp/kwb-settings-XXXXXX";
	int fd = mkstemp(path);
	unsigned matches;
	unsigned i;
	unsigned fault_index;

	CU_ASSERT(fd >= 0);
	for (i = 0; i < COUNT(cases); i++) {
		memset(&faults, 0, sizeof(faults));
		CU_ASSERT_EQUAL(ftruncate(fd, 0), 0);
		CU_ASSERT(
		    pwrite(fd, cases[i].text, strlen(cases[i].text), 0) > 0);
		CU_ASSERT_EQUAL(
		    platform_settings_load(&settings, path, &faults) == 0,
		    cases[i].fault == NULL);
		matches = 0;
		for (fault_index = 0; fault_index < faults.count; fault_index++)
			matches += cases[i].fault != NULL &&
			    strstr(faults.text[fault_index], cases[i].fault) !=
				NULL;
		CU_ASSERT_EQUAL(matches, cases[i].fault != NULL);
	}
	CU_ASSERT_EQUAL(settings.grace_ms, 8000);
	close(fd);
	unlink(path);
	CU_ASSERT_NOT_EQUAL(
	    platform_settings_load(&settings, path, &faults), 0);
}

static const char upstream_text[] =
    "{\"service\":\"s\",\"addr\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":8,"
    "\"state\":\"ready\",\"seq\":4,\"born\":1700000000000,"
    "\"models\":[{\"name\":\"m\",\"version\":7}]}";

static void
test_upstream_entries(void)
{
	static const char *const unreadable[] = {"", "{", "[]", "\"x\"", "{}",
	    "{\"service\":5,\"addr\":\"10.0.0.1:80\",\"zone\":\"z\","
	    "\"slots\":8,\"state\":\"ready\"}",
	    "{\"service\":\"s\",\"addr\":\"host:80\",\"zone\":\"z\","
	    "\"slots\":8,\"state\":\"ready\"}",
	    "{\"service\":\"s\",\"addr\":\"10.0.0.1:80\",\"zone\":\"z\","
	    "\"slots\":\"8\",\"state\":\"ready\"}",
	    "{\"service\":\"s\",\"addr\":\"10.0.0.1:80\",\"zone\":\"z\","
	    "\"slots\":8,\"state\":\"asleep\"}"};
	struct kwb_upstream_status status;
	unsigned i;

	CU_ASSERT_EQUAL(platform_parse_upstream(&status, "i-1", upstream_text,
			    strlen(upstream_text)),
	    0);
	CU_ASSERT_EQUAL(status.models.list[0].version, 7);
	CU_ASSERT_EQUAL(status.order_seq, 4);
	kwb_upstream_status_finish(&status);
	for (i = 0; i < COUNT(unreadable); i++)
		CU_ASSERT_NOT_EQUAL(platform_parse_upstream(&status, "i-1",
					unreadable[i], strlen(unreadable[i])),
		    0);
}

static const char config_text[] =
    "{\"version\":7,\"route-table\":[{\"name\":\"r\",\"hostname\":\"h\","
    "\"path-prefix\":\"/p/\",\"route-kind\":\"idempotent\",\"timeout-ms\":800,"
    "\"split\":[{\"service\":\"a\",\"weight\":90},{\"service\":\"b\","
    "\"weight\":10}],\"max-attempts\":2}],\"services\":[{\"name\":\"a\","
    "\"engine\":{\"slots\":8,\"models\":[{\"name\":\"m\"}]}}],\"limits\":{"
    "\"max-header-bytes\":100}}";

static const char batch_text[] =
    "{\"step\":7,\"model\":\"m\",\"min-version\":6,\"target-groups\":1,"
    "\"requests\":[{\"id\":\"i1\",\"path\":\"/p/x\",\"headers\":{\"Model\":"
    "\"m\",\"Length-Hint\":\"300\"},\"body\":\"q83v\",\"tokens\":940,"
    "\"group\":\"g\",\"scorer\":{\"id\":\"s1\",\"hostname\":\"h\",\"path\":"
    "\"/q/\",\"body\":\"3q2+7w==\"}}]}";

static const char request_text[] =
    "POST /p/x?y=1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n"
    "Deadline-Ms: 800\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\n\r\n";

static void
test_documents(void)
{
	struct kwb_node_config config;
	struct kwb_batch_spec spec;
	struct kwb_faults faults = {0};

	CU_ASSERT_EQUAL(platform_parse_config(
			    &config, config_text, strlen(config_text), &faults),
	    0);
	CU_ASSERT_EQUAL(config.routes[0].splits_count, 2);
	CU_ASSERT_EQUAL(config.services[0].models_count, 1);
	CU_ASSERT_EQUAL(config.max_header_bytes, 100);
	kwb_node_config_finish(&config);
	CU_ASSERT_EQUAL(
	    platform_parse_batch(batch_text, strlen(batch_text), &spec), 0);
	CU_ASSERT_EQUAL(spec.items[0].length_hint, 300);
	CU_ASSERT_EQUAL(spec.items[0].body_bytes, 3);
	kwb_batch_spec_finish(&spec);
}

#define LONG_TEXT_BYTES 4000
#define MANY_MODELS 40

/* A text of that length that ends in that character. */
static void
fill_long(char *text, size_t length, char last)
{
	memset(text, 'n', length);
	text[length - 1] = last;
	text[length] = '\0';
}

/*
 * Guards against a config that is refused, or a name that is cut, for the
 * length of a text.
 */
static void
test_long_config_texts(void)
{
	static const size_t lengths[] = {64, 67, 200, 253, LONG_TEXT_BYTES};
	char name[LONG_TEXT_BYTES + 1];
	struct kwb_node_config config;
	struct kwb_faults faults = {0};
	struct kwb_buf text;
	unsigned i;

	for (i = 0; i < COUNT(lengths); i++) {
		fill_long(name, lengths[i], 'a');
		kwb_buf_init(&text);
		kwb_buf_printf(&text,
		    "{\"version\":1,\"route-table\":[{\"name\":\"%s\","
		    "\"hostname\":\"%s\",\"path-prefix\":\"/%s\","
		    "\"route-kind\":\"rollout\",\"service\":\"%s\"}],"
		    "\"services\":[{\"name\":\"%s\",\"health-path\":"
		    "\"/%s\",\"engine\":{\"models\":[{\"name\":\"%s\"},"
		    "{\"name\":\"%sb\"}]}}],\"tenants\":[{\"name\":\"%s\","
		    "\"api-keys\":[\"key-%s\"]}]}",
		    name, name, name, name, name, name, name, name, name, name);
		CU_ASSERT_EQUAL_FATAL(
		    platform_parse_config(
			&config, kwb_buf_text(&text), text.used_bytes, &faults),
		    0);
		CU_ASSERT_EQUAL(faults.count, 0);
		CU_ASSERT_STRING_EQUAL(config.routes[0].name, name);
		CU_ASSERT_STRING_EQUAL(config.routes[0].host, name);
		CU_ASSERT_STRING_EQUAL(config.routes[0].prefix + 1, name);
		CU_ASSERT_STRING_EQUAL(
		    config.routes[0].splits[0].service, name);
		CU_ASSERT_STRING_EQUAL(config.services[0].name, name);
		CU_ASSERT_STRING_EQUAL(config.services[0].models[0], name);
		CU_ASSERT_STRING_NOT_EQUAL(
		    config.services[0].models[1], config.services[0].models[0]);
		CU_ASSERT_STRING_EQUAL(config.workspaces[0].name, name);
		kwb_node_config_finish(&config);
		kwb_buf_finish(&text);
	}
}

/*
 * Guards against one part of a config that can't be used, and keeps back what
 * the rest of it changes.
 */
static void
test_config_parts(void)
{
	static const char text[] =
	    "{\"version\":1,\"route-table\":[5,{\"name\":\"r1\"},"
	    "{\"name\":\"r2\",\"hostname\":\"h\",\"path-prefix\":7,"
	    "\"service\":\"s\"},"
	    "{\"name\":\"r3\",\"hostname\":\"h\",\"path-prefix\":\"/3/\","
	    "\"split\":[{\"weight\":1},{\"service\":\"s\",\"weight\":2}]},"
	    "{\"hostname\":\"h\",\"path-prefix\":\"/4/\",\"service\":\"s\"}],"
	    "\"services\":[{\"name\":\"\"},{\"name\":\"s\"}],"
	    "\"tenants\":[{\"api-keys\":[\"k0\"]},"
	    "{\"name\":\"w\",\"api-keys\":[\"k1\"]}]}";
	struct kwb_node_config config;
	struct kwb_faults faults = {0};

	CU_ASSERT_EQUAL_FATAL(
	    platform_parse_config(&config, text, strlen(text), &faults), 0);
	CU_ASSERT_EQUAL(config.left_out_count, 6);
	CU_ASSERT_EQUAL(faults.count, 6);
	CU_ASSERT_EQUAL(config.routes_count, 2);
	CU_ASSERT_STRING_EQUAL(config.routes[0].name, "r3");
	CU_ASSERT_EQUAL(config.routes[0].splits_count, 1);
	CU_ASSERT_STRING_EQUAL(config.routes[1].prefix, "/4/");
	CU_ASSERT_EQUAL(config.services_count, 1);
	CU_ASSERT_EQUAL(config.workspaces_count, 1);
	/* Keys belong to the workspace that has them. */
	CU_ASSERT_EQUAL(kwb_access_keys_find(&config.keys, "k0"), -1);
	CU_ASSERT_EQUAL(kwb_access_keys_find(&config.keys, "k1"), 0);
	kwb_node_config_finish(&config);
}

/* Guards against a server that gets no work for the length of its names. */
static void
test_long_upstream_texts(void)
{
	char id[201];
	char name[LONG_TEXT_BYTES + 1];
	struct kwb_upstream_status status;
	struct kwb_registry registry;
	struct kwb_upstream *upstream;
	struct kwb_buf text;
	unsigned i;

	fill_long(id, 200, 'i');
	fill_long(name, LONG_TEXT_BYTES, 'm');
	kwb_buf_init(&text);
	kwb_buf_printf(&text,
	    "{\"service\":\"%s\",\"addr\":\"10.0.0.1:80\",\"zone\":\"%s\","
	    "\"slots\":8,\"state\":\"ready\",\"models\":[",
	    name, name);
	for (i = 0; i < MANY_MODELS; i++)
		kwb_buf_printf(&text, "%s{\"name\":\"%s%u\",\"version\":%u}",
		    i > 0 ? "," : "", name, i, i + 1);
	kwb_buf_printf(&text, "]}");
	CU_ASSERT_EQUAL_FATAL(platform_parse_upstream(&status, id,
				  kwb_buf_text(&text), text.used_bytes),
	    0);
	kwb_buf_finish(&text);
	kwb_registry_init(&registry);
	/* The second heartbeat is like the first. */
	for (i = 0; i < 2; i++) {
		upstream = kwb_registry_put(&registry, &status);
		CU_ASSERT_PTR_NOT_NULL_FATAL(upstream);
	}
	CU_ASSERT_EQUAL(registry.count, 1);
	kwb_upstream_status_finish(&status);
	CU_ASSERT_PTR_EQUAL(kwb_registry_find(&registry, id), upstream);
	CU_ASSERT_STRING_EQUAL(upstream->status.service, name);
	CU_ASSERT_STRING_EQUAL(upstream->status.failure_domain, name);
	kwb_buf_init(&text);
	kwb_buf_printf(&text, "%s%u", name, MANY_MODELS - 1);
	CU_ASSERT_EQUAL(
	    kwb_upstream_version(upstream, kwb_buf_text(&text)), MANY_MODELS);
	kwb_buf_finish(&text);
	kwb_registry_finish(&registry);
}

/* Guards against a replica whose row is cut at the length of its model. */
static void
test_replica_row(void)
{
	static const struct {
		const char *value;
		const char *model;
		uint64_t version;
	} cases[] = {{"m 7", "m", 7}, {"- 0", "-", 0}, {"a b 12", "a b", 12},
	    {"m", NULL, 0}, {"", NULL, 0}, {" 7", NULL, 0}, {"m x", NULL, 0},
	    {"m ", NULL, 0}};
	char name[LONG_TEXT_BYTES + 1];
	struct kwb_buf text;
	uint64_t version;
	char *model;
	unsigned i;

	for (i = 0; i < COUNT(cases); i++) {
		model = kwb_replica_row_parse(cases[i].value, &version);
		if ((model == NULL) != (cases[i].model == NULL) ||
		    (model != NULL &&
			(strcmp(model, cases[i].model) != 0 ||
			    version != cases[i].version)))
			CU_FAIL(cases[i].value);
		free(model);
	}
	fill_long(name, LONG_TEXT_BYTES, 'm');
	kwb_buf_init(&text);
	kwb_buf_printf(&text, "%s 9", name);
	model = kwb_replica_row_parse(kwb_buf_text(&text), &version);
	CU_ASSERT_PTR_NOT_NULL_FATAL(model);
	CU_ASSERT_STRING_EQUAL(model, name);
	free(model);
	kwb_buf_finish(&text);
}

/* Writes `text` with 1 to 4 random changes to `out`; returns its length. */
static size_t
mutate(char *out, size_t capacity_bytes, const char *text, unsigned *seed)
{
	size_t length = strlen(text);
	unsigned changes = 1 + rand_r(seed) % 4;

	if (length > capacity_bytes)
		length = capacity_bytes;
	memcpy(out, text, length);
	while (changes-- > 0 && length > 2) {
		size_t at = (unsigned)rand_r(seed) % length;

		switch (rand_r(seed) % 4) {
		case 0:
			out[at] = (char)rand_r(seed);
			break;
		case 1:
			length = at + 1;
			break;
		case 2:
			memmove(out + at, out + at + 1, length - at - 1);
			length--;
			break;
		default:
			out[at] = "{}[]\",:0-\n\r "[rand_r(seed) % 12];
		}
	}
	return length;
}

/* No input crashes the parsers, and what they reject leaks no memory. */
/* A late copy of an earlier answer is at the place of the one awaited. */
static void
test_answers_of_other_requests(void)
{
	static const struct {
		const char *answer_id;
		bool not_run;
		const char *request_id;
		bool is_own;
	} cases[] = {
	    {"r1", false, "r1", true}, {"r0", false, "r1", false},
	    {"r0", true, "r1", false},	/* refused, but another one */
	    {NULL, false, "r1", false}, /* to a report of the upstream */
	    {NULL, true, "r1", true},	/* refused by whoever is there now */
	    {NULL, false, "", true},
	    {"r0", false, "", false}, /* to a caller's request */
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct kwb_upstream_answer answer = {
		    .status = cases[i].not_run ? 503 : 200,
		    .id = cases[i].answer_id,
		    .not_run = cases[i].not_run};

		CU_ASSERT_EQUAL(
		    kwb_answer_is_to_request(&answer, cases[i].request_id),
		    cases[i].is_own);
	}
}

static void
test_texts_of_heads(void)
{
	CU_ASSERT_TRUE(kwb_text_is_token("X-Item_1"));
	CU_ASSERT_FALSE(kwb_text_is_token(""));
	CU_ASSERT_FALSE(kwb_text_is_token("X Item"));
	CU_ASSERT_FALSE(kwb_text_is_token("X:"));
	CU_ASSERT_TRUE(kwb_text_is_field_value("a b\tc \xc3\xa4"));
	CU_ASSERT_FALSE(kwb_text_is_field_value("a\rb"));
	CU_ASSERT_FALSE(kwb_text_is_field_value("a\nb"));
	CU_ASSERT_TRUE(kwb_text_is_target("/a?b=%20c"));
	CU_ASSERT_FALSE(kwb_text_is_target("a"));
	CU_ASSERT_FALSE(kwb_text_is_target("/a b"));
	CU_ASSERT_FALSE(kwb_text_is_target("/a\r\nb"));
}

static void
test_mutated_documents(void)
{
	struct kwb_upstream_status status;
	struct kwb_node_config config;
	struct kwb_batch_spec spec;
	struct kwb_faults faults;
	unsigned seed = MUTATION_SEED;
	char text[1024];
	size_t length;
	unsigned i;

	for (i = 0; i < MUTATIONS; i++) {
		memset(&faults, 0, sizeof(faults));
		length = mutate(text, sizeof(text), config_text, &seed);
		if (platform_parse_config(&config, text, length, &faults) == 0)
			kwb_node_config_finish(&config);
		length = mutate(text, sizeof(text), batch_text, &seed);
		if (platform_parse_batch(text, length, &spec) == 0)
			kwb_batch_spec_finish(&spec);
		length = mutate(text, sizeof(text), upstream_text, &seed);
		if (platform_parse_upstream(&status, "i", text, length) == 0)
			kwb_upstream_status_finish(&status);
	}
	CU_ASSERT_EQUAL(i, MUTATIONS); /* no input crashed */
}

/* Which heads of answers say that their server leaves. */
static void
test_leaving_sign(void)
{
	static const struct {
		const char *names[2];
		const char *values[2];
		bool is_leaving;
	} cases[] = {
	    {{"Server-Leaving"}, {"1"}, true},
	    {{"server-leaving"}, {"1"}, true},
	    {{"Server-Leaving"}, {"0"}, false},
	    {{"Server-Leaving"}, {""}, false},
	    {{"Server-Leaving"}, {"10"}, false},
	    {{"Server-Leaving"}, {"true"}, false},
	    {{"X-Server-Leaving"}, {"1"}, false},
	    {{"Server-Leaving", "Server-Leaving"}, {"0", "1"}, true},
	    {{"Server-Leaving", "Server-Leaving"}, {"1", "0"}, true},
	};
	struct kwb_upstream_answer answer;
	struct kwb_message message;
	size_t i;
	size_t k;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		kwb_message_init(&message);
		for (k = 0; k < 2 && cases[i].names[k] != NULL; k++)
			CU_ASSERT_EQUAL(
			    kwb_message_add_header(&message, cases[i].names[k],
				cases[i].values[k]),
			    0);
		platform_message_codec.parse_answer(&message, &answer);
		CU_ASSERT_EQUAL(answer.leaving, cases[i].is_leaving);
		kwb_message_finish(&message);
	}
}

/* Whose word counts: a server's own, in the life that the request was for. */
static void
test_leaving_is_own(void)
{
	static const struct {
		const char *id;
		const char *upstream_id;
		uint16_t status;
		uint64_t incarnation_ms;
		bool is_marked;
	} cases[] = {
	    {"r", NULL, 200, 7, true},
	    {"r", "u", 200, 7, true},
	    {"r", NULL, 500, 7, true},
	    {"r", NULL, 503, 7, true},
	    {"r", "other", 200, 7, false},
	    {"another", NULL, 200, 7, false},
	    {"another", "u", 200, 7, false},
	    {NULL, NULL, 200, 7, false},
	    {NULL, "u", 200, 7, true},
	    {"r", NULL, 421, 7, false},
	    {"r", "u", 421, 7, true},
	    {"r", "other", 421, 7, false},
	    {"r", NULL, 200, 6, false},
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct kwb_upstream upstream = {
		    .listed = true, .status = {.id = "u", .incarnation_ms = 7}};
		struct kwb_upstream_answer answer = {.id = cases[i].id,
		    .upstream_id = cases[i].upstream_id,
		    .status = cases[i].status,
		    .leaving = true};

		kwb_upstream_note_answer(
		    &upstream, cases[i].incarnation_ms, "r", &answer);
		CU_ASSERT_EQUAL(upstream.is_leaving, cases[i].is_marked);
		CU_ASSERT_EQUAL(kwb_upstream_takes_requests(&upstream),
		    !cases[i].is_marked);
	}
}

struct parse_result {
	unsigned messages;
	unsigned errors;
	bool is_closed;
};

static void
parser_on_message(struct kwb_conn *conn)
{
	struct parse_result *result = conn->context;
	struct kwb_request_head call;

	result->messages++;
	platform_message_codec.parse_request(&conn->message, &call);
	kwb_conn_read_next(conn);
}

static void
parser_on_close(struct kwb_conn *conn, int error)
{
	struct parse_result *result = conn->context;

	result->errors += error != KWB_ERR_NET_CLOSED;
	result->is_closed = true;
	kwb_conn_finish(conn);
}

static const struct kwb_conn_ops parser_ops = {
    .on_message = parser_on_message,
    .on_close = parser_on_close,
};

/* Feeds the bytes to a connection, `step` bytes at a time, and closes it. */
static void
parse_bytes(struct event_base *base, const char *bytes, size_t length,
    size_t step, struct parse_result *result)
{
	struct kwb_conn conn;
	unsigned rounds;
	int fds[2];
	size_t at;

	memset(result, 0, sizeof(*result));
	if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds) != 0 ||
	    kwb_conn_accept(&conn, base, fds[0], &parser_ops, result) != 0)
		abort();
	conn.head_max_bytes = 4096;
	conn.body_max_bytes = 4096;
	for (at = 0; at < length && !result->is_closed; at += step) {
		size_t left = length - at;

		if (write(fds[1], bytes + at, left < step ? left : step) < 0)
			break;
		event_base_loop(base, EVLOOP_NONBLOCK);
	}
	close(fds[1]);
	for (rounds = 0; rounds < 20 && !result->is_closed; rounds++)
		event_base_loop(base, EVLOOP_NONBLOCK);
	CU_ASSERT(result->is_closed);
}

static void
test_request_parser(void)
{
	struct event_base *base = event_base_new();
	size_t length = strlen(request_text);
	unsigned seed = MUTATION_SEED;
	struct parse_result result;
	char text[1024];
	size_t step;
	unsigned i;

	for (step = 1; step <= length; step++) {
		parse_bytes(base, request_text, length, step, &result);
		CU_ASSERT_EQUAL(result.messages, 2);
		CU_ASSERT_EQUAL(result.errors, 0);
	}
	for (i = 0; i < MUTATIONS; i++) {
		length = mutate(text, sizeof(text), request_text, &seed);
		parse_bytes(base, text, length, 1 + (size_t)rand_r(&seed) % 64,
		    &result);
		CU_ASSERT(result.messages <= 2);
	}
	event_base_free(base);
}

static void
test_index(void)
{
	static char names[3000][16];
	struct kwb_index index;
	unsigned i;

	kwb_index_init(&index);
	CU_ASSERT_PTR_NULL(kwb_index_get(&index, "x"));
	kwb_index_remove(&index, "x");
	for (i = 0; i < COUNT(names); i++) {
		snprintf(names[i], sizeof(names[i]), "i-%x", i * 7919);
		CU_ASSERT_EQUAL(kwb_index_put(&index, names[i], names[i]), 0);
	}
	for (i = 0; i < COUNT(names); i += 2)
		kwb_index_remove(&index, names[i]);
	for (i = 0; i < COUNT(names); i++)
		CU_ASSERT_PTR_EQUAL(kwb_index_get(&index, names[i]),
		    i % 2 == 0 ? NULL : (void *)names[i]);
	/* Removed keys free their space for others. */
	for (i = 0; i < 20000; i++) {
		kwb_index_put(&index, names[i % 1000 * 2], names[0]);
		kwb_index_remove(&index, names[i % 1000 * 2]);
	}
	CU_ASSERT_PTR_EQUAL(kwb_index_get(&index, names[1]), names[1]);
	kwb_index_finish(&index);
}

static void
test_base64(void)
{
	static const char *const bad[] = {"a", "a===", "====", "ab!d"};
	struct kwb_buf encoded;
	struct kwb_buf decoded;
	unsigned char bytes[64];
	size_t length;
	unsigned i;

	for (i = 0; i < sizeof(bytes); i++)
		bytes[i] = (unsigned char)(i * 37);
	for (length = 0; length <= sizeof(bytes); length++) {
		kwb_buf_init(&encoded);
		kwb_buf_init(&decoded);
		kwb_base64_encode(&encoded, bytes, length);
		CU_ASSERT_EQUAL(kwb_base64_decode(&decoded,
				    kwb_buf_text(&encoded), encoded.used_bytes),
		    0);
		CU_ASSERT_EQUAL(decoded.used_bytes, length);
		CU_ASSERT_EQUAL(
		    memcmp(kwb_buf_text(&decoded), bytes, length), 0);
		kwb_buf_finish(&encoded);
		kwb_buf_finish(&decoded);
	}
	for (i = 0; i < COUNT(bad); i++) {
		kwb_buf_init(&decoded);
		CU_ASSERT_NOT_EQUAL(
		    kwb_base64_decode(&decoded, bad[i], strlen(bad[i])), 0);
		kwb_buf_finish(&decoded);
	}
}

/* Of the other files of this program; each returns how many it has added. */
extern unsigned memory_tests_add(CU_pSuite suite);
extern unsigned access_tests_add(CU_pSuite suite);
extern unsigned duty_tests_add(CU_pSuite suite);
extern unsigned placement_tests_add(CU_pSuite suite);
extern unsigned room_tests_add(CU_pSuite suite);
extern unsigned syntax_tests_add(CU_pSuite suite);

int
main(void)
{
	static const struct {
		const char *name;
		void (*run)(void);
	} tests[] = {{"route", test_route},
	    {"prompt_prefixes", test_prompt_prefixes},
	    {"path", test_store_path},
	    {"relay_can_accept", test_relay_can_accept},
	    {"node_count_estimate", test_node_count_estimate},
	    {"median_pace", test_median_pace}, {"pick", test_pick},
	    {"suspect", test_suspect},
	    {"suspect_one_incident", test_suspect_one_incident},
	    {"long_config_texts", test_long_config_texts},
	    {"config_parts", test_config_parts},
	    {"long_upstream_texts", test_long_upstream_texts},
	    {"replica_row", test_replica_row},
	    {"homes", test_replica_assignment},
	    {"weight_load_urgency", test_weight_load_urgency},
	    {"early_loads_keep_replicas_ready",
		test_early_loads_keep_replicas_ready},
	    {"item_rank", test_item_rank}, {"priority", test_item_priority},
	    {"item_order_makespan", test_item_order_makespan},
	    {"item_move", test_item_move}, {"item_stall", test_item_stall},
	    {"text_chunks", test_text_chunks},
	    {"owner_expiry", test_owner_expiry}, {"claims", test_claim_delays},
	    {"owner_is_kept", test_owner_is_kept}, {"events", test_sse_events},
	    {"oversized_sse_event", test_oversized_sse_event},
	    {"queued", test_item_queued}, {"store_resend", test_store_resend},
	    {"store_resend_same_path", test_store_resend_same_path},
	    {"trace", test_trace},
	    {"expired_deadline_at_start", test_expired_deadline_at_start},
	    {"unreachable_at_start", test_unreachable_at_start},
	    {"leaving_sign", test_leaving_sign},
	    {"leaving_is_own", test_leaving_is_own},
	    {"scores_leave_spare_slots", test_scores_leave_spare_slots},
	    {"settings", test_settings},
	    {"upstream_entries", test_upstream_entries},
	    {"documents", test_documents},
	    {"answers_of_other_requests", test_answers_of_other_requests},
	    {"texts_of_heads", test_texts_of_heads},
	    {"mutated_documents", test_mutated_documents},
	    {"requests", test_request_parser}, {"index", test_index},
	    {"base64", test_base64}};
	CU_pSuite suite;
	unsigned count = COUNT(tests);
	unsigned failed;
	unsigned i;

	signal(SIGPIPE, SIG_IGN);
	kwb_log_init("decisions", KWB_LOG_ERROR + 1);
	if (CU_initialize_registry() != CUE_SUCCESS)
		return 1;
	suite = CU_add_suite("decisions", NULL, NULL);
	for (i = 0; i < COUNT(tests); i++)
		if (CU_add_test(suite, tests[i].name, tests[i].run) == NULL)
			return 1;
	count += memory_tests_add(suite);
	count += access_tests_add(suite);
	count += duty_tests_add(suite);
	count += placement_tests_add(suite);
	count += room_tests_add(suite);
	count += syntax_tests_add(suite);
	CU_basic_set_mode(CU_BRM_SILENT);
	CU_basic_run_tests();
	CU_basic_show_failures(CU_get_failure_list());
	failed = CU_get_number_of_tests_failed();
	printf("%u passed, %u failed\n", count - failed, failed);
	CU_cleanup_registry();
	return failed == 0 ? 0 : 1;
}
