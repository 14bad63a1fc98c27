package node

import (
	"encoding/json"
	"strings"

	"cyclamendyke"
)

// jsonCodec decodes targets and the configuration, which the tests store as JSON.
type jsonCodec struct{}

// Target decodes a target.
func (jsonCodec) Target(entry cyclamendyke.Entry) (target cyclamendyke.Target, err error) {
	err = json.Unmarshal(entry.Value, &target)
	return target, err
}

// Config decodes a configuration.
func (jsonCodec) Config(value []byte) (*cyclamendyke.FleetConfig, error) {
	var fleet cyclamendyke.FleetConfig
	err := json.Unmarshal(value, &fleet)
	return &fleet, err
}

// TargetsPrefix returns the prefix of the targets' keys.
func (jsonCodec) TargetsPrefix() string { return "targets/" }

// OperatorsPrefix returns the prefix of the operators' keys.
func (jsonCodec) OperatorsPrefix() string { return "operators/" }

// ConfigKey returns the key of the configuration.
func (jsonCodec) ConfigKey() string { return "operators/config" }

// EvacuationsPrefix returns the prefix of the requests to evacuate zones.
func (jsonCodec) EvacuationsPrefix() string { return "operators/evacuations/" }

// EvacuatedZone returns the zone in a request's key.
func (c jsonCodec) EvacuatedZone(entry cyclamendyke.Entry) (cyclamendyke.ZoneName, error) {
	zone := cyclamendyke.ZoneName(strings.TrimPrefix(entry.Key, c.EvacuationsPrefix()))
	if !entry.Deleted && !json.Valid(entry.Value) {
		return zone, cyclamendyke.KindInvalid
	}
	return zone, nil
}
