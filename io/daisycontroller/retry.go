package daisycontroller

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/joomcode/errorx"

	"daisyyoke/core/daisyerror"
)

const (
	// initialRetryDelay and maxRetryDelay are the initial and the maximum delay between
	// two attempts of an operation on the platform.
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
)

// retryUnavailable retries an operation with backoff while it fails with
// daisyerror.Unavailable, until ctx ends. It returns the last error.
func retryUnavailable(ctx context.Context, operation func() error) error {
	return retryWhile(ctx, daisyerror.Unavailable, operation)
}

// retryWhile retries an operation with backoff while it fails with an error of the given
// type, until ctx ends. It returns the last error.
func retryWhile(ctx context.Context, errorType *errorx.Type, operation func() error) error {
	var lastErr error
	delay := &backoff.ExponentialBackOff{
		InitialInterval:     initialRetryDelay,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier:          2,
		MaxInterval:         maxRetryDelay,
	}
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		lastErr = operation()
		if lastErr != nil && !errorx.IsOfType(lastErr, errorType) {
			return struct{}{}, backoff.Permanent(lastErr)
		}
		return struct{}{}, lastErr
	}, backoff.WithBackOff(delay), backoff.WithMaxElapsedTime(0))
	if err != nil {
		return lastErr
	}
	return nil
}
