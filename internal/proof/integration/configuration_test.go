package integration

// An accepted configuration is in force at every instance within seconds and is never reverted.

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/operator/client"
	"lacewingrock.example/lacewingrock/internal/operator/message"
	"lacewingrock.example/lacewingrock/internal/standin/kv"
)

const contended = "contended"

// versionedChange is one operator's change, conditional on an expected resource version. It is accepted with a new
// version, refused as a conflict, or its outcome is unknown.
type versionedChange struct {
	expected int64
}

type changeResult struct {
	outcome string
	version int64
}

// register is the sequential model of the changes of one resource, by all operators and through all instances. Each
// accepted change expected the version then current and produced a higher one. A change of unknown outcome may or
// may not have been made; its version is unknown, and only a later change that expects it shows that it was made.
var register = porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(0)} },
	Step: func(state, input, output any) []any {
		current, change, result := state.(int64), input.(versionedChange), output.(changeResult)
		switch result.outcome {
		case "accepted":
			if (current == change.expected || current == anyVersion) && result.version > change.expected {
				return []any{result.version}
			}
			return nil
		case "conflict":
			if current != change.expected {
				return []any{current}
			}
			return nil
		default:
			if current == change.expected || current == anyVersion {
				return []any{current, int64(anyVersion)}
			}
			return []any{current}
		}
	},
	Equal: func(a, b any) bool { return a.(int64) == b.(int64) },
}

// anyVersion is the state after a change of unknown outcome that was made: its version is unknown.
const anyVersion = -1

// Several operators change one resource concurrently through different instances, while the store loses answers, has
// a short outage and returns stale reads, and while an instance is killed and restarted. An accepted change that is
// overwritten by a change based on an older version is silently lost. An old version that reappears reverts the
// configuration in force.
func TestOperatorsRace(t *testing.T) {
	w := newWorld(t, options{})
	w.apply(workspaceJSON(1, -1))
	at := w.versionAt(t, 0)
	register := register
	register.Init = func() []any { return []any{at} }
	h := &changeHistory{begun: time.Now()}
	stop := make(chan struct{})
	var operators sync.WaitGroup
	for number := range 4 {
		operators.Go(func() { w.runOperator(number, h, stop) })
	}
	for instance := range w.d.InstanceProcesses {
		operators.Go(func() { w.watchVersions(t, instance, stop) })
	}
	w.injectFaults()
	close(stop)
	operators.Wait()
	events, accepted := h.done()
	t.Logf("%d changes, %d accepted", len(events), accepted)
	if accepted < 5 {
		t.Errorf("only %d changes were accepted", accepted)
	}
	switch porcupine.CheckOperationsTimeout(register.ToModel(), events, settleLimit) {
	case porcupine.Illegal:
		t.Errorf("the history of changes is not linearizable: %+v", events)
	case porcupine.Unknown:
		t.Log("the linearizability check timed out")
	case porcupine.Ok:
	}
	w.checkSettled(t)
}

func (w *world) injectFaults() {
	time.Sleep(time.Second)
	for range 5 {
		w.storeFaults(kv.Faults{LoseAnswers: 1})
		time.Sleep(300 * time.Millisecond)
	}
	w.storeFaults(kv.Faults{Outage: true})
	time.Sleep(2 * time.Second)
	w.storeFaults(kv.Faults{StaleReads: true})
	time.Sleep(2 * time.Second)
	w.storeFaults(kv.Faults{})
	w.requireNoError(w.d.InstanceProcesses[2].Kill())
	time.Sleep(time.Second)
	w.requireNoError(w.d.InstanceProcesses[2].Start(w.ctx))
	time.Sleep(2 * time.Second)
}

func workspaceJSON(weight int, version int64) string {
	text := fmt.Sprintf(`{"Kind":"Workspace","Name":"%s","Rate":1,"Burst":1,"Weight":%d`, contended, weight)
	if version >= 0 {
		text += fmt.Sprintf(`,"ResourceVersion":%d`, version)
	}
	return text + "}"
}

func (w *world) operator(instance int) *client.Client {
	return &client.Client{
		Server: "http://" + w.d.InstanceProcesses[instance].Announced("OperatorAddress"),
		Token:  w.d.OperatorToken,
	}
}

// runOperator repeatedly reads the resource and changes it, expecting the version read.
func (w *world) runOperator(number int, h *changeHistory, stop <-chan struct{}) {
	instance := number % len(w.d.InstanceProcesses)
	for round := 0; ; round++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(20+10*number) * time.Millisecond):
		}
		version, err := w.version(instance)
		if err != nil {
			continue
		}
		called := h.now()
		file := fmt.Sprintf(`{"Resources":[%s]}`, workspaceJSON(1+(round*7+number*13)%997, version))
		accepted, err := w.operator(instance).Apply(w.ctx, []byte(file), 0)
		h.add(number, called, versionedChange{expected: version}, outcomeOf(accepted, err))
	}
}

func outcomeOf(accepted message.Accepted, err error) changeResult {
	if err == nil && len(accepted.Resources) == 1 {
		if !accepted.Resources[0].Changed {
			return changeResult{outcome: "unchanged"}
		}
		return changeResult{outcome: "accepted", version: accepted.Resources[0].ResourceVersion}
	}
	var refused *client.RefusedError
	if errors.As(err, &refused) {
		switch refused.Detail.Code {
		case message.CodeConflict:
			return changeResult{outcome: "conflict"}
		case message.CodeUnavailable:
			return changeResult{outcome: "not made"}
		}
	}
	return changeResult{outcome: "unknown"}
}

// version reads the resource's version at an instance.
func (w *world) version(instance int) (int64, error) {
	ctx, cancel := context.WithTimeout(w.ctx, 5*time.Second)
	defer cancel()
	got, err := w.operator(instance).Get(ctx, "Workspace", contended)
	if err != nil {
		return 0, err
	}
	var read struct{ ResourceVersion int64 }
	if len(got.Resources) != 1 {
		return 0, errors.Errorf("%d resources", len(got.Resources))
	}
	err = json.Unmarshal(got.Resources[0], &read)
	return read.ResourceVersion, err
}

func (w *world) versionAt(t *testing.T, instance int) (version int64) {
	t.Helper()
	w.eventually("the resource exists", settleLimit, func() bool {
		read, err := w.version(instance)
		version = read
		return err == nil
	})
	return version
}

// watchVersions polls the resource at one instance. Its version must never decrease.
func (w *world) watchVersions(t *testing.T, instance int, stop <-chan struct{}) {
	highest := int64(0)
	for {
		select {
		case <-stop:
			return
		case <-time.After(pollInterval):
		}
		version, err := w.version(instance)
		if err != nil {
			continue
		}
		if version < highest {
			t.Errorf("%s went back from version %d to %d", w.d.InstanceProcesses[instance].Name, highest, version)
			return
		}
		highest = version
	}
}

// checkSettled makes one more change and waits until it is in force at every instance.
func (w *world) checkSettled(t *testing.T) {
	t.Helper()
	w.apply(workspaceJSON(998, -1))
	last := w.versionAt(t, 0)
	for instance := range w.d.InstanceProcesses {
		took := w.eventually("the last change is in force", promptLimit, func() bool {
			version, err := w.version(instance)
			return err == nil && version == last
		})
		t.Logf("%s shows the last change after %.2f s", w.d.InstanceProcesses[instance].Name, took.Seconds())
	}
}

// -----------------------------------------------------------------------------------------------

// changeHistory collects the operators' changes for the linearizability checker.
type changeHistory struct {
	begun time.Time

	mu       sync.Mutex
	events   []porcupine.Operation
	accepted int
}

func (h *changeHistory) now() int64 { return time.Since(h.begun).Nanoseconds() }

// add records a change. A change of unknown outcome may take effect at any later time, so its end is set to an hour
// after the start. A change that was certainly not made, or changed nothing, is omitted: it does not constrain the
// order.
func (h *changeHistory) add(operator int, called int64, asked versionedChange, got changeResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if got.outcome == "not made" || got.outcome == "unchanged" {
		return
	}
	ended := h.now()
	if got.outcome == "unknown" {
		ended = int64(time.Hour)
	}
	if got.outcome == "accepted" {
		h.accepted++
	}
	h.events = append(h.events, porcupine.Operation{
		ClientId: operator, Input: asked, Call: called, Output: got, Return: ended,
	})
}

func (h *changeHistory) done() ([]porcupine.Operation, int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.events, h.accepted
}

// An operator's file has one invalid resource among valid ones. If it were partly applied, the configuration in force
// would be one that no operator wrote.
func TestFileWithOneBadResourceChangesNothing(t *testing.T) {
	w := newWorld(t, options{})
	err := w.applyOnce(0,
		`{"Kind":"Workspace","Name":"good","Rate":1,"Burst":1,"Weight":1}`,
		`{"Kind":"Adapter","Name":"bad","BaseModel":"no-such-model"}`)
	if err == nil {
		t.Fatal("a file with an invalid resource was accepted")
	}
	if got, err := w.operator(1).Get(w.ctx, "Workspace", "good"); err == nil {
		t.Errorf("the valid resource was applied: %+v", got)
	}
}
