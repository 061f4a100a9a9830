package workload_test

import (
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/load/workload"
)

// TestWorkloadFilesParse guards against workload files of this repository that Parse no
// longer accepts.
func TestWorkloadFilesParse(t *testing.T) {
	is := is.New(t)
	paths, err := filepath.Glob("../workloads/*.json")
	is.NoErr(err)
	is.True(len(paths) > 0)
	for _, path := range paths {
		_, err := workload.ReadFile(path)
		is.NoErr(err)
	}
}
