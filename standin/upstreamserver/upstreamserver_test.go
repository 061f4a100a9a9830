package upstreamserver_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/shard"
	"briarwell.dev/core/upstream"
	"briarwell.dev/core/upstream/announce"
	"briarwell.dev/core/upstream/httpupstream"
	"briarwell.dev/standin/server"
	"briarwell.dev/standin/upstreamserver"
)

var service = identity.NewService("attire", "bookings")

// fixture is an upstream server with a client and the path of its acceptance log.
type fixture struct {
	t       *testing.T
	server  *upstreamserver.Server
	client  *httpupstream.Upstream
	url     string
	logPath string
}

func startUpstream(t *testing.T, settings upstreamserver.Settings) *fixture {
	listener, err := server.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{t: t, url: "http://" + listener.Addr().String(), logPath: filepath.Join(t.TempDir(), "log")}
	settings.Address, settings.Service, settings.AcceptanceLog = listener.Addr().String(), service, f.logPath
	f.server, err = upstreamserver.New(settings)
	if err != nil {
		t.Fatal(err)
	}
	httpServer := server.New(f.server.Handle)
	httpServer.StreamRequestBody = true
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, listener, httpServer) }()
	f.client, err = httpupstream.New(settings.Address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		f.client.Close()
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return f
}

// send sends a request for shard 1 and returns the body of the response, or "refused " and
// the reason.
func (f *fixture) send(ctx context.Context, method, id string, epoch identity.Epoch, timeout time.Duration) (string, error) {
	response, err := f.client.Do(ctx, upstream.Request{
		Service: service, Key: "k", Shard: 1, Epoch: epoch, Method: method, Path: "/k", RequestID: id, Attempt: 1,
		DeadlineUnixMillis: time.Now().Add(timeout).UnixMilli(),
	})
	if err != nil {
		var refused *httpupstream.RefusedError
		if errors.As(err, &refused) {
			return "refused " + refused.Reason(), nil
		}
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// grant grants shard 1 under epoch until duration has passed, which may be negative.
func (f *fixture) grant(epoch identity.Epoch, duration time.Duration) {
	err := f.client.Grant(context.Background(), upstream.Grant{
		Service: service, ExpiresUnixMillis: time.Now().Add(duration).UnixMilli(),
		Shards: []upstream.GrantedShard{{Shard: shard.ID(1), Epoch: epoch}},
	})
	if err != nil {
		f.t.Fatal(err)
	}
}

// acceptances returns the lines of the acceptance log.
func (f *fixture) acceptances() []upstreamserver.Acceptance {
	body, err := os.ReadFile(f.logPath)
	if err != nil {
		f.t.Fatal(err)
	}
	var lines []upstreamserver.Acceptance
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	for decoder.More() {
		var line upstreamserver.Acceptance
		if err := decoder.Decode(&line); err != nil {
			f.t.Fatal(err)
		}
		lines = append(lines, line)
	}
	return lines
}

// Guards against an upstream that runs requests which its fencing mode forbids, or refuses
// requests by a check that does not belong to its mode.
func TestFencing(t *testing.T) {
	ctx := context.Background()
	for fencing, want := range map[upstream.Fencing][4]string{
		upstream.FencingEpoch:    {"refused epoch", "refused epoch", "refused deadline", "refused grant-expired"},
		upstream.FencingDeadline: {`{"k`, `{"k`, "refused deadline", `{"k`},
		upstream.FencingNone:     {`{"k`, `{"k`, `{"k`, `{"k`},
	} {
		t.Run(string(fencing), func(t *testing.T) {
			is := is.New(t)
			f := startUpstream(t, upstreamserver.Settings{Fencing: fencing, Slots: 2, ServiceTime: 30 * time.Millisecond})
			check := func(i int, epoch identity.Epoch, timeout time.Duration) {
				t.Helper()
				found, err := f.send(ctx, "POST", "r", epoch, timeout)
				is.NoErr(err)
				is.True(strings.HasPrefix(found, want[i]))
			}
			check(0, 5, time.Minute) // no grant
			f.grant(5, time.Minute)
			f.grant(4, time.Minute) // delayed grant of an earlier epoch
			check(1, 4, time.Minute)
			f.grant(5, time.Minute)
			found, err := f.send(ctx, "POST", "run", 5, time.Minute)
			is.NoErr(err)
			is.True(strings.Contains(found, `"run"`))
			check(2, 5, 10*time.Millisecond) // the deadline passes during the processing
			f.grant(5, -time.Second)
			check(3, 5, time.Minute)
		})
	}
}

// Guards against a request for a hot key that runs under the epoch of its shard, or under
// an equal epoch of the shard after another upstream became the owner of the key.
func TestHotKeyFencing(t *testing.T) {
	is := is.New(t)
	f := startUpstream(t, upstreamserver.Settings{Fencing: upstream.FencingEpoch, Slots: 2})
	refused := func(epoch identity.Epoch) bool {
		t.Helper()
		found, err := f.send(context.Background(), "POST", "r", epoch, time.Minute)
		is.NoErr(err)
		return found == "refused epoch"
	}
	grant := func(shards ...upstream.GrantedShard) {
		t.Helper()
		is.NoErr(f.client.Grant(context.Background(), upstream.Grant{
			Service: service, ExpiresUnixMillis: time.Now().Add(time.Minute).UnixMilli(), Shards: shards,
		}))
	}
	grant(upstream.GrantedShard{Shard: 1, Epoch: 5}, upstream.GrantedShard{Shard: 1, HotKey: "other", Epoch: 9})
	is.True(!refused(5)) // the key has no entry, so the shard's epoch applies
	grant(upstream.GrantedShard{Shard: 1, Epoch: 5}, upstream.GrantedShard{Shard: 1, HotKey: "k", Epoch: 7})
	is.True(refused(5))
	is.True(!refused(7))
	grant(upstream.GrantedShard{Shard: 1, Epoch: 7}) // another upstream owns the key
	is.True(refused(7))
	grant(upstream.GrantedShard{Shard: 1, Epoch: 7}, upstream.GrantedShard{Shard: 1, HotKey: "k", Epoch: 6}) // delayed grant
	is.True(refused(6) && refused(7))
	grant(upstream.GrantedShard{Shard: 1, HotKey: "k", Epoch: 9})
	is.True(!refused(9))
}

// Guards against a request that takes effect after the daemon cancelled it, and against a
// slot that is not released afterwards.
func TestCancellationAndOverload(t *testing.T) {
	is := is.New(t)
	f := startUpstream(t, upstreamserver.Settings{Fencing: upstream.FencingNone, Slots: 1, ServiceTime: 200 * time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := f.send(ctx, "POST", "cancelled", 1, time.Minute)
		done <- err
	}()
	awaitInFlight := func(want int) {
		for {
			load, err := f.client.Load(context.Background())
			is.NoErr(err)
			if load.InFlight == want {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}
	awaitInFlight(1)
	found, err := f.send(context.Background(), "POST", "shed", 1, time.Minute)
	is.NoErr(err)
	is.Equal(found, "refused overloaded")
	cancel()
	is.True(<-done != nil)
	awaitInFlight(0)
	found, err = f.send(context.Background(), "POST", "run", 1, time.Minute)
	is.NoErr(err)
	is.Equal(found, `{"key":"k","requests":["run"]}`)
	acceptances := f.acceptances()
	is.Equal(len(acceptances), 2)
	is.True(!acceptances[0].TookEffect && acceptances[0].RequestID == "cancelled")
	is.True(acceptances[0].EndUnixMicros-acceptances[0].StartUnixMicros < 200_000) // the request ended before its service time
	is.True(acceptances[1].TookEffect && acceptances[1].RequestID == "run" && acceptances[1].Shard == 1 && acceptances[1].Epoch == 1)
}

// Guards against a request that takes effect after its deadline because the upstream was
// frozen in between.
func TestFreeze(t *testing.T) {
	is := is.New(t)
	f := startUpstream(t, upstreamserver.Settings{Fencing: upstream.FencingDeadline, Slots: 4, ServiceTime: 50 * time.Millisecond})
	done := make(chan string, 1)
	go func() {
		found, _ := f.send(context.Background(), "POST", "r", 1, 150*time.Millisecond)
		done <- found
	}()
	for len(f.loadInFlight()) == 0 {
		time.Sleep(time.Millisecond)
	}
	response, err := http.Post(f.url+"/admin/freeze", "application/json", strings.NewReader(`{"millis":400}`))
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(<-done, "refused deadline")
	found, err := f.send(context.Background(), "GET", "", 1, time.Minute)
	is.NoErr(err)
	is.Equal(found, `{"key":"k","requests":[]}`)
}

// loadInFlight returns the JSON of the current load, or "" if no request is in flight.
func (f *fixture) loadInFlight() string {
	response, err := http.Get(f.url + "/admin/load")
	if err != nil {
		f.t.Fatal(err)
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	if strings.Contains(string(body), `"inFlight":0`) {
		return ""
	}
	return string(body)
}

// Guards against large bodies that are changed in transit, in both directions.
func TestStreams(t *testing.T) {
	const size = 20 << 20
	is := is.New(t)
	f := startUpstream(t, upstreamserver.Settings{Fencing: upstream.FencingNone, Slots: 1})
	want := sha256.New()
	_, _ = io.CopyN(want, &upstreamserver.Pattern{}, size)
	for _, path := range []string{"/k/pattern?bytes=20971520", "/k/pattern?bytes=20971520&chunked=true"} {
		response, err := f.client.Do(context.Background(), upstream.Request{Method: "GET", Path: path})
		is.NoErr(err)
		digest := sha256.New()
		_, err = io.Copy(digest, response.Body)
		is.NoErr(err)
		is.Equal(digest.Sum(nil), want.Sum(nil))
	}
	response, err := f.client.Do(context.Background(), upstream.Request{
		Method: "PUT", Path: "/k/file", Body: io.LimitReader(&upstreamserver.Pattern{}, size), ContentLength: -1,
	})
	is.NoErr(err)
	var upload upstreamserver.UploadResult
	is.NoErr(json.NewDecoder(response.Body).Decode(&upload))
	is.Equal(upload, upstreamserver.UploadResult{Bytes: size, SHA256: hex.EncodeToString(want.Sum(nil))})
}

// Guards against an announcement that is not repeated after a rejection or violates the
// protocol, and against a drain that is not announced to the daemon.
func TestAnnounceAndDrain(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	bodies := make(chan string, 10)
	calls := 0
	daemon := &fasthttp.Server{Concurrency: 1, Handler: func(ctx *fasthttp.RequestCtx) {
		if calls++; calls == 1 {
			ctx.SetStatusCode(409)
			return
		}
		bodies <- string(ctx.Path()) + " " + string(ctx.PostBody())
	}}
	go func() { _ = daemon.Serve(listener) }()
	defer daemon.Shutdown()
	f := startUpstream(t, upstreamserver.Settings{
		DaemonURL: "http://" + listener.Addr().String(), Slots: 1, MaxConnections: 2, Fencing: upstream.FencingEpoch,
	})
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		f.server.Announce(ctx, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
		close(stopped)
	}()
	path, body, _ := strings.Cut(<-bodies, " ")
	is.Equal(path, announce.PathAnnounce)
	parsed, err := announce.ParseAnnouncement([]byte(body))
	is.NoErr(err)
	is.Equal(parsed.Connections, 2)
	cancel()
	<-stopped
	grantedAt := time.Now() // before the grant, whose expiry counts from its sending
	f.grant(1, 100*time.Millisecond)
	is.NoErr(f.server.Drain(context.Background(), 10*time.Millisecond))
	is.True(time.Since(grantedAt) >= 90*time.Millisecond) // until the grant has expired
	path, body, _ = strings.Cut(<-bodies, " ")
	is.Equal(path, announce.PathDrain)
	_, err = announce.ParseDrain([]byte(body))
	is.NoErr(err)
	load, err := f.client.Load(context.Background())
	is.NoErr(err)
	is.True(load.Draining)
}
