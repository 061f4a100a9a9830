package audit

import (
	"fmt"

	"briarwell.dev/core/audit/record"
)

// Finding is a violation of an invariant: one of TwoOwners, EpochBack,
// DuplicateRun, NotRunRan, DoneNeverRan, ForeignAnswer, TruncatedAsComplete,
// ConfigurationBack, AcceptedNotInForce and LostEffect.
type Finding interface {
	isFinding()
	// Kind returns the name of the kind of finding in reports, in camelCase.
	Kind() string
	fmt.Stringer
}

// TwoOwners reports two requests for the same shard or hot key that ran at different
// upstreams at the same time or in the same epoch.
type TwoOwners struct{ first, second record.Acceptance }

// EpochBack reports a request that was accepted after one with a higher epoch.
type EpochBack struct{ first, second record.Acceptance }

// DuplicateRun reports a non-idempotent request that ran more than once.
type DuplicateRun struct{ runs []record.Acceptance }

// NotRunRan reports a request that ran although it was answered as not run.
type NotRunRan struct {
	call record.Call
	run  record.Acceptance
}

// DoneNeverRan reports a request that never ran although it was answered as done.
type DoneNeverRan struct{ call record.Call }

// ForeignAnswer reports a response that belongs to another request.
type ForeignAnswer struct{ call record.Call }

// TruncatedAsComplete reports a truncated body whose response ended as complete.
type TruncatedAsComplete struct{ call record.Call }

// ConfigurationBack reports a daemon that answered under an older configuration version
// than in an earlier call.
type ConfigurationBack struct{ before, after record.Call }

// AcceptedNotInForce reports a request that was done under an older configuration version
// than one that was accepted before the request was sent.
type AcceptedNotInForce struct {
	call    record.Call
	version uint64
}

// LostEffect reports a request that was answered as done, but whose effect is missing at
// its key at the end of the run.
type LostEffect struct{ call record.Call }

func (TwoOwners) isFinding()           {}
func (EpochBack) isFinding()           {}
func (DuplicateRun) isFinding()        {}
func (NotRunRan) isFinding()           {}
func (DoneNeverRan) isFinding()        {}
func (ForeignAnswer) isFinding()       {}
func (TruncatedAsComplete) isFinding() {}
func (ConfigurationBack) isFinding()   {}
func (AcceptedNotInForce) isFinding()  {}
func (LostEffect) isFinding()          {}

// Kind returns "twoOwners".
func (TwoOwners) Kind() string { return "twoOwners" }

// Kind returns "epochBack".
func (EpochBack) Kind() string { return "epochBack" }

// Kind returns "duplicateRun".
func (DuplicateRun) Kind() string { return "duplicateRun" }

// Kind returns "notRunRan".
func (NotRunRan) Kind() string { return "notRunRan" }

// Kind returns "doneNeverRan".
func (DoneNeverRan) Kind() string { return "doneNeverRan" }

// Kind returns "foreignAnswer".
func (ForeignAnswer) Kind() string { return "foreignAnswer" }

// Kind returns "truncatedAsComplete".
func (TruncatedAsComplete) Kind() string { return "truncatedAsComplete" }

// Kind returns "configurationBack".
func (ConfigurationBack) Kind() string { return "configurationBack" }

// Kind returns "acceptedNotInForce".
func (AcceptedNotInForce) Kind() string { return "acceptedNotInForce" }

// Kind returns "lostEffect".
func (LostEffect) Kind() string { return "lostEffect" }

func (f TwoOwners) String() string {
	return fmt.Sprintf("two owners: %s; %s", acceptanceText(f.first), acceptanceText(f.second))
}

func (f EpochBack) String() string {
	return fmt.Sprintf("epoch went backwards: %s; then %s", acceptanceText(f.first), acceptanceText(f.second))
}

func (f DuplicateRun) String() string {
	return fmt.Sprintf("non-idempotent request ran %d times: %s; %s", len(f.runs), acceptanceText(f.runs[0]), acceptanceText(f.runs[1]))
}

func (f NotRunRan) String() string {
	return fmt.Sprintf("request was answered not-run, but ran: %s; %s", callText(f.call), acceptanceText(f.run))
}

func (f DoneNeverRan) String() string {
	return "request was answered done, but never ran: " + callText(f.call)
}

func (f ForeignAnswer) String() string {
	return fmt.Sprintf("response belongs to another request (echoed request ID %q, digest %s, expected digest %s): %s",
		f.call.EchoedRequestID, f.call.Digest, f.call.ExpectedDigest, callText(f.call))
}

func (f TruncatedAsComplete) String() string {
	return fmt.Sprintf("truncated body of %d of %d bytes ended as complete: %s", f.call.Bytes, f.call.ExpectedBytes, callText(f.call))
}

func (f ConfigurationBack) String() string {
	return fmt.Sprintf("configuration version went back from %d to %d: %s", f.before.ConfigVersion, f.after.ConfigVersion, callText(f.after))
}

func (f AcceptedNotInForce) String() string {
	return fmt.Sprintf("request was done under configuration version %d after version %d was accepted: %s", f.call.ConfigVersion, f.version, callText(f.call))
}

func (f LostEffect) String() string {
	return "request was answered done, but its effect was lost: " + callText(f.call)
}

func acceptanceText(a record.Acceptance) string {
	return fmt.Sprintf("%s %s key=%q shard=%d epoch=%d upstream=%s requestId=%s from=%d to=%d",
		a.Method, a.Service, a.Key, a.Shard, a.Epoch, a.Upstream, a.RequestID, a.StartUnixMicros, a.EndUnixMicros)
}

func callText(c record.Call) string {
	return fmt.Sprintf("%s %s key=%q shard=%d requestId=%s attempt=%d daemon=%s outcome=%s reason=%s status=%d sent=%d received=%d",
		c.Method, c.Service, c.Key, c.Shard, c.RequestID, c.Attempt, c.Daemon, c.Outcome, c.Reason, c.Status,
		c.SentUnixMicros, c.ReceivedUnixMicros)
}
