package command

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/integrii/flaggy"

	"briarwell.dev/core/manifestcheck"
	"briarwell.dev/sidecar/checkmanifest"
)

// manifestChecker holds the arguments of the subcommand check-manifest.
type manifestChecker struct {
	subcommand *flaggy.Subcommand
	path       string
	against    string
	regions    string
	asJSON     bool
}

func newManifestChecker() *manifestChecker {
	c := &manifestChecker{subcommand: flaggy.NewSubcommand(checkManifestName)}
	c.subcommand.Description = "Checks a manifest before it is submitted."
	// A required positional argument that is missing would end the process with a help text.
	c.subcommand.AddPositionalValue(&c.path, "FILE", 1, false, "the manifest")
	c.subcommand.String(&c.against, "a", "against", "manifest in force, to compare with")
	c.subcommand.String(&c.regions, "r", "regions", "names of the regions that exist, separated by commas")
	c.subcommand.Bool(&c.asJSON, "j", "json", "write JSON")
	return c
}

// checkManifestName is the name of the subcommand.
const checkManifestName = "check-manifest"

// ManifestArgumentError reports invalid arguments of check-manifest.
type ManifestArgumentError struct{ problem string }

func (e *ManifestArgumentError) Error() string { return checkManifestName + ": " + e.problem }

// validateManifestArguments returns a *ManifestArgumentError if a value is empty, as from an unset
// variable of a script: flaggy takes the flag as absent, or panics, and a check would pass without
// having been made. Other subcommands and the sidecar itself are not concerned.
func validateManifestArguments(arguments []string) error {
	if len(arguments) == 0 || arguments[0] != checkManifestName {
		return nil
	}
	for _, argument := range arguments {
		if argument == "" || strings.HasPrefix(argument, "-") && strings.HasSuffix(argument, "=") {
			return &ManifestArgumentError{problem: fmt.Sprintf("argument %q has no value", argument)}
		}
	}
	return nil
}

// validate returns a *ManifestArgumentError if FILE is missing or arguments would be ignored.
func (c *manifestChecker) validate(arguments, trailing []string) error {
	switch {
	case arguments[0] != checkManifestName:
		return &ManifestArgumentError{problem: "must be the first argument"}
	case len(trailing) > 0:
		return &ManifestArgumentError{problem: "arguments after -- are not supported"}
	case c.path == "":
		return &ManifestArgumentError{problem: "FILE is missing"}
	default:
		return nil
	}
}

// regionNames returns the names of --regions, nil without that flag.
func (c *manifestChecker) regionNames() ([]string, error) {
	if c.regions == "" {
		return nil, nil
	}
	var names []string
	for _, name := range strings.Split(c.regions, ",") {
		if name = strings.TrimSpace(name); name == "" {
			return nil, &ManifestArgumentError{problem: "flag regions has an empty name"}
		}
		names = append(names, name)
	}
	return names, nil
}

// run returns exitFailed if the manifest has errors, and exitBadInput for invalid arguments or
// files that can't be read.
func (c *manifestChecker) run(arguments, trailing []string, out io.Writer) int {
	err := c.validate(arguments, trailing)
	if err != nil {
		return fail(out, exitBadInput, err)
	}
	var options checkmanifest.Options
	if options.Regions, err = c.regionNames(); err != nil {
		return fail(out, exitBadInput, err)
	}
	data, err := os.ReadFile(c.path)
	if err != nil {
		return fail(out, exitBadInput, err)
	}
	if c.against != "" {
		if options.Against, err = os.ReadFile(c.against); err != nil {
			return fail(out, exitBadInput, err)
		}
	}
	report, err := checkmanifest.Check(data, options)
	if err != nil {
		return fail(out, exitBadInput, err)
	}
	if c.asJSON {
		err = report.WriteJSON(out)
	} else {
		report.Write(out)
	}
	switch {
	case err != nil:
		return fail(out, exitFailed, err)
	case report.Count(manifestcheck.SeverityError) > 0:
		return exitFailed
	default:
		return exitOK
	}
}
