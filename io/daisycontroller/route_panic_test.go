package daisycontroller_test

import (
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisycontroller"
)

type panickingSender struct{}

func (panickingSender) Send(daisyvm.Name, daisymessage.Message) { panic("a bug") }

// panicVariable is set in the process of TestPanicInRoutingStateEndsTheProcess that panics.
const panicVariable = "DAISYYOKE_TEST_PANIC"

// Guards against a VM that goes on with the state of a service that a panic has left half
// changed, because the server has recovered the panic.
func TestPanicInRoutingStateEndsTheProcess(t *testing.T) {
	if os.Getenv(panicVariable) == "" {
		c := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
		c.Env = append(os.Environ(), panicVariable+"=1")
		output, err := c.CombinedOutput()
		assert.ErrorContains(t, err, "exit status 2")
		assert.Assert(t, strings.Contains(string(output), "routing state: a bug"), "%s", output)
		return
	}
	self := daisyvm.VM{Name: "vm-1"}
	routes := daisycontroller.NewRoute(daisycontroller.RouteOptions{Self: self, Sender: panickingSender{}})
	defer func() {
		_ = recover()
		os.Exit(0)
	}()
	routes.Apply(snapshotOf("a", "b", "c", "d"))
	routes.SetPeers([]daisyvm.VM{self, {Name: "vm-2"}}, nil)
	for _, name := range []string{"a", "b", "c", "d"} {
		_, _ = routes.Begin(daisyrequest.Request{Service: daisyservice.ID{Fleet: "vigia-lar", Name: name}, Deadline: time.Now().Add(time.Minute)})
	}
	time.Sleep(10 * time.Second)
}
