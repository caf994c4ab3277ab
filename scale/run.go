package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime"
	"slices"
	"syscall"
	"time"

	"onyxwell/base/clock"
	"onyxwell/deployment"
)

// Options are what a run is made from.
type Options struct {
	Size Size
	// Programs is the folder with the built daemons.
	Programs string
	// Say is told what goes on.
	Say func(text string)
}

// Result is what one run measured. Times are in milliseconds, rates a second;
// what is of a daemon is the mean over the hollow ones.
type Result struct {
	Size              Size    `json:"size"`
	Daemons           int     `json:"daemons"`
	ZoneCount         int     `json:"zones"`
	Messages          float64 `json:"messages_per_s_of_a_daemon"`
	BytesOut          float64 `json:"bytes_out_per_s_of_a_daemon"`
	BytesIn           float64 `json:"bytes_in_per_s_of_a_daemon"`
	ProcessorMS       float64 `json:"processor_ms_per_s_of_a_daemon"`
	HeapKB            float64 `json:"live_heap_kb_of_a_daemon"`
	Members           int     `json:"most_members_known"`
	ControllerMS      float64 `json:"processor_ms_per_s_of_a_controller"`
	ControllerMB      float64 `json:"memory_mb_of_a_controller"`
	RouterMS          float64 `json:"processor_ms_per_s_of_a_router"`
	RouterMB          float64 `json:"memory_mb_of_a_router"`
	Changes           int     `json:"changes"`
	AckedMS           float64 `json:"acknowledged_after_ms_median"`
	ForceMedianMS     float64 `json:"in_force_after_ms_median"`
	ForceMostMS       float64 `json:"in_force_after_ms_95"`
	ForceWorstMS      float64 `json:"in_force_after_ms_worst"`
	Overtaken         int     `json:"versions_that_a_daemon_skipped"`
	ConfigurationSize int     `json:"configuration_bytes"`
	// Version says which results a reader knows how to read.
	Version int `json:"format"`
}

// format is the version of the result's fields.
const format = 1

// Run starts an estate, measures, and ends all that it started, also when the
// context ends first.
//
// Example:
//
//	result, err := scale.Run(ctx, scale.Options{Size: size, Programs: "target"})
func Run(ctx context.Context, options Options) (Result, error) {
	if options.Say == nil {
		options.Say = func(string) {}
	}
	size := options.Size
	if err := size.Check(memoryKB()); err != nil {
		return Result{}, err
	}
	bounded, end := context.WithTimeout(ctx, 2*(size.Warm+size.Span)+60*clock.Second)
	defer end()
	layout := size.layout()
	if err := layout.Free(); err != nil {
		return Result{}, err
	}
	folder, err := os.MkdirTemp("", "onyxwell-scale-")
	if err != nil {
		return Result{}, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	around := &outside{size: size, layout: layout}
	defer around.stop()
	if err := around.start(); err != nil {
		return Result{}, err
	}
	daemons := &real{}
	defer daemons.stop()
	if err := daemons.start(options.Programs, folder, layout); err != nil {
		return Result{}, err
	}
	before := liveHeap()
	beside, err := startHollows(size, layout, folder)
	defer beside.end()
	if err != nil {
		return Result{}, err
	}
	options.Say(fmt.Sprintf("%d daemons in %d zones started", size.Daemons(), size.ZoneCount()))
	measuring := &measuring{options: options, real: daemons, beside: beside, layout: layout, heapBefore: before}
	return measuring.run(bounded)
}

func memoryKB() int64 {
	var told syscall.Sysinfo_t
	if syscall.Sysinfo(&told) != nil {
		return 0
	}
	return int64(told.Totalram) * int64(told.Unit) >> 10
}

func liveHeap() float64 {
	runtime.GC()
	var told runtime.MemStats
	runtime.ReadMemStats(&told)
	return float64(told.HeapAlloc) / 1024
}

// processorMS is what this process has taken so far.
func processorMS() float64 {
	var told syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &told) != nil {
		return 0
	}
	return float64(told.Utime.Nano()+told.Stime.Nano()) / 1e6
}

type measuring struct {
	options    Options
	real       *real
	beside     *hollows
	layout     deployment.Layout
	heapBefore float64
}

func (measuring *measuring) run(ctx context.Context) (Result, error) {
	size := measuring.options.Size
	operator := newOperator(size, measuring.layout)
	if _, err := operator.first(ctx); err != nil {
		return Result{}, errors.Join(fmt.Errorf("the first configuration: %w", err), measuring.real.died())
	}
	if err := wait(ctx, size.Warm); err != nil {
		return Result{}, err
	}
	if err := measuring.beside.ready(); err != nil {
		return Result{}, errors.Join(err, measuring.real.died())
	}
	measuring.options.Say("warm; measuring")
	begin, counted, processor := time.Now(), measuring.beside.counts(), processorMS()
	controllers, routers := measuring.real.used("fleet-controller"), measuring.real.used("router")
	span, end := context.WithTimeout(ctx, size.Span)
	defer end()
	changes, err := operator.changes(span)
	if err := errors.Join(err, ctx.Err(), measuring.real.died()); err != nil {
		return Result{}, err
	}
	seconds := time.Since(begin).Seconds()
	result := Result{Version: format, Size: size, Daemons: size.Daemons(), ZoneCount: size.ZoneCount(), Changes: len(changes), Members: measuring.beside.members()}
	measuring.traffic(&result, counted, processor, seconds)
	measuring.processes(&result, controllers, routers, seconds)
	if err := wait(ctx, 4*clock.Second); err != nil {
		return Result{}, err
	}
	measuring.force(&result, changes)
	return result, nil
}

func (measuring *measuring) traffic(result *Result, before counts, processor float64, seconds float64) {
	number := max(1, float64(len(measuring.beside.all)))
	now := measuring.beside.counts()
	result.Messages = float64(now.Messages-before.Messages) / seconds / number
	result.BytesOut = float64(now.BytesOut-before.BytesOut) / seconds / number
	result.BytesIn = float64(now.BytesIn-before.BytesIn) / seconds / number
	result.ProcessorMS = (processorMS() - processor) / seconds / number
	result.HeapKB = (liveHeap() - measuring.heapBefore) / number
}

func (measuring *measuring) processes(result *Result, controllers use, routers use, seconds float64) {
	now := measuring.real.used("fleet-controller")
	result.ControllerMS = (now.ProcessorMS - controllers.ProcessorMS) / seconds / max(1, float64(now.Count))
	result.ControllerMB = now.MemoryMB / max(1, float64(now.Count))
	now = measuring.real.used("router")
	result.RouterMS = (now.ProcessorMS - routers.ProcessorMS) / seconds / max(1, float64(now.Count))
	result.RouterMB = now.MemoryMB / max(1, float64(now.Count))
}

// force works out how long after its acknowledgement each version was in force
// at each daemon; before it counts as nothing. A version that a daemon skipped
// for a newer one is counted apart.
func (measuring *measuring) force(result *Result, changes []sent) {
	var spans, acked []float64
	for _, one := range changes {
		reached, missing := measuring.beside.reached(one.serial, one.acked)
		for _, span := range reached {
			spans = append(spans, max(0, span))
		}
		result.Overtaken += missing
		acked = append(acked, float64(one.acked.Sub(one.asked).Microseconds())/1000)
	}
	result.AckedMS = quantile(acked, 0.5)
	result.ForceMedianMS, result.ForceMostMS, result.ForceWorstMS = quantile(spans, 0.5), quantile(spans, 0.95), quantile(spans, 1)
	if body, err := document(measuring.options.Size, 1); err == nil {
		result.ConfigurationSize = len(body)
	}
}

func quantile(values []float64, part float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(part*float64(len(sorted))))]
}

func wait(ctx context.Context, span clock.Span) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(span):
		return nil
	}
}
