package daisycontroller

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/joomcode/errorx"

	"daisyyoke/core/daisyerror"
)

const (
	// firstPause and longestPause are the initial and the maximum delay between two
	// attempts of an operation on the platform.
	firstPause   = 50 * time.Millisecond
	longestPause = 2 * time.Second
)

// persist retries an operation with backoff while it fails with
// daisyerror.Unavailable, until ctx ends. It returns the last error.
func persist(ctx context.Context, operation func() error) error {
	return repeat(ctx, daisyerror.Unavailable, operation)
}

// repeat retries an operation with backoff while it fails with an error of the given
// type, until ctx ends. It returns the last error.
func repeat(ctx context.Context, while *errorx.Type, operation func() error) error {
	var last error
	pause := &backoff.ExponentialBackOff{
		InitialInterval:     firstPause,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier:          2,
		MaxInterval:         longestPause,
	}
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		last = operation()
		if last != nil && !errorx.IsOfType(last, while) {
			return struct{}{}, backoff.Permanent(last)
		}
		return struct{}{}, last
	}, backoff.WithBackOff(pause), backoff.WithMaxElapsedTime(0))
	if err != nil {
		return last
	}
	return nil
}
