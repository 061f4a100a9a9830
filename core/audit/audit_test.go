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

func order(upstream string, epoch uint64, id, method string, start, end int64) record.Acceptance {
	return record.Acceptance{
		Upstream: upstream, Organisation: "attire", Service: "bookings", Key: "k", Shard: 7, Epoch: epoch,
		RequestID: id, Method: method, StartUnixMicros: start, EndUnixMicros: end, Effect: true,
	}
}

func call(id, outcome string, sent, received int64) record.Call {
	return record.Call{
		RequestID: id, Service: service, Key: "k", Method: "POST", Daemon: "d", Outcome: outcome, Status: 200, Complete: true,
		SentUnixMicros: sent, ReceivedUnixMicros: received,
	}
}

func kinds(h *audit.History) []string {
	findings := h.Check()
	found := make([]string, 0, len(findings))
	for _, f := range findings {
		found = append(found, f.Kind())
	}
	return found
}

// TestViolations guards against a violation of any kind that goes unreported.
func TestViolations(t *testing.T) {
	with := func(c record.Call, change func(*record.Call)) record.Call {
		change(&c)
		return c
	}
	cases := map[string]func(h *audit.History){
		"twoOwners": func(h *audit.History) {
			h.Accept(order("a", 1, "x", "POST", 10, 20), order("b", 2, "y", "GET", 15, 16))
		},
		"twoOwners, one epoch": func(h *audit.History) {
			h.Accept(order("a", 1, "x", "GET", 10, 20), order("b", 1, "y", "GET", 30, 40))
		},
		"epochBack": func(h *audit.History) {
			h.Accept(order("b", 2, "x", "GET", 10, 20), order("a", 1, "y", "GET", 30, 40))
		},
		"epochBack, one upstream": func(h *audit.History) {
			h.Accept(order("a", 2, "x", "POST", 10, 20), order("a", 1, "y", "POST", 30, 40))
		},
		"duplicateRun": func(h *audit.History) {
			h.Accept(order("a", 1, "x", "POST", 10, 20), order("b", 2, "x", "POST", 30, 40))
		},
		"notRunRan": func(h *audit.History) {
			h.Accept(order("a", 1, "x", "POST", 10, 20))
			h.Call(call("x", "not-run", 5, 15), call("x", "unknown", 16, 30))
		},
		"doneNeverRan": func(h *audit.History) { h.Call(call("x", "done", 1, 2)) },
		"doneNeverRan, no effect": func(h *audit.History) {
			stopped := order("a", 1, "x", "POST", 10, 20)
			stopped.Effect = false
			h.Accept(stopped)
			h.Call(call("x", "done", 1, 22))
		},
		"epochBack, lenient": func(h *audit.History) {
			h.Lenient(service)
			h.Accept(order("b", 2, "x", "GET", 10, 20), order("a", 1, "y", "POST", 30, 40))
		},
		"foreignAnswer": func(h *audit.History) {
			h.Call(with(call("x", "unknown", 1, 2), func(c *record.Call) { c.AnsweredID = "y" }))
		},
		"foreignAnswer, body": func(h *audit.History) {
			h.Call(with(call("x", "unknown", 1, 2), func(c *record.Call) { c.Digest, c.ExpectedDigest = "1", "2" }))
		},
		"truncatedAsComplete": func(h *audit.History) {
			h.Call(with(call("x", "unknown", 1, 2), func(c *record.Call) { c.Bytes, c.ExpectedBytes, c.Digest, c.ExpectedDigest = 3, 4, "1", "2" }))
		},
		"configurationBack": func(h *audit.History) {
			h.Call(with(call("x", "unknown", 1, 2), func(c *record.Call) { c.ConfigVersion = 9 }),
				with(call("y", "unknown", 3, 4), func(c *record.Call) { c.ConfigVersion = 8 }))
		},
		"acceptedNotInForce": func(h *audit.History) {
			h.Accepted(3, 4)
			h.Accept(order("a", 1, "x", "POST", 10, 20))
			h.Call(with(call("x", "done", 5, 25), func(c *record.Call) { c.ConfigVersion = 2 }))
		},
		"lostEffect": func(h *audit.History) {
			h.Accept(order("a", 1, "x", "POST", 10, 20))
			h.Call(call("x", "done", 5, 25))
			h.Effects(service, "k", "other")
		},
	}
	for name, build := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var h audit.History
			build(&h)
			kind, _, _ := strings.Cut(name, ",")
			is.Equal(kinds(&h), []string{kind})
		})
	}
}

// TestAllowedHistories guards against reports on valid runs.
func TestAllowedHistories(t *testing.T) {
	is := is.New(t)
	var h audit.History
	h.Accept(
		order("a", 1, "read", "GET", 10, 50),      // in flight during a handover
		order("a", 1, "write", "POST", 10, 30),    // ends as the next owner starts
		order("b", 2, "next", "POST", 30, 60),     //
		order("b", 3, "again", "POST", 40, 70),    // restart of the daemon beside one upstream
		order("b", 3, "read", "GET", 45, 70),      // idempotent repeat
		order("b", 3, "repeat", "POST", 105, 106), // after a first attempt that was not run
	)
	h.Call(call("repeat", "not-run", 80, 90), call("repeat", "done", 100, 110), call("repeat", "done", 111, 112),
		call("lost", "", 1, 2), call("refused", "not-run", 1, 2))
	h.Effects(service, "k", "repeat")
	split := order("c", 9, "hot", "POST", 40, 70)
	split.Key = "hot"
	h.Accept(split)
	h.HotKey(service, "hot")
	stopped := order("a", 1, "stopped", "POST", 10, 90)
	stopped.Effect = false
	h.Accept(stopped)
	h.Call(call("stopped", "not-run", 9, 95))
	h.Lenient("o/s")
	for _, late := range []record.Acceptance{order("b", 2, "", "POST", 30, 60), order("a", 1, "", "PUT", 50, 70)} {
		late.Organisation, late.Service = "o", "s"
		h.Accept(late)
	}
	h.Accepted(9, 101) // one answer was sent before, the other was not done
	before, refused := call("repeat", "done", 100, 120), call("refused", "not-run", 130, 140)
	before.ConfigVersion, refused.ConfigVersion = 8, 8
	before.Daemon, refused.Daemon = "e", "f"
	h.Call(before, refused)
	older, newer := call("v1", "unknown", 1, 10), call("v2", "unknown", 2, 9)
	older.ConfigVersion, newer.ConfigVersion = 1, 2
	h.Call(older, newer)
	is.Equal(kinds(&h), []string{})
}

// TestReadTornLine guards against losing a file because its writer was killed.
func TestReadTornLine(t *testing.T) {
	is := is.New(t)
	records, err := record.Read[record.Acceptance](strings.NewReader("{\"epoch\":3}\n\n{\"epo"))
	is.NoErr(err)
	is.Equal(len(records), 1)
	_, err = record.Read[record.Acceptance](strings.NewReader("{\"epoch\":3}\n{\"epo\n"))
	var lineError *record.LineError
	is.True(errors.As(err, &lineError))
	is.Equal(lineError.Line(), 2)
}
