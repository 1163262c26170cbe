package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
)

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	unable = 2
)

// Instances end with the thread that started them, which is the main one.
func init() { runtime.LockOSThread() }

func main() {
	if len(os.Args) == 3 {
		switch os.Args[1] {
		case "engine":
			serveConns(os.Args[2], serveStreams)
			return
		case "app":
			serveConns(os.Args[2], servePages)
			return
		}
	}
	if len(os.Args) < 3 {
		fmt.Println("usage: driver CASE RECORD")
		os.Exit(unable)
	}
	cases := map[string]func(*system, *record, bool) (int, error){"twin-refusal": twinRefusal, "cut-stream": cutStream, "cut-page": cutPage, "resumed-turn": resumedTurn, "sole-gone": soleGone}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Println("no such case")
		os.Exit(unable)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(unable)
	}
	s, err := newSystem()
	if err != nil {
		fmt.Println(err)
		os.Exit(unable)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		s.stop()
		os.Exit(unable)
	}()
	status, err := run(s, rec, os.Getenv("TROUBLE") != "0")
	s.stop()
	if err != nil {
		rec.line("case could not run: %v", err)
		fmt.Println(err)
		os.Exit(unable)
	}
	os.Exit(status)
}
