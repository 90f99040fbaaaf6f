/*
 * Client of the platform: transactional table (compare-and-set on a row's
 * revision), object store, weight store and VM list. When the answer to a write
 * is lost, the row is read back to learn whether the write took effect.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "kwb.h"

#define PATH_MAX_BYTES 512
#define LISTS_KEY "lists" /* row of plans and allowances */

static int platform_request(const struct kwb_platform *platform,
    const char *method, const char *path, const char *expected_revision,
    const void *body, size_t body_bytes, struct kwb_http_answer *answer);
static int platform_get_if_changed(const struct kwb_platform *platform,
    const char *path, uint64_t known_revision, struct kwb_http_answer *answer);
static int error_of_status(long status);
static int table_confirm_put(const struct kwb_platform *platform,
    const char *key, const char *value, size_t length_bytes,
    uint64_t *revision);
static void vm_from_json(struct kwb_vm *vm, json_t *item);
static void text_from_json(
    char *to, size_t capacity_bytes, json_t *item, const char *key);

void
kwb_platform_init(struct kwb_platform *platform, const char *url)
{
	kwb_text_copy(platform->url, sizeof(platform->url), url);
}

int
kwb_table_get(const struct kwb_platform *platform, const char *key,
    struct kwb_buf *value, uint64_t *revision)
{
	return kwb_table_poll(platform, key, 0, value, revision);
}

int
kwb_table_poll(const struct kwb_platform *platform, const char *key,
    uint64_t known_revision, struct kwb_buf *value, uint64_t *revision)
{
	struct kwb_http_answer answer;
	char path[PATH_MAX_BYTES];
	int error;

	snprintf(path, sizeof(path), "/table/%s", key);
	error =
	    platform_get_if_changed(platform, path, known_revision, &answer);
	if (error == 0) {
		*revision = answer.revision;
		error = kwb_buf_add(
		    value, kwb_buf_text(&answer.body), answer.body.used_bytes);
	}
	kwb_http_answer_finish(&answer);
	return error;
}

int
kwb_table_put(const struct kwb_platform *platform, const char *key,
    const char *value, size_t length_bytes, uint64_t expected_revision,
    uint64_t *revision)
{
	struct kwb_http_answer answer;
	char path[PATH_MAX_BYTES], expected_text[32];
	int error;

	snprintf(path, sizeof(path), "/table/%s", key);
	snprintf(expected_text, sizeof(expected_text), "%llu",
	    (unsigned long long)expected_revision);
	error = platform_request(platform, "PUT", path,
	    expected_revision ? expected_text : "*", value, length_bytes,
	    &answer);
	*revision = answer.revision;
	/*
	 * The write may have taken effect: its answer was lost, or libcurl
	 * resent it after that and the second one was refused.
	 */
	if ((error == KWB_ERR_PLATFORM_UNREACHABLE && answer.sent) ||
	    error == KWB_ERR_PLATFORM_CONFLICT) {
		if (table_confirm_put(
			platform, key, value, length_bytes, revision) == 0)
			error = 0;
	}
	kwb_http_answer_finish(&answer);
	return error;
}

int
kwb_object_put(const struct kwb_platform *platform, const char *name,
    const char *data, size_t length_bytes)
{
	struct kwb_http_answer answer;
	char path[PATH_MAX_BYTES];
	int error;

	snprintf(path, sizeof(path), "/objects/%s", name);
	error = platform_request(
	    platform, "PUT", path, NULL, data, length_bytes, &answer);
	kwb_http_answer_finish(&answer);
	return error;
}

int
kwb_object_get(
    const struct kwb_platform *platform, const char *name, struct kwb_buf *data)
{
	struct kwb_http_answer answer;
	char path[PATH_MAX_BYTES];
	int error;

	snprintf(path, sizeof(path), "/objects/%s", name);
	error = platform_request(platform, "GET", path, NULL, NULL, 0, &answer);
	if (error == 0)
		error = kwb_buf_add(
		    data, kwb_buf_text(&answer.body), answer.body.used_bytes);
	kwb_http_answer_finish(&answer);
	return error;
}

int
kwb_weights_newest(
    const struct kwb_platform *platform, const char *model, uint64_t *version)
{
	struct kwb_http_answer answer;
	char path[PATH_MAX_BYTES];
	int error;

	snprintf(path, sizeof(path), "/weights/%s", model);
	error = platform_request(platform, "GET", path, NULL, NULL, 0, &answer);
	if (error == 0)
		*version = strtoull(kwb_buf_text(&answer.body), NULL, 10);
	kwb_http_answer_finish(&answer);
	return error;
}

int
kwb_vms_get(const struct kwb_platform *platform, struct kwb_vms *vms)
{
	struct kwb_http_answer answer;
	json_t *root = NULL, *item;
	uint64_t revision;
	size_t i;
	int error;

	error =
	    platform_get_if_changed(platform, "/vms", vms->revision, &answer);
	if (error == 0)
		root = json_loads(kwb_buf_text(&answer.body), 0, NULL);
	revision = answer.revision;
	kwb_http_answer_finish(&answer);
	if (error != 0)
		return error;
	if (!json_is_array(root)) {
		json_decref(root);
		return KWB_ERR_PLATFORM_UNREACHABLE;
	}
	vms->count = 0;
	json_array_foreach (root, i, item) {
		if (vms->count == KWB_VMS_MAX)
			break;
		vm_from_json(&vms->vms[vms->count], item);
		if (vms->vms[vms->count].address.port != 0)
			vms->count++;
	}
	vms->revision = revision;
	json_decref(root);
	return 0;
}

int
kwb_lists_read(const struct kwb_platform *platform, uint64_t known_revision,
    struct kwb_buf *text, uint64_t *revision)
{
	return kwb_table_poll(
	    platform, LISTS_KEY, known_revision, text, revision);
}

/* GET; returns 1 if the resource is still at known_revision. */
static int
platform_get_if_changed(const struct kwb_platform *platform, const char *path,
    uint64_t known_revision, struct kwb_http_answer *answer)
{
	char url[PATH_MAX_BYTES + KWB_URL_MAX_BYTES], known_text[32];
	struct kwb_http_request request = {
	    .method = "GET",
	    .url = url,
	    .known_revision = known_revision ? known_text : NULL,
	    .timeout_ms = KWB_HTTP_TIMEOUT_MS,
	};
	int error;

	snprintf(url, sizeof(url), "%s%s", platform->url, path);
	snprintf(known_text, sizeof(known_text), "%llu",
	    (unsigned long long)known_revision);
	error = kwb_http_do(&request, answer);
	if (error == 0 && answer->status == 304)
		return 1;
	return error ? error : error_of_status(answer->status);
}

static int
platform_request(const struct kwb_platform *platform, const char *method,
    const char *path, const char *expected_revision, const void *body,
    size_t body_bytes, struct kwb_http_answer *answer)
{
	char url[PATH_MAX_BYTES + KWB_URL_MAX_BYTES];
	struct kwb_http_request request = {
	    .method = method,
	    .url = url,
	    .expected_revision = expected_revision,
	    .body = body,
	    .body_bytes = body_bytes,
	    .timeout_ms = KWB_HTTP_TIMEOUT_MS,
	};
	int error;

	snprintf(url, sizeof(url), "%s%s", platform->url, path);
	error = kwb_http_do(&request, answer);
	return error ? error : error_of_status(answer->status);
}

static int
error_of_status(long status)
{
	if (status >= 200 && status < 300)
		return 0;
	if (status == 404)
		return KWB_ERR_PLATFORM_MISSING;
	if (status == 412)
		return KWB_ERR_PLATFORM_CONFLICT;
	return KWB_ERR_PLATFORM_UNREACHABLE;
}

/*
 * Reads the row back and returns 0 if it holds our value, so our write took
 * effect. Values contain their writer's name, so another writer's value is
 * never equal to ours.
 */
static int
table_confirm_put(const struct kwb_platform *platform, const char *key,
    const char *value, size_t length_bytes, uint64_t *revision)
{
	struct kwb_buf stored;
	uint64_t row_revision = 0;
	int error;

	kwb_buf_init(&stored);
	error = kwb_table_get(platform, key, &stored, &row_revision);
	if (error == 0 &&
	    (stored.used_bytes != length_bytes ||
		memcmp(kwb_buf_text(&stored), value, length_bytes) != 0))
		error = KWB_ERR_PLATFORM_CONFLICT;
	if (error == 0)
		*revision = row_revision;
	kwb_buf_finish(&stored);
	return error;
}

/* Sets port 0 if the address can't be parsed. */
static void
vm_from_json(struct kwb_vm *vm, json_t *item)
{
	char text[KWB_NAME_MAX_BYTES];

	memset(vm, 0, sizeof(*vm));
	text_from_json(vm->vm, sizeof(vm->vm), item, "vm");
	text_from_json(vm->failure_domain, sizeof(vm->failure_domain), item,
	    "failure_domain");
	text_from_json(vm->role, sizeof(vm->role), item, "role");
	text_from_json(vm->pool, sizeof(vm->pool), item, "pool");
	text_from_json(text, sizeof(text), item, "address");
	if (kwb_address_parse(&vm->address, text) != 0)
		vm->address.port = 0;
	text_from_json(text, sizeof(text), item, "state");
	vm->state = strcmp(text, "leaving") == 0 ? KWB_VM_LEAVING : KWB_VM_LIVE;
}

static void
text_from_json(char *to, size_t capacity_bytes, json_t *item, const char *key)
{
	const char *text = json_string_value(json_object_get(item, key));

	kwb_text_copy(to, capacity_bytes, text ? text : "");
}
