// Command rig plays one case of the review against processes of the project.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxLength is how long a case may take.
const maxLength = 118 * time.Second

func main() {
	if len(os.Args) != 3 || allCases[os.Args[1]] == nil {
		fmt.Println("usage: rig CASE RECORD")
		os.Exit(2)
	}
	openRecord(os.Args[2])
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		exit(2)
	}()
	time.AfterFunc(maxLength, func() { cannotRun("not finished after %v", maxLength) })
	trouble := os.Getenv("TROUBLE") != "0"
	logf("case %s, trouble %v", os.Args[1], trouble)
	if allCases[os.Args[1]](trouble) {
		fmt.Println("the rule was broken")
		logf("RESULT: the rule was broken")
		exit(1)
	}
	fmt.Println("the rule held")
	logf("RESULT: the rule held")
	exit(0)
}
