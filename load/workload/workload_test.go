package workload_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"briarwell.dev/load/workload"
)

const validWorkload = `{"rate": 10, "durationSeconds": 1, "timeoutMillis": 1000, "seed": 7,
"regions": [{"name": "lagos", "weight": 1, "clientDelayMillis": 8}],
"services": [{"name": "attire/bookings", "weight": 1, "keys": 1000, "shards": 64, "zipf": 1.2,
"festival": {"hotKeys": 61, "share": 1, "changeSeconds": 60},
"routes": [{"name": "deposit", "weight": 1, "method": "POST", "path": "/deposits"}]}]}`

// TestParseReportsProblems guards against a run with an invalid workload file, and against
// an error that does not name the invalid field.
func TestParseReportsProblems(t *testing.T) {
	cases := []struct{ old, changed, path string }{
		{`"rate": 10`, `"rate": 0`, "rate"},
		{`"weight": 1, "clientDelayMillis": 8`, `"weight": 1, "clientDelayMillis": -8`, "regions[0].clientDelayMillis"},
		{`attire/bookings`, `bookings`, "services[0].name"},
		{`"shards": 64`, `"shards": 0`, "services[0].shards"},
		{`"zipf": 1.2`, `"zipf": 0.9`, "services[0].zipf"},
		{`"hotKeys": 61`, `"hotKeys": 1001`, "services[0].festival.hotKeys"},
		{`"POST"`, `"FETCH"`, "services[0].routes[0].method"},
		{`"/deposits"`, `"deposits"`, "services[0].routes[0].path"},
	}
	for _, c := range cases {
		t.Run(c.path, func(t *testing.T) {
			is := is.New(t)
			_, err := workload.Parse([]byte(strings.Replace(validWorkload, c.old, c.changed, 1)))
			var invalidErr *workload.InvalidError
			is.True(errors.As(err, &invalidErr))
			is.Equal(len(invalidErr.Problems()), 1)
			is.Equal(invalidErr.Problems()[0].Path(), c.path)
		})
	}
	for _, text := range []string{strings.Replace(validWorkload, "rate", "rates", 1), validWorkload + "{}", validWorkload[:20]} {
		_, err := workload.Parse([]byte(text))
		is.New(t).True(err != nil)
	}
}

// TestGeneratorRepeatsForSeed guards against a run that its seed does not reproduce, and
// against hot keys that are too many or never change.
func TestGeneratorRepeatsForSeed(t *testing.T) {
	is := is.New(t)
	file, err := workload.Parse([]byte(validWorkload))
	is.NoErr(err)
	firstGenerator, secondGenerator := workload.NewGenerator(file), workload.NewGenerator(file)
	hotKeys := make(map[string]bool)
	for range 5000 {
		request := firstGenerator.Next(time.Second)
		is.Equal(request, secondGenerator.Next(time.Second))
		hotKeys[request.Key()] = true
	}
	is.Equal(len(hotKeys), 61)
	for range 100 {
		is.True(!hotKeys[firstGenerator.Next(90*time.Second).Key()])
	}
}
