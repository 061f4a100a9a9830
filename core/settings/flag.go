package settings

// MissingFlagError reports a required flag of a command line that was not given.
type MissingFlagError struct{ flag string }

// NewMissingFlagError returns the error for a flag, which is named without dashes.
func NewMissingFlagError(flag string) *MissingFlagError { return &MissingFlagError{flag: flag} }

// Flag returns the flag's name.
func (e *MissingFlagError) Flag() string { return e.flag }

func (e *MissingFlagError) Error() string { return "flag --" + e.flag + " is required" }
