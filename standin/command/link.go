package command

import (
	"context"
	"errors"

	"github.com/integrii/flaggy"
	"github.com/phuslu/log"

	"briarwell.dev/standin/linkserver"
)

type linkProgram struct {
	settingsPath string
	settings     linkserver.Settings
}

func newLinkProgram() *linkProgram { return &linkProgram{} }

func (p *linkProgram) subcommand() *flaggy.Subcommand {
	command := flaggy.NewSubcommand("link")
	command.Description = "the network between regions"
	command.String(&p.settingsPath, "", "settings", "JSON settings file")
	return command
}

func (p *linkProgram) validate() []string {
	if p.settingsPath == "" {
		return []string{"--settings is missing; it takes a file"}
	}
	settings, err := linkserver.LoadSettings(p.settingsPath)
	var invalid *linkserver.SettingsError
	if errors.As(err, &invalid) {
		return invalid.Problems()
	}
	p.settings = settings
	return nil
}

func (p *linkProgram) run(ctx context.Context, logger *log.Logger) error {
	return linkserver.New(p.settings.Rules, logger).Run(ctx, p.settings)
}
