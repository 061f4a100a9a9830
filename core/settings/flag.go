package settings

// MissingFlagError reports that a required command-line flag is missing.
type MissingFlagError struct{ flag string }

// NewMissingFlagError returns the error for a flag, whose name has no dashes.
func NewMissingFlagError(flag string) *MissingFlagError { return &MissingFlagError{flag: flag} }

// Flag returns the name of the flag, without dashes.
func (e *MissingFlagError) Flag() string { return e.flag }

func (e *MissingFlagError) Error() string { return "flag --" + e.flag + " is required" }
