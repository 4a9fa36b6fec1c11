package integration

// An accepted configuration is in force everywhere within seconds and never reverts.

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

// swap is one operator's change: it was made on a resource version, and it was accepted as another,
// refused as a conflict, or its outcome is not known.
type swap struct {
	expected int64
}

type swapped struct {
	outcome string
	version int64
}

// register is what the changes of one resource must look like, whoever made them and by whichever
// instance: each accepted one was made on the version that was in place, and gave a higher one. A
// change of unknown outcome may have been made or not; its version is not known, and only a later
// change made on it shows which it was.
var register = porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(0)} },
	Step: func(state, input, output any) []any {
		at, asked, came := state.(int64), input.(swap), output.(swapped)
		switch came.outcome {
		case "accepted":
			if (at == asked.expected || at == anyVersion) && came.version > asked.expected {
				return []any{came.version}
			}
			return nil
		case "conflict":
			if at != asked.expected {
				return []any{at}
			}
			return nil
		default:
			if at == asked.expected || at == anyVersion {
				return []any{at, int64(anyVersion)}
			}
			return []any{at}
		}
	},
	Equal: func(a, b any) bool { return a.(int64) == b.(int64) },
}

// anyVersion is the state after a change of unknown outcome that was made.
const anyVersion = -1

// Several operators change one resource at the same time, each by another instance, while the store
// loses answers, goes out for a moment, and answers old values, and while an instance dies and another
// joins. An accepted change that is then overwritten by one made on an older version is lost without a
// word; one that comes back later undoes what operators see in force.
func TestOperatorsRace(t *testing.T) {
	w := newWorld(t, options{})
	w.apply(workspaceJSON(1, -1))
	at := w.versionAt(t, 0)
	register := register
	register.Init = func() []any { return []any{at} }
	h := &history{begun: time.Now()}
	stop := make(chan struct{})
	var operators sync.WaitGroup
	for number := range 4 {
		operators.Go(func() { w.operate(number, h, stop) })
	}
	for instance := range w.d.InstanceProcesses {
		operators.Go(func() { w.watchVersions(t, instance, stop) })
	}
	w.disturbConfiguration()
	close(stop)
	operators.Wait()
	events, accepted := h.done()
	t.Logf("%d changes, %d accepted", len(events), accepted)
	if accepted < 5 {
		t.Errorf("only %d changes were accepted", accepted)
	}
	switch porcupine.CheckOperationsTimeout(register.ToModel(), events, settleLimit) {
	case porcupine.Illegal:
		t.Errorf("the changes cannot have been made one after the other: %+v", events)
	case porcupine.Unknown:
		t.Log("the order of the changes was not found out in time")
	case porcupine.Ok:
	}
	w.checkSettled(t)
}

func (w *world) disturbConfiguration() {
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
	w.must(w.d.InstanceProcesses[2].Kill())
	time.Sleep(time.Second)
	w.must(w.d.InstanceProcesses[2].Start(w.ctx))
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

// operate reads the resource and changes it at the version read, again and again.
func (w *world) operate(number int, h *history, stop <-chan struct{}) {
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
		h.add(number, called, swap{expected: version}, outcomeOf(accepted, err))
	}
}

func outcomeOf(accepted message.Accepted, err error) swapped {
	if err == nil && len(accepted.Resources) == 1 {
		if !accepted.Resources[0].Changed {
			return swapped{outcome: "unchanged"}
		}
		return swapped{outcome: "accepted", version: accepted.Resources[0].ResourceVersion}
	}
	var refused *client.RefusedError
	if errors.As(err, &refused) {
		switch refused.Detail.Code {
		case message.CodeConflict:
			return swapped{outcome: "conflict"}
		case message.CodeUnavailable:
			return swapped{outcome: "not made"}
		}
	}
	return swapped{outcome: "unknown"}
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
	w.eventually("the resource is there", settleLimit, func() bool {
		read, err := w.version(instance)
		version = read
		return err == nil
	})
	return version
}

// watchVersions reads the resource at one instance all the time. Its version may only rise.
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

// checkSettled makes one more change and waits until every instance shows it.
func (w *world) checkSettled(t *testing.T) {
	t.Helper()
	w.apply(workspaceJSON(998, -1))
	last := w.versionAt(t, 0)
	for instance := range w.d.InstanceProcesses {
		took := w.eventually("the last change is in force", soonLimit, func() bool {
			version, err := w.version(instance)
			return err == nil && version == last
		})
		t.Logf("%s shows the last change after %.2f s", w.d.InstanceProcesses[instance].Name, took.Seconds())
	}
}

// -----------------------------------------------------------------------------------------------

// history collects the operators' changes for the checker.
type history struct {
	begun time.Time

	mu       sync.Mutex
	events   []porcupine.Operation
	accepted int
}

func (h *history) now() int64 { return time.Since(h.begun).Nanoseconds() }

// add notes a change. One of unknown outcome may take effect at any later time, so it has no end; one
// that was certainly not made, or changed nothing, says nothing about the order.
func (h *history) add(operator int, called int64, asked swap, came swapped) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if came.outcome == "not made" || came.outcome == "unchanged" {
		return
	}
	ended := h.now()
	if came.outcome == "unknown" {
		ended = int64(time.Hour)
	}
	if came.outcome == "accepted" {
		h.accepted++
	}
	h.events = append(h.events, porcupine.Operation{
		ClientId: operator, Input: asked, Call: called, Output: came, Return: ended,
	})
}

func (h *history) done() ([]porcupine.Operation, int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.events, h.accepted
}

// An operator's file has one bad resource among good ones. Taken in part, it would leave a
// configuration in force that nobody wrote.
func TestFileWithOneBadResourceChangesNothing(t *testing.T) {
	w := newWorld(t, options{})
	err := w.tryApply(0,
		`{"Kind":"Workspace","Name":"good","Rate":1,"Burst":1,"Weight":1}`,
		`{"Kind":"Adapter","Name":"bad","BaseModel":"no-such-model"}`)
	if err == nil {
		t.Fatal("accepted")
	}
	if got, err := w.operator(1).Get(w.ctx, "Workspace", "good"); err == nil {
		t.Errorf("the good resource was taken: %+v", got)
	}
}
