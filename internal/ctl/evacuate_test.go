package ctl

import (
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/evacuation"
)

// An operator evacuates a data centre, sees it in the list and in the status, and takes it back.
func TestEvacuateCommands(t *testing.T) {
	b := newTestEnv(t)
	run := func(argv ...string) string {
		out, err := b.run(argv...)
		assert.NilError(t, err)
		return out
	}
	assert.Equal(t, run("evacuate", "list"), "no data centre is evacuated\n")
	run("evacuate", "dohoku-a")
	assert.Equal(t, run("evacuate", "dohoku-b"), "evacuated: dohoku-a\nevacuated: dohoku-b\n")
	assert.Equal(t, run("evacuate", "--undo", "dohoku-a"), "evacuated: dohoku-b\n")
	names, err := evacuation.Rows{Table: b.store.For("").Table}.List(context.Background())
	assert.NilError(t, err)
	assert.DeepEqual(t, names, []string{"dohoku-b"})
	assert.Assert(t, strings.Contains(run("status"), "evacuated: dohoku-b\n"))
	_, err = b.run("evacuate", strings.Repeat("x", evacuation.MaxName+1))
	assert.Assert(t, IsUsage(err))
	b.store.Down(true)
	_, err = b.run("evacuate", "list")
	assert.Assert(t, err != nil && !IsUsage(err))
}
