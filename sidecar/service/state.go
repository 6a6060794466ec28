package service

import (
	"time"

	"gooseberrypin.example/router/booking"
)

type (
	// State is the part of the state dump on a plain service.
	State struct {
		Upstream string       `json:"upstream"`
		VM       string       `json:"vm"`
		Started  time.Time    `json:"started"`
		Draining bool         `json:"draining"`
		Running  int          `json:"running"`
		Bookings booking.Dump `json:"bookings"`
	}
)
