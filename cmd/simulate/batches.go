package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// batchSize is how many seeds a process plays before another takes its place.
const batchSize = 20

var errCounts = errors.New("--seeds and --jobs want a number above 0")

// contextWithin returns a context that ends after a time, or when the process is
// asked to stop.
func contextWithin(within time.Duration) (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	ctx, cancel := context.WithTimeout(ctx, within)
	return ctx, func() {
		cancel()
		stop()
	}
}

// runSeeds plays seeds in several processes until they are done or time is up.
func (c commandLine) runSeeds() (int, error) {
	command := c.Run
	if _, err := command.options(); err != nil {
		return 0, err
	}
	if command.Seeds < 1 || command.Jobs < 1 {
		return 0, errCounts
	}
	ctx, cancel := contextWithin(command.Within)
	defer cancel()
	total, end := newSummary(), command.From+uint64(command.Seeds)
	batches := make(chan uint64)
	var workers sync.WaitGroup
	for range command.Jobs {
		workers.Go(func() {
			for first := range batches {
				total.runProcess(ctx, command.runFlags, first, min(batchSize, int(end-first)))
			}
		})
	}
	for first := command.From; first < end && ctx.Err() == nil; first += batchSize {
		select {
		case batches <- first:
		case <-ctx.Done():
		}
	}
	close(batches)
	workers.Wait()
	return total.print(command.runFlags, command.Seeds), nil
}

// row is one row of a table: a name, and the flags with which its seeds are
// played.
type row struct {
	name  string
	flags runFlags
}

// runRows plays the same seeds for each row, a process a row, and returns the
// summaries in the order of the rows.
func runRows(rows []row, from uint64, seeds int, jobs int, within time.Duration) []*summary {
	ctx, cancel := contextWithin(within)
	defer cancel()
	summaries, slots := make([]*summary, len(rows)), make(chan struct{}, jobs)
	var workers sync.WaitGroup
	for index, row := range rows {
		summaries[index] = newSummary()
		slots <- struct{}{}
		workers.Go(func() {
			defer func() { <-slots }()
			summaries[index].runProcess(ctx, row.flags, from, seeds)
		})
	}
	workers.Wait()
	return summaries
}

// printRowFailures writes what went wrong in each row, and returns the exit status.
func printRowFailures(rows []row, summaries []*summary, seeds int) int {
	status := exitOK
	for index, row := range rows {
		status = max(status, summaries[index].printFailures(row.name, seeds))
	}
	return status
}
