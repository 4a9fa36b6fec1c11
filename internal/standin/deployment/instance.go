package deployment

// Entry instances: their settings files, their place in the instance list, and the operators' client
// that talks to them.

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"text/template"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/standin/list"
)

const settingsText = `[Instance]
Name = %s
DataCentre = %s
CallerAddress = %s
OperatorAddress = %s
PeerAddress = %s

[Platform]
StoreAddress = %s
ListAddress = %s

[Operators]
TokenHashes = %s

[Freshness]
Bound = %s
`

// FreshnessBound of the example's instances.
const FreshnessBound = 3 * time.Second

// controlLimit bounds one run of the operators' client and one call to a control address.
const controlLimit = 30 * time.Second

func (d *Deployment) startInstance(ctx context.Context, number int) error {
	name := fmt.Sprintf("instance-%d", number+1)
	path := filepath.Join(d.Directory, name+".ini")
	process := &Process{
		Name:      name,
		Path:      filepath.Join(d.Binaries, "lacewingd"),
		Arguments: []string{"run", "-settings", path},
		Directory: d.Directory,
	}
	if err := d.writeSettings(path, number); err != nil {
		return err
	}
	if err := process.Start(ctx); err != nil {
		return err
	}
	d.InstanceProcesses = append(d.InstanceProcesses, process)
	d.started(process)
	return nil
}

func (d *Deployment) writeSettings(path string, number int) error {
	var places [3]string
	for i := range places {
		address, err := FreeAddress()
		if err != nil {
			return err
		}
		places[i] = address
	}
	name := fmt.Sprintf("instance-%d", number+1)
	text := fmt.Sprintf(settingsText,
		name,
		dataCentres[number%len(dataCentres)],
		places[0], places[1], places[2],
		d.through(name, d.Store, "Address"),
		d.through(name, d.List, "Address"),
		hash(d.OperatorToken),
		FreshnessBound,
	)
	return os.WriteFile(path, []byte(text+d.ExtraSettings), 0o600)
}

func hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// -----------------------------------------------------------------------------------------------

// Members is the instance list as it should be: every process of the deployment, none leaving.
func (d *Deployment) Members() []list.Member {
	members := []list.Member{}
	add := func(role, announced string, processes []*Process) {
		for number, process := range processes {
			members = append(members, list.Member{
				Name:       process.Name,
				Role:       role,
				Address:    d.through("", process, announced),
				DataCentre: dataCentres[number%len(dataCentres)],
			})
		}
	}
	add("instance", "PeerAddress", d.InstanceProcesses)
	add("engine", "Address", d.EngineProcesses)
	add("service", "Address", d.ServiceProcesses)
	return members
}

// UpdateList sets the members of the instance list.
func (d *Deployment) UpdateList(ctx context.Context) error {
	return d.Control(ctx, d.List, "members", d.Members())
}

// Control posts a value to a control route of a stand-in, such as "faults".
func (d *Deployment) Control(ctx context.Context, process *Process, route string, value any) (err error) {
	defer func() { err = errors.WithMessagef(err, "control %s: %s", process.Name, route) }()
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return call(ctx, http.MethodPost, controlURL(process, route), body, nil)
}

// Record reads the record of a stand-in into a value of its package's Record type.
func (d *Deployment) Record(ctx context.Context, process *Process, into any) (err error) {
	defer func() { err = errors.WithMessagef(err, "record of %s", process.Name) }()
	return call(ctx, http.MethodGet, controlURL(process, "record"), nil, into)
}

func controlURL(process *Process, route string) string {
	return "http://" + process.Announced("ControlAddress") + "/control/" + route
}

func call(ctx context.Context, method, url string, body []byte, into any) error {
	limit, cancel := context.WithTimeout(ctx, controlLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(limit, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", answer.StatusCode)
	}
	if into == nil {
		return nil
	}
	return json.NewDecoder(answer.Body).Decode(into)
}

// -----------------------------------------------------------------------------------------------

// templateData is what a resource template may name.
type templateData struct {
	Engines  []templateEngine
	Services []string
}

type templateEngine struct {
	Name          string
	Address       string
	DataCentre    string
	Slots         int
	Batch         int
	ChecksFencing bool
}

// Render fills the upstreams' addresses into a resource template.
func (d *Deployment) Render(path string) (text []byte, err error) {
	defer func() { err = errors.WithMessage(err, "resource template") }()
	parsed, err := template.ParseFiles(path)
	if err != nil {
		return nil, err
	}
	var data templateData
	for number, process := range d.EngineProcesses {
		data.Engines = append(data.Engines, templateEngine{
			Name:          process.Name,
			Address:       d.through("", process, "Address"),
			DataCentre:    dataCentres[number%len(dataCentres)],
			Slots:         d.EngineSlots,
			Batch:         d.EngineBatch,
			ChecksFencing: d.ChecksFencing(number),
		})
	}
	for _, process := range d.ServiceProcesses {
		data.Services = append(data.Services, d.through("", process, "Address"))
	}
	var rendered bytes.Buffer
	err = parsed.Execute(&rendered, data)
	return rendered.Bytes(), err
}

// applyTemplate applies the example configuration by the first instance, which may take a while to
// become a member.
func (d *Deployment) applyTemplate(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "apply template") }()
	text, err := d.Render(d.Template)
	if err != nil {
		return err
	}
	path := filepath.Join(d.Directory, "resources.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	return d.Retry(ctx, func() error {
		_, err := d.Operate(ctx, 0, "apply", "-f", path)
		return err
	})
}

// Retry repeats an operators' action until it succeeds or the limit for starting is over.
func (d *Deployment) Retry(ctx context.Context, action func() error) error {
	limit, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for {
		err := action()
		if err == nil {
			return nil
		}
		select {
		case <-limit.Done():
			return err
		case <-time.After(10 * pollInterval):
		}
	}
}

// Operate runs lacewingctl against the instance of a number (from 0) and returns what it printed.
func (d *Deployment) Operate(ctx context.Context, instance int, arguments ...string) (printed []byte, err error) {
	defer func() { err = errors.WithMessagef(err, "lacewingctl %s", arguments[0]) }()
	limit, cancel := context.WithTimeout(ctx, controlLimit)
	defer cancel()
	all := []string{
		"-server", "http://" + d.InstanceProcesses[instance].Announced("OperatorAddress"),
		"-token", d.OperatorToken,
	}
	command := exec.CommandContext(limit, filepath.Join(d.Binaries, "lacewingctl"), append(all, arguments...)...)
	var failure bytes.Buffer
	command.Stderr = &failure
	printed, err = command.Output()
	if err != nil {
		return printed, errors.Errorf("%v: %s%s", err, failure.Bytes(), printed)
	}
	return printed, nil
}

// AwaitKeys waits until every instance accepts the keys: a grant takes a moment to be in force
// everywhere, and a trial that begins before would see refusals that mean nothing.
func (d *Deployment) AwaitKeys(ctx context.Context, keys ...string) error {
	for _, process := range d.InstanceProcesses {
		for _, key := range keys {
			url := "http://" + process.Announced("CallerAddress") + "/v1/models"
			err := d.Retry(ctx, func() error { return accepted(ctx, url, key) })
			if err != nil {
				return errors.WithMessagef(err, "key at %s", process.Name)
			}
		}
	}
	return nil
}

func accepted(ctx context.Context, url, key string) error {
	limit, cancel := context.WithTimeout(ctx, controlLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(limit, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", answer.StatusCode)
	}
	return nil
}

// Grant grants a key of a workspace and returns its secret.
func (d *Deployment) Grant(ctx context.Context, workspace, name string) (granted string, err error) {
	defer func() { err = errors.WithMessagef(err, "grant key %s", name) }()
	printed, err := d.Operate(ctx, 0, "key", "grant", "-workspace", workspace, "-name", name, "-o", "json")
	if err != nil {
		return "", err
	}
	var answer struct{ Secret string }
	if err := json.Unmarshal(printed, &answer); err != nil {
		return "", err
	}
	if answer.Secret == "" {
		return "", errors.New("no secret in the answer")
	}
	return answer.Secret, nil
}
