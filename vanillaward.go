// Package vanillaward is the root of an open-source serving system for text
// generations of unknown length. It defines the interfaces between the parts;
// their implementations are in the packages under internal.
package vanillaward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/wire"
)

// Timers is the time service of a process.
type Timers interface {
	// Now returns the time since an arbitrary start. It advances while the
	// process or the machine is frozen.
	Now() time.Duration
	// Subscribe delivers the current time at each interval until the context
	// ends, and closes the channel then.
	Subscribe(ctx context.Context, interval time.Duration) <-chan time.Duration
}

// Disk is the part of a file system that durable state needs. What was written
// survives a crash only after a sync: file contents after File.Sync, names
// after SyncDir.
type Disk interface {
	// ReadFile returns the contents of a file. The error matches fs.ErrNotExist
	// when there is none.
	ReadFile(name string) ([]byte, error)
	// Append opens a file for appending, creating it when there is none.
	Append(name string) (File, error)
	// Create opens an empty file, truncating an existing one.
	Create(name string) (File, error)
	// Rename renames oldName to newName atomically, replacing an existing file.
	Rename(oldName, newName string) error
	// Truncate cuts a file to the given size in bytes.
	Truncate(name string, size int64) error
	// SyncDir makes creations and renames durable.
	SyncDir() error
}

// File is an open file of a Disk.
type File interface {
	io.WriteCloser
	// Sync makes everything written so far durable. After an error the state of
	// the file is unknown and the sync must not be retried.
	Sync() error
}

// Horizons are the numbers of further tokens per request for which the memory of
// a batch is forecast.
var Horizons = [...]int{0, 32, 96, 224, 480, 992, 2016, 4064}

// Moments are the mean and the variance of an uncertain number of tokens.
type Moments struct {
	Mean     float64
	Variance float64
}

// Forecast is the memory that requests will hold at each of the horizons.
type Forecast [len(Horizons)]Moments

// Add adds the moments of another forecast, which must be independent of f.
func (f *Forecast) Add(other *Forecast) {
	for i := range f {
		f[i].Mean += other[i].Mean
		f[i].Variance += other[i].Variance
	}
}

// RoutingPolicy chooses a target for a request. Implementations are pure: they
// read the candidates and the random value and keep no reference to either.
type RoutingPolicy interface {
	// Name identifies the policy in reports.
	Name() string
	// Choose returns the index of the chosen candidate, or -1 when the request should wait.
	// Random is uniformly distributed over all values of its type.
	Choose(request RoutingRequest, candidates []Candidate, random uint64) int
}

// RoutingRequest is what a policy knows about a request.
type RoutingRequest struct {
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int
	// LongestTokens is the upper bound on the output in tokens.
	LongestTokens int
	// Urgency ranks classes; a higher value goes first.
	Urgency int
	// Forecast is the memory that the request will hold.
	Forecast Forecast
	// PrefixTarget is the index of the candidate that likely has the prompt's
	// prefix in its cache, or -1.
	PrefixTarget int
}

// Candidate is what a policy knows about a target. Token counts are entries of
// the engine's key-value cache.
type Candidate struct {
	// CapacityTokens is the size of the key-value cache.
	CapacityTokens float64
	// UsedTokens is the estimated current use, requests in flight included.
	UsedTokens float64
	// Forecast is the memory that the running requests will hold.
	Forecast Forecast
	// ReservedTokens is the sum of the prompts and the longest outputs of the requests that
	// run or are in flight.
	ReservedTokens float64
	// Allowance is the memory, in tokens, that this instance may use before the
	// next report. It keeps several instances from all using the memory that one
	// report shows as free.
	Allowance float64
	// Running is the number of requests that run or are in flight.
	Running int
	// BatchCap is the largest batch that keeps the time between tokens within its
	// bound.
	BatchCap int
	// Available is false for a target that is leaving, ejected or refusing requests.
	Available bool
}

// Directory is the platform's list of targets.
type Directory interface {
	// Targets reads the complete list. It fails unless every page was read; entries
	// that cannot be decoded are left out.
	Targets(ctx context.Context) ([]*wire.Target, error)
}

// Engines calls the inference engines: it reads their load reports and orders
// migrations of runs.
type Engines interface {
	// Load reads the load report of the engine at an address.
	Load(ctx context.Context, address string) (*EngineReport, error)
	// Runs returns the runs of the engine at an address. The error matches ErrUnreadable if the engine
	// answers otherwise than with a report or ends the connection, and ErrUnreachable if nobody takes connections there.
	Runs(ctx context.Context, address string) (EngineRuns, error)
	// Move copies the KV cache of a run to another engine while the run continues, or stops the run
	// first. It returns when the copy is complete. The error matches ErrNotRunning if the source does
	// not run the request, for example because it has preempted it for the moment, ErrNotCopied, with a
	// result, if the run was stopped and could not be copied, and ErrMoveRefused after any other refusal.
	// After other errors the run may have been stopped.
	Move(ctx context.Context, m Move) (MoveResult, error)
	// Drop frees the copy that a move made, at both engines. Address is that of the move's
	// source.
	Drop(ctx context.Context, address, handle string) error
}

// EngineReport is an engine's load report.
type EngineReport struct {
	*wire.Load
	// Progress is that of the runs that the engine names.
	Progress []RunProgress
}

// RunProgress is how far a run was at the time that a report describes.
type RunProgress struct {
	// Request is the ID of the run's request.
	Request string
	// Events is the number of events that the run has made.
	Events int
}

// ErrNotRunning means that an engine does not run a request at present.
var ErrNotRunning = errors.New("the engine does not run the request at present")

// ErrNotCopied means that an engine has stopped a run, whose KV cache it keeps, and could not copy it.
var ErrNotCopied = errors.New("the run was stopped and not copied")

// ErrMoveRefused means that an engine neither copies a run nor stops it.
var ErrMoveRefused = errors.New("the engine refuses to move the run")

// ErrUnreadable means that an engine answers, but not with what it is asked for.
var ErrUnreadable = errors.New("the engine's answer cannot be read")

// ErrUnreachable means that nobody takes connections at an engine's address. A connection that is not made in
// time is another error.
var ErrUnreachable = errors.New("nobody takes connections at the engine's address")

// EngineRuns is what an engine works on, as of a moment ago.
type EngineRuns struct {
	// Requests are the IDs of the requests that have begun to run and are not preempted.
	Requests []string
	// Running is the number of requests that run, and Waiting that of those that wait for room,
	// preempted ones among them.
	Running int
	Waiting int
}

// Move identifies a run and the engine that its KV cache is copied to.
type Move struct {
	// Source and Destination are the addresses of the run's engine and of the engine that
	// its KV cache is copied to.
	Source      string
	Destination string
	// Request is the ID of the request that the run belongs to.
	Request string
	// Last is true if the source is to stop the run first, and to close its stream before its end.
	Last bool
}

// MoveResult is an engine's answer to a move.
type MoveResult struct {
	// Handle is the name of the copy at the source engine.
	Handle string
	// Events is the number of events that the run had produced when the copy was
	// made.
	Events uint64
}

// Dialect translates between the headers of a platform and the types of the
// gateway. Implementations make no decisions.
type Dialect interface {
	// ReadRequest reads the headers of a caller's request.
	ReadRequest(h http.Header) CallerRequest
	// Forward turns the headers of a caller's request into those for a target.
	// Headers that the caller may not set are removed.
	Forward(h http.Header, f Forwarding)
	// SetBudget replaces what a caller's request says of how long the caller waits from now on. The
	// request is handed over to another instance, which reads it as the caller's own.
	SetBudget(h http.Header, remaining time.Duration)
	// SetLastEvent replaces what a caller's request says of the last event that the caller has. The
	// request is handed over to another instance, which reads it as the caller's own.
	SetLastEvent(h http.Header, number uint64)
	// ReadAnswer reads the status and headers of a target's answer.
	ReadAnswer(status int, h http.Header) TargetAnswer
	// SetRetryAfter sets the headers by which the caller of a refused request learns how long
	// to wait before a retry.
	SetRetryAfter(h http.Header, after time.Duration)
}

// CallerRequest is the content of the headers of a caller's request.
type CallerRequest struct {
	// ID is unique to this attempt of the caller.
	ID string
	// Budget is how long the caller waits from now on; 0 when the header is absent.
	Budget time.Duration
	// Key is the caller's API key, or empty.
	Key string
	// PromptTokens and LongestTokens are the sizes of a generation's prompt and
	// of its longest possible output; 0 for other requests.
	PromptTokens  int
	LongestTokens int
	// ExpectedTokens is the caller's estimate of the output length in tokens, which is
	// often inaccurate; 0 for none.
	ExpectedTokens int
	// SharedParts are the IDs of the parts that a generation's prompt may have in common with
	// other prompts, in order. The part that belongs to this request alone is not among them.
	SharedParts []string
	// LastEvent is what the request says of the last event of the stream that the caller has.
	LastEvent LastEvent
}

// LastEvent is what a caller's request says of the last event of the stream that the caller has.
type LastEvent struct {
	// Stated is true if the request says anything of it.
	Stated bool
	// Valid is true if what it says is a number of an event.
	Valid bool
	// Number is the number of the event, 0 for none: the stream is wanted from its beginning.
	Number uint64
}

// Forwarding is the information that a target gets in addition to the caller's own headers.
type Forwarding struct {
	// Remaining is how long the caller will still wait; 0 when it is unknown.
	Remaining time.Duration
	// Target is the identity of the target that the request is meant for.
	Target string
	// Organisation is the owner of the caller's key; empty for public routes.
	Organisation string
	// Urgency ranks generations at an engine: 0 goes first, at most 9.
	Urgency int
	// Generation is true for requests that an engine runs.
	Generation bool
	// CopyHolder is the address of an engine that is to hold a continuously updated
	// copy of the run's KV cache; empty for none.
	CopyHolder string
	// Resume is set when the request resumes from a copy.
	Resume *Resume
	// After is set when the target is to run the request anew and to send only the events after the one with
	// this number. Resume states such a number itself.
	After *uint64
}

// Resume tells an engine to resume a run from a copy of its KV cache.
type Resume struct {
	// Address is the address of the engine that the copy's name belongs to: its holder,
	// or the source of a move.
	Address string
	// Handle is the name of the copy at that engine.
	Handle string
	// LastEvent is the number of the last event that the caller has received; 0 for
	// none.
	LastEvent uint64
}

// TargetAnswer is the content of the status and headers of a target's answer.
type TargetAnswer struct {
	// RequestID is the request that the answer belongs to; empty when the header
	// is absent.
	RequestID string
	// SeveralRequests is true when the answer names more than one request.
	SeveralRequests bool
	// NotRun is true when the target states that it did not run the request.
	NotRun bool
	// OtherTarget is true when another target than the one the request is meant for
	// answered.
	OtherTarget bool
	// Closing is true when the target accepts no further request on the connection.
	Closing bool
	// KeepFor is how long the target keeps the connection open while idle; 0 when the
	// header is absent.
	KeepFor time.Duration
	// Leaving is true when the target states that it is leaving.
	Leaving bool
	// Wait is how long the target wants no further request from this instance; 0 for no such
	// wish. Only refusals state it.
	Wait time.Duration
	// Limited is true when the target states a limit: Limit is the number of requests a second,
	// at least 0, that it takes from all instances together.
	Limited bool
	Limit   float64
	// Brittle is true when the target states that it falls over when it has to turn away more than
	// Bears requests in a second, at least 0, for want of room.
	Brittle bool
	Bears   float64
}
