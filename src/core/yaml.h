/*
 * Loading of YAML texts; what libcyaml reports is added to a list of faults.
 */
#ifndef KWB_CORE_YAML_H
#define KWB_CORE_YAML_H

#include <cyaml/cyaml.h>

#include "kwb.h"

/* Loads one text; faults are reported with the name of its file. */
struct kwb_yaml {
	const char *file; /* for messages */
	const char *text; /* being loaded */
	struct kwb_faults *faults;
	struct kwb_buf pending; /* message of the fault being gathered */
	cyaml_config_t config;	/* also for cyaml_free() and cyaml_save() */
};

/* Prepares loading; file and faults must stay valid. */
void kwb_yaml_init(
    struct kwb_yaml *yaml, const char *file, struct kwb_faults *faults);
/*
 * Parses a text by a schema into *data, which is freed by cyaml_free().
 * Returns KWB_ERR_SETTINGS if there were faults; *data is set even then if they
 * are unknown keys only, else NULL.
 */
int kwb_yaml_load(struct kwb_yaml *yaml, const char *text, size_t length_bytes,
    const cyaml_schema_value_t *schema, void **data);
/* Frees what is allocated for loading, but not the data. */
void kwb_yaml_finish(struct kwb_yaml *yaml);
/* Appends a file's content; KWB_ERR_SYSTEM if it can't be opened. */
int kwb_file_read(const char *path, struct kwb_buf *out);

#endif
