package daisytls

import (
	"os"
	"time"

	"daisyyoke/core/daisyerror"
)

// checkInterval is the least time between two looks at a file.
const checkInterval = time.Second

// stamp tells two states of a file apart without reading it.
type stamp struct {
	modified time.Time
	size     int64
}

func stampOf(path string) (stamp, error) {
	info, err := os.Stat(path)
	if err != nil {
		return stamp{}, daisyerror.Unavailable.Wrap(err, "file cannot be examined")
	}
	return stamp{modified: info.ModTime(), size: info.Size()}, nil
}
