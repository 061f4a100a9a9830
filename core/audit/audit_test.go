package audit_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/audit"
	"briarwell.dev/core/audit/record"
)

const service = "attire/bookings"

func newAcceptance(upstream string, epoch uint64, id, method string, start, end int64) record.Acceptance {
	return record.Acceptance{
		Upstream: upstream, Organisation: "attire", Service: "bookings", Key: "k", Shard: 7, Epoch: epoch,
		RequestID: id, Method: method, StartUnixMicros: start, EndUnixMicros: end, TookEffect: true,
	}
}

func newCall(id, outcome string, sent, received int64) record.Call {
	return record.Call{
		RequestID: id, Service: service, Key: "k", Method: "POST", Daemon: "d", Outcome: outcome, Status: 200, Complete: true,
		SentUnixMicros: sent, ReceivedUnixMicros: received,
	}
}

func findingKinds(h *audit.History) []string {
	findings := h.Check()
	kinds := make([]string, 0, len(findings))
	for _, f := range findings {
		kinds = append(kinds, f.Kind())
	}
	return kinds
}

// TestReportsViolations guards against violations that are not reported. The part of a
// case's name before the comma is the kind of the finding.
func TestReportsViolations(t *testing.T) {
	with := func(c record.Call, change func(*record.Call)) record.Call {
		change(&c)
		return c
	}
	cases := map[string]func(h *audit.History){
		"twoOwners": func(h *audit.History) {
			h.AddAcceptances(newAcceptance("a", 1, "x", "POST", 10, 20), newAcceptance("b", 2, "y", "GET", 15, 16))
		},
		"twoOwners, one epoch": func(h *audit.History) {
			h.AddAcceptances(newAcceptance("a", 1, "x", "GET", 10, 20), newAcceptance("b", 1, "y", "GET", 30, 40))
		},
		"epochBack": func(h *audit.History) {
			h.AddAcceptances(newAcceptance("b", 2, "x", "GET", 10, 20), newAcceptance("a", 1, "y", "GET", 30, 40))
		},
		"epochBack, one upstream": func(h *audit.History) {
			h.AddAcceptances(newAcceptance("a", 2, "x", "POST", 10, 20), newAcceptance("a", 1, "y", "POST", 30, 40))
		},
		"duplicateRun": func(h *audit.History) {
			h.AddAcceptances(newAcceptance("a", 1, "x", "POST", 10, 20), newAcceptance("b", 2, "x", "POST", 30, 40))
		},
		"notRunRan": func(h *audit.History) {
			h.AddAcceptances(newAcceptance("a", 1, "x", "POST", 10, 20))
			h.AddCalls(newCall("x", "not-run", 5, 15), newCall("x", "unknown", 16, 30))
		},
		"doneNeverRan": func(h *audit.History) { h.AddCalls(newCall("x", "done", 1, 2)) },
		"doneNeverRan, no effect": func(h *audit.History) {
			cancelled := newAcceptance("a", 1, "x", "POST", 10, 20)
			cancelled.TookEffect = false
			h.AddAcceptances(cancelled)
			h.AddCalls(newCall("x", "done", 1, 22))
		},
		"epochBack, deadlines only": func(h *audit.History) {
			h.MarkDeadlineOnly(service)
			h.AddAcceptances(newAcceptance("b", 2, "x", "GET", 10, 20), newAcceptance("a", 1, "y", "POST", 30, 40))
		},
		"foreignAnswer": func(h *audit.History) {
			h.AddCalls(with(newCall("x", "unknown", 1, 2), func(c *record.Call) { c.EchoedRequestID = "y" }))
		},
		"foreignAnswer, body": func(h *audit.History) {
			h.AddCalls(with(newCall("x", "unknown", 1, 2), func(c *record.Call) { c.Digest, c.ExpectedDigest = "1", "2" }))
		},
		"truncatedAsComplete": func(h *audit.History) {
			h.AddCalls(with(newCall("x", "unknown", 1, 2), func(c *record.Call) { c.Bytes, c.ExpectedBytes, c.Digest, c.ExpectedDigest = 3, 4, "1", "2" }))
		},
		"configurationBack": func(h *audit.History) {
			h.AddCalls(with(newCall("x", "unknown", 1, 2), func(c *record.Call) { c.ConfigVersion = 9 }),
				with(newCall("y", "unknown", 3, 4), func(c *record.Call) { c.ConfigVersion = 8 }))
		},
		"acceptedNotInForce": func(h *audit.History) {
			h.AddAcceptedVersion(3, 4)
			h.AddAcceptances(newAcceptance("a", 1, "x", "POST", 10, 20))
			h.AddCalls(with(newCall("x", "done", 5, 25), func(c *record.Call) { c.ConfigVersion = 2 }))
		},
		"lostEffect": func(h *audit.History) {
			h.AddAcceptances(newAcceptance("a", 1, "x", "POST", 10, 20))
			h.AddCalls(newCall("x", "done", 5, 25))
			h.AddEffects(service, "k", "other")
		},
	}
	for name, addRecords := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var h audit.History
			addRecords(&h)
			kind, _, _ := strings.Cut(name, ",")
			is.Equal(findingKinds(&h), []string{kind})
		})
	}
}

// TestAcceptsValidHistory guards against findings for valid histories.
func TestAcceptsValidHistory(t *testing.T) {
	is := is.New(t)
	var h audit.History
	h.AddAcceptances(
		newAcceptance("a", 1, "read", "GET", 10, 50),      // in flight during a handover
		newAcceptance("a", 1, "write", "POST", 10, 30),    // ends when the next owner starts
		newAcceptance("b", 2, "next", "POST", 30, 60),     // at the next owner
		newAcceptance("b", 3, "again", "POST", 40, 70),    // after a restart of the daemon, at the same upstream
		newAcceptance("b", 3, "read", "GET", 45, 70),      // retry of an idempotent request
		newAcceptance("b", 3, "repeat", "POST", 105, 106), // second attempt, since the first was not run
	)
	h.AddCalls(newCall("repeat", "not-run", 80, 90), newCall("repeat", "done", 100, 110), newCall("repeat", "done", 111, 112),
		newCall("lost", "", 1, 2), newCall("refused", "not-run", 1, 2))
	h.AddEffects(service, "k", "repeat")
	hotKey := newAcceptance("c", 9, "hot", "POST", 40, 70)
	hotKey.Key = "hot"
	h.AddAcceptances(hotKey)
	h.MarkHotKey(service, "hot")
	cancelled := newAcceptance("a", 1, "stopped", "POST", 10, 90)
	cancelled.TookEffect = false
	h.AddAcceptances(cancelled)
	h.AddCalls(newCall("stopped", "not-run", 9, 95))
	h.MarkDeadlineOnly("o/s")
	for _, a := range []record.Acceptance{newAcceptance("b", 2, "", "POST", 30, 60), newAcceptance("a", 1, "", "PUT", 50, 70)} {
		a.Organisation, a.Service = "o", "s"
		h.AddAcceptances(a)
	}
	h.AddAcceptedVersion(9, 101) // one call was sent before that, the other was not done
	sentBefore, refused := newCall("repeat", "done", 100, 120), newCall("refused", "not-run", 130, 140)
	sentBefore.ConfigVersion, refused.ConfigVersion = 8, 8
	sentBefore.Daemon, refused.Daemon = "e", "f"
	h.AddCalls(sentBefore, refused)
	older, newer := newCall("v1", "unknown", 1, 10), newCall("v2", "unknown", 2, 9)
	older.ConfigVersion, newer.ConfigVersion = 1, 2
	h.AddCalls(older, newer)
	is.Equal(findingKinds(&h), []string{})
}

// TestReadIgnoresUnfinishedLastLine guards against rejecting a whole file because its
// writer was killed within the last line, and against ignoring another malformed line.
func TestReadIgnoresUnfinishedLastLine(t *testing.T) {
	is := is.New(t)
	records, err := record.Read[record.Acceptance](strings.NewReader("{\"epoch\":3}\n\n{\"epo"))
	is.NoErr(err)
	is.Equal(len(records), 1)
	_, err = record.Read[record.Acceptance](strings.NewReader("{\"epoch\":3}\n{\"epo\n"))
	var lineError *record.LineError
	is.True(errors.As(err, &lineError))
	is.Equal(lineError.Line(), 2)
}
