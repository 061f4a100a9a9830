package rowfetch

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

// MaxBytes bounds a row. A manifest of this size has about 50,000 routes.
const MaxBytes = 12 << 20

// UnpackError reports packed data that can't be unpacked.
type UnpackError struct {
	size  int
	cause error
}

// Size returns the number of bytes that were unpacked before the failure.
func (e *UnpackError) Size() int { return e.size }

func (e *UnpackError) Error() string {
	return fmt.Sprintf("row can't be unpacked after %d bytes: %v", e.size, e.cause)
}

func (e *UnpackError) Unwrap() error { return e.cause }

// TooLargeError reports a row that is larger than MaxBytes.
type TooLargeError struct{}

func (*TooLargeError) Error() string { return fmt.Sprintf("row exceeds %d bytes", MaxBytes) }

// Pack compresses the value of a row.
func Pack(value []byte) ([]byte, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(value); err != nil {
		return nil, err
	}
	err = w.Close()
	return packed.Bytes(), err
}

// Unpack returns the value that Pack has compressed. The error is an *UnpackError.
func Unpack(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	value, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	if err == nil && len(value) > MaxBytes {
		err = &TooLargeError{}
	}
	if err != nil {
		return nil, &UnpackError{size: len(value), cause: err}
	}
	return value, nil
}
