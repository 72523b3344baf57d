package operator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"pollenlead/internal/record"
	"pollenlead/internal/statemachine"
)

const (
	operateToken = "plk_o1_aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
	viewToken    = "plk_o2_bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
)

// memoryLog is an in-memory log of one writer that applies each record when it is appended.
type memoryLog struct {
	state *statemachine.State
	seq   uint64
}

func (m *memoryLog) View(read func(*statemachine.State)) { read(m.state) }

func (m *memoryLog) Submit(_ context.Context, ops ...record.Op) ([]statemachine.Outcome, error) {
	m.seq++
	data, err := record.Encode(record.Record{Writer: "e", Incarnation: "e", Seq: m.seq, Ops: ops})
	if err != nil {
		return nil, err
	}
	result, err := m.state.Apply(m.state.Next(), data)
	return result.Outcomes, err
}

func waveHandler(t *testing.T) *Handler {
	is := is.New(t)
	hash := func(token string) string {
		sum := sha256.Sum256([]byte(token))
		return hex.EncodeToString(sum[:])
	}
	doc := fmt.Sprintf(`{schema: 1, pools: [
  {name: spare, spare: true},
  {name: p, members: [w-], size: 4, availability_budget: {min_available_percent: 75}},
], operators: [
  {name: ann, role: operate, key: {id: o1, sha256: %s}},
  {name: bob, role: view, key: {id: o2, sha256: %s}},
]}`, hash(operateToken), hash(viewToken))
	report := record.InstancesReport{ListVersion: 1}
	for n := range 4 {
		report.Instances = append(report.Instances, record.Instance{
			ID: fmt.Sprint("w-", n), Phase: record.PhaseLive, Rack: "r",
		})
	}
	m := &memoryLog{state: statemachine.New()}
	outcomes, err := m.Submit(t.Context(), record.Op{SessionOpen: &record.SessionOpen{}},
		record.Op{ConfigPublish: &record.ConfigPublish{Document: doc}}, record.Op{InstancesReport: &report})
	is.NoErr(err)
	for _, o := range outcomes {
		is.Equal(o.Detail, "")
	}
	return NewHandler(Options{Committer: m, Follower: m, Loaded: func() bool { return true }})
}

func do(t *testing.T, h http.Handler, token, method, path, body string, answer any) int {
	t.Helper()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+token)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	if answer != nil {
		if err := json.Unmarshal(w.Body.Bytes(), answer); err != nil {
			t.Fatalf("%s %s: %s: %v", method, path, w.Body, err)
		}
	}
	return w.Code
}

// TestWaves guards against waves that an operator with role view can change, actions without effect, a plan that
// differs from the budget, and a status without the reason why a pool makes no progress.
func TestWaves(t *testing.T) {
	is := is.New(t)
	h := waveHandler(t)
	var plan WavePlan
	is.Equal(do(t, h, viewToken, "GET", "/v1/waves/plan?pool=p", "", &plan), http.StatusOK)
	is.Equal(plan.Steps, 4)
	is.Equal(plan.SmallestAvailable, 3)
	is.Equal(plan.LongestSeconds, int64(4*(600+600+600+60)))
	is.Equal(plan.Pools, []PoolPlan{{Name: "p", Baseline: 4, Floor: 3, Available: 4, Steps: 4}})
	is.Equal(do(t, h, viewToken, "GET", "/v1/waves/plan?pool=x", "", nil), http.StatusNotFound)

	const body = `{"pools":["p"],"reason":"kernel"}`
	is.Equal(do(t, h, viewToken, "POST", "/v1/waves", body, nil), http.StatusForbidden)
	is.Equal(do(t, h, operateToken, "POST", "/v1/waves", `{"pools":[]}`, nil), http.StatusBadRequest)
	is.Equal(do(t, h, operateToken, "POST", "/v1/waves", `{"pools":["x"]}`, nil), http.StatusNotFound)
	var started WaveResponse
	is.Equal(do(t, h, operateToken, "POST", "/v1/waves", body, &started), http.StatusOK)
	is.Equal(do(t, h, operateToken, "POST", "/v1/waves", body, nil), http.StatusConflict)

	path := "/v1/waves/" + started.Wave
	is.Equal(do(t, h, viewToken, "POST", path+"/pause", "", nil), http.StatusForbidden)
	is.Equal(do(t, h, operateToken, "POST", path+"/pause", "", nil), http.StatusNoContent)
	var status WaveStatus
	is.Equal(do(t, h, viewToken, "GET", path, "", &status), http.StatusOK)
	is.Equal(status.State, statemachine.WavePaused)
	is.Equal(status.Actor, "ann")
	is.Equal(status.PauseReason, "paused by ann")
	is.Equal(status.Waiting, 4)
	_, err := h.Committer.Submit(t.Context(), record.Op{InstancesReport: &record.InstancesReport{
		ListVersion: 2, Instances: []record.Instance{{ID: "w-0", Phase: record.PhaseGone}},
	}})
	is.NoErr(err)
	is.Equal(do(t, h, viewToken, "GET", path, "", &status), http.StatusOK)
	is.Equal(status.Blocked[0].Text, "pool p has 3 instances available and must keep 3 of 4")
	is.Equal(do(t, h, operateToken, "POST", path+"/resume", "", nil), http.StatusNoContent)
	is.Equal(do(t, h, operateToken, "POST", path+"/resume", "", nil), http.StatusConflict)
	is.Equal(do(t, h, operateToken, "POST", path+"/abort", "", nil), http.StatusNoContent)
	is.Equal(do(t, h, operateToken, "POST", path+"/abort", "", nil), http.StatusNotFound)
	var waves WavesResponse
	is.Equal(do(t, h, viewToken, "GET", "/v1/waves", "", &waves), http.StatusOK)
	is.Equal(len(waves.Open), 0)
	is.Equal(waves.Ended[0].State, statemachine.WaveAborted)
	is.Equal(do(t, h, viewToken, "GET", "/v1/waves/none", "", nil), http.StatusNotFound)
}
