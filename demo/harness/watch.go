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

// statusInterval separates two status calls to a daemon.
const statusInterval = 250 * time.Millisecond

// StatusPoller asks the daemons for their configuration versions.
type StatusPoller struct {
	stop    context.CancelFunc
	pollers conc.WaitGroup
	mutex   sync.Mutex
	calls   []record.Call
}

// StartStatusPoller starts to ask all daemons until Stop.
func (c *Cluster) StartStatusPoller(ctx context.Context) *StatusPoller {
	ctx, stop := context.WithCancel(ctx)
	w := &StatusPoller{stop: stop}
	for _, i := range c.instances {
		w.pollers.Go(func() { w.pollDaemon(ctx, i.addresses.Peer) })
	}
	return w
}

// Stop ends the watch and returns one call for each answer. The calls name no
// request: they hold the daemon, the version and the times.
func (w *StatusPoller) Stop() []record.Call {
	w.stop()
	w.pollers.Wait()
	return w.calls
}

func (w *StatusPoller) pollDaemon(ctx context.Context, address string) {
	connection, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	client := peerpb.NewPeerClient(connection)
	for ctx.Err() == nil {
		w.recordStatus(ctx, client, address)
		select {
		case <-ctx.Done():
		case <-time.After(statusInterval):
		}
	}
}

// recordStatus ignores failures, as daemons are killed and frozen during a run.
func (w *StatusPoller) recordStatus(ctx context.Context, client peerpb.PeerClient, address string) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	sent := time.Now()
	status, err := client.Status(ctx, &peerpb.StatusRequest{})
	if err != nil {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.calls = append(w.calls, record.Call{
		Daemon: address, ConfigVersion: status.GetConfigVersion(),
		SentUnixMicros: sent.UnixMicro(), ReceivedUnixMicros: time.Now().UnixMicro(),
	})
}

// HotKey is a key with an ownership entry of its own.
type HotKey struct {
	service string
	key     string
}

// Service returns "organisation/service".
func (h HotKey) Service() string { return h.service }

// Key returns the key.
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
		service, number, err := ownership.ParseKey(row.Key())
		if err != nil {
			return nil, err
		}
		group, err := ownership.Decode(row.Key(), row.Value())
		if err != nil {
			return nil, err
		}
		for _, owned := range group.Units(number) {
			if key := owned.Unit().HotKey(); key != "" {
				keys = append(keys, HotKey{service: service.String(), key: key})
			}
		}
	}
	return keys, nil
}
