package node

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/entry/inifile"
)

// settings.go lists the settings of an instance.

// Settings of a node. Addresses are IP and port. A port of 0 selects a free port, and the event "Started" contains it.
type Settings struct {
	Instance  InstanceSettings
	Platform  PlatformSettings
	Callers   CallerSettings
	Upstreams UpstreamSettings
	Retries   RetrySettings
	Admission AdmissionSettings
	Memory    MemorySettings
	Log       LogSettings
}

// InstanceSettings are the identity and the listen addresses of the instance.
type InstanceSettings struct {
	Name           string
	DataCentre     string
	CallerAddress  string
	ReadyAddress   string
	PeerAddress    string
	MetricsAddress string
}

// PlatformSettings are the address and the timeout of the store.
type PlatformSettings struct {
	StoreAddress string
	StoreTimeout time.Duration
	// Contracts are the parts of the platform's rules that are in force, by the platform's names.
	Contracts string
}

// CallerSettings are the limits for callers.
type CallerSettings struct {
	HeaderBytes   int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// StopWithin is the longest duration of a planned stop where GraceTime is not known.
	StopWithin time.Duration
	// GraceTime is the time from the stop signal until the process is killed; 0 if it is not known.
	GraceTime time.Duration
	// ChangeWithin is how soon a change of the configuration has to be in force.
	ChangeWithin time.Duration
}

// killReserve is the part of GraceTime that a planned stop leaves to the end of the process.
const killReserve = time.Second

// StopTime returns the longest duration of a planned stop. One that lasted until the process is killed would cut responses.
func (s CallerSettings) StopTime() time.Duration {
	if s.GraceTime == 0 {
		return s.StopWithin
	}
	return max(s.GraceTime-killReserve, s.GraceTime/2)
}

// UpstreamSettings are the properties of upstreams that do not come from the store.
type UpstreamSettings struct {
	// FencesChecked: upstreams refuse orders with an outdated fencing token.
	FencesChecked bool
	// ReturnAfter is how long after its last order to an upstream that it lost an instance may send orders there again.
	// Where fencing tokens are checked, it applies only if another instance was the holder meanwhile.
	ReturnAfter time.Duration
	// MaxBackpressure is the longest time for which an upstream that asks for it gets no requests from this instance.
	MaxBackpressure time.Duration
}

// RetrySettings limit the attempts beyond the first of each request, over all instances and in any Window.
type RetrySettings struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Switch is whether a feature is on: as the platform's contracts call for it, or as set.
type Switch string

// The values of a Switch.
const (
	SwitchAuto Switch = "auto"
	SwitchOn   Switch = "on"
	SwitchOff  Switch = "off"
)

// resolved returns on or off, for a feature that the contracts call for or do not.
func (s Switch) resolved(calledFor bool) Switch {
	switch {
	case s != SwitchAuto:
		return s
	case calledFor:
		return SwitchOn
	}
	return SwitchOff
}

// IsOn reports whether the feature is on. One that the contracts decide is off until WithContracts was called.
func (s Switch) IsOn() bool { return s == SwitchOn }

// AdmissionSettings are how requests are admitted where more is asked than fits.
type AdmissionSettings struct {
	// Contention: requests are admitted by their priority and by the share of their workspace.
	Contention Switch
}

// MemorySettings bound the memory that requests and responses occupy.
type MemorySettings struct {
	// LimitMB is the memory of the instance, in MiB; 0 if it is unknown.
	LimitMB int64
	// Account: what is held for requests and responses is bounded by a part of LimitMB.
	Account Switch
	// UpstreamBound: upstreams end if what they hold exceeds their memory, so that they are never sent more.
	UpstreamBound Switch
}

// accountedMB is the memory of which a part may hold requests and responses; 0 if that is not bounded.
func (s MemorySettings) accountedMB() int64 {
	if !s.Account.IsOn() {
		return 0
	}
	return s.LimitMB
}

// LogSettings are the log level and the limit on log events.
type LogSettings struct {
	Level  string
	Budget int64
}

func settingsFormat() inifile.Format[Settings] {
	type field = inifile.Field[Settings]
	return inifile.Format[Settings]{Fields: []field{
		{
			Section: "Instance", Name: "Name", Required: true,
			Help: "name of the instance, the same after a restart",
			Set:  inifile.String(func(s *Settings) *string { return &s.Instance.Name }),
		},
		{
			Section: "Instance", Name: "DataCentre", Required: true,
			Help: "data centre of the instance",
			Set:  inifile.String(func(s *Settings) *string { return &s.Instance.DataCentre }),
		},
		{
			Section: "Instance", Name: "CallerAddress", Required: true,
			Help: "IP and port for callers",
			Set:  inifile.Address(func(s *Settings) *string { return &s.Instance.CallerAddress }),
		},
		{
			Section: "Instance", Name: "ReadyAddress", Required: true,
			Help: "IP and port for the readiness check of the load balancer",
			Set:  inifile.Address(func(s *Settings) *string { return &s.Instance.ReadyAddress }),
		},
		{
			Section: "Instance", Name: "PeerAddress", Required: true,
			Help: "IP and port for the other instances",
			Set:  inifile.Address(func(s *Settings) *string { return &s.Instance.PeerAddress }),
		},
		{
			Section: "Instance", Name: "MetricsAddress", Required: true,
			Help: "IP and port where metrics are served, at /metrics",
			Set:  inifile.Address(func(s *Settings) *string { return &s.Instance.MetricsAddress }),
		},
		{
			Section: "Platform", Name: "StoreAddress", Required: true,
			Help: "IP and port of the store",
			Set:  inifile.Address(func(s *Settings) *string { return &s.Platform.StoreAddress }),
		},
		{
			Section: "Platform", Name: "StoreTimeout", Default: "600ms",
			Help: "longest wait for a response of the store",
			Set: inifile.Duration(10*time.Millisecond, time.Minute,
				func(s *Settings) *time.Duration { return &s.Platform.StoreTimeout }),
		},
		{
			Section: "Callers", Name: "HeaderBytes", Default: "16384",
			Help: "largest header of a request",
			Set:  inifile.Int(1024, 1<<20, func(s *Settings) *int64 { return &s.Callers.HeaderBytes }),
		},
		{
			Section: "Callers", Name: "HeaderTimeout", Default: "3s",
			Help: "longest time a caller may take to send the header of a request",
			Set: inifile.Duration(100*time.Millisecond, time.Minute,
				func(s *Settings) *time.Duration { return &s.Callers.HeaderTimeout }),
		},
		{
			Section: "Callers", Name: "IdleTimeout", Default: "15s",
			Help: "how long an idle connection of a caller is kept",
			Set: inifile.Duration(time.Second, time.Hour,
				func(s *Settings) *time.Duration { return &s.Callers.IdleTimeout }),
		},
		{
			Section: "Callers", Name: "StopWithin", Default: "7s",
			Help: "longest a planned stop waits for running requests, unless GraceTime is set",
			Set: inifile.Duration(time.Second, time.Hour,
				func(s *Settings) *time.Duration { return &s.Callers.StopWithin }),
		},
		{
			Section: "Callers", Name: "GraceTime", Default: "0s",
			Help: "how long after the stop signal the process is killed; 0s if that is not known",
			Set: inifile.Duration(0, time.Hour,
				func(s *Settings) *time.Duration { return &s.Callers.GraceTime }),
		},
		{
			Section: "Callers", Name: "ChangeWithin", Default: "2s",
			Help: "how soon a change of the configuration has to be in force; no request is permanently refused because of an older one",
			Set: inifile.Duration(100*time.Millisecond, time.Minute,
				func(s *Settings) *time.Duration { return &s.Callers.ChangeWithin }),
		},
		{
			Section: "Upstreams", Name: "FencesChecked", Default: "false",
			Help: "whether upstreams refuse orders with an outdated fence",
			Set:  inifile.Bool(func(s *Settings) *bool { return &s.Upstreams.FencesChecked }),
		},
		{
			Section: "Upstreams", Name: "ReturnAfter", Default: "3s",
			Help: "pause before an instance sends orders again to an upstream that it lost to another",
			Set: inifile.Duration(0, time.Minute,
				func(s *Settings) *time.Duration { return &s.Upstreams.ReturnAfter }),
		},
		{
			Section: "Upstreams", Name: "MaxBackpressure", Default: "5m",
			Help: "longest time for which an upstream that asks for it (Retry-After) gets no requests from this instance",
			Set: inifile.Duration(0, 24*time.Hour,
				func(s *Settings) *time.Duration { return &s.Upstreams.MaxBackpressure }),
		},
		{
			Section: "Retries", Name: "Ratio", Default: "0.1",
			Help: "sends beyond the first, over all instances, as a ratio of the requests",
			Set:  inifile.Float(0, 10, func(s *Settings) *float64 { return &s.Retries.Ratio }),
		},
		{
			Section: "Retries", Name: "Slack", Default: "10",
			Help: "additional sends beyond the first, over all instances, in each window",
			Set:  inifile.Float(0, 1e6, func(s *Settings) *float64 { return &s.Retries.Slack }),
		},
		{
			Section: "Platform", Name: "Contracts", Default: "",
			Help: "parts of the platform's rules that are in force, separated by commas",
			Set:  inifile.String(func(s *Settings) *string { return &s.Platform.Contracts }),
		},
		{
			Section: "Admission", Name: "Contention", Default: string(SwitchAuto),
			Help: "whether requests are admitted by priority and workspace where more is asked than fits: auto (by the contracts), on or off",
			Set:  setSwitch(func(s *Settings) *Switch { return &s.Admission.Contention }),
		},
		{
			Section: "Memory", Name: "LimitMB", Default: "0",
			Help: "memory of the instance in MiB; 0 if it is unknown",
			Set:  inifile.Int(0, 1<<20, func(s *Settings) *int64 { return &s.Memory.LimitMB }),
		},
		{
			Section: "Memory", Name: "Account", Default: string(SwitchAuto),
			Help: "whether requests and responses may hold no more than a part of LimitMB: auto (by the contracts), on or off",
			Set:  setSwitch(func(s *Settings) *Switch { return &s.Memory.Account }),
		},
		{
			Section: "Memory", Name: "UpstreamBound", Default: string(SwitchAuto),
			Help: "whether engines end if the tokens of their requests exceed their memory: auto (off, as no contract says so), on or off",
			Set:  setSwitch(func(s *Settings) *Switch { return &s.Memory.UpstreamBound }),
		},
		{
			Section: "Log", Name: "Level", Default: "info",
			Help: "debug, info, warn or error",
			Set:  inifile.OneOf(func(s *Settings) *string { return &s.Log.Level }, "debug", "info", "warn", "error"),
		},
		{
			Section: "Log", Name: "Budget", Default: "300",
			Help: "log events a second; failures may use twice as many",
			Set:  inifile.Int(1, 1e6, func(s *Settings) *int64 { return &s.Log.Budget }),
		},
	}}
}

// setSwitch accepts the values of a Switch.
func setSwitch(target func(*Settings) *Switch) func(*Settings, string) error {
	text := func(s *Settings) *string { return (*string)(target(s)) }
	return inifile.OneOf(text, string(SwitchAuto), string(SwitchOn), string(SwitchOff))
}

// WithContracts returns the settings with each switch on or off. pressure: the contracts say that callers and
// upstreams may read slowly and that upstreams end if they hold more than their memory.
func (s Settings) WithContracts(pressure bool) Settings {
	s.Admission.Contention = s.Admission.Contention.resolved(pressure)
	s.Memory.Account = s.Memory.Account.resolved(pressure)
	s.Memory.UpstreamBound = s.Memory.UpstreamBound.resolved(false) // no contract says that engines end at MemoryTokens
	return s
}

// LoadSettings reads and validates a settings file.
func LoadSettings(file string) (Settings, error) { return settingsFormat().Load(file) }

// SettingsHelp lists every setting with its default.
func SettingsHelp() string { return settingsFormat().Help() }
