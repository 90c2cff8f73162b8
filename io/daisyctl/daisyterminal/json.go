package daisyterminal

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"daisyyoke/core/daisyerror"
)

// allFields is the value of a --json flag that names no fields.
const allFields = "*"

// JSONFlag is the --json flag of a command.
type JSONFlag struct {
	value     string
	available []string
}

// AddFlag adds --json to a command; available are the field names that it accepts.
func (j *JSONFlag) AddFlag(c *cobra.Command, available ...string) {
	j.available = available
	c.Flags().StringVar(&j.value, "json", "", "print JSON with all `FIELDS` or only those given: "+strings.Join(available, ","))
	c.Flags().Lookup("json").NoOptDefVal = allFields
}

// Requested reports whether --json was given.
func (j *JSONFlag) Requested() bool { return j.value != "" }

// Validate fails with daisyerror.InvalidSetting if --json names an unknown field.
func (j *JSONFlag) Validate() error {
	for _, f := range j.fields() {
		if !slices.Contains(j.available, f) {
			return daisyerror.InvalidSetting.New("--json: unknown field %q; available fields: %s", f, strings.Join(j.available, ","))
		}
	}
	return nil
}

func (j *JSONFlag) fields() []string {
	if j.value == allFields || j.value == "" {
		return nil
	}
	return strings.Split(j.value, ",")
}

// Print writes an item or a list of items as JSON, reduced to the requested fields.
func (j *JSONFlag) Print(s *Streams, item any) error {
	selected, err := j.selectFields(item)
	if err != nil {
		return err
	}
	e := json.NewEncoder(s.Out)
	e.SetIndent("", "  ")
	if err := e.Encode(selected); err != nil {
		return daisyerror.Unavailable.Wrap(err, "writing JSON")
	}
	return nil
}

func (j *JSONFlag) selectFields(item any) (any, error) {
	fields := j.fields()
	if fields == nil {
		return item, nil
	}
	text, err := json.Marshal(item)
	if err != nil {
		return nil, daisyerror.Internal.Wrap(err, "writing JSON")
	}
	if text[0] == '[' {
		var rows []map[string]json.RawMessage
		if err := json.Unmarshal(text, &rows); err != nil {
			return nil, daisyerror.Internal.Wrap(err, "selecting JSON fields")
		}
		for i := range rows {
			rows[i] = selectRowFields(rows[i], fields)
		}
		return rows, nil
	}
	var row map[string]json.RawMessage
	if err := json.Unmarshal(text, &row); err != nil {
		return nil, daisyerror.Internal.Wrap(err, "selecting JSON fields")
	}
	return selectRowFields(row, fields), nil
}

func selectRowFields(row map[string]json.RawMessage, fields []string) map[string]json.RawMessage {
	selected := make(map[string]json.RawMessage, len(fields))
	for _, f := range fields {
		selected[f] = row[f]
	}
	return selected
}
