// Package local serves the instance's own HTTP address: announcements of the
// upstream, health, readiness, metrics and, below /debug/pprof, profiles.
package local

import (
	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/pprof"

	"briarwell.dev/core/metrics"
)

// Daemon is what the local address shows and drives.
type Daemon interface {
	// Ready tells whether the daemon may answer callers, and why not.
	Ready() (bool, string)
	// Announce takes an announcement of the upstream. The error, if any, says
	// what is wrong with it.
	Announce(body []byte) error
	// Drain starts a graceful leave.
	Drain()
}

// New returns the application that serves daemon and its metrics.
func New(daemon Daemon, collector *metrics.Collector) *fiber.App {
	app := fiber.New(fiber.Config{AppName: "briarwelld local"})
	app.Use(pprof.New())
	app.Get("/healthz", func(c fiber.Ctx) error {
		return c.SendString("ok\n")
	})
	app.Get("/readyz", func(c fiber.Ctx) error {
		return handleReady(c, daemon)
	})
	app.Get("/metrics", func(c fiber.Ctx) error {
		c.Set(fiber.HeaderContentType, "text/plain; version=0.0.4")
		return c.Send(collector.Render())
	})
	app.Post("/briarwell/announce", func(c fiber.Ctx) error {
		return handleAnnounce(c, daemon)
	})
	app.Post("/briarwell/drain", func(c fiber.Ctx) error {
		daemon.Drain()
		return c.SendStatus(fiber.StatusAccepted)
	})
	return app
}

func handleReady(c fiber.Ctx, daemon Daemon) error {
	ok, reason := daemon.Ready()
	if !ok {
		return c.Status(fiber.StatusServiceUnavailable).SendString(reason + "\n")
	}
	return c.SendString("ready\n")
}

func handleAnnounce(c fiber.Ctx, daemon Daemon) error {
	if err := daemon.Announce(c.Body()); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error() + "\n")
	}
	return c.SendStatus(fiber.StatusNoContent)
}
