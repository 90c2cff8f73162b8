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

// jsonFlag is the name of the flag, and fieldsAnnotation the annotation of it that has the
// field names which the command accepts.
const (
	jsonFlag         = "json"
	fieldsAnnotation = "fields"
)

// AddFlag adds --json to a command; available are the field names that it accepts.
func (j *JSONFlag) AddFlag(c *cobra.Command, available ...string) {
	j.available = available
	c.Flags().StringVar(&j.value, jsonFlag, "", "print JSON with all `FIELDS` or only those given: "+strings.Join(available, ","))
	f := c.Flags().Lookup(jsonFlag)
	f.NoOptDefVal = allFields
	f.Annotations = map[string][]string{fieldsAnnotation: available}
}

// JoinFields returns the arguments of root with --json and a list of fields that follows it
// as one argument: as the flag may stand alone, it takes a value only after "=".
func JoinFields(root *cobra.Command, args []string) []string {
	c, _, err := root.Find(args)
	if err != nil {
		return args
	}
	f := c.Flags().Lookup(jsonFlag)
	if f == nil {
		return args
	}
	available := f.Annotations[fieldsAnnotation]
	isField := func(name string) bool { return slices.Contains(available, name) }
	var joined []string
	for i := 0; i < len(args); i++ {
		// One field is enough, so that a misspelt one is reported as such.
		if args[i] == "--"+jsonFlag && i+1 < len(args) && slices.ContainsFunc(strings.Split(args[i+1], ","), isField) {
			joined = append(joined, args[i]+"="+args[i+1])
			i++
			continue
		}
		joined = append(joined, args[i])
	}
	return joined
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
