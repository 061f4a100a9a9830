package httpobject_test

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"briarwell.dev/core/object"
	"briarwell.dev/core/object/httpobject"
	"briarwell.dev/core/object/memory"
)

// startServer starts an object store and returns its URL. change may alter each response
// to a GET.
func startServer(t *testing.T, change func(*fasthttp.RequestCtx)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	objects := make(map[string][]byte)
	s := &fasthttp.Server{Concurrency: 1, Handler: func(ctx *fasthttp.RequestCtx) {
		name := string(ctx.Path())
		if ctx.IsPut() {
			objects[name] = append([]byte{}, ctx.PostBody()...)
			return
		}
		if body, ok := objects[name]; ok {
			ctx.SetBody(body)
		} else {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
		change(ctx)
	}}
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	return "http://" + listener.Addr().String()
}

// Guards against stores that return another body than was put, or that return the wrong
// type of error.
func TestStores(t *testing.T) {
	remote, err := httpobject.New(startServer(t, func(*fasthttp.RequestCtx) {}))
	if err != nil {
		t.Fatal(err)
	}
	for name, store := range map[string]object.Store{"memory": memory.New(), "http": remote} {
		t.Run(name, func(t *testing.T) {
			is, ctx := is.New(t), context.Background()
			for _, text := range []string{"", "a", strings.Repeat("x", 1<<20)} {
				body := []byte(text)
				digest, err := store.Put(ctx, body)
				is.NoErr(err)
				if len(body) > 0 {
					body[0] = 'y' // the caller may modify its buffer after Put
				}
				found, err := store.Get(ctx, digest)
				is.NoErr(err)
				is.Equal(string(found), text)
			}
			_, err := store.Get(ctx, object.DigestOf([]byte("none")))
			var missing *object.NotFoundError
			is.True(errors.As(err, &missing))
			ended, cancel := context.WithCancel(ctx)
			cancel()
			_, err = store.Put(ended, nil)
			var outage *object.OutageError
			is.True(errors.As(err, &outage))
		})
	}
}

// Guards against an altered body or an error response that is taken for the object.
func TestDamagedResponses(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	var mismatch *object.MismatchError
	var outage *object.OutageError
	for _, c := range []struct {
		change func(*fasthttp.RequestCtx)
		target any
	}{
		{func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("other") }, &mismatch},
		{func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(500) }, &outage},
		{func(ctx *fasthttp.RequestCtx) {
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(net.Conn) {})
		}, &outage},
	} {
		store, err := httpobject.New(startServer(t, c.change))
		is.NoErr(err)
		digest, err := store.Put(ctx, []byte("body"))
		is.NoErr(err)
		_, err = store.Get(ctx, digest)
		is.True(errors.As(err, c.target))
	}
	store, err := httpobject.New("http://127.0.0.1:1")
	is.NoErr(err)
	_, err = store.Put(ctx, nil)
	is.True(errors.As(err, &outage))
	var malformed *object.DigestError
	_, err = store.Get(ctx, "../secret")
	is.True(errors.As(err, &malformed))
}
