package upstreamserver

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"

	"briarwell.dev/core/upstream/announce"
)

const (
	// announceRetryInterval is the time between two announcements until one is accepted.
	announceRetryInterval = 100 * time.Millisecond
	// announceInterval is the time between two announcements afterwards, so that
	// a restarted daemon learns of its upstream.
	announceInterval = time.Second
	// announceTimeout bounds one announcement.
	announceTimeout = time.Second
	// maxDrainAttempts bounds the messages to a daemon that does not answer.
	maxDrainAttempts = 20
)

// Announce announces the upstream to its daemon until ctx ends.
func (s *Server) Announce(ctx context.Context, logger *log.Logger) {
	if s.settings.DaemonURL == "" {
		return
	}
	service := s.settings.Service
	message := announce.Announcement{
		Service:         service.Name(),
		Organisation:    service.Organisation(),
		Address:         s.settings.Address,
		Slots:           s.settings.Slots,
		Connections:     s.settings.MaxConnections,
		Fencing:         s.settings.Fencing,
		ColdStartMillis: s.settings.ColdStart.Milliseconds(),
	}
	last := "none"
	for ctx.Err() == nil {
		s.gate.wait()
		pause, result := announceRetryInterval, "accepted"
		if err := s.postToDaemon(announce.PathAnnounce, message); err != nil {
			result = err.Error()
		} else {
			pause = announceInterval
		}
		if result != last {
			logger.Info().Str("daemon", s.settings.DaemonURL).Str("result", result).Msg("announced")
			last = result
		}
		sleep(ctx, pause)
	}
}

// AnnounceDrain tells the daemon that the upstream is leaving.
func (s *Server) AnnounceDrain() error {
	s.draining.Store(true)
	if s.settings.DaemonURL == "" {
		return nil
	}
	service := s.settings.Service
	return s.postToDaemon(announce.PathDrain, announce.Drain{
		Service: service.Name(), Organisation: service.Organisation(), Address: s.settings.Address,
	})
}

// Drain tells the daemon that the upstream is leaving, then waits until the
// daemon has taken its grants back and no order has been in flight for quiet,
// or ctx ends. It returns the last error of telling the daemon.
func (s *Server) Drain(ctx context.Context, quiet time.Duration) error {
	err := s.AnnounceDrain()
	for tries := 1; err != nil && tries < maxDrainAttempts && sleep(ctx, announceRetryInterval); tries++ {
		err = s.AnnounceDrain()
	}
	since := time.Now()
	for ctx.Err() == nil && time.Since(since) < quiet {
		if s.inFlight.Load() > 0 || s.grants.isActive(time.Now().UnixMilli()) {
			since = time.Now()
		}
		sleep(ctx, pollInterval)
	}
	return err
}

func (s *Server) postToDaemon(path string, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetRequestURI(s.settings.DaemonURL + path)
	req.SetBodyRaw(body)
	if err := fasthttp.DoTimeout(req, resp, announceTimeout); err != nil {
		return err
	}
	if status := resp.StatusCode(); status < 200 || status > 299 {
		return fmt.Errorf("status %d: %s", status, resp.Body())
	}
	return nil
}
