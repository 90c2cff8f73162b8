package daisyconfigcmd

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/spf13/cobra"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisylint"
	"daisyyoke/io/daisyctl/daisyfactory"
	"daisyyoke/io/daisyctl/daisyterminal"
	"daisyyoke/io/daisyintent"
	"daisyyoke/io/daisyoperator"
)

// inForce is the value of --against that means the configuration in force.
const inForce = "in-force"

// CheckOptions are the options of config check.
type CheckOptions struct {
	daisyfactory.JSONOptions
	// Checker reads the platform's format; nil if there is none.
	Checker     daisyfactory.Checker
	File        string
	Against     string
	Store       string
	ServiceTime time.Duration
	Strict      bool
}

// Check is the document of the result of config check.
type Check struct {
	Findings []Finding `json:"findings"`
	Changes  []string  `json:"changes"`
	Effects  []string  `json:"effects"`
}

var checkFields = []string{"findings", "changes", "effects"}

// NewCmdCheck returns the command config check; in tests, a non-nil runF replaces checkRun.
func NewCmdCheck(f *daisyfactory.Factory, runF func(context.Context, *CheckOptions) error) *cobra.Command {
	o := &CheckOptions{JSONOptions: f.JSONOptions(), Checker: f.Checker}
	c := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a configuration before it is sent",
		Long: `Reports errors in a configuration, entries that can never match, limits that contradict
each other, and what differs from another configuration or from the one in force. Nothing
is sent. FILE is an intent in YAML or, if it begins with {, a platform's JSON document; -
is standard input. The exit code is 1 if there are errors.`,
		Example: `  $ daisyctl config check intent.yaml
  $ daisyctl config check intent.yaml --against in-force --strict
  $ daisyctl config check new.json --against old.json --json=findings
  $ daisyctl config check new.json --against in-force --store 10.200.1.7:8642`,
		Args: daisyfactory.ExactArgs("FILE"),
		RunE: func(c *cobra.Command, args []string) error {
			o.File = args[0]
			return daisyfactory.Run(o, runF, checkRun)(c, args)
		},
	}
	c.Flags().StringVar(&o.Against, "against", "", "compare with this `FILE`, or with the configuration "+inForce)
	c.Flags().StringVar(&o.Store, "store", "", "`IP:PORT` of the platform's store, to read its endpoints, evacuations and configuration in force")
	c.Flags().DurationVar(&o.ServiceTime, "service-time", 0, "the `TIME` for which a request occupies a slot; by default the latency target of its route")
	c.Flags().BoolVar(&o.Strict, "strict", false, "count warnings as errors")
	o.JSON.AddFlag(c, checkFields...)
	return c
}

func checkRun(ctx context.Context, o *CheckOptions) error {
	if err := o.JSON.Validate(); err != nil {
		return err
	}
	text, err := o.read(o.File)
	if err != nil {
		return err
	}
	result, err := o.check(ctx, text)
	if err != nil {
		return err
	}
	document := encodeCheck(result)
	if o.JSON.Requested() {
		err = o.JSON.Print(o.Streams, document)
	} else {
		o.print(document)
	}
	if err != nil {
		return err
	}
	return o.verdict(document)
}

// check decodes a configuration and checks it with what --against and --store name.
func (o *CheckOptions) check(ctx context.Context, text []byte) (daisylint.Result, error) {
	candidate, invalid := o.decode(text)
	if len(invalid) > 0 {
		var r daisylint.Result
		for _, i := range invalid {
			r.Findings = append(r.Findings, i)
		}
		return r, nil
	}
	var stored daisylint.InForce
	complete := func(s *daisyconfig.Snapshot) *daisyconfig.Snapshot { return s }
	if o.Store != "" {
		var err error
		if stored, err = o.readStore(ctx, text); err != nil {
			return daisylint.Result{}, err
		}
		complete = stored.Complete
	}
	base, err := o.readBase(ctx, text, stored.Snapshot)
	if err != nil {
		return daisylint.Result{}, err
	}
	if base != nil {
		base = complete(base)
	}
	return daisylint.Check(complete(candidate), base, daisylint.Options{ServiceTime: o.ServiceTime}), nil
}

// readBase returns the configuration that --against names; nil if it names none. Stored is
// the one in the store, if that was read.
func (o *CheckOptions) readBase(ctx context.Context, text []byte, stored *daisyconfig.Snapshot) (*daisyconfig.Snapshot, error) {
	switch {
	case o.Against == "":
		return nil, nil
	case o.Against != inForce:
		return o.readOther(text)
	case stored != nil:
		return stored, nil
	}
	return o.readInForce(ctx, text)
}

// isPlatform reports whether a text is in the platform's format. It is a JSON object, while
// an intent is written without braces.
func (o *CheckOptions) isPlatform(text []byte) bool {
	return o.Checker != nil && bytes.HasPrefix(bytes.TrimSpace(text), []byte("{"))
}

func (o *CheckOptions) decode(text []byte) (*daisyconfig.Snapshot, []daisylint.Invalid) {
	if o.isPlatform(text) {
		return o.Checker.Decode(text)
	}
	return daisyintent.Lint(text)
}

func (o *CheckOptions) readStore(ctx context.Context, text []byte) (daisylint.InForce, error) {
	address, err := netip.ParseAddrPort(o.Store)
	if err != nil {
		return daisylint.InForce{}, daisyerror.InvalidSetting.New("--store: %q: want IP:PORT", o.Store)
	}
	if !o.isPlatform(text) {
		return daisylint.InForce{}, daisyerror.InvalidSetting.New("--store: %s is an intent; only a platform's document has a store", o.File)
	}
	return o.Checker.ReadInForce(ctx, address)
}

// readInForce asks a VM for the intent in force.
func (o *CheckOptions) readInForce(ctx context.Context, text []byte) (*daisyconfig.Snapshot, error) {
	if o.isPlatform(text) {
		return nil, daisyerror.InvalidSetting.New("--against: %s of a platform's document needs --store", inForce)
	}
	client, err := o.Client()
	if err != nil {
		return nil, err
	}
	v, err := client.ViewConfig(ctx, 0)
	if err != nil {
		return nil, err
	}
	return o.decodeBase([]byte(v.IntentYAML))
}

func (o *CheckOptions) readOther(text []byte) (*daisyconfig.Snapshot, error) {
	other, err := o.read(o.Against)
	if err != nil {
		return nil, err
	}
	if o.isPlatform(other) != o.isPlatform(text) {
		return nil, daisyerror.InvalidSetting.New("--against: %s and %s have different formats", o.Against, o.File)
	}
	return o.decodeBase(other)
}

func (o *CheckOptions) decodeBase(text []byte) (*daisyconfig.Snapshot, error) {
	base, invalid := o.decode(text)
	if len(invalid) > 0 {
		return nil, daisyerror.InvalidSetting.New("--against: %s is not valid: %s", o.Against, encodeFinding(invalid[0]).place())
	}
	return base, nil
}

func (o *CheckOptions) read(name string) ([]byte, error) {
	text, err := o.Streams.ReadFile(name, daisyintent.MaxSize+1)
	if err != nil {
		return nil, err
	}
	if len(text) > daisyintent.MaxSize {
		return nil, daisyerror.InvalidSetting.New("%s: larger than %d bytes", name, daisyintent.MaxSize)
	}
	return text, nil
}

func encodeCheck(r daisylint.Result) Check {
	c := Check{Findings: []Finding{}, Changes: []string{}, Effects: []string{}}
	for _, f := range r.Findings {
		c.Findings = append(c.Findings, encodeFinding(f))
	}
	for _, d := range r.Changes {
		c.Changes = append(c.Changes, daisyoperator.DescribeChange(d))
	}
	for _, i := range r.Impacts {
		c.Effects = append(c.Effects, daisyoperator.DescribeImpact(i))
	}
	return c
}

// count returns the numbers of errors and warnings.
func (c Check) count() (errors, warnings int) {
	for _, f := range c.Findings {
		if f.Severity == severityError {
			errors++
		}
	}
	return errors, len(c.Findings) - errors
}

func (o *CheckOptions) print(c Check) {
	errors, warnings := c.count()
	fmt.Fprintf(o.Streams.Out, "%s: errors: %d, warnings: %d\n", o.File, errors, warnings)
	for _, f := range c.Findings {
		style := daisyterminal.Warning
		if f.Severity == severityError {
			style = daisyterminal.Failure
		}
		fmt.Fprintf(o.Streams.Out, "  %s: %s\n", o.Streams.Colorize(style, f.Severity), f.place())
	}
	if o.Against != "" && errors == 0 && len(c.Changes) == 0 {
		fmt.Fprintf(o.Streams.Out, "\nno difference from %s\n", o.Against)
	}
	o.Streams.PrintSection("changes from "+o.Against, c.Changes, "")
	o.Streams.PrintSection("effects", c.Effects, "")
}

// place returns the text of the finding after its line, if that is known.
func (f Finding) place() string {
	if f.Line == 0 {
		return f.Text
	}
	return fmt.Sprintf("line %d: %s", f.Line, f.Text)
}

// verdict fails with daisyerror.CheckFailed if there are errors or, with --strict, warnings.
func (o *CheckOptions) verdict(c Check) error {
	errors, warnings := c.count()
	if errors > 0 || o.Strict && warnings > 0 {
		return daisyerror.CheckFailed.New("%s: %d errors, %d warnings", o.File, errors, warnings)
	}
	return nil
}
