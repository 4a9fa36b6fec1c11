package claim

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// This file maps a group to the bytes kept in the store and back. The names of the wire types' fields
// are the names in the stored JSON.

type wireGroup struct {
	Records map[string]wireRecord
}

type wireRecord struct {
	Body        string
	Mark        string
	AtMillis    int64
	State       string
	Status      int    `json:",omitempty"`
	ContentType string `json:",omitempty"`
	Answer      []byte `json:",omitempty"`
	Kept        bool   `json:",omitempty"`
	Stored      string `json:",omitempty"`
}

const (
	stateClaimed = "Claimed"
	stateNotRun  = "NotRun"
	stateRan     = "Ran"
	stateUnknown = "Unknown"
)

func encode(group Group) (value []byte, err error) {
	defer func() { err = errors.WithMessage(err, "encode claims") }()
	wire := wireGroup{Records: make(map[string]wireRecord, len(group.records))}
	for identity, record := range group.records {
		wire.Records[identity] = toWire(record)
	}
	return json.Marshal(wire)
}

func toWire(record Record) wireRecord {
	wire := wireRecord{Body: record.Body, Mark: record.Mark, AtMillis: record.At.UnixMilli()}
	switch state := record.State.(type) {
	case Claimed:
		wire.State = stateClaimed
	case NotRun:
		wire.State = stateNotRun
	case Unknown:
		wire.State = stateUnknown
	case Ran:
		wire.State = stateRan
		wire.Status, wire.ContentType, wire.Answer = state.Response.Status, state.Response.ContentType, state.Response.Body
		wire.Kept, wire.Stored = state.Kept, state.Stored
	}
	return wire
}

func decode(value []byte) (group Group, err error) {
	defer func() { err = errors.WithMessage(err, "decode claims") }()
	var wire wireGroup
	if err := json.Unmarshal(value, &wire); err != nil {
		return Group{}, err
	}
	records := make(map[string]Record, len(wire.Records))
	for identity, w := range wire.Records {
		state, err := w.state()
		if err != nil {
			return Group{}, err
		}
		records[identity] = Record{Body: w.Body, Mark: w.Mark, At: time.UnixMilli(w.AtMillis), State: state}
	}
	return Group{records: records}, nil
}

func (w wireRecord) state() (State, error) {
	switch w.State {
	case stateClaimed:
		return Claimed{}, nil
	case stateNotRun:
		return NotRun{}, nil
	case stateUnknown:
		return Unknown{}, nil
	case stateRan:
		answer := Response{Status: w.Status, ContentType: w.ContentType, Body: w.Answer}
		return Ran{Response: answer, Kept: w.Kept, Stored: w.Stored}, nil
	}
	return nil, errors.Errorf("state %q is not known", w.State)
}
