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
	subcommand := flaggy.NewSubcommand("link")
	subcommand.Description = "Emulates the network between regions."
	subcommand.String(&p.settingsPath, "", "settings", "JSON settings file.")
	return subcommand
}

func (p *linkProgram) validate() []string {
	if p.settingsPath == "" {
		return []string{"--settings is missing; it takes the path of a JSON file"}
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
