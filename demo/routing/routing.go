// Package routing shows the main job of briarwell: every daemon answers requests
// for any key, and each key is served by its owner.
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
	// keyCount is the number of keys that are asked for at every daemon.
	keyCount = 12
	// callTimeout bounds one request.
	callTimeout = 2 * time.Second
	// ownershipTimeout bounds the wait until all daemons know the owners.
	ownershipTimeout = 20 * time.Second
	// pollInterval separates two passes over all daemons.
	pollInterval = 200 * time.Millisecond
)

// keyResponse is what a daemon said about a key.
type keyResponse struct {
	outcome  string
	reason   string
	servedBy string
	epoch    string
}

// OwnerMismatchError reports keys that were not answered by one owner from every
// daemon.
type OwnerMismatchError struct {
	problems []string
}

// Problems returns one text for each key and daemon.
func (e *OwnerMismatchError) Problems() []string { return e.problems }

func (e *OwnerMismatchError) Error() string {
	return fmt.Sprintf("%d answers did not come from the owner of their key, the first: %s", len(e.problems), e.problems[0])
}

// Run starts the cluster, applies the example configuration, and asks every
// daemon for the same keys. It returns a *MismatchError if the answers of a key
// differ or aren't done.
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

// StartCluster starts the cluster and applies the example configuration.
func StartCluster(ctx context.Context, cluster *harness.Cluster, out io.Writer) error {
	start := time.Now()
	if err := cluster.StartPlatform(ctx); err != nil {
		return err
	}
	if err := cluster.Apply(ctx); err != nil {
		return err
	}
	if err := cluster.StartInstances(ctx); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "%d daemons and upstreams are ready after %.1f s; logs are in %s\n",
		len(cluster.Instances()), time.Since(start).Seconds(), cluster.Group().Folder())
	return err
}

// KeyedServices returns the keyed services of the cluster.
func KeyedServices(cluster *harness.Cluster) []string {
	var names []string
	for _, i := range cluster.Instances() {
		if s := i.Service(); !s.Unkeyed && !slices.Contains(names, s.Name) {
			names = append(names, s.Name)
		}
	}
	return names
}

// checkService repeats its pass over all daemons until every key has one owner: right
// after the start, shards still move between new members.
func checkService(ctx context.Context, cluster *harness.Cluster, service string, out io.Writer) error {
	deadline := time.Now().Add(ownershipTimeout)
	for {
		answers, problems := queryDaemons(cluster, service)
		if len(problems) == 0 {
			return checkAcceptances(out, cluster, service, answers)
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

// queryDaemons asks every daemon for every key and returns the answers of each key.
func queryDaemons(cluster *harness.Cluster, service string) ([][]keyResponse, []string) {
	var problems []string
	answers := make([][]keyResponse, keyCount)
	for n := range keyCount {
		for _, i := range cluster.Instances() {
			a := queryKey(i.Addresses().HTTP, service, keyName(n))
			answers[n] = append(answers[n], a)
			first := answers[n][0]
			if a.outcome != "done" || a.servedBy != first.servedBy || a.epoch != first.epoch {
				problems = append(problems, fmt.Sprintf("key %s of %s at daemon %s: %+v, at the first daemon: %+v",
					keyName(n), service, i.Name(), a, first))
			}
		}
	}
	return answers, problems
}

func keyName(n int) string { return fmt.Sprintf("k%07d", n) }

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

// checkAcceptances compares the answers with what the upstreams themselves recorded: in
// the epoch of the answers, only the upstream that they name ran orders.
func checkAcceptances(out io.Writer, cluster *harness.Cluster, service string, answers [][]keyResponse) error {
	acceptances, err := cluster.Acceptances()
	if err != nil {
		return err
	}
	var problems []string
	for n, a := range answers {
		ran := 0
		for _, accepted := range acceptances {
			if accepted.ServiceName() != service || accepted.Key != keyName(n) || strconv.FormatUint(accepted.Epoch, 10) != a[0].epoch {
				continue
			}
			ran++
			if accepted.Upstream != a[0].servedBy {
				problems = append(problems, fmt.Sprintf("key %s of %s ran at %s, answered by %s", keyName(n), service, accepted.Upstream, a[0].servedBy))
			}
		}
		if ran < len(a) {
			problems = append(problems, fmt.Sprintf("key %s of %s ran %d times for %d answers", keyName(n), service, ran, len(a)))
		}
	}
	if len(problems) > 0 {
		return &OwnerMismatchError{problems: problems}
	}
	return printOwners(out, cluster, service, answers)
}

func printOwners(out io.Writer, cluster *harness.Cluster, service string, answers [][]keyResponse) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "service\tkey\tserved by\tepoch\tdaemons that agree")
	for n, a := range answers {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d of %d\n", service, keyName(n), a[0].servedBy, a[0].epoch, len(a), len(cluster.Instances()))
	}
	return table.Flush()
}
