package app

import (
	"net"

	"github.com/rotisserie/eris"

	"briarwell.dev/core/settings"
)

// listeners holds the bound addresses of a daemon.
type listeners struct {
	callers net.Listener
	peers   net.Listener
	local   net.Listener
}

// bindListeners binds all addresses. If one can't be bound, it closes the others.
func bindListeners(s settings.Daemon) (listeners, error) {
	var bound listeners
	for _, binding := range []struct {
		field   string
		address string
		target  *net.Listener
	}{
		{"peerAddress", s.PeerAddress(), &bound.peers},
		{"httpAddress", s.HTTPAddress(), &bound.callers},
		{"localAddress", s.LocalAddress(), &bound.local},
	} {
		listener, err := net.Listen("tcp", binding.address)
		if err != nil {
			bound.close()
			return listeners{}, eris.Wrapf(err, "%s %s can't be bound", binding.field, binding.address)
		}
		*binding.target = listener
	}
	return bound, nil
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.peers, l.local} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
