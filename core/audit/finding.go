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
	// Kind returns the finding's name in reports, in camelCase.
	Kind() string
	fmt.Stringer
}

// TwoOwners reports two orders that used a shard or key under different
// upstreams at one moment, or in one epoch.
type TwoOwners struct{ first, second record.Acceptance }

// EpochBack reports an order that was accepted after an order with a higher
// epoch.
type EpochBack struct{ first, second record.Acceptance }

// DuplicateRun reports a non-idempotent request that ran more than once.
type DuplicateRun struct{ runs []record.Acceptance }

// NotRunRan reports a request that was answered as not run, and ran.
type NotRunRan struct {
	call record.Call
	run  record.Acceptance
}

// DoneNeverRan reports a request that was answered as done, and never ran.
type DoneNeverRan struct{ call record.Call }

// ForeignAnswer reports an answer that belongs to another request.
type ForeignAnswer struct{ call record.Call }

// TruncatedAsComplete reports a body that is short but ended as complete.
type TruncatedAsComplete struct{ call record.Call }

// ConfigurationBack reports a daemon that answered under an older configuration
// version than before.
type ConfigurationBack struct{ before, after record.Call }

// AcceptedNotInForce reports a request that was done under an older version than
// one that was accepted before it was sent.
type AcceptedNotInForce struct {
	call    record.Call
	version uint64
}

// LostEffect reports a request that was answered as done, and whose effect is
// absent from its key at the end.
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
	return fmt.Sprintf("epoch went back: %s; then %s", acceptanceText(f.first), acceptanceText(f.second))
}

func (f DuplicateRun) String() string {
	return fmt.Sprintf("request ran %d times: %s; %s", len(f.runs), acceptanceText(f.runs[0]), acceptanceText(f.runs[1]))
}

func (f NotRunRan) String() string {
	return fmt.Sprintf("answered not-run, but ran: %s; %s", callText(f.call), acceptanceText(f.run))
}

func (f DoneNeverRan) String() string { return "answered done, but never ran: " + callText(f.call) }

func (f ForeignAnswer) String() string {
	return fmt.Sprintf("answer of another request (%q, digest %s, expected %s): %s",
		f.call.EchoedRequestID, f.call.Digest, f.call.ExpectedDigest, callText(f.call))
}

func (f TruncatedAsComplete) String() string {
	return fmt.Sprintf("body of %d of %d bytes passed as complete: %s", f.call.Bytes, f.call.ExpectedBytes, callText(f.call))
}

func (f ConfigurationBack) String() string {
	return fmt.Sprintf("configuration version went from %d back to %d: %s", f.before.ConfigVersion, f.after.ConfigVersion, callText(f.after))
}

func (f AcceptedNotInForce) String() string {
	return fmt.Sprintf("done under configuration version %d after the acceptance of %d: %s", f.call.ConfigVersion, f.version, callText(f.call))
}

func (f LostEffect) String() string {
	return "answered done, but its effect is lost: " + callText(f.call)
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
