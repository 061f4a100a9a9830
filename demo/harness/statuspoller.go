package harness

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"briarwell.dev/core/audit/record"
	"briarwell.dev/core/ownership"
	"briarwell.dev/core/peer/peerpb"
	"briarwell.dev/core/table/httptable"
)

// statusInterval is the pause between two status calls to a daemon.
const statusInterval = 250 * time.Millisecond

// StatusPoller polls the daemons for their configuration versions.
type StatusPoller struct {
	stop    context.CancelFunc
	pollers conc.WaitGroup
	mutex   sync.Mutex
	calls   []record.Call
}

// StartStatusPoller starts polling all daemons. Polling ends with Stop or ctx.
func (c *Cluster) StartStatusPoller(ctx context.Context) *StatusPoller {
	ctx, stop := context.WithCancel(ctx)
	p := &StatusPoller{stop: stop}
	for _, i := range c.instances {
		p.pollers.Go(func() { p.pollDaemon(ctx, i.addresses.Peer) })
	}
	return p
}

// Stop ends the polling and returns one record for each status response. The records
// have the daemon, the configuration version and the times, but no request.
func (p *StatusPoller) Stop() []record.Call {
	p.stop()
	p.pollers.Wait()
	return p.calls
}

// pollDaemon polls the daemon at a peer address until ctx ends.
func (p *StatusPoller) pollDaemon(ctx context.Context, address string) {
	connection, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	client := peerpb.NewPeerClient(connection)
	for ctx.Err() == nil {
		p.recordStatus(ctx, client, address)
		select {
		case <-ctx.Done():
		case <-time.After(statusInterval):
		}
	}
}

// recordStatus calls a daemon and records its status. It ignores failures, because
// daemons are killed and frozen during a run.
func (p *StatusPoller) recordStatus(ctx context.Context, client peerpb.PeerClient, address string) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	sent := time.Now()
	status, err := client.Status(ctx, &peerpb.StatusRequest{})
	if err != nil {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.calls = append(p.calls, record.Call{
		Daemon: address, ConfigVersion: status.GetConfigVersion(),
		SentUnixMicros: sent.UnixMicro(), ReceivedUnixMicros: time.Now().UnixMicro(),
	})
}

// HotKey is a key that has its own ownership entry, apart from its shard.
type HotKey struct {
	service string
	key     string
}

// Service returns "organisation/service".
func (h HotKey) Service() string { return h.service }

// Key returns the key within the service.
func (h HotKey) Key() string { return h.key }

// HotKeys reads the hot keys of all services from the table.
func (c *Cluster) HotKeys(ctx context.Context) ([]HotKey, error) {
	client, err := httptable.New(c.TableURL())
	if err != nil {
		return nil, err
	}
	defer client.CloseIdleConnections()
	rows, _, err := client.Scan(ctx, ownership.KeyPrefix, 0)
	if err != nil {
		return nil, err
	}
	var keys []HotKey
	for _, row := range rows {
		service, groupNumber, err := ownership.ParseKey(row.Key())
		if err != nil {
			return nil, err
		}
		group, err := ownership.Decode(row.Key(), row.Value())
		if err != nil {
			return nil, err
		}
		for _, owned := range group.Units(groupNumber) {
			if key := owned.Unit().HotKey(); key != "" {
				keys = append(keys, HotKey{service: service.String(), key: key})
			}
		}
	}
	return keys, nil
}
