package runner

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strconv"
	"strings"

	"onyxwell/emulator/piece"
)

// Fault is a way to misbehave.
type Fault struct {
	Name        string
	Description string
	// defaultRate is the rate in the mix of all.
	defaultRate float64
}

// The names of the troubles.
const (
	ExtraAnswer      = "extra-answer"
	ExtraSame        = "extra-same"
	ExtraLate        = "extra-late"
	ExtraLateSame    = "extra-late-same"
	ExtraIdle        = "extra-idle"
	BytesBetween     = "bytes-between"
	Interim          = "interim"
	EarlyAnswer      = "early-answer"
	ShortLength      = "short-length"
	LongLength       = "long-length"
	TwoLengths       = "two-lengths"
	LengthAndChunks  = "length-and-chunks"
	NoLength         = "no-length"
	NoLengthCut      = "no-length-cut"
	CutChunk         = "cut-chunk"
	LongChunk        = "long-chunk"
	HalfClose        = "half-close"
	ResetHead        = "reset-head"
	ResetBody        = "reset-body"
	CloseHead        = "close-head"
	CloseBody        = "close-body"
	SilenceHead      = "silence-head"
	SilenceBody      = "silence-body"
	ResetUnread      = "reset-unread"
	ResetUnanswered  = "reset-unanswered"
	IdleClose        = "idle-close"
	Takeover         = "takeover"
	LyingHealth      = "lying-health"
	NoSeal           = "no-seal"
	OtherAttempt     = "other-attempt"
	Encoded          = "encoded"
	Garbage          = "garbage"
	FalseRefusal     = "false-refusal"
	OwnFailure       = "own-failure"
	Refusal          = "refusal"
	Dribble          = "dribble"
	ConnectionCloses = "connection-close"
)

// Faults are all of them, in the order in which they are shown.
var Faults = []Fault{
	{NoSeal, "a success without a seal", 0.01},
	{OtherAttempt, "the answer is marked as another attempt's", 0.01},
	{Encoded, "a success whose body has a Content-Encoding", 0.01},
	{Garbage, "bytes that are no answer in place of the answer", 0.01},
	{FalseRefusal, "429, 503 or 408 after a run, without the word that it didn't run", 0.01},
	{OwnFailure, "a 500 of the runner's own, after a run", 0.02},
	{Refusal, "the request is turned away: 503, 429 or 421, and doesn't run", 0.05},
	{ShortLength, "a length shorter than the body; its rest follows as loose bytes", 0.01},
	{LongLength, "a length longer than the body, then a close", 0.01},
	{TwoLengths, "two different lengths in one head", 0.01},
	{LengthAndChunks, "a length and chunks in one head", 0.01},
	{NoLength, "a whole body with neither length nor chunks, ended by a clean close, as runners may", 0.01},
	{NoLengthCut, "a body with neither length nor chunks, reset before its end", 0.01},
	{CutChunk, "a chunk that is shorter than the bytes that follow, or whose size is no number", 0.01},
	{LongChunk, "a chunk that is said to be longer than its bytes", 0.01},
	{ExtraAnswer, "a whole answer to another attempt right after an answer", 0.02},
	{ExtraSame, "the same answer, with the same attempt id, right after an answer", 0.02},
	{ExtraLate, "an answer to an earlier attempt where the next answer should come", 0.02},
	{ExtraLateSame, "the last answer of the connection again where the next answer should come", 0.02},
	{ExtraIdle, "an answer to another attempt while the connection is idle", 0.02},
	{BytesBetween, "bytes that are no answer after a whole answer", 0.02},
	{Interim, "one to three 1xx answers before the answer", 0.05},
	{EarlyAnswer, "the answer before the request's body was read", 0.03},
	{HalfClose, "after the answer the runner closes its side and goes on reading", 0.01},
	{ResetHead, "a reset at any byte of the head", 0.01},
	{ResetBody, "a reset at any byte of the body or of an event", 0.02},
	{CloseHead, "a close at any byte of the head", 0.01},
	{CloseBody, "a close at any byte of the body or of an event; a reset where nothing else tells its end", 0.02},
	{SilenceHead, "silence from any byte of the head on", 0.002},
	{SilenceBody, "silence from any byte of the body or of an event on", 0.002},
	{ResetUnread, "a reset at any byte of the request, which doesn't run", 0.01},
	{ResetUnanswered, "the request runs and the connection is reset at no byte of the answer", 0.01},
	{IdleClose, "the connection is closed the moment after an answer, without notice", 0.03},
	{Takeover, "a new life begins at the address, half the time of another service", 0.002},
	{LyingHealth, "a health answer that is false: well or ill, or of another life", 0.05},
	{Dribble, "the answer comes in many small pieces", 0.02},
	{ConnectionCloses, "Connection: close in a good answer", 0.02},
}

// FaultRates is the rate of each trouble, from 0 to 1.
type FaultRates map[string]float64

// AllFaults is the mix of all troubles together, each at a rate of its own.
func AllFaults() FaultRates {
	mix := FaultRates{}
	for _, trouble := range Faults {
		mix[trouble.Name] = trouble.defaultRate
	}
	return mix
}

// Set takes name=rate.
func (f FaultRates) Set(text string) error {
	name, rate, found := strings.Cut(text, "=")
	value, err := strconv.ParseFloat(rate, 64)
	if !found || err != nil {
		return fmt.Errorf("trouble %q: name=rate is wanted, as in %s=0.1", text, ExtraLate)
	}
	one := FaultRates{name: value}
	f[name] = value
	return one.Check()
}

// Check names the troubles that don't exist and the rates that are out of bounds.
func (f FaultRates) Check() error {
	known := map[string]bool{}
	for _, trouble := range Faults {
		known[trouble.Name] = true
	}
	var wrong []string
	for name, rate := range f {
		if !known[name] {
			wrong = append(wrong, fmt.Sprintf("there is no trouble %q", name))
		} else if !(rate >= 0 && rate <= 1) {
			wrong = append(wrong, fmt.Sprintf("trouble %s: the rate %g is not from 0 to 1", name, rate))
		}
	}
	sort.Strings(wrong)
	if len(wrong) > 0 {
		return fmt.Errorf("%s", strings.Join(wrong, ", "))
	}
	return nil
}

// String shows the troubles with a rate, in order.
func (f FaultRates) String() string {
	var shown []string
	for _, trouble := range Faults {
		if f[trouble.Name] > 0 {
			shown = append(shown, fmt.Sprintf("%s=%g", trouble.Name, f[trouble.Name]))
		}
	}
	return strings.Join(shown, " ")
}

// faultDraw is what was drawn for one attempt at one runner.
type faultDraw struct {
	*rand.Rand
	faults map[string]bool
}

// draw gives the same fortune for the same seed, runner and attempt.
func (f FaultRates) draw(seed uint64, runner string, attempt string) *faultDraw {
	drawn := &faultDraw{Rand: rand.New(rand.NewPCG(seed, piece.Hash(runner, attempt))), faults: map[string]bool{}}
	for _, trouble := range Faults {
		if drawn.Float64() < f[trouble.Name] {
			drawn.faults[trouble.Name] = true
		}
	}
	return drawn
}

func (f *faultDraw) names() []string {
	var names []string
	for _, trouble := range Faults {
		if f.faults[trouble.Name] {
			names = append(names, trouble.Name)
		}
	}
	return names
}
