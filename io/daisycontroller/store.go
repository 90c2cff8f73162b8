package daisycontroller

import (
	"context"

	"github.com/joomcode/errorx"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyerror"
	"daisyyoke/io/daisyplatform"
	"daisyyoke/io/daisysnapshot"
)

// unavailableError returns the error for an operation that the platform did not carry out.
// A request that the platform rejects as invalid keeps its error type, so that it is
// not retried.
func unavailableError(err error, operation string) error {
	if errorx.IsOfType(err, daisyerror.InvalidRequest) {
		return err
	}
	return daisyerror.Unavailable.Wrap(err, "%s", operation)
}

func unexpectedError(answer daisyplatform.Answer, operation string) error {
	return daisyerror.Internal.New("%s: unexpected answer %s", operation, daisyplatform.AnswerName(answer))
}

// getObject reads an object, without retries. An object is always written before
// anything that refers to it, so one that is not found is reported as
// daisyerror.Unavailable: the read lags behind the write.
func getObject(ctx context.Context, objects daisyplatform.ObjectStore, name string) ([]byte, error) {
	operation := "read object " + name
	switch a := objects.GetObject(ctx, name).(type) {
	case daisyplatform.ObjectRead:
		return a.Data, nil
	case daisyplatform.NotFound:
		return nil, daisyerror.Unavailable.New("%s: not found, or not yet", operation)
	case daisyplatform.Unavailable:
		return nil, unavailableError(a.Err, operation)
	default:
		return nil, unexpectedError(a, operation)
	}
}

// putObject writes an object and retries until the store has it or ctx ends. Writing
// an object twice is harmless.
func putObject(ctx context.Context, objects daisyplatform.ObjectStore, name string, data []byte) error {
	operation := "write object " + name
	replyLost := false
	return retryUnavailable(ctx, func() error {
		if replyLost {
			if _, ok := objects.GetObject(ctx, name).(daisyplatform.ObjectRead); ok {
				return nil
			}
		}
		switch a := objects.PutObject(ctx, name, data).(type) {
		case daisyplatform.ObjectWritten:
			return nil
		case daisyplatform.Unknown:
			replyLost = true
			return unavailableError(a.Err, operation)
		case daisyplatform.Unavailable:
			return unavailableError(a.Err, operation)
		default:
			return unexpectedError(a, operation)
		}
	})
}

// headRow is the head row with its version; both are zero when there is no row.
type headRow struct {
	head    daisyconfig.Head
	version daisyplatform.Version
	era     daisyconfig.Era
}

// getHead reads the head row, without retries. The result may lag behind the last write.
func getHead(ctx context.Context, table daisyplatform.Table) (headRow, error) {
	const operation = "read the head row"
	switch a := table.GetRow(ctx, headKey).(type) {
	case daisyplatform.RowRead:
		head, err := daisysnapshot.DecodeHead(a.Row.Value)
		return headRow{head: head, version: a.Row.Version, era: daisyconfig.Era(a.Era)}, err
	case daisyplatform.NotFound:
		return headRow{era: daisyconfig.Era(a.Era)}, nil
	case daisyplatform.Unavailable:
		return headRow{}, unavailableError(a.Err, operation)
	default:
		return headRow{}, unexpectedError(a, operation)
	}
}
