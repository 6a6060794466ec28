package operator

import "time"

type (
	// Process is the part of every state dump that identifies the process.
	Process struct {
		Name         string    `json:"name"`
		Kind         string    `json:"kind"`
		VM           string    `json:"vm,omitempty"`
		Region       string    `json:"region"`
		DataCentre   string    `json:"data_centre"`
		Upstream     string    `json:"upstream,omitempty"`
		FleetAddress string    `json:"fleet_address,omitempty"`
		Started      time.Time `json:"started"`
		Draining     bool      `json:"draining"`
	}
)
