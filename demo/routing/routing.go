// Package routing runs the main demonstration of briarwell: every daemon accepts requests
// for any key and routes them to the owner of the key.
package routing

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/valyala/fasthttp"

	"briarwell.dev/core/outcome"
	"briarwell.dev/demo/harness"
)

const (
	// keyCount is the number of keys of each service that are requested from every daemon.
	keyCount    = 12
	callTimeout = 2 * time.Second
	// ownershipTimeout bounds the wait until all daemons route a key to the same owner.
	ownershipTimeout = 20 * time.Second
	// pollInterval is the delay between two rounds of requests to all daemons.
	pollInterval = 200 * time.Millisecond
)

// keyResponse holds the headers of a daemon's response for a key. If no response arrived,
// reason is the error text and the other fields are empty.
type keyResponse struct {
	outcome  string
	reason   string
	servedBy string
	epoch    string
}

// OwnerMismatchError reports keys for which the requests through different daemons were
// not all served by one owner, or differ from the records of the upstreams.
type OwnerMismatchError struct {
	problems []string
}

// Problems returns a description of each mismatch, at least one.
func (e *OwnerMismatchError) Problems() []string { return e.problems }

func (e *OwnerMismatchError) Error() string {
	return fmt.Sprintf("%d responses or records do not match the owner of their key, the first: %s", len(e.problems), e.problems[0])
}

// Run starts the cluster, applies the example configuration, and requests the same keys
// from every daemon. It returns an *OwnerMismatchError if the responses for a key name
// different owners, have an outcome other than done, or differ from the records of the
// upstreams. It writes a table of the owners to out.
func Run(ctx context.Context, cluster *harness.Cluster, out io.Writer) error {
	if err := StartCluster(ctx, cluster, out); err != nil {
		return err
	}
	for _, service := range KeyedServices(cluster) {
		if err := checkService(ctx, cluster, service, out); err != nil {
			return err
		}
	}
	return nil
}

// StartCluster starts the cluster and applies the example configuration. It returns when all
// daemons and upstreams are ready.
func StartCluster(ctx context.Context, cluster *harness.Cluster, out io.Writer) error {
	start := time.Now()
	if err := cluster.StartPlatform(ctx); err != nil {
		return err
	}
	if err := cluster.ApplyExamples(ctx); err != nil {
		return err
	}
	if err := cluster.StartInstances(ctx); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "%d daemons and upstreams are ready after %.1f s; logs are in %s\n",
		len(cluster.Instances()), time.Since(start).Seconds(), cluster.Processes().Folder())
	return err
}

// KeyedServices returns the names of the services with keys, in the order of their first
// instance.
func KeyedServices(cluster *harness.Cluster) []string {
	var names []string
	for _, i := range cluster.Instances() {
		if s := i.Service(); !s.Unkeyed && !slices.Contains(names, s.Name) {
			names = append(names, s.Name)
		}
	}
	return names
}

// checkService requests the keys of a service from all daemons until every key has one
// owner, and then compares the responses with the records of the upstreams. It repeats
// the requests because shards still move between new members right after the start.
func checkService(ctx context.Context, cluster *harness.Cluster, service string, out io.Writer) error {
	deadline := time.Now().Add(ownershipTimeout)
	for {
		responses, problems := queryDaemons(cluster, service)
		if len(problems) == 0 {
			return checkAcceptances(out, cluster, service, responses)
		}
		if time.Now().After(deadline) {
			return &OwnerMismatchError{problems: problems}
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), &OwnerMismatchError{problems: problems})
		case <-time.After(pollInterval):
		}
	}
}

// queryDaemons requests every key from every daemon. It returns the responses for each key
// in the order of the daemons, and a description of each response that is not done or
// differs from that of the first daemon.
func queryDaemons(cluster *harness.Cluster, service string) ([][]keyResponse, []string) {
	var problems []string
	responses := make([][]keyResponse, keyCount)
	for n := range keyCount {
		for _, i := range cluster.Instances() {
			response := queryKey(i.Addresses().HTTP, service, keyName(n))
			responses[n] = append(responses[n], response)
			first := responses[n][0]
			if response.outcome != "done" || response.servedBy != first.servedBy || response.epoch != first.epoch {
				problems = append(problems, fmt.Sprintf("key %s of %s: response of daemon %s: %+v, of the first daemon: %+v",
					keyName(n), service, i.Name(), response, first))
			}
		}
	}
	return responses, problems
}

func keyName(n int) string { return fmt.Sprintf("k%07d", n) }

// queryKey requests a key from the daemon at the address.
func queryKey(address, service, key string) keyResponse {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + "/" + service + "/" + key)
	if err := fasthttp.DoTimeout(request, response, callTimeout); err != nil {
		return keyResponse{reason: err.Error()}
	}
	header := func(name string) string { return string(response.Header.Peek(name)) }
	return keyResponse{
		outcome: header(outcome.HeaderOutcome), reason: header(outcome.HeaderReason),
		servedBy: header(outcome.HeaderServedBy), epoch: header(outcome.HeaderEpoch),
	}
}

// checkAcceptances compares the responses with the requests that the upstreams recorded. In
// the epoch of the responses for a key, only the upstream that they name may have run
// requests for the key, and at least one per response. It then prints the owners.
func checkAcceptances(out io.Writer, cluster *harness.Cluster, service string, responses [][]keyResponse) error {
	acceptances, err := cluster.Acceptances()
	if err != nil {
		return err
	}
	var problems []string
	for n, keyResponses := range responses {
		runCount := 0
		for _, acceptance := range acceptances {
			if acceptance.ServiceName() != service || acceptance.Key != keyName(n) || strconv.FormatUint(acceptance.Epoch, 10) != keyResponses[0].epoch {
				continue
			}
			runCount++
			if acceptance.Upstream != keyResponses[0].servedBy {
				problems = append(problems, fmt.Sprintf("key %s of %s: request ran at %s, but the response names %s", keyName(n), service, acceptance.Upstream, keyResponses[0].servedBy))
			}
		}
		if runCount < len(keyResponses) {
			problems = append(problems, fmt.Sprintf("key %s of %s: %d requests ran for %d responses", keyName(n), service, runCount, len(keyResponses)))
		}
	}
	if len(problems) > 0 {
		return &OwnerMismatchError{problems: problems}
	}
	return printOwners(out, cluster, service, responses)
}

func printOwners(out io.Writer, cluster *harness.Cluster, service string, responses [][]keyResponse) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "service\tkey\tserved by\tepoch\tdaemons that agree")
	for n, keyResponses := range responses {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d of %d\n", service, keyName(n), keyResponses[0].servedBy, keyResponses[0].epoch, len(keyResponses), len(cluster.Instances()))
	}
	return table.Flush()
}
