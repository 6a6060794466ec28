package refusal

import "fmt"

var (
	reasonTexts = map[Reason]string{
		Malformed:       "malformed",
		UnknownPartner:  "unknown_partner",
		UnknownRule:     "unknown_rule",
		Overloaded:      "overloaded",
		PartnerShare:    "partner_share",
		Quarantined:     "quarantined",
		AlreadyAnswered: "already_answered",
		Superseded:      "superseded",
		UpstreamLost:    "upstream_lost",
		Deadline:        "deadline",
		Leaving:         "leaving",
		KeyMissing:      "key_missing",
		KeyTooOld:       "key_too_old",
		KeyInFuture:     "key_in_future",
		KeyReused:       "key_reused",
		HomeUnsettled:   "home_unsettled",
		HomeUnreachable: "home_unreachable",
		TableFull:       "table_full",
		Cancelled:       "cancelled",
		NoConfiguration: "no_configuration",
		NoUpstream:      "no_upstream",
		Tombstoned:      "tombstoned",
		InProgress:      "in_progress",
		StaleAttempt:    "stale_attempt",
		KVLost:          "kv_lost",
		WrongRole:       "wrong_role",
		KeeperLost:      "keeper_lost",
		Unauthenticated: "unauthenticated",
		QuotaExceeded:   "quota_exceeded",
		KeysOutdated:    "keys_outdated",
	}

	ranTexts = map[Ran]string{RanNo: "no", RanUnknown: "unknown", RanYes: "yes"}
)

// String returns the reason's label in logs and metrics, or reason_N for an unknown number N.
func (r Reason) String() string {
	if text, found := reasonTexts[r]; found {
		return text
	}
	return fmt.Sprintf("reason_%d", int(r))
}

// String returns the label of r in logs and metrics, or ran_N for an unknown number N.
func (r Ran) String() string {
	if text, found := ranTexts[r]; found {
		return text
	}
	return fmt.Sprintf("ran_%d", int(r))
}
