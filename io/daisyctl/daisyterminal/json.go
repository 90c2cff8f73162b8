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

// JSON is the --json flag of a command.
type JSON struct {
	value string
	known []string
}

// AddFlag adds --json to a command; known are the field names that it accepts.
func (j *JSON) AddFlag(c *cobra.Command, known ...string) {
	j.known = known
	c.Flags().StringVar(&j.value, "json", "", "print JSON with all `FIELDS` or only those given: "+strings.Join(known, ","))
	c.Flags().Lookup("json").NoOptDefVal = allFields
}

// Wanted reports whether --json was given.
func (j *JSON) Wanted() bool { return j.value != "" }

// Check fails with daisyerror.InvalidSetting if --json names an unknown field.
func (j *JSON) Check() error {
	for _, f := range j.fields() {
		if !slices.Contains(j.known, f) {
			return daisyerror.InvalidSetting.New("--json: unknown field %q; available fields: %s", f, strings.Join(j.known, ","))
		}
	}
	return nil
}

func (j *JSON) fields() []string {
	if j.value == allFields || j.value == "" {
		return nil
	}
	return strings.Split(j.value, ",")
}

// Print writes an item or a list of items as JSON, reduced to the requested fields.
func (j *JSON) Print(s *Streams, item any) error {
	picked, err := j.pick(item)
	if err != nil {
		return err
	}
	e := json.NewEncoder(s.Out)
	e.SetIndent("", "  ")
	if err := e.Encode(picked); err != nil {
		return daisyerror.Unavailable.Wrap(err, "writing JSON")
	}
	return nil
}

func (j *JSON) pick(item any) (any, error) {
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
			rows[i] = pickFields(rows[i], fields)
		}
		return rows, nil
	}
	var row map[string]json.RawMessage
	if err := json.Unmarshal(text, &row); err != nil {
		return nil, daisyerror.Internal.Wrap(err, "selecting JSON fields")
	}
	return pickFields(row, fields), nil
}

func pickFields(row map[string]json.RawMessage, fields []string) map[string]json.RawMessage {
	picked := make(map[string]json.RawMessage, len(fields))
	for _, f := range fields {
		picked[f] = row[f]
	}
	return picked
}
