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
	command := flaggy.NewSubcommand("table")
	command.Description = "the transactional table service"
	command.String(&p.address, "", "address", "IP:PORT to listen on")
	return command
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

// validateAddress checks a flag that holds IP:PORT.
func validateAddress(flag, address string) []string {
	if address == "" {
		return []string{fmt.Sprintf("--%s is missing; it takes IP:PORT", flag)}
	}
	if _, err := net.ResolveTCPAddr("tcp", address); err != nil {
		return []string{fmt.Sprintf("--%s: found %q, allowed IP:PORT", flag, address)}
	}
	return nil
}
