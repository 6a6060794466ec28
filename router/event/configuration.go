package event

// Events of the configuration and the VM list.
var (
	// ConfigurationInForce tells that a revision is in force in this process.
	ConfigurationInForce = Event{Number: 5001, Text: "configuration in force"}
	// ConfigurationInvalid tells that a newer configuration has faults and is kept out.
	ConfigurationInvalid = Event{Number: 5002, Text: "configuration invalid"}
	// ConfigurationConflict tells that other content under the revision in force is kept out.
	ConfigurationConflict = Event{Number: 5003, Text: "configuration conflicts with the revision in force"}
	// ConfigurationPartMissing tells that a part could not be read from any source.
	ConfigurationPartMissing = Event{Number: 5004, Text: "configuration part not readable"}
	// VMListUpdated tells that a newer VM list is used.
	VMListUpdated = Event{Number: 5005, Text: "VM list taken"}
	// VMListInvalid tells that a VM list can't be read.
	VMListInvalid = Event{Number: 5006, Text: "VM list invalid"}
	// PlatformUnreachable tells that reads at the platform began to fail.
	PlatformUnreachable = Event{Number: 5007, Text: "platform unreachable"}
	// PlatformReachable tells that reads at the platform succeed again.
	PlatformReachable = Event{Number: 5008, Text: "platform reachable"}
	// HoldersUnresponsive tells that no holder answers, so that the platform is read directly.
	HoldersUnresponsive = Event{Number: 5009, Text: "no holder answers"}
	// FirstConfiguration tells which sources a fresh process compared.
	FirstConfiguration = Event{Number: 5010, Text: "first configuration chosen"}
)
