/*
 * Unit tests of keys and workspaces: the table of keys, who is admitted on
 * which evidence, and what of a request reaches an upstream.
 */
#include <event2/buffer.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <CUnit/CUnit.h>

#include "../../platform/platform.h"
#include "../../src/batch/batch.h"
#include "kwb_node.h"

#define COUNT(table) (sizeof(table) / sizeof((table)[0]))
#define MS KWB_MS_NS
#define REVOKE_MS 5000

unsigned access_tests_add(CU_pSuite suite);

/* ---- Table of keys ------------------------------------------------------- */

static void
test_keys(void)
{
	struct kwb_access_keys keys;
	char key[32];
	bool holds_text = false;
	unsigned i;

	kwb_access_keys_init(&keys);
	CU_ASSERT_EQUAL(kwb_access_keys_find(&keys, "k1"), -1);
	for (i = 0; i < 5000; i++) {
		snprintf(key, sizeof(key), "plain-key-%u", i);
		CU_ASSERT_EQUAL(kwb_access_keys_add(&keys, key, i / 50), 0);
	}
	for (i = 0; i < 5000; i++) {
		snprintf(key, sizeof(key), "plain-key-%u", i);
		CU_ASSERT_EQUAL(kwb_access_keys_find(&keys, key), i / 50);
	}
	CU_ASSERT_EQUAL(kwb_access_keys_find(&keys, ""), -1);
	CU_ASSERT_EQUAL(kwb_access_keys_find(&keys, "plain-key-"), -1);
	CU_ASSERT_EQUAL(kwb_access_keys_find(&keys, "Plain-Key-1"), -1);
	CU_ASSERT_EQUAL(kwb_access_keys_find(&keys, "plain-key-1 "), -1);
	/* Of two workspaces neither has it; the same one may name it twice. */
	CU_ASSERT_EQUAL(kwb_access_keys_add(&keys, "plain-key-1", 0), 0);
	CU_ASSERT_EQUAL(kwb_access_keys_find(&keys, "plain-key-1"), 0);
	CU_ASSERT_EQUAL(
	    kwb_access_keys_add(&keys, "plain-key-1", 9), KWB_ERR_ARGUMENT);
	CU_ASSERT_EQUAL(kwb_access_keys_find(&keys, "plain-key-1"), -1);
	CU_ASSERT_EQUAL(kwb_access_keys_find(&keys, "plain-key-2"), 0);
	for (i = 0; i < keys.capacity; i++)
		holds_text |= memmem(&keys.slots[i], sizeof(keys.slots[i]),
				  "plain", 5) != NULL;
	CU_ASSERT_FALSE(holds_text);
	kwb_access_keys_finish(&keys);
}

static void
test_config_keys(void)
{
	static const char text[] =
	    "{\"version\":7,\"route-table\":[],\"services\":[],\"tenants\":["
	    "{\"name\":\"w1\",\"api-keys\":[\"a\",\"b\",\"x\"],\"priority\":3},"
	    "{\"name\":\"w2\",\"api-keys\":[\"c\",\"x\",7,\"\"]},"
	    "{\"name\":\"w3\"}]}";
	static const struct {
		const char *key;
		const char *workspace;
	} cases[] = {{"a", "w1"}, {"b", "w1"}, {"c", "w2"}, {"x", NULL},
	    {"", NULL}, {"7", NULL}};
	struct kwb_node_config config;
	struct kwb_faults faults = {0};
	int64_t found;
	unsigned i;

	CU_ASSERT_EQUAL_FATAL(
	    platform_parse_config(&config, text, strlen(text), &faults), 0);
	CU_ASSERT_EQUAL(config.workspaces_count, 3);
	for (i = 0; i < COUNT(cases); i++) {
		found = kwb_access_keys_find(&config.keys, cases[i].key);
		CU_ASSERT_EQUAL(found < 0, cases[i].workspace == NULL);
		if (found >= 0 && cases[i].workspace != NULL)
			CU_ASSERT_STRING_EQUAL(
			    config.workspaces[found].name, cases[i].workspace);
	}
	kwb_node_config_finish(&config);
}

/* ---- Evidence ------------------------------------------------------------ */

static void
test_proof(void)
{
	static const struct {
		const char *name;
		struct kwb_proof_input input;
		uint64_t proof_ns;
	} cases[] = {
	    {"answered at once",
		{.sent_ns = 1000, .answered_ns = 1000 + 4 * MS}, 1000},
	    {"a feed at its wait's end, or in a buffer during a freeze",
		{.sent_ns = 1000, .answered_ns = 1000 + 9000 * MS}, 1000},
	    {"a page of several",
		{.sent_ns = 1000,
		    .answered_ns = 1000 + 30 * MS,
		    .is_partial = true},
		0},
	};
	unsigned i;

	for (i = 0; i < COUNT(cases); i++)
		if (kwb_access_proof_ns(&cases[i].input) != cases[i].proof_ns)
			CU_FAIL(cases[i].name);
	CU_ASSERT_EQUAL(
	    kwb_access_proof_max_age_ns(false, REVOKE_MS), UINT64_MAX);
	CU_ASSERT_EQUAL(
	    kwb_access_proof_max_age_ns(true, REVOKE_MS), 4750 * MS);
}

static void
test_verdicts(void)
{
	const uint64_t age_ns = kwb_access_proof_max_age_ns(true, REVOKE_MS);
	const uint64_t now_ns = 60000 * MS;
	const struct {
		const char *name;
		struct kwb_access_input input;
		enum kwb_access_verdict verdict;
	} cases[] = {
	    {"known, proved a moment ago",
		{.is_known = true,
		    .proof_ns = now_ns - 10 * MS,
		    .max_age_ns = age_ns},
		KWB_ACCESS_ADMIT},
	    {"known, at the bound",
		{.is_known = true,
		    .proof_ns = now_ns - age_ns,
		    .max_age_ns = age_ns},
		KWB_ACCESS_ADMIT},
	    {"known, beyond it: frozen, cut off",
		{.is_known = true,
		    .proof_ns = now_ns - age_ns - 1,
		    .max_age_ns = age_ns},
		KWB_ACCESS_UNPROVED},
	    {"likewise, while the store is asked",
		{.is_known = true,
		    .proof_ns = now_ns - age_ns - 1,
		    .max_age_ns = age_ns,
		    .wait_until_ns = now_ns + 1},
		KWB_ACCESS_ASK},
	    {"known, nothing proved since the start",
		{.is_known = true, .max_age_ns = age_ns}, KWB_ACCESS_UNPROVED},
	    {"known, no strict revocation",
		{.is_known = true, .max_age_ns = UINT64_MAX}, KWB_ACCESS_ADMIT},
	    {"unknown, asked after it came",
		{.proof_ns = now_ns - 4 * MS,
		    .max_age_ns = age_ns,
		    .arrived_ns = now_ns - 5 * MS},
		KWB_ACCESS_UNKNOWN},
	    {"unknown, asked before it came: may be new",
		{.proof_ns = now_ns - 6 * MS,
		    .max_age_ns = age_ns,
		    .arrived_ns = now_ns - 5 * MS,
		    .wait_until_ns = now_ns + 1},
		KWB_ACCESS_ASK},
	    {"unknown, the store does not answer",
		{.proof_ns = now_ns - 6 * MS,
		    .max_age_ns = age_ns,
		    .arrived_ns = now_ns - 5 * MS,
		    .wait_until_ns = now_ns},
		KWB_ACCESS_UNPROVED},
	    {"likewise without strict revocation",
		{.proof_ns = now_ns - 6 * MS,
		    .max_age_ns = UINT64_MAX,
		    .arrived_ns = now_ns - 5 * MS},
		KWB_ACCESS_UNPROVED},
	};
	struct kwb_access_input input;
	unsigned i;

	for (i = 0; i < COUNT(cases); i++) {
		input = cases[i].input;
		input.now_ns = now_ns;
		if (kwb_access_decide(&input) != cases[i].verdict)
			CU_FAIL(cases[i].name);
	}
}

/*
 * A node follows feeds while a key is taken away at removed_ns. It is frozen
 * from frozen_ns to thawed_ns: what was sent to it lies in buffers meanwhile,
 * and it reads requests before answers. Returns when it last admitted the key,
 * of requests that it read every 10 ms; *refused counts refusals before the
 * removal.
 */
static uint64_t
last_admitted(uint64_t removed_ns, uint64_t frozen_ns, uint64_t thawed_ns,
    uint64_t answer_ns, bool is_cut, unsigned *refused)
{
	const uint64_t wait_ns = REVOKE_MS / KWB_ACCESS_WAIT_DIVISOR * MS;
	struct kwb_access_input input = {.is_known = true,
	    .max_age_ns = kwb_access_proof_max_age_ns(true, REVOKE_MS)};
	struct kwb_proof_input feed = {.sent_ns = 10 * MS};
	uint64_t last_ns = 0;
	uint64_t now_ns;

	input.proof_ns = feed.sent_ns;
	for (now_ns = 20 * MS; now_ns < 30000 * MS; now_ns += 10 * MS) {
		/* The store's answer, with the removal if it came before. */
		bool is_changed =
		    input.is_known && removed_ns < feed.sent_ns + wait_ns;
		uint64_t due_ns = answer_ns +
		    (!is_changed			? feed.sent_ns + wait_ns
			    : removed_ns > feed.sent_ns ? removed_ns
							: feed.sent_ns);

		if (now_ns >= frozen_ns && now_ns < thawed_ns)
			continue;
		input.now_ns = now_ns;
		if (kwb_access_decide(&input) == KWB_ACCESS_ADMIT)
			last_ns = now_ns;
		else if (now_ns < removed_ns)
			(*refused)++;
		if (now_ns < due_ns || (is_cut && now_ns >= frozen_ns))
			continue;
		feed.answered_ns = now_ns;
		input.is_known &= !is_changed;
		input.proof_ns = kwb_access_proof_ns(&feed);
		feed.sent_ns = now_ns;
	}
	return last_ns;
}

/* Freezes and cuts around a removal never let the key in after its time. */
static void
test_revocation(void)
{
	uint64_t frozen_ns;
	uint64_t length_ns;
	unsigned refused = 0;

	for (frozen_ns = 3000 * MS; frozen_ns < 9000 * MS; frozen_ns += 70 * MS)
		for (length_ns = 0; length_ns <= 12000 * MS;
		     length_ns += 1500 * MS) {
			CU_ASSERT(last_admitted(8000 * MS, frozen_ns,
				      frozen_ns + length_ns, 4 * MS, false,
				      &refused) <= (8000 + REVOKE_MS) * MS);
			CU_ASSERT(last_admitted(8000 * MS, frozen_ns,
				      frozen_ns + length_ns, 4 * MS, true,
				      &refused) <= (8000 + REVOKE_MS) * MS);
		}
	/* A node in touch refuses nothing, also beside a slow store. */
	refused = 0;
	last_admitted(25000 * MS, 0, 0, 4 * MS, false, &refused);
	last_admitted(25000 * MS, 0, 0, 900 * MS, false, &refused);
	CU_ASSERT_EQUAL(refused, 0);
}

/* ---- Workspaces ---------------------------------------------------------- */

static void
test_rank(void)
{
	struct kwb_route_entry route = {.priority = 4};
	struct kwb_workspace first = {.has_priority = true};
	struct kwb_workspace plain = {.priority = 7};

	CU_ASSERT_EQUAL(kwb_access_rank(NULL, &route), 4);
	CU_ASSERT_EQUAL(kwb_access_rank(&first, &route), 0);
	CU_ASSERT_EQUAL(kwb_access_rank(&plain, &route), 4);
}

static void
test_batch_record(void)
{
	struct kwb_batch_record record = {.id = "b",
	    .total = 3,
	    .host = "h",
	    .target = "/t",
	    .workspace = "w1",
	    .model = "m"};
	struct kwb_batch_record read;
	struct kwb_row row = {.key = (char *)"b"};
	char name[OBJECT_NAME_BYTES];
	char other[OBJECT_NAME_BYTES];
	char workspace[4001];
	struct kwb_buf value;

	kwb_buf_init(&value);
	CU_ASSERT_EQUAL(kwb_batch_record_serialize(&record, &value), 0);
	row.value = value.data;
	row.value_bytes = value.used_bytes;
	CU_ASSERT_EQUAL(kwb_batch_record_parse(&read, &row), 0);
	CU_ASSERT_STRING_EQUAL(read.workspace, "w1");
	kwb_batch_record_finish(&read);
	/* Written before there were workspaces. */
	row.value = (char *)"{\"owner\":\"n1\",\"host\":\"h\",\"total\":3}";
	row.value_bytes = strlen(row.value);
	CU_ASSERT_EQUAL(kwb_batch_record_parse(&read, &row), 0);
	CU_ASSERT_STRING_EQUAL(read.workspace, "");
	CU_ASSERT_EQUAL(read.total, 3);
	kwb_batch_record_finish(&read);
	kwb_buf_finish(&value);
	batch_object_name(name, sizeof(name), "", "b");
	CU_ASSERT_STRING_EQUAL(name, "batch-b"); /* of any version */
	batch_object_name(name, sizeof(name), "w1", "b");
	batch_object_name(other, sizeof(other), "w2", "b");
	CU_ASSERT_STRING_NOT_EQUAL(name, other);
	/* Guards against objects of two batches or workspaces with one name. */
	memset(workspace, 'w', sizeof(workspace));
	workspace[sizeof(workspace) - 1] = '\0';
	batch_object_name(name, sizeof(name), workspace, "b");
	batch_object_name(other, sizeof(other), workspace, "c");
	CU_ASSERT_STRING_NOT_EQUAL(name, other);
	workspace[sizeof(workspace) - 2] = 'x';
	batch_object_name(other, sizeof(other), workspace, "b");
	CU_ASSERT_STRING_NOT_EQUAL(name, other);
	CU_ASSERT(strlen(name) <= 200);
	CU_ASSERT_TRUE(kwb_access_is_owner("w1", "w1"));
	CU_ASSERT_FALSE(kwb_access_is_owner("w1", "w2"));
	CU_ASSERT_TRUE(kwb_access_is_owner("", "w2"));
	CU_ASSERT_TRUE(kwb_access_is_owner("w1", ""));
}

/* ---- Headers ------------------------------------------------------------- */

static const char *
key_of(const char *first, const char *second)
{
	static struct kwb_message message;
	struct kwb_request_head head;

	kwb_message_finish(&message);
	kwb_message_init(&message);
	kwb_buf_add(&message.text, "/p/x", 5);
	if (first != NULL)
		kwb_message_add_header(&message, "api-KEY", first);
	if (second != NULL)
		kwb_message_add_header(&message, "Api-Key", second);
	platform_message_codec.parse_request(&message, &head);
	return head.key;
}

static void
test_key_headers(void)
{
	static const char *const headers[][2] = {{"Api-Key", "secret-1"},
	    {"API-KEY", "secret-2"}, {"api-key", "secret-3"},
	    {"Tenant", "forged"}, {"tENANT", "forged"},
	    {"Connection", "Api-Key, X-Own"}, {"X-Own", "hop"},
	    {"X-Kept", "kept"}};
	struct kwb_message message;
	struct kwb_upstream_request request = {.method = "POST",
	    .target = "/p/x",
	    .host = "h",
	    .id = "i1",
	    .workspace = "w1",
	    .headers = &message,
	    .body = "",
	    .expect_upstream_id = "u1",
	    .priority = -1};
	struct evbuffer *out = evbuffer_new();
	unsigned i;
	char *text;

	CU_ASSERT_STRING_EQUAL(key_of(NULL, NULL), "");
	CU_ASSERT_STRING_EQUAL(key_of("a", NULL), "a");
	CU_ASSERT_STRING_EQUAL(key_of("a", "b"), "");
	CU_ASSERT_STRING_EQUAL(key_of("a", "a"), "");
	key_of(NULL, NULL);
	kwb_message_init(&message);
	for (i = 0; i < COUNT(headers); i++)
		kwb_message_add_header(&message, headers[i][0], headers[i][1]);
	platform_message_codec.write_request(&request, out);
	evbuffer_add(out, "", 1);
	text = (char *)evbuffer_pullup(out, -1);
	CU_ASSERT_PTR_NULL(strcasestr(text, "api-key"));
	CU_ASSERT_PTR_NULL(strstr(text, "secret"));
	CU_ASSERT_PTR_NULL(strstr(text, "forged"));
	CU_ASSERT_PTR_NULL(strstr(text, "hop"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "\r\nTenant: w1\r\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "\r\nX-Kept: kept\r\n"));
	evbuffer_drain(out, evbuffer_get_length(out));
	request.workspace = NULL; /* a public route, or a reward */
	platform_message_codec.write_request(&request, out);
	evbuffer_add(out, "", 1);
	text = (char *)evbuffer_pullup(out, -1);
	CU_ASSERT_PTR_NULL(strcasestr(text, "tenant"));
	evbuffer_free(out);
	kwb_message_finish(&message);
}

unsigned
access_tests_add(CU_pSuite suite)
{
	static const struct {
		const char *name;
		void (*run)(void);
	} tests[] = {{"keys", test_keys}, {"config_keys", test_config_keys},
	    {"proof", test_proof}, {"verdicts", test_verdicts},
	    {"revocation", test_revocation}, {"rank", test_rank},
	    {"batch_workspace", test_batch_record},
	    {"key_headers", test_key_headers}};
	unsigned i;

	for (i = 0; i < COUNT(tests); i++)
		if (CU_add_test(suite, tests[i].name, tests[i].run) == NULL)
			abort();
	return COUNT(tests);
}
