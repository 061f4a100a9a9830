package app

import "context"

// prober asks other sidecars for their load, to learn whether they can be reached. It
// implements dispatch.Prober.
type prober struct{ app *App }

// Probe asks the sidecar of the named instance in the background.
func (p *prober) Probe(name string, report func(reachable bool)) {
	a := p.app
	a.goOnce("probe", func() {
		reachable := false
		// Also after a panic: the next probe waits for the report.
		defer func() { report(reachable) }()
		address, ok := a.state.peerAddress(name)
		if !ok {
			return
		}
		var response loadResponse
		if err := a.peers.call(context.Background(), address, pathLoad, struct{}{}, &response); err != nil {
			a.log.Debug().Err(err).Str("instance", name).Msg("probeOfInstanceFailed")
			return
		}
		reachable = response.Serving
	})
}

// peerAddress returns the address for control messages of an instance, or false if it is not
// known.
func (s *state) peerAddress(name string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.view.Member(name)
	return m.Instance.PeerAddress(), ok
}
