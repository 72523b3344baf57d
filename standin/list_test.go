package standin

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a change that is visible before its lag is over, and a version that goes back when the lag grows.
func TestListLag(t *testing.T) {
	is := is.New(t)
	list := NewList()
	url := serve(t, list)
	list.Set(Instance{ID: "w-1", Kind: KindWorker, Phase: PhaseLive})
	var answer ListAnswer
	is.Equal(call(t, "GET", url+"/instances", nil, &answer), http.StatusOK)
	is.Equal(answer.Version, uint64(1))

	const hourMS = 3600 * 1000
	is.Equal(call(t, "PUT", url+"/faults", ListFaults{LagMS: hourMS}, nil), http.StatusNoContent)
	list.Set(Instance{ID: "w-1", Kind: KindWorker, Phase: PhaseLeaving})
	list.Set(Instance{ID: "e-1", Kind: KindEntry, Phase: PhaseLive})
	call(t, "GET", url+"/instances", nil, &answer)
	is.Equal(answer.Version, uint64(1))
	is.Equal(answer.Instances, []Instance{{ID: "w-1", Kind: KindWorker, Phase: PhaseLive}})

	list.SetFaults(ListFaults{})
	list.Remove("w-1")
	call(t, "GET", url+"/instances", nil, &answer)
	is.Equal(answer.Version, uint64(4))
	is.Equal(answer.Instances, []Instance{{ID: "e-1", Kind: KindEntry, Phase: PhaseLive}})

	list.SetFaults(ListFaults{Outage: true})
	is.Equal(call(t, "GET", url+"/instances", nil, nil), http.StatusServiceUnavailable)
}

// Guards against a reboot that is done twice for one operation, and one that the list doesn't show as an absence.
func TestListReboot(t *testing.T) {
	is := is.New(t)
	list := NewList()
	url := serve(t, list)
	list.SetRebootPhaseDuration(time.Millisecond)
	list.SetFaults(ListFaults{FailReboots: []string{"w-2"}})
	list.Set(Instance{ID: "w-1", Kind: KindWorker, Phase: PhaseLive})
	list.Set(Instance{ID: "w-2", Kind: KindWorker, Phase: PhaseLive})
	reboot := func(id, operation string) int {
		return call(t, "POST", url+"/instances/"+id+"/reboot", map[string]string{"operation_id": operation}, nil)
	}
	version := func() uint64 {
		var answer ListAnswer
		call(t, "GET", url+"/instances", nil, &answer)
		return answer.Version
	}
	is.Equal(reboot("w-1", "op"), http.StatusNoContent)
	waitUntil(func() bool { return version() == 5 }) // leaving, gone and live are three versions
	is.Equal(reboot("w-1", "op"), http.StatusNoContent)
	is.Equal(reboot("w-2", "op"), http.StatusNoContent)
	waitUntil(func() bool { return version() == 7 }) // leaving and gone
	var answer ListAnswer
	call(t, "GET", url+"/instances", nil, &answer)
	is.Equal(answer.Instances, []Instance{{ID: "w-1", Kind: KindWorker, Phase: PhaseLive}})
	is.Equal(reboot("w-3", "op"), http.StatusNotFound)
	is.Equal(reboot("w-1", ""), http.StatusBadRequest)
}
