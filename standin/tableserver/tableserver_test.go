package tableserver_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"briarwell.dev/core/table"
	"briarwell.dev/core/table/httptable"
	"briarwell.dev/core/table/token"
	"briarwell.dev/standin/server"
	"briarwell.dev/standin/tableserver"
)

// fixture is a table server that tests control through its /admin/ paths.
type fixture struct {
	t   *testing.T
	url string
}

func startServer(t *testing.T) (*fixture, *httptable.Table) {
	listener, err := server.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, listener, server.New((&tableserver.Server{}).Handle)) }()
	f := &fixture{t: t, url: "http://" + listener.Addr().String()}
	client, err := httptable.New(f.url)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		client.CloseIdleConnections()
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return f, client
}

func (f *fixture) setFaults(settings tableserver.Faults, status int) {
	f.t.Helper()
	body, _ := json.Marshal(settings)
	response, err := http.Post(f.url+"/admin/faults", "application/json", bytes.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != status {
		f.t.Fatalf("status %d, want %d", response.StatusCode, status)
	}
}

func putTransaction(i int) table.Transaction {
	key := "k/" + strconv.Itoa(i)
	return table.NewTransaction([]table.Condition{table.NewCondition(key, 0)}, []table.Mutation{table.NewPut(key, nil)})
}

// Guards against outage, dropped-response and delay settings that have no effect, and
// against a commit that takes effect during an outage.
func TestFaults(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	f, client := startServer(t)
	var outage *table.OutageError
	f.setFaults(tableserver.Faults{Outage: true}, 200)
	_, err := client.Commit(ctx, putTransaction(1))
	is.True(errors.As(err, &outage))
	f.setFaults(tableserver.Faults{LoseNextCommits: 1}, 200)
	rows, err := client.Read(ctx, []string{"k/1"})
	is.NoErr(err)
	is.Equal(rows[0].Version(), table.Revision(0)) // an outage has no effect
	_, err = client.Commit(ctx, putTransaction(1))
	is.True(errors.As(err, &outage))
	rows, err = client.Read(ctx, []string{"k/1"})
	is.NoErr(err)
	is.Equal(rows[0].Version(), table.Revision(1)) // the response was dropped after the commit took effect
	f.setFaults(tableserver.Faults{DelayMillis: 50}, 200)
	sentAt := time.Now()
	_, err = client.Commit(ctx, putTransaction(2))
	is.NoErr(err)
	is.True(time.Since(sentAt) >= 50*time.Millisecond)
	f.setFaults(tableserver.Faults{LoseCommitShare: 2}, 400)
}

// Guards against calls that exceed the rate limits.
func TestRateLimits(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	f, client := startServer(t)
	f.setFaults(tableserver.Faults{WriteLimit: 100, ReadLimit: 200}, 200)
	startedAt := time.Now()
	for i := range 21 {
		_, err := client.Commit(ctx, putTransaction(i))
		is.NoErr(err)
	}
	is.True(time.Since(startedAt) >= 200*time.Millisecond)
	startedAt = time.Now()
	for range 21 {
		_, err := client.Read(ctx, []string{"k/1"})
		is.NoErr(err)
	}
	is.True(time.Since(startedAt) >= 100*time.Millisecond)
}

// Guards against a token client and a table client that pass their own tests but lose or
// repeat commits when combined: the server drops half of the responses, and each commit
// must be applied once.
func TestTokenClientWithDroppedResponses(t *testing.T) {
	is := is.New(t)
	f, client := startServer(t)
	f.setFaults(tableserver.Faults{LoseCommitShare: 0.5, Seed: 1, WriteLimit: -1, ReadLimit: -1}, 200)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	rows := token.New(client, token.Seed(1), token.Backoff(1, 4))
	var last table.Revision
	for i := range 50 {
		revision, err := rows.Commit(ctx, putTransaction(i))
		is.NoErr(err)
		is.True(revision > last)
		last = revision
	}
	f.setFaults(tableserver.Faults{}, 200)
	found, _, err := rows.Scan(ctx, "k/", 0)
	is.NoErr(err)
	is.Equal(len(found), 50)
}
