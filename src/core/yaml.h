/*
 * Shared use of libcyaml: a configuration that gathers its complaints.
 */
#ifndef KWB_CORE_YAML_H
#define KWB_CORE_YAML_H

#include <cyaml/cyaml.h>

#include "kwb.h"

struct kwb_yaml {
	const char *file;
	const char *text; /* being loaded */
	struct kwb_faults *faults;
	struct kwb_buf pending; /* lines of the fault being reported */
	cyaml_config_t config;
};

void kwb_yaml_init(
    struct kwb_yaml *yaml, const char *file, struct kwb_faults *faults);
int kwb_yaml_load(struct kwb_yaml *yaml, const char *text, size_t length_bytes,
    const cyaml_schema_value_t *schema, void **data);
void kwb_yaml_finish(struct kwb_yaml *yaml);
int kwb_file_read(const char *path, struct kwb_buf *out);

#endif
