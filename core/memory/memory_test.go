package memory_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"briarwell.dev/core/memory"
)

// endless is a reader without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// TestReadAll guards against bodies that are cut, and against an early end that looks
// complete.
func TestReadAll(t *testing.T) {
	is := is.New(t)
	text := strings.Repeat("x", 40_000)
	for _, size := range []int64{int64(len(text)), -1} {
		body, err := memory.NewBudget(1<<20).Open().ReadAll(strings.NewReader(text), size, 1<<19)
		is.NoErr(err)
		is.Equal(string(body), text)
	}
	var none *memory.Account
	body, err := none.ReadAll(strings.NewReader(""), 0, 10)
	is.NoErr(err)
	is.Equal(len(body), 0)
	for _, part := range []string{"", "half"} {
		_, err = none.ReadAll(strings.NewReader(part), 8, 10)
		is.True(errors.Is(err, io.ErrUnexpectedEOF))
	}
}

// TestEndlessBody guards against a body without end that takes more memory than its limit.
func TestEndlessBody(t *testing.T) {
	is := is.New(t)
	budget := memory.NewBudget(1 << 20)
	account := budget.Open()
	_, err := account.ReadAll(endless{}, -1, 100_000)
	var tooLarge *memory.TooLargeError
	is.True(errors.As(err, &tooLarge))
	is.Equal(tooLarge.Limit(), int64(100_000))
	is.True(budget.Used() <= 256<<10)
	_, err = account.ReadAll(endless{}, -1, 1<<30)
	var exhausted *memory.ExhaustedError
	is.True(errors.As(err, &exhausted))
	account.Close()
	is.Equal(budget.Used(), int64(0))
	is.True(account.Reserve(1) != nil) // it is closed
	_, err = account.ReadAll(bytes.NewReader(nil), 1<<40, 1<<30)
	is.True(errors.As(err, &tooLarge))
}

// TestSmallBodiesBesideLargeOnes guards against large bodies that leave no memory to small
// ones.
func TestSmallBodiesBesideLargeOnes(t *testing.T) {
	is := is.New(t)
	budget := memory.NewBudget(1 << 20)
	accepted := 0
	for range 100 {
		if budget.Open().Reserve(64<<10) == nil {
			accepted++
		}
	}
	is.Equal(accepted, 12) // three quarters of the budget
	for range 100 {
		is.NoErr(budget.Open().Reserve(2 << 10))
	}
}

// TestAbortedBody guards against a body that was given up and keeps its share of the budget, so
// that the next send of its request, or other requests, have no memory.
func TestAbortedBody(t *testing.T) {
	const limit = 1 << 20
	for name, read := range map[string]func(*memory.Account) error{
		"too large": func(a *memory.Account) error { _, err := a.ReadAll(endless{}, -1, limit/2); return err },
		"exhausted": func(a *memory.Account) error { _, err := a.ReadAll(endless{}, -1, 1<<40); return err },
		"cut":       func(a *memory.Account) error { _, err := a.ReadAll(strings.NewReader("x"), limit/2, limit); return err },
		"failed": func(a *memory.Account) error {
			_, err := a.ReadAll(io.MultiReader(io.LimitReader(endless{}, limit/4), iotest.ErrReader(io.ErrClosedPipe)), -1, limit)
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			budget := memory.NewBudget(limit)
			account := budget.Open()
			is.NoErr(account.Reserve(100)) // the body of the request
			is.NoErr(account.Expect(limit / 8))
			is.True(read(account) != nil)
			account.ReleaseExpected()
			is.Equal(budget.Used(), int64(100))
			is.NoErr(account.Reserve(limit / 2)) // the next response to the same request
			account.Close()
			is.Equal(budget.Used(), int64(0))
		})
	}
}

// TestBoundOfUnknownSize guards against a body of unknown size whose buffer grows to twice the
// largest allowed size.
func TestBoundOfUnknownSize(t *testing.T) {
	is := is.New(t)
	budget := memory.NewBudget(1 << 30)
	for _, maxBytes := range []int64{10, 1 << 10, 100_000, 1 << 20} {
		peak := int64(0)
		account := budget.Open()
		_, err := account.ReadAll(readerFunc(func(p []byte) (int, error) {
			peak = max(peak, budget.Used())
			return len(p), nil
		}), -1, maxBytes)
		var tooLarge *memory.TooLargeError
		is.True(errors.As(err, &tooLarge))
		is.Equal(peak, maxBytes+1)
		body, err := account.ReadAll(io.LimitReader(endless{}, maxBytes), -1, maxBytes)
		is.NoErr(err)
		is.Equal(int64(len(body)), maxBytes)
		account.Close()
	}
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
