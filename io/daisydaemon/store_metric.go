package daisydaemon

import (
	"context"
	"time"

	"daisyyoke/core/daisyfeed"
	"daisyyoke/io/daisycontroller"
	"daisyyoke/io/daisyplatform"
)

// meteredFeeds counts the reads from the platform's store by operation and answer.
type meteredFeeds struct {
	inner daisycontroller.Feeds
	meter daisyplatform.Meter
}

func (m meteredFeeds) count(operation string, answer daisycontroller.FeedAnswer) daisycontroller.FeedAnswer {
	m.meter.PlatformOperation(operation, feedAnswerName(answer))
	return answer
}

func feedAnswerName(answer daisycontroller.FeedAnswer) string {
	switch answer.(type) {
	case daisycontroller.FeedRead:
		return "read"
	case daisycontroller.FeedChanged:
		return "changed"
	case daisycontroller.FeedHistoryLost:
		return "history-lost"
	case daisycontroller.FeedFailed:
		return "failed"
	}
	return "none"
}

// ReadRows reads all rows of a topic and counts the read.
func (m meteredFeeds) ReadRows(ctx context.Context, topic daisyfeed.Topic) daisycontroller.FeedAnswer {
	return m.count("read-rows", m.inner.ReadRows(ctx, topic))
}

// AwaitChanges waits for changes of a topic and counts the read.
func (m meteredFeeds) AwaitChanges(ctx context.Context, topic daisyfeed.Topic, after daisyfeed.Version, wait time.Duration) daisycontroller.FeedAnswer {
	return m.count("await-changes", m.inner.AwaitChanges(ctx, topic, after, wait))
}
