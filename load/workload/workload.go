// Package workload reads workload files and generates the requests that they describe.
package workload

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
)

// File is a workload in its JSON form.
type File struct {
	// Rate is the number of requests a second, over all regions.
	Rate float64 `json:"rate"`
	// DurationSeconds is the time during which requests are sent.
	DurationSeconds float64 `json:"durationSeconds"`
	// TimeoutMillis is the timeout of one attempt. It is also sent to the daemon.
	TimeoutMillis int64 `json:"timeoutMillis"`
	// Seed determines the sequence of requests.
	Seed uint64 `json:"seed"`
	// RegionDelayMillis is the one-way delay between two regions.
	RegionDelayMillis int64     `json:"regionDelayMillis"`
	Regions           []Region  `json:"regions"`
	Services          []Service `json:"services"`
}

// Region describes the callers of one region. Weight is their share of all requests, in
// proportion to the weights of the other regions.
type Region struct {
	Name string `json:"name"`
	// ClientDelayMillis is the one-way delay to the daemons of the region. Calls to other
	// regions add RegionDelayMillis.
	ClientDelayMillis int64 `json:"clientDelayMillis"`
	Weight            int   `json:"weight"`
	// CrossRegionShare is the share of requests sent to another region, from 0 to 1.
	CrossRegionShare float64 `json:"awayShare"`
}

// Service describes the requests to one service. Weight is its share of all requests, in
// proportion to the weights of the other services.
type Service struct {
	// Name has the form "organisation/service".
	Name   string `json:"name"`
	Weight int    `json:"weight"`
	// Keys is the number of keys, or 0 for a service without keys.
	Keys int `json:"keys"`
	// Shards is the number of shards in the configuration of the service.
	Shards uint32 `json:"shards"`
	// ZipfExponent is the exponent of the Zipf distribution of key popularity, above 1,
	// or 0 for a uniform distribution.
	ZipfExponent float64 `json:"zipf"`
	// HotKeyTraffic is nil if no requests go to designated hot keys.
	HotKeyTraffic *HotKeyTraffic `json:"festival"`
	Routes        []Route        `json:"routes"`
}

// HotKeyTraffic directs a share of the requests of a service to a few hot keys, which are
// replaced by others at regular intervals.
type HotKeyTraffic struct {
	// HotKeys is the number of keys that are hot at a time.
	HotKeys int `json:"hotKeys"`
	// RequestShare is the share of requests sent to hot keys, above 0 and at most 1.
	RequestShare          float64 `json:"share"`
	ChangeIntervalSeconds float64 `json:"changeSeconds"`
}

// Route is a kind of request to a service. Weight is its share of the requests to the
// service, in proportion to the weights of the other routes.
type Route struct {
	Name   string `json:"name"`
	Weight int    `json:"weight"`
	Method string `json:"method"`
	// Path is the part of the URL path after the key, or after the service if it has no
	// keys. It may have a query.
	Path       string `json:"path"`
	Idempotent bool   `json:"idempotent"`
	// BodyBytes is the length of the request body in bytes.
	BodyBytes int `json:"bodyBytes"`
	// Stream makes the caller read the response body as it arrives instead of buffering it.
	// It is for large bodies.
	Stream bool `json:"stream"`
	// MaxRetries is the maximum number of retries of a request without outcome done.
	MaxRetries int `json:"repeats"`
}

// Problem is an invalid field of a workload file.
type Problem struct {
	path    string
	found   any
	allowed string
}

// Path returns the path of the field, such as "services[0].routes[1].method".
func (p Problem) Path() string { return p.path }

func (p Problem) String() string {
	return fmt.Sprintf("%s: found %v, allowed: %s", p.path, p.found, p.allowed)
}

// InvalidError reports all invalid fields of a workload file.
type InvalidError struct {
	problems []Problem
}

// Problems returns the invalid fields, at least one, in the order in which they are
// checked.
func (e *InvalidError) Problems() []Problem { return e.problems }

func (e *InvalidError) Error() string {
	texts := make([]string, 0, len(e.problems))
	for _, p := range e.problems {
		texts = append(texts, p.String())
	}
	return "workload file is invalid: " + strings.Join(texts, "; ")
}

// ReadFile reads and validates a workload file. It returns the error of reading the file or
// an error of Parse.
func ReadFile(path string) (File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return File{}, err
	}
	return Parse(text)
}

// Parse decodes and validates the JSON text of a workload file. It returns an error that
// wraps the JSON error for malformed text or an unknown field, an error for text after
// the JSON object, or an *InvalidError.
func Parse(text []byte) (File, error) {
	var file File
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&file); err != nil {
		return File{}, fmt.Errorf("parse workload file: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return File{}, errors.New("parse workload file: text after the end of the JSON object")
	}
	if problems := file.validate(); len(problems) > 0 {
		return File{}, &InvalidError{problems: problems}
	}
	return file, nil
}

// validator collects the problems of a workload file.
type validator struct {
	problems []Problem
}

// require adds a problem of the field at path unless ok is true.
func (v *validator) require(ok bool, path string, found any, allowed string) {
	if !ok {
		v.problems = append(v.problems, Problem{path: path, found: found, allowed: allowed})
	}
}

func (f File) validate() []Problem {
	v := &validator{}
	v.require(f.Rate > 0, "rate", f.Rate, "above 0")
	v.require(f.DurationSeconds > 0, "durationSeconds", f.DurationSeconds, "above 0")
	v.require(f.TimeoutMillis > 0, "timeoutMillis", f.TimeoutMillis, "above 0")
	v.require(f.RegionDelayMillis >= 0, "regionDelayMillis", f.RegionDelayMillis, "0 or more")
	v.require(len(f.Regions) > 0, "regions", "none", "at least one")
	v.require(len(f.Services) > 0, "services", "none", "at least one")
	for i, r := range f.Regions {
		path := fmt.Sprintf("regions[%d].", i)
		v.require(r.Name != "", path+"name", `""`, "a name")
		v.require(r.Weight > 0, path+"weight", r.Weight, "above 0")
		v.require(r.ClientDelayMillis >= 0, path+"clientDelayMillis", r.ClientDelayMillis, "0 or more")
		v.require(r.CrossRegionShare >= 0 && r.CrossRegionShare <= 1, path+"awayShare", r.CrossRegionShare, "0 to 1")
	}
	for i, s := range f.Services {
		s.validate(v, fmt.Sprintf("services[%d].", i))
	}
	return v.problems
}

func (s Service) validate(v *validator, path string) {
	organisation, name, _ := strings.Cut(s.Name, "/")
	v.require(organisation != "" && name != "" && !strings.Contains(name, "/"), path+"name", s.Name, "organisation/service")
	v.require(s.Weight > 0, path+"weight", s.Weight, "above 0")
	v.require(s.Keys >= 0, path+"keys", s.Keys, "0 or more")
	v.require((s.Keys > 0) == (s.Shards > 0), path+"shards", s.Shards, "above 0 if and only if there are keys")
	v.require(s.ZipfExponent == 0 || s.ZipfExponent > 1, path+"zipf", s.ZipfExponent, "0 or above 1")
	if f := s.HotKeyTraffic; f != nil {
		v.require(f.HotKeys > 0 && f.HotKeys <= s.Keys, path+"festival.hotKeys", f.HotKeys, "1 to the number of keys")
		v.require(f.RequestShare > 0 && f.RequestShare <= 1, path+"festival.share", f.RequestShare, "above 0, at most 1")
		v.require(f.ChangeIntervalSeconds > 0, path+"festival.changeSeconds", f.ChangeIntervalSeconds, "above 0")
	}
	v.require(len(s.Routes) > 0, path+"routes", "none", "at least one")
	for i, r := range s.Routes {
		r.validate(v, fmt.Sprintf("%sroutes[%d].", path, i))
	}
}

func (r Route) validate(v *validator, path string) {
	methods := map[string]bool{"GET": true, "HEAD": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true}
	v.require(r.Name != "", path+"name", `""`, "a name")
	v.require(r.Weight > 0, path+"weight", r.Weight, "above 0")
	v.require(methods[r.Method], path+"method", r.Method, "GET, HEAD, POST, PUT, PATCH or DELETE")
	v.require(r.Path == "" || strings.HasPrefix(r.Path, "/"), path+"path", r.Path, "empty or with a leading slash")
	v.require(r.BodyBytes >= 0, path+"bodyBytes", r.BodyBytes, "0 or more")
	v.require(r.MaxRetries >= 0, path+"repeats", r.MaxRetries, "0 or more")
}
