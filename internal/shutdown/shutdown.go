// Package shutdown logs the signals that ask a process to stop.
package shutdown

import (
	"log/slog"
	"os"
	"os/signal"
	"syscall"
)

// LogSignals logs each SIGTERM and interrupt from now on, until stop is called. Only the first one begins the stop
// of a daemon, but whoever sends another may count its grace period from that.
func LogSignals(log *slog.Logger) (stop func()) {
	received := make(chan os.Signal, 4)
	signal.Notify(received, syscall.SIGTERM, os.Interrupt)
	done := make(chan struct{})
	go func() {
		for n := 1; ; n++ {
			select {
			case s := <-received:
				log.Info("signal received", "signal", s.String(), "count", n)
			case <-done:
				return
			}
		}
	}()
	return func() {
		signal.Stop(received)
		close(done)
	}
}
