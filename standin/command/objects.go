package command

import (
	"context"

	"github.com/integrii/flaggy"
	"github.com/phuslu/log"

	"briarwell.dev/standin/objectserver"
	"briarwell.dev/standin/server"
)

type objectsProgram struct {
	address string
}

func newObjectsProgram() *objectsProgram { return &objectsProgram{} }

func (p *objectsProgram) subcommand() *flaggy.Subcommand {
	subcommand := flaggy.NewSubcommand("objects")
	subcommand.Description = "Runs the object store."
	subcommand.String(&p.address, "", "address", "IP:PORT to listen on.")
	return subcommand
}

func (p *objectsProgram) validate() []string {
	return validateAddress("address", p.address)
}

func (p *objectsProgram) run(ctx context.Context, logger *log.Logger) error {
	listener, err := server.Listen(p.address)
	if err != nil {
		return err
	}
	logger.Info().Str("program", "objects").Str("address", listener.Addr().String()).Msg("listening")
	return server.Serve(ctx, listener, server.New((&objectserver.Server{}).Handle))
}
