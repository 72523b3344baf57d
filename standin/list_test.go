package standin

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a change that readers get before the lag has passed, and against an older version being returned
// again after the lag was increased.
func TestListLag(t *testing.T) {
	is := is.New(t)
	list := NewList()
	url := serve(t, list)
	list.Set(Instance{ID: "w-1", Kind: KindWorker, Phase: PhaseLive})
	var response ListResponse
	is.Equal(call(t, "GET", url+"/instances", nil, &response), http.StatusOK)
	is.Equal(response.Version, uint64(1))

	const hourMS = 3600 * 1000
	is.Equal(call(t, "PUT", url+"/faults", ListFaults{LagMS: hourMS}, nil), http.StatusNoContent)
	list.Set(Instance{ID: "w-1", Kind: KindWorker, Phase: PhaseLeaving})
	list.Set(Instance{ID: "e-1", Kind: KindEntry, Phase: PhaseLive})
	call(t, "GET", url+"/instances", nil, &response)
	is.Equal(response.Version, uint64(1))
	is.Equal(response.Instances, []Instance{{ID: "w-1", Kind: KindWorker, Phase: PhaseLive}})

	list.SetFaults(ListFaults{})
	list.Remove("w-1")
	call(t, "GET", url+"/instances", nil, &response)
	is.Equal(response.Version, uint64(4))
	is.Equal(response.Instances, []Instance{{ID: "e-1", Kind: KindEntry, Phase: PhaseLive}})

	list.SetFaults(ListFaults{Outage: true})
	is.Equal(call(t, "GET", url+"/instances", nil, nil), http.StatusServiceUnavailable)
}

// Guards against a second reboot for a repeated operation ID, and against a reboot during which the list does not
// show the instance as leaving and then absent.
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
		var response ListResponse
		call(t, "GET", url+"/instances", nil, &response)
		return response.Version
	}
	is.Equal(reboot("w-1", "op"), http.StatusNoContent)
	waitUntil(func() bool { return version() == 5 }) // three versions: leaving, absent and live
	is.Equal(reboot("w-1", "op"), http.StatusNoContent)
	is.Equal(reboot("w-2", "op"), http.StatusNoContent)
	waitUntil(func() bool { return version() == 7 }) // two versions: leaving and absent
	var response ListResponse
	call(t, "GET", url+"/instances", nil, &response)
	is.Equal(response.Instances, []Instance{{ID: "w-1", Kind: KindWorker, Phase: PhaseLive}})
	is.Equal(reboot("w-3", "op"), http.StatusNotFound)
	is.Equal(reboot("w-1", ""), http.StatusBadRequest)
}
