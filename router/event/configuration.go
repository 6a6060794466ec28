package event

// Events of the configuration and the VM list.
var (
	// ConfigurationInForce is logged when a new revision is in force in this process.
	ConfigurationInForce = Event{Number: 5001, Text: "configuration in force"}
	// ConfigurationInvalid is logged when a newer configuration has faults and is rejected.
	ConfigurationInvalid = Event{Number: 5002, Text: "configuration invalid"}
	// ConfigurationConflict is logged when different content under the revision in force is rejected.
	ConfigurationConflict = Event{Number: 5003, Text: "configuration conflicts with the revision in force"}
	// ConfigurationPartMissing is logged when a part could not be read from any source.
	ConfigurationPartMissing = Event{Number: 5004, Text: "configuration part not readable"}
	// VMListUpdated is logged when a newer VM list replaces the current one.
	VMListUpdated = Event{Number: 5005, Text: "VM list updated"}
	// VMListInvalid is logged when a VM list cannot be decoded.
	VMListInvalid = Event{Number: 5006, Text: "VM list invalid"}
	// PlatformUnreachable is logged when reads from the platform start to fail.
	PlatformUnreachable = Event{Number: 5007, Text: "platform unreachable"}
	// PlatformReachable is logged when reads from the platform succeed again.
	PlatformReachable = Event{Number: 5008, Text: "platform reachable"}
	// HoldersUnresponsive is logged when no process that holds the configuration responds, so that the platform is
	// read directly.
	HoldersUnresponsive = Event{Number: 5009, Text: "no configuration holder responds"}
	// FirstConfiguration is logged when a process that has just started chooses its first configuration. It
	// lists the sources that were compared.
	FirstConfiguration = Event{Number: 5010, Text: "first configuration chosen"}
)
