package command

import (
	"context"
	"fmt"
	"net"

	"github.com/integrii/flaggy"
	"github.com/phuslu/log"

	"briarwell.dev/standin/server"
	"briarwell.dev/standin/tableserver"
)

type tableProgram struct {
	address string
}

func newTableProgram() *tableProgram { return &tableProgram{} }

func (p *tableProgram) subcommand() *flaggy.Subcommand {
	subcommand := flaggy.NewSubcommand("table")
	subcommand.Description = "Runs the transactional table service."
	subcommand.String(&p.address, "", "address", "IP:PORT to listen on.")
	return subcommand
}

func (p *tableProgram) validate() []string {
	return validateAddress("address", p.address)
}

func (p *tableProgram) run(ctx context.Context, logger *log.Logger) error {
	listener, err := server.Listen(p.address)
	if err != nil {
		return err
	}
	logger.Info().Str("program", "table").Str("address", listener.Addr().String()).Msg("listening")
	return server.Serve(ctx, listener, server.New((&tableserver.Server{}).Handle))
}

// validateAddress returns a problem if address, the value of flag, is not IP:PORT.
func validateAddress(flag, address string) []string {
	if address == "" {
		return []string{fmt.Sprintf("--%s is missing; it takes IP:PORT", flag)}
	}
	if _, err := net.ResolveTCPAddr("tcp", address); err != nil {
		return []string{fmt.Sprintf("--%s: found %q, allowed IP:PORT", flag, address)}
	}
	return nil
}
