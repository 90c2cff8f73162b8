package daisycontroller

import (
	"context"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyerror"
	"daisyyoke/io/daisyplatform"
	"daisyyoke/io/daisysnapshot"
)

// History gives the confirmed snapshots, the newest first, at most limit of them.
// It starts from the snapshot in force and follows the chain of snapshots, each
// of which names the one before. It fails with daisyerror.NotFound when nothing
// is in force and with daisyerror.Unavailable when the object store does not answer.
func (c *Config) History(ctx context.Context, limit int) ([]*daisyconfig.Snapshot, error) {
	s := c.InForce()
	if s == nil {
		return nil, daisyerror.NotFound.New("no configuration is in force")
	}
	var history []*daisyconfig.Snapshot
	for len(history) < limit {
		history = append(history, s)
		if s.Previous == "" {
			return history, nil
		}
		var err error
		if s, err = fetchSnapshot(ctx, c.options.Platform, s.Previous); err != nil {
			return history, err
		}
	}
	return history, nil
}

// View gives the snapshot of an earlier revision. It fails with
// daisyerror.NotFound when there is no such revision.
func (c *Config) View(ctx context.Context, revision daisyconfig.Revision) (*daisyconfig.Snapshot, error) {
	s := c.InForce()
	if s == nil || revision == 0 || revision > s.Revision {
		return nil, daisyerror.NotFound.New("no revision %d", revision)
	}
	return followChain(ctx, c.options.Platform, s, revision)
}

// followChain goes back from a snapshot to the one of a revision.
func followChain(ctx context.Context, objects daisyplatform.Objects, s *daisyconfig.Snapshot, revision daisyconfig.Revision) (*daisyconfig.Snapshot, error) {
	var err error
	for s.Revision > revision {
		if s, err = fetchSnapshot(ctx, objects, s.Previous); err != nil {
			return nil, err
		}
	}
	if s.Revision != revision {
		return nil, daisyerror.Internal.New("snapshot %s has revision %d where %d was expected", s.Hash, s.Revision, revision)
	}
	return s, nil
}

// fetchSnapshot reads a snapshot from the object store and checks it against its hash.
func fetchSnapshot(ctx context.Context, objects daisyplatform.Objects, hash daisyconfig.Hash) (*daisyconfig.Snapshot, error) {
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
