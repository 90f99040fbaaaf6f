/*
 * Settings of the daemons: read from YAML files, with every field checked.
 */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "yaml.h"

#define WORKERS_DEFAULT 256
#define SUBSET_DEFAULT 24 /* agents of a pool */
#define DRAIN_MS_DEFAULT 30000
#define SLOTS_DEFAULT 16
#define SLOTS_MAX 256
#define WORKERS_MAX 4096
#define OPTIONAL CYAML_FLAG_OPTIONAL

#define TEXT_FIELD(type, field)                                                \
	CYAML_FIELD_STRING(#field, OPTIONAL, type, field, 0)
#define UINT_FIELD(type, field) CYAML_FIELD_UINT(#field, OPTIONAL, type, field)

static const cyaml_schema_field_t seed_fields[] = {
    TEXT_FIELD(struct kwb_seed, vm),
    TEXT_FIELD(struct kwb_seed, address),
    TEXT_FIELD(struct kwb_seed, failure_domain),
    TEXT_FIELD(struct kwb_seed, pool),
    CYAML_FIELD_END,
};

static const cyaml_schema_value_t seed_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct kwb_seed, seed_fields),
};

static const cyaml_schema_field_t entry_fields[] = {
    TEXT_FIELD(struct kwb_entry_settings, vm),
    TEXT_FIELD(struct kwb_entry_settings, failure_domain),
    TEXT_FIELD(struct kwb_entry_settings, listen),
    TEXT_FIELD(struct kwb_entry_settings, platform),
    TEXT_FIELD(struct kwb_entry_settings, policy),
    UINT_FIELD(struct kwb_entry_settings, workers),
    UINT_FIELD(struct kwb_entry_settings, subset),
    UINT_FIELD(struct kwb_entry_settings, drain_ms),
    CYAML_FIELD_SEQUENCE("seeds", OPTIONAL | CYAML_FLAG_POINTER,
	struct kwb_entry_settings, seeds, &seed_schema, 0, KWB_SEEDS_MAX),
    CYAML_FIELD_END,
};

static const cyaml_schema_value_t entry_schema = {
    CYAML_VALUE_MAPPING(
	CYAML_FLAG_POINTER, struct kwb_entry_settings, entry_fields),
};

static const cyaml_strval_t upstream_kinds[] = {
    {"engine", KWB_UPSTREAM_ENGINE},
    {"service", KWB_UPSTREAM_SERVICE},
};

static const cyaml_schema_field_t agent_fields[] = {
    TEXT_FIELD(struct kwb_agent_settings, vm),
    TEXT_FIELD(struct kwb_agent_settings, failure_domain),
    TEXT_FIELD(struct kwb_agent_settings, listen),
    TEXT_FIELD(struct kwb_agent_settings, platform),
    TEXT_FIELD(struct kwb_agent_settings, pool),
    TEXT_FIELD(struct kwb_agent_settings, upstream),
    TEXT_FIELD(struct kwb_agent_settings, metrics),
    CYAML_FIELD_ENUM("upstream_kind", OPTIONAL, struct kwb_agent_settings,
	upstream_kind, upstream_kinds, 2),
    CYAML_FIELD_BOOL("upstream_fences", OPTIONAL, struct kwb_agent_settings,
	upstream_fences),
    UINT_FIELD(struct kwb_agent_settings, slots),
    UINT_FIELD(struct kwb_agent_settings, interactive_reserve),
    UINT_FIELD(struct kwb_agent_settings, drain_ms),
    CYAML_FIELD_END,
};

static const cyaml_schema_value_t agent_schema = {
    CYAML_VALUE_MAPPING(
	CYAML_FLAG_POINTER, struct kwb_agent_settings, agent_fields),
};

static void settings_load(const cyaml_schema_value_t *schema, const char *path,
    struct kwb_faults *faults, void **settings);
static void settings_free(const cyaml_schema_value_t *schema, void *settings);
/* Each check adds a fault if the value of the field is not valid. */
static void check_present(struct kwb_faults *faults, const char *path,
    const char *field, const char *value);
static void check_address(struct kwb_faults *faults, const char *path,
    const char *field, const char *value);
static void check_url(struct kwb_faults *faults, const char *path,
    const char *field, const char *value);
static void check_range(struct kwb_faults *faults, const char *path,
    const char *field, uint32_t value, uint32_t min, uint32_t max);
static void set_default(uint32_t *value, uint32_t default_value);

int
kwb_entry_settings_load(struct kwb_entry_settings **settings, const char *path,
    struct kwb_faults *faults)
{
	struct kwb_entry_settings *entry;
	enum kwb_policy policy;
	uint32_t i;

	settings_load(&entry_schema, path, faults, (void **)settings);
	if (*settings == NULL)
		return KWB_ERR_SETTINGS;
	entry = *settings;
	set_default(&entry->workers, WORKERS_DEFAULT);
	set_default(&entry->subset, SUBSET_DEFAULT);
	set_default(&entry->drain_ms, DRAIN_MS_DEFAULT);
	check_present(faults, path, "vm", entry->vm);
	check_present(faults, path, "failure_domain", entry->failure_domain);
	check_address(faults, path, "listen", entry->listen);
	check_url(faults, path, "platform", entry->platform);
	check_range(faults, path, "workers", entry->workers, 8, WORKERS_MAX);
	check_range(faults, path, "subset", entry->subset, 1, KWB_PEERS_MAX);
	check_range(faults, path, "drain_ms", entry->drain_ms, 1000, 600000);
	if (entry->policy[0] != '\0' &&
	    kwb_policy_parse(&policy, entry->policy) != 0)
		kwb_faults_add(faults,
		    "%s: policy: '%s' is not a routing policy", path,
		    entry->policy);
	for (i = 0; i < entry->seeds_count; i++)
		check_address(
		    faults, path, "seeds.address", entry->seeds[i].address);
	if (faults->count == 0)
		return 0;
	kwb_entry_settings_unload(entry);
	*settings = NULL;
	return KWB_ERR_SETTINGS;
}

void
kwb_entry_settings_unload(struct kwb_entry_settings *settings)
{
	settings_free(&entry_schema, settings);
}

int
kwb_agent_settings_load(struct kwb_agent_settings **settings, const char *path,
    struct kwb_faults *faults)
{
	struct kwb_agent_settings *agent;

	settings_load(&agent_schema, path, faults, (void **)settings);
	if (*settings == NULL)
		return KWB_ERR_SETTINGS;
	agent = *settings;
	set_default(&agent->slots, SLOTS_DEFAULT);
	set_default(&agent->drain_ms, DRAIN_MS_DEFAULT);
	check_present(faults, path, "vm", agent->vm);
	check_present(faults, path, "failure_domain", agent->failure_domain);
	check_present(faults, path, "pool", agent->pool);
	check_address(faults, path, "listen", agent->listen);
	check_url(faults, path, "platform", agent->platform);
	check_url(faults, path, "upstream", agent->upstream);
	if (agent->metrics[0] != '\0')
		check_address(faults, path, "metrics", agent->metrics);
	check_range(faults, path, "slots", agent->slots, 1, SLOTS_MAX);
	check_range(faults, path, "interactive_reserve",
	    agent->interactive_reserve, 0, agent->slots - 1);
	check_range(faults, path, "drain_ms", agent->drain_ms, 1000, 600000);
	if (faults->count == 0)
		return 0;
	kwb_agent_settings_unload(agent);
	*settings = NULL;
	return KWB_ERR_SETTINGS;
}

void
kwb_agent_settings_unload(struct kwb_agent_settings *settings)
{
	settings_free(&agent_schema, settings);
}

/* Sets *settings to NULL if the file can't be read or has type errors. */
static void
settings_load(const cyaml_schema_value_t *schema, const char *path,
    struct kwb_faults *faults, void **settings)
{
	struct kwb_yaml yaml;
	struct kwb_buf text;

	*settings = NULL;
	kwb_buf_init(&text);
	if (kwb_file_read(path, &text) != 0) {
		kwb_faults_add(faults, "%s: cannot be read", path);
		return;
	}
	kwb_yaml_init(&yaml, path, faults);
	kwb_yaml_load(&yaml, text.data, text.used_bytes, schema, settings);
	kwb_yaml_finish(&yaml);
	kwb_buf_finish(&text);
}

static void
settings_free(const cyaml_schema_value_t *schema, void *settings)
{
	struct kwb_faults none = {0};
	struct kwb_yaml yaml;

	if (settings == NULL)
		return;
	kwb_yaml_init(&yaml, "", &none);
	cyaml_free(&yaml.config, schema, settings, 0);
	kwb_yaml_finish(&yaml);
}

static void
check_present(struct kwb_faults *faults, const char *path, const char *field,
    const char *value)
{
	if (value[0] == '\0')
		kwb_faults_add(faults, "%s: %s: missing", path, field);
}

static void
check_address(struct kwb_faults *faults, const char *path, const char *field,
    const char *value)
{
	struct kwb_address address;

	if (kwb_address_parse(&address, value) != 0)
		kwb_faults_add(
		    faults, "%s: %s: '%s' is not IP:PORT", path, field, value);
}

static void
check_url(struct kwb_faults *faults, const char *path, const char *field,
    const char *value)
{
	if (strncmp(value, "http://", 7) != 0)
		kwb_faults_add(faults, "%s: %s: '%s' is not an http:// URL",
		    path, field, value);
}

static void
check_range(struct kwb_faults *faults, const char *path, const char *field,
    uint32_t value, uint32_t min, uint32_t max)
{
	if (value < min || value > max)
		kwb_faults_add(faults, "%s: %s: %u is not in %u..%u", path,
		    field, value, min, max);
}

/* Sets a value that is 0, which is also what a missing field has. */
static void
set_default(uint32_t *value, uint32_t default_value)
{
	if (*value == 0)
		*value = default_value;
}
