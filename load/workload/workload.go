// Package workload reads workload files and draws requests from them.
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

// File is the JSON form of a workload.
type File struct {
	// Rate is the number of requests a second, over all regions.
	Rate float64 `json:"rate"`
	// DurationSeconds is the time in which requests are sent.
	DurationSeconds float64 `json:"durationSeconds"`
	// TimeoutMillis is the time that a caller waits for one attempt.
	TimeoutMillis int64 `json:"timeoutMillis"`
	// Seed fixes the sequence of requests.
	Seed uint64 `json:"seed"`
	// RegionDelayMillis is the one-way delay to a daemon of another region.
	RegionDelayMillis int64     `json:"regionDelayMillis"`
	Regions           []Region  `json:"regions"`
	Services          []Service `json:"services"`
}

// Region holds callers that send to the daemons of their region.
type Region struct {
	Name string `json:"name"`
	// ClientDelayMillis is the one-way delay to the daemons of the region.
	ClientDelayMillis int64 `json:"clientDelayMillis"`
	Weight            int   `json:"weight"`
	// CrossRegionShare is the share of requests sent to another region, 0 to 1.
	CrossRegionShare float64 `json:"awayShare"`
}

// Service is a service and its share of the requests.
type Service struct {
	// Name is "organisation/service".
	Name   string `json:"name"`
	Weight int    `json:"weight"`
	// Keys is the number of keys, 0 for a service without keys.
	Keys int `json:"keys"`
	// Shards is the number of shards that the organisation configures.
	Shards uint32 `json:"shards"`
	// ZipfExponent is the exponent of the popularity of keys, above 1; 0 means uniform.
	ZipfExponent  float64        `json:"zipf"`
	HotKeyTraffic *HotKeyTraffic `json:"festival"`
	Routes        []Route        `json:"routes"`
}

// HotKeyTraffic sends a share of the requests to a few keys that change.
type HotKeyTraffic struct {
	HotKeys               int     `json:"hotKeys"`
	RequestShare          float64 `json:"share"`
	ChangeIntervalSeconds float64 `json:"changeSeconds"`
}

// Route is a kind of request.
type Route struct {
	Name   string `json:"name"`
	Weight int    `json:"weight"`
	Method string `json:"method"`
	// Path follows the key, or the service if it has no keys.
	Path       string `json:"path"`
	Idempotent bool   `json:"idempotent"`
	// BodyBytes is the length of the request body.
	BodyBytes int `json:"bodyBytes"`
	// Stream reads the response as it arrives; meant for large bodies.
	Stream bool `json:"stream"`
	// MaxRetries is how often a caller repeats a request that wasn't done.
	MaxRetries int `json:"repeats"`
}

// Problem is one fault of a workload file.
type Problem struct {
	path    string
	found   any
	allowed string
}

// Path returns the path of the field.
func (p Problem) Path() string { return p.path }

func (p Problem) String() string {
	return fmt.Sprintf("%s: found %v, allowed: %s", p.path, p.found, p.allowed)
}

// InvalidError reports all problems of a workload file.
type InvalidError struct {
	problems []Problem
}

// Problems returns the problems in the order of the file.
func (e *InvalidError) Problems() []Problem { return e.problems }

func (e *InvalidError) Error() string {
	texts := make([]string, 0, len(e.problems))
	for _, p := range e.problems {
		texts = append(texts, p.String())
	}
	return "workload is invalid: " + strings.Join(texts, "; ")
}

// ReadFile reads and checks a workload file. Errors are those of Parse and of
// reading the file.
func ReadFile(path string) (File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return File{}, err
	}
	return Parse(text)
}

// Parse checks the JSON text of a workload. It returns the JSON error of a
// malformed text or an unknown field, or an *InvalidError.
func Parse(text []byte) (File, error) {
	var file File
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&file); err != nil {
		return File{}, fmt.Errorf("parse workload: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return File{}, errors.New("parse workload: text after the end of the object")
	}
	if problems := file.validate(); len(problems) > 0 {
		return File{}, &InvalidError{problems: problems}
	}
	return file, nil
}

// validator collects problems below a path.
type validator struct {
	problems []Problem
}

func (c *validator) require(ok bool, path string, found any, allowed string) {
	if !ok {
		c.problems = append(c.problems, Problem{path: path, found: found, allowed: allowed})
	}
}

func (f File) validate() []Problem {
	c := &validator{}
	c.require(f.Rate > 0, "rate", f.Rate, "above 0")
	c.require(f.DurationSeconds > 0, "durationSeconds", f.DurationSeconds, "above 0")
	c.require(f.TimeoutMillis > 0, "timeoutMillis", f.TimeoutMillis, "above 0")
	c.require(f.RegionDelayMillis >= 0, "regionDelayMillis", f.RegionDelayMillis, "0 or more")
	c.require(len(f.Regions) > 0, "regions", "none", "at least one")
	c.require(len(f.Services) > 0, "services", "none", "at least one")
	for i, r := range f.Regions {
		path := fmt.Sprintf("regions[%d].", i)
		c.require(r.Name != "", path+"name", `""`, "a name")
		c.require(r.Weight > 0, path+"weight", r.Weight, "above 0")
		c.require(r.ClientDelayMillis >= 0, path+"clientDelayMillis", r.ClientDelayMillis, "0 or more")
		c.require(r.CrossRegionShare >= 0 && r.CrossRegionShare <= 1, path+"awayShare", r.CrossRegionShare, "0 to 1")
	}
	for i, s := range f.Services {
		s.validate(c, fmt.Sprintf("services[%d].", i))
	}
	return c.problems
}

func (s Service) validate(c *validator, path string) {
	organisation, name, _ := strings.Cut(s.Name, "/")
	c.require(organisation != "" && name != "" && !strings.Contains(name, "/"), path+"name", s.Name, "organisation/service")
	c.require(s.Weight > 0, path+"weight", s.Weight, "above 0")
	c.require(s.Keys >= 0, path+"keys", s.Keys, "0 or more")
	c.require((s.Keys > 0) == (s.Shards > 0), path+"shards", s.Shards, "above 0 if and only if there are keys")
	c.require(s.ZipfExponent == 0 || s.ZipfExponent > 1, path+"zipf", s.ZipfExponent, "0 or above 1")
	if f := s.HotKeyTraffic; f != nil {
		c.require(f.HotKeys > 0 && f.HotKeys <= s.Keys, path+"festival.hotKeys", f.HotKeys, "1 to the number of keys")
		c.require(f.RequestShare > 0 && f.RequestShare <= 1, path+"festival.share", f.RequestShare, "above 0, at most 1")
		c.require(f.ChangeIntervalSeconds > 0, path+"festival.changeSeconds", f.ChangeIntervalSeconds, "above 0")
	}
	c.require(len(s.Routes) > 0, path+"routes", "none", "at least one")
	for i, r := range s.Routes {
		r.validate(c, fmt.Sprintf("%sroutes[%d].", path, i))
	}
}

func (r Route) validate(c *validator, path string) {
	methods := map[string]bool{"GET": true, "HEAD": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true}
	c.require(r.Name != "", path+"name", `""`, "a name")
	c.require(r.Weight > 0, path+"weight", r.Weight, "above 0")
	c.require(methods[r.Method], path+"method", r.Method, "GET, HEAD, POST, PUT, PATCH or DELETE")
	c.require(r.Path == "" || strings.HasPrefix(r.Path, "/"), path+"path", r.Path, "empty or with a leading slash")
	c.require(r.BodyBytes >= 0, path+"bodyBytes", r.BodyBytes, "0 or more")
	c.require(r.MaxRetries >= 0, path+"repeats", r.MaxRetries, "0 or more")
}
