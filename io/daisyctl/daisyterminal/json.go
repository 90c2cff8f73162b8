package daisyterminal

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"daisyyoke/core/daisyerror"
)

// allFields is the value of --json without fields.
const allFields = "*"

// JSON is the --json flag of a command that shows something.
type JSON struct {
	value string
	known []string
}

// AddFlag adds --json to a command. The known fields are those of one shown item.
func (j *JSON) AddFlag(c *cobra.Command, known ...string) {
	j.known = known
	c.Flags().StringVar(&j.value, "json", "", "print JSON, with all `FIELDS` or with those named: "+strings.Join(known, ","))
	c.Flags().Lookup("json").NoOptDefVal = allFields
}

// Wanted says whether JSON was asked for.
func (j *JSON) Wanted() bool { return j.value != "" }

// Check fails with daisyerror.InvalidSetting on a field that is not known.
func (j *JSON) Check() error {
	for _, f := range j.fields() {
		if !slices.Contains(j.known, f) {
			return daisyerror.InvalidSetting.New("--json: no field %q; known are %s", f, strings.Join(j.known, ","))
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

// Print writes an item or a list of items with the wanted fields.
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
			return nil, daisyerror.Internal.Wrap(err, "picking fields")
		}
		for i := range rows {
			rows[i] = pickFields(rows[i], fields)
		}
		return rows, nil
	}
	var row map[string]json.RawMessage
	if err := json.Unmarshal(text, &row); err != nil {
		return nil, daisyerror.Internal.Wrap(err, "picking fields")
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
