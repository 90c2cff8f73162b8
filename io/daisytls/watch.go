package daisytls

import (
	"os"
	"time"

	"daisyyoke/core/daisyerror"
)

// checkInterval is the minimum time between two checks of the files for changes.
const checkInterval = time.Second

// fileState is the metadata of a file that shows a change without reading the file.
type fileState struct {
	modified time.Time
	size     int64
}

func statFile(path string) (fileState, error) {
	info, err := os.Stat(path)
	if err != nil {
		return fileState{}, daisyerror.Unavailable.Wrap(err, "cannot stat file")
	}
	return fileState{modified: info.ModTime(), size: info.Size()}, nil
}
