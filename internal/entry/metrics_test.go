package entry

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"pollenlead/internal/gateway"
)

// Guards against metrics that several entry instances in one process share. It would happen if they were published
// under the process-wide names of package expvar.
func TestInstancesInOneProcessHaveTheirOwnMetrics(t *testing.T) {
	is := is.New(t)
	first, second := &Instance{metrics: gateway.NewMetrics()}, &Instance{metrics: gateway.NewMetrics()}
	first.control.peers.Add(7, 11)
	is.Equal(first.controlVars()["peers_sent_bytes_total"], int64(7))
	is.Equal(first.controlVars()["peers_received_bytes_total"], int64(11))
	is.Equal(second.controlVars()["peers_sent_bytes_total"], int64(0))
	is.True(json.Valid([]byte(lazyMap(processVars).String())))
	is.True(processVars()["resident_memory_bytes"].(int64) > 0)
}
