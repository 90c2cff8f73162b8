package daisyplatform_test

import (
	"context"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/io/daisyplatform"
)

// Guards against a write that expects a version which the restore lost and which was
// assigned again since, over HTTP too.
func TestVersionsAreNotAssignedAgainAfterRestore(t *testing.T) {
	embedded := daisyplatform.NewEmbedded()
	server := httptest.NewServer(daisyplatform.NewHandler(embedded))
	defer server.Close()
	base, err := url.Parse(server.URL)
	assert.NilError(t, err)
	client := daisyplatform.NewClient(*base, nil)
	defer client.Close()
	ctx := context.Background()
	assert.Equal(t, client.SwapRow(ctx, "a", 0, []byte("1")), daisyplatform.RowWritten{Version: 1})
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, client.SwapRow(ctx, "a", 1, []byte("2")), daisyplatform.RowWritten{Version: 2})
	assert.Equal(t, client.SwapRow(ctx, "b", 0, []byte("lost")), daisyplatform.RowWritten{Version: 1})
	embedded.Restore(25 * time.Millisecond)
	assert.DeepEqual(t, client.GetRow(ctx, "a"), daisyplatform.RowRead{Row: daisyplatform.Row{Key: "a", Version: 1, Value: []byte("1")}, Era: 1})
	assert.Equal(t, client.GetRow(ctx, "b"), daisyplatform.NotFound{Era: 1})
	written, ok := client.SwapRow(ctx, "a", 1, []byte("3")).(daisyplatform.RowWritten)
	assert.Assert(t, ok && written.Version > 2)
	assert.Equal(t, client.SwapRow(ctx, "a", 2, []byte("4")), daisyplatform.Conflict{})
}
