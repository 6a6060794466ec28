package event

// Events of an entry that serves HTTP requests by routes.
var (
	// RequestServed tells what decided a request that got an upstream's answer.
	RequestServed = Event{Number: 6001, Text: "request served"}
	// RequestRefused tells why a request got no whole answer of an upstream.
	RequestRefused = Event{Number: 6002, Text: "request refused"}
	// UpstreamEjected tells that an upstream gets no work for a pause.
	UpstreamEjected = Event{Number: 6003, Text: "upstream ejected"}
	// UpstreamReplaced tells that another incarnation answers at an upstream's address.
	UpstreamReplaced = Event{Number: 6004, Text: "upstream replaced"}
	// UpstreamFound tells that an upstream was published.
	UpstreamFound = Event{Number: 6005, Text: "upstream found"}
	// UpstreamChanged tells that an upstream published other facts of itself.
	UpstreamChanged = Event{Number: 6006, Text: "upstream changed"}
	// UpstreamRemoved tells that an upstream is no longer published.
	UpstreamRemoved = Event{Number: 6007, Text: "upstream gone"}
	// UpstreamUnreadable tells that an entry of the list names no upstream.
	UpstreamUnreadable = Event{Number: 6008, Text: "upstream unreadable"}
	// SettingsReloaded tells that changed settings are in force.
	SettingsReloaded = Event{Number: 6009, Text: "settings reloaded"}
	// ReadinessChanged tells whether the entry asks for new connections.
	ReadinessChanged = Event{Number: 6010, Text: "readiness changed"}
	// LinesDropped tells that log lines were dropped to bound the volume.
	LinesDropped = Event{Number: 6011, Text: "log lines dropped"}
	// FreeFailed tells that memory could not be given back to an engine; it expires there.
	FreeFailed = Event{Number: 6013, Text: "freeing memory failed"}
	// DrainIncomplete tells that a planned stop ended before all requests did.
	DrainIncomplete = Event{Number: 6014, Text: "drain cut requests"}
	// EnginePhaseSwitched tells that an engine was made to serve another phase.
	EnginePhaseSwitched = Event{Number: 6015, Text: "engine turned"}
	// PhaseSwitchFailed tells that an engine did not take the order to serve another phase.
	PhaseSwitchFailed = Event{Number: 6016, Text: "turning an engine failed"}
	// MemberFound tells that another entry is known.
	MemberFound = Event{Number: 6017, Text: "entry found"}
	// MemberUnresponsive tells that another entry was not heard for some seconds.
	MemberUnresponsive = Event{Number: 6018, Text: "entry silent"}
	// MemberRecovered tells that a silent entry is heard again.
	MemberRecovered = Event{Number: 6019, Text: "entry back"}
	// MemberLeft tells that another entry ended by a planned stop.
	MemberLeft = Event{Number: 6020, Text: "entry left"}
	// ContentSuspected tells that contents ran at an engine when it died.
	ContentSuspected = Event{Number: 6021, Text: "content suspected"}
	// AnswerIncomplete tells that an upstream gave no whole answer to what was sent to it.
	AnswerIncomplete = Event{Number: 6022, Text: "send broke off"}
	// ContentBlocked tells that content is kept from all upstreams from now on.
	ContentBlocked = Event{Number: 6023, Text: "content kept from upstreams"}
	// MetadataRead tells that another entry's copy of the platform's metadata was taken.
	MetadataRead = Event{Number: 6024, Text: "metadata taken from another entry"}
	// MetadataReadFailed tells that another entry gave no copy of the platform's metadata.
	MetadataReadFailed = Event{Number: 6025, Text: "metadata not had from another entry"}
	// MetadataSendFailed tells that a copy of the platform's metadata was not written whole.
	MetadataSendFailed = Event{Number: 6026, Text: "metadata not sent to another entry"}
	// UpstreamListRead tells that the whole list of upstreams was read anew.
	UpstreamListRead = Event{Number: 6012, Text: "upstream list read"}
)
