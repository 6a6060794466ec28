package event

// Events of an entry that serves HTTP requests by routes.
var (
	// RequestServed describes a request that received an upstream's answer: the upstream, the number of sends
	// and the times.
	RequestServed = Event{Number: 6001, Text: "request served"}
	// RequestRefused describes a request that received no complete answer of an upstream, with the reason.
	RequestRefused = Event{Number: 6002, Text: "request refused"}
	// UpstreamEjected is logged when an upstream is ejected: it receives no work for a pause.
	UpstreamEjected = Event{Number: 6003, Text: "upstream ejected"}
	// UpstreamReplaced is logged when another incarnation answers at an upstream's address.
	UpstreamReplaced = Event{Number: 6004, Text: "upstream replaced"}
	// UpstreamFound is logged when a new upstream was published.
	UpstreamFound = Event{Number: 6005, Text: "upstream found"}
	// UpstreamChanged is logged when the published properties of an upstream changed.
	UpstreamChanged = Event{Number: 6006, Text: "upstream changed"}
	// UpstreamRemoved is logged when an upstream is no longer published.
	UpstreamRemoved = Event{Number: 6007, Text: "upstream removed"}
	// UpstreamUnreadable is logged when an item of the upstream list cannot be decoded.
	UpstreamUnreadable = Event{Number: 6008, Text: "upstream unreadable"}
	// SettingsReloaded is logged when changed settings are in force.
	SettingsReloaded = Event{Number: 6009, Text: "settings reloaded"}
	// ReadinessChanged is logged when the entry starts or stops accepting new connections.
	ReadinessChanged = Event{Number: 6010, Text: "readiness changed"}
	// LinesDropped is logged when log lines were dropped to bound the volume.
	LinesDropped = Event{Number: 6011, Text: "log lines dropped"}
	// FreeFailed is logged when memory could not be released at an engine, where its reservation expires later.
	FreeFailed = Event{Number: 6013, Text: "freeing memory failed"}
	// DrainIncomplete is logged when a planned stop ended before all requests were finished.
	DrainIncomplete = Event{Number: 6014, Text: "drain ended with requests in flight"}
	// EnginePhaseSwitched is logged when an engine accepted the order to serve another phase.
	EnginePhaseSwitched = Event{Number: 6015, Text: "engine phase switched"}
	// PhaseSwitchFailed is logged when an engine did not accept the order to serve another phase.
	PhaseSwitchFailed = Event{Number: 6016, Text: "switching an engine's phase failed"}
	// MemberFound is logged when another entry was discovered.
	MemberFound = Event{Number: 6017, Text: "entry found"}
	// MemberUnresponsive is logged when nothing was received from another entry for some seconds.
	MemberUnresponsive = Event{Number: 6018, Text: "entry unresponsive"}
	// MemberRecovered is logged when an entry that was unresponsive or had left responds again.
	MemberRecovered = Event{Number: 6019, Text: "entry responsive again"}
	// MemberLeft is logged when another entry stopped as planned.
	MemberLeft = Event{Number: 6020, Text: "entry left"}
	// ContentSuspected lists the contents of the requests that ran at an engine when it crashed.
	ContentSuspected = Event{Number: 6021, Text: "content suspected"}
	// AnswerIncomplete is logged when an upstream gave no complete answer to a request that was sent to it.
	AnswerIncomplete = Event{Number: 6022, Text: "no complete answer from upstream"}
	// ContentBlocked is logged when content is blocked: it is no longer sent to any upstream.
	ContentBlocked = Event{Number: 6023, Text: "content blocked"}
	// MetadataRead is logged when the platform's metadata was read from another entry's copy.
	MetadataRead = Event{Number: 6024, Text: "metadata read from another entry"}
	// MetadataReadFailed is logged when another entry's copy of the platform's metadata could not be read.
	MetadataReadFailed = Event{Number: 6025, Text: "reading metadata from another entry failed"}
	// MetadataSendFailed is logged when a copy of the platform's metadata was not sent completely to another entry.
	MetadataSendFailed = Event{Number: 6026, Text: "sending metadata to another entry failed"}
	// UpstreamLimitChanged is logged when an upstream states another limit for the requests of all entries together.
	UpstreamLimitChanged = Event{Number: 6027, Text: "upstream limit changed"}
	// UpstreamLimitInvalid is logged when an upstream states a limit that cannot be read.
	UpstreamLimitInvalid = Event{Number: 6028, Text: "upstream limit invalid"}
	// QuotaOwnerLost is logged when the entry that grants the requests to a limited upstream did not answer.
	QuotaOwnerLost = Event{Number: 6029, Text: "quota owner unreachable"}
	// QuotaOwnerFound is logged when the entry that grants the requests to a limited upstream answers again.
	QuotaOwnerFound = Event{Number: 6030, Text: "quota owner reachable"}
	// StoreRestored is logged when the platform's metadata has returned from an older copy.
	StoreRestored = Event{Number: 6031, Text: "metadata restored from an older copy"}
	// UpstreamLeaving is logged when an upstream says in an answer that it leaves.
	UpstreamLeaving = Event{Number: 6032, Text: "upstream announced that it leaves"}
	// UpstreamBackoff is logged when an upstream rejects a request and asks for no more for a time.
	UpstreamBackoff = Event{Number: 6033, Text: "upstream asks for no requests"}
	// KeysOutdated is logged when the keys of customers are no longer trusted, as some may have been revoked.
	KeysOutdated = Event{Number: 6050, Text: "keys of customers not trusted"}
	// KeysTrusted is logged when the keys of customers are trusted again.
	KeysTrusted = Event{Number: 6051, Text: "keys of customers trusted again"}
	// UpstreamListRead is logged when the complete list of upstreams was read again.
	UpstreamListRead = Event{Number: 6012, Text: "upstream list read"}
	// CustomerAllocatorLost is logged when the entry that divides the quotas of customers has not answered for some
	// intervals. This entry uses its own parts.
	CustomerAllocatorLost = Event{Number: 6060, Text: "quota allocator unreachable"}
	// CustomerAllocatorFound is logged when an entry divides the quotas of customers again, or for the first time.
	CustomerAllocatorFound = Event{Number: 6061, Text: "quota allocator reachable"}
	// CustomerReportFailed is logged when an entry did not answer as the allocator, so that the next one is asked.
	CustomerReportFailed = Event{Number: 6062, Text: "quota report not answered"}
	// CustomerQuotaChanged is logged when the configuration changes the quota of a customer.
	CustomerQuotaChanged = Event{Number: 6063, Text: "customer quota changed"}
	// CustomerReportInvalid is logged when a report about the quotas of customers cannot be read or answered.
	CustomerReportInvalid = Event{Number: 6064, Text: "quota report invalid"}
	// UpstreamSlow is logged when an engine is judged to be slower than others of its pool.
	UpstreamSlow = Event{Number: 6070, Text: "upstream slow"}
	// UpstreamNormal is logged when an engine that was judged to be slow is as fast as others of its pool again.
	UpstreamNormal = Event{Number: 6071, Text: "upstream no longer slow"}
	// PaceFell is logged when the limit on the work in flight at an upstream has fallen by half.
	PaceFell = Event{Number: 6072, Text: "limit on work in flight fell"}
	// PaceRecovered is logged when such a limit has recovered.
	PaceRecovered = Event{Number: 6073, Text: "limit on work in flight recovered"}
	// StreamMoved is logged when a stream continues at another engine because it would not end in time at the first one.
	StreamMoved = Event{Number: 6080, Text: "stream moved to another engine"}
	// StreamMoveFailed is logged when a stream did not move to another engine.
	StreamMoveFailed = Event{Number: 6081, Text: "moving a stream failed"}
	// ChangesTooLong is logged when the changes of the platform's store are longer than the current values, which are read instead.
	ChangesTooLong = Event{Number: 6034, Text: "changes longer than the list"}
	// UpstreamUnconfigured is logged when an upstream is published whose pool is not configured.
	UpstreamUnconfigured = Event{Number: 6035, Text: "upstream of a pool that is not configured"}
	// VoteGiven is logged when the entry has voted for the one that gives orders to engines.
	VoteGiven = Event{Number: 6090, Text: "vote given"}
	// CoordinatorElected is logged when the entry is elected to give orders to engines.
	CoordinatorElected = Event{Number: 6091, Text: "elected to give orders to engines"}
	// VoteRefused is logged when an entry does not vote for this one.
	VoteRefused = Event{Number: 6092, Text: "vote refused"}
	// VoteMissing is logged when an entry does not answer the request for its vote.
	VoteMissing = Event{Number: 6093, Text: "vote missing"}
	// MemoryRefused is logged when a request is refused because no memory is left for its body.
	MemoryRefused = Event{Number: 6040, Text: "request refused for memory"}
	// BodyStalled is logged when the body of a request is not complete in time.
	BodyStalled = Event{Number: 6041, Text: "request body not complete in time"}
	// HeadRefused is logged when the head of a request is too large or takes too long, or no memory is left for it.
	HeadRefused = Event{Number: 6042, Text: "request head refused"}
	// ConnectionReplaced is logged when a client's connection is closed in favour of a new one.
	ConnectionReplaced = Event{Number: 6043, Text: "connection closed for a new one"}
	// AnswerUnread is logged when an answer is given up because its client does not read it while others wait for memory.
	AnswerUnread = Event{Number: 6045, Text: "answer given up as its client does not read"}
	// ConnectionRefused is logged when a new connection is closed because all others serve requests.
	ConnectionRefused = Event{Number: 6044, Text: "connection refused"}
)
