package daisycontroller

import (
	"context"
	"time"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyerror"
	"daisyyoke/io/daisyplatform"
	"daisyyoke/io/daisysnapshot"
)

// historyTimeout is the timeout for reading earlier snapshots.
const historyTimeout = 5 * time.Second

// History returns the heads of at most limit revisions, newest first, starting with
// the one in force; each head says who confirmed the revision and when. It fails with
// daisyerror.NotFound when no configuration is in force. When the object store does
// not answer, it returns the heads found so far and an error of type
// daisyerror.Unavailable.
func (c *Config) History(ctx context.Context, limit int) ([]daisyconfig.Head, error) {
	s := c.InForce()
	if s == nil {
		return nil, daisyerror.NotFound.New("no configuration is in force")
	}
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	return c.chain.history(ctx, s.Head(), limit)
}

// View returns the snapshot of a revision. It fails with
// daisyerror.NotFound when there is no such revision and with
// daisyerror.Unavailable when the object store does not answer.
func (c *Config) View(ctx context.Context, revision daisyconfig.Revision) (*daisyconfig.Snapshot, error) {
	s := c.InForce()
	if s == nil || revision == 0 || revision > s.Revision {
		return nil, daisyerror.NotFound.New("no revision %d", revision)
	}
	if revision == s.Revision {
		return s, nil
	}
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	head, err := c.chain.ancestor(ctx, s.Head(), revision)
	if err != nil {
		return nil, err
	}
	err = retryUnavailable(ctx, func() error {
		s, err = fetchSnapshot(ctx, c.options.Platform, head.Hash)
		return err
	})
	return s, err
}

// fetchSnapshot reads a snapshot from the object store and checks it against its hash.
func fetchSnapshot(ctx context.Context, objects daisyplatform.ObjectStore, hash daisyconfig.Hash) (*daisyconfig.Snapshot, error) {
	data, err := getObject(ctx, objects, snapshotPrefix+string(hash))
	if err != nil {
		return nil, err
	}
	s, err := daisysnapshot.Decode(data)
	if err != nil {
		return nil, err
	}
	if s.Hash != hash {
		return nil, daisyerror.InvalidRequest.New("snapshot %s has the hash %s", hash, s.Hash)
	}
	return s, nil
}
